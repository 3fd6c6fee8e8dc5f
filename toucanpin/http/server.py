"""
HTTP server
===========

Answer the requests of each connection in order; limits apply before data is held.
"""

from __future__ import annotations

import asyncio
import time
from functools import partial

import logbook

from toucanpin.clients import UNLIMITED, Budget, Intake, Limits, Listener
from toucanpin.http.assembly import InputLimits
from toucanpin.http.messages import Request, Response
from toucanpin.http.session import HANDLED_FACTOR, Handler, HttpSession, Service

__all__ = ["Request", "Response", "Server"]

_log = logbook.Logger("http")
MAX_LOGGED_PATH = 200  # characters
DRAIN_POLL_PERIOD_S = 0.02


class Server:
    """
    Server on one address; a handler that returns None aborts the client's connection.

    ``limits`` are those of all clients together, ``used_headers`` the names of the headers that the
    handler reads, all if it is None.
    """

    def __init__(
        self,
        handler: Handler,
        max_headers: int,
        max_body: int,
        limits: Limits = UNLIMITED,
        intake: Intake | None = None,
        used_headers: frozenset[str] | None = None,
    ) -> None:
        self.budget = Budget(limits, time.monotonic)
        self._handler = handler
        input_limits = InputLimits(max_headers, max_body, used_headers)
        self._service = Service(self.handle, input_limits, self.budget, intake or Intake())
        self._listener = Listener(self.budget, partial(HttpSession, self._service))
        self.limit_requests(max_headers, max_body)

    @property
    def sessions(self) -> set[HttpSession]:
        """Return the sessions of open connections."""
        return self._service.sessions

    def limit_requests(self, max_headers: int, max_body: int) -> None:
        """Set the limits of one request in bytes."""
        self._service.limits.headers = max_headers
        self._service.limits.body = max_body
        # The largest request that is allowed is served in calm, however small the host is.
        self.budget.reserve(HANDLED_FACTOR * max_body + max_headers)

    async def listen(self, address: str) -> None:
        """Listen on ``address``, which is ``host:port``."""
        host, _, port = address.rpartition(":")
        self._listener.listen(host, int(port))

    def stop_keeping_alive(self) -> None:
        """Close each connection after its next answer."""
        self._service.closing = True

    async def drain(self, timeout: float, timeout_response: Response | None = None) -> None:
        """
        Accept no new connections, answer the requests that were read and close, in ``timeout`` s.

        Requests without an answer by then are answered with ``timeout_response``, or get no answer
        if it is None.
        """
        self.stop_keeping_alive()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while loop.time() < deadline and any(session.busy for session in self.sessions):
            await asyncio.sleep(DRAIN_POLL_PERIOD_S)
        self._listener.close()
        for session in tuple(self.sessions):
            if timeout_response is not None:
                session.answer_pending(timeout_response)
            session.close()

    async def handle(self, request: Request) -> Response | None:
        """Return the handler's response to a request; an exception is logged and gives a 500."""
        try:
            return await self._handler(request)
        except Exception:
            path = request.path[:MAX_LOGGED_PATH]
            _log.exception("handler failed", event="request.failed", path=path)
            return Response(500)
