"""
Session
=======

Connection of a client, whose requests are answered in order.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httptools

from toucanpin.clients.budget import Account, Budget, Reason
from toucanpin.clients.intake import Intake
from toucanpin.clients.limits import BASE_BYTES
from toucanpin.clients.session import Session
from toucanpin.http.assembly import Assembly, InputLimits, LimitError
from toucanpin.http.messages import Request, Response, encode_response

__all__ = ["HANDLED_FACTOR", "Handler", "HttpSession", "Service"]

Handler = Callable[[Request], Awaitable[Response | None]]

LINGER_TIMEOUT_S = 1.0  # how long a client may still send after its last answer
MAX_PIPELINED_REQUESTS = 16  # per connection; one more closes it
MAX_UNREAD_BYTES = BASE_BYTES  # of answers, before the next request is handled
HANDLED_FACTOR = 8  # copies of a request's body: decoded, encoded, in the store's call
RETRY_AFTER_S = 1
TOO_MANY_REQUESTS = 429
_REASONS = {400: Reason.MALFORMED, 501: Reason.MALFORMED, TOO_MANY_REQUESTS: Reason.PIPELINED}
_REFUSAL_STATUSES = {Reason.MEMORY: 503, Reason.REQUEST_TIMEOUT: 408}


@dataclass(slots=True)
class Service:
    """
    What all sessions of a server share.

    ``answer`` returns the response to a request, None to abort the connection.
    """

    answer: Handler
    limits: InputLimits
    budget: Budget
    intake: Intake
    sessions: set[HttpSession] = field(default_factory=set)  # of open connections
    closing: bool = False


@dataclass(slots=True)
class _Refusal:
    """A request that isn't handled; its response ends the connection."""

    response: Response


@dataclass(slots=True)
class _Complete:
    """A request that waits for its answer."""

    request: Request
    size: int  # bytes
    keep_alive: bool


class HttpSession(Session):
    """Connection of one client."""

    def __init__(self, service: Service) -> None:
        super().__init__(service.budget, service.intake)
        self._service = service
        self._assembly = Assembly(service.limits, self._enqueue)
        self._queue: deque[_Complete | _Refusal] = deque()
        self._queued_bytes = 0
        self._handled_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._handling = False  # whether a request was taken from the queue and isn't answered
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def busy(self) -> bool:
        """Return whether a request was read and is not answered yet."""
        return self._task is not None

    def open(self, account: Account) -> None:
        """Take the account in which the connection counts what it holds."""
        super().open(account)
        self._service.sessions.add(self)

    def answer_pending(self, response: Response) -> None:
        """Send ``response`` to the request being handled and to every queued one."""
        if self._task is None or self._transport is None or self._transport.is_closing():
            return
        self._task.cancel()
        for remaining in reversed(range(len(self._queue) + self._handling)):
            self._transport.write(encode_response(response, keep_alive=remaining > 0))
        self._queue.clear()

    def close(self) -> None:
        """Close the connection once the buffered data is sent."""
        if self._transport is not None:
            self._transport.close()

    def give_way(self, reason: Reason) -> None:
        """Refuse the incomplete request after those before it, or close the connection."""
        reads = self._writable.is_set()
        if self._assembly.receiving and reads and reason in _REFUSAL_STATUSES:
            self._refuse(Response(_REFUSAL_STATUSES[reason], retry_after=RETRY_AFTER_S))
        else:
            self._abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self._aborted or self._transport is None:
            return
        self._transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def connection_lost(self, error: Exception | None) -> None:
        self._aborted = True
        self._ignores_input = True
        self._writable.set()
        self._assembly.clear()
        self._service.sessions.discard(self)
        if self._task is None:
            self._budget.close(self._account)

    def parse(self, data: memoryview) -> None:
        """Parse a part of the input."""
        if self._ignores_input:
            return
        try:
            self._assembly.feed(data)
        except LimitError as error:
            self._budget.counts[_REASONS.get(error.status, Reason.SIZE)] += 1
            wait = RETRY_AFTER_S if error.status == TOO_MANY_REQUESTS else None
            self._refuse(Response(error.status, retry_after=wait))
        except httptools.HttpParserUpgrade:
            # The last request is answered as if it didn't offer another protocol.
            self._ignore_input()
        self._budget.record_progress(self._account, self._assembly.receiving)
        self._count()

    def pause_writing(self) -> None:
        self._writable.clear()
        self._budget.record_unread(self._account, True)

    def resume_writing(self) -> None:
        self._writable.set()
        self._budget.record_progress(self._account, self._assembly.receiving)
        self._budget.record_unread(self._account, False)
        self._count()

    def _enqueue(self, request: Request, keep_alive: bool) -> None:
        """Queue a complete request."""
        if len(self._queue) >= MAX_PIPELINED_REQUESTS:
            raise LimitError(TOO_MANY_REQUESTS)
        size = request.size
        self._queued_bytes += size
        self._queue.append(_Complete(request, size, keep_alive))
        self._answer_soon()

    def _answer_soon(self) -> None:
        if self._task is None:
            self._task = asyncio.ensure_future(self._answer_all())
        self._account.answering = True

    async def _answer_all(self) -> None:
        try:
            while self._queue and not self._aborted:
                await self._answer_next(self._queue.popleft())
                # A client that reads nothing gets no further answers, which would be held for it.
                if not self._writable.is_set():
                    await self._writable.wait()
        finally:
            self._task = None
            self._account.answering = False
            # The request of a client that has left is counted for as long as it is held.
            if self._aborted:
                self._budget.close(self._account)

    async def _answer_next(self, entry: _Complete | _Refusal) -> None:
        self._handling = True
        try:
            response = await self._answer(entry)
        finally:
            self._handling = False
        transport = self._transport
        if transport is None or transport.is_closing():
            self._queue.clear()
            return
        if response is None:
            self._abort()
            return
        last = not self._queue and (self._service.closing or self._ignores_input)
        keep_alive = isinstance(entry, _Complete) and entry.keep_alive and not last
        transport.write(encode_response(response, keep_alive))
        self._count()
        if not keep_alive:
            self._queue.clear()
            self._close_after_linger(transport)

    async def _answer(self, entry: _Complete | _Refusal) -> Response | None:
        """Return the response to a request, a refusal if there is no room for it."""
        if isinstance(entry, _Refusal):
            return entry.response
        self._queued_bytes -= entry.size
        self._handled_bytes = HANDLED_FACTOR * entry.size
        try:
            self._count()
            if self._account.held and not self._budget.has_room():
                self._budget.counts[Reason.MEMORY] += 1
                return Response(503, retry_after=RETRY_AFTER_S)
            return await self._service.answer(entry.request)
        finally:
            self._handled_bytes = 0

    def _count(self) -> None:
        """Count what this connection holds, unless that is certainly within its base."""
        held = self._assembly.size + self._queued_bytes + self._handled_bytes
        if not self._writable.is_set():
            held += self._count_unread()
        if held > BASE_BYTES or self._account.held:
            self._budget.hold(self._account, held)

    def _refuse(self, response: Response) -> None:
        """Answer the requests before, then with ``response``, and close the connection."""
        # Data after a refused request can't be distinguished from a new request.
        self._ignore_input()
        self._queue.append(_Refusal(response))
        self._answer_soon()

    def _ignore_input(self) -> None:
        self._ignores_input = True
        self._assembly.clear()
        self._budget.record_progress(self._account, False)
        self._count()

    def _abort(self) -> None:
        super()._abort()
        self._writable.set()

    def _close_after_linger(self, transport: asyncio.Transport) -> None:
        """
        Shut down the sending side; close when the client does or after LINGER_TIMEOUT_S.

        If the connection were closed with another request in transit, it would be reset, and a
        client that has not read the last responses yet would lose them.
        """
        self._ignore_input()
        try:
            transport.write_eof()
        except OSError:
            # The client has reset the connection.
            transport.close()
            return
        asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self._end, transport)

    def _end(self, transport: asyncio.Transport) -> None:
        """Close the connection; its last answers have some time to be read."""
        self._budget.record_unread(self._account, self._count_unread() > 0)
        transport.close()
