"""
HTTP server
===========

Answer the requests of each connection in order; size limits apply before data is buffered.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httptools
import logbook

__all__ = ["Request", "Response", "Server"]

_log = logbook.Logger("http")
MAX_TARGET_BYTES = 8_192  # of a request's path and query
LINGER_TIMEOUT_S = 1.0  # how long a client may still send after its last answer
MAX_PIPELINED_REQUESTS = 16  # per connection; one more closes it
_REASON_PHRASES = {200: "OK", 404: "Not Found", 410: "Gone", 429: "Too Many Requests"}


@dataclass(slots=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str = ""
    path: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Response:
    """The response to a request; ``retry_after`` is in seconds."""

    status: int
    body: bytes = b""
    retry_after: int | None = None


Handler = Callable[[Request], Awaitable[Response | None]]


class Server:
    """Server on one address; a handler that returns None aborts the client's connection."""

    def __init__(self, handler: Handler, max_headers: int, max_body: int) -> None:
        self.max_headers = max_headers
        self.max_body = max_body
        self.closing = False
        self.sessions: set[_Session] = set()
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Listen on ``address``, which is ``host:port``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Session(self), host, int(port), backlog=512, reuse_address=True
        )

    async def drain(self, timeout: float, timeout_response: Response | None = None) -> None:
        """
        Accept no new connections, answer the requests that were read and close, in ``timeout`` s.

        Requests without an answer by then are answered with ``timeout_response``, or get no answer
        if it is None.
        """
        self.closing = True
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while loop.time() < deadline and any(session.busy for session in self.sessions):
            await asyncio.sleep(0.02)
        if self._server is not None:
            self._server.close()
        for session in tuple(self.sessions):
            if timeout_response is not None:
                session.answer_pending(timeout_response)
            session.close()

    async def handle(self, request: Request) -> Response | None:
        """Return the handler's response to a request; an exception is logged and gives a 500."""
        try:
            return await self._handler(request)
        except Exception:
            _log.exception("handler failed", event="request.failed", path=request.path)
            return Response(500)


class _Session(asyncio.Protocol):
    """A client's connection, whose requests are answered in order."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._request = Request()
        self._target: list[bytes] = []
        self._body: list[bytes] = []
        self._header_size = 0
        self._body_size = 0
        self._queue: list[tuple[Request, bool]] = []
        self._task: asyncio.Task[None] | None = None
        self._ignores_input = False

    @property
    def busy(self) -> bool:
        """Return whether a request was read and is not answered yet."""
        return self._task is not None

    def answer_pending(self, response: Response) -> None:
        """Send ``response`` to the request being handled and to every queued one."""
        if self._task is None or self._transport is None or self._transport.is_closing():
            return
        self._task.cancel()
        self._task = None
        for remaining in range(len(self._queue), -1, -1):
            self._transport.write(_encode(response, keep_alive=remaining > 0))
        self._queue.clear()

    def close(self) -> None:
        """Close the connection once the buffered data is sent."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.sessions.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._server.sessions.discard(self)

    def data_received(self, data: bytes) -> None:
        if self._ignores_input:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._refuse(400)

    def on_message_begin(self) -> None:
        self._request = Request()
        self._target = []
        self._body = []
        self._header_size = 0
        self._body_size = 0

    def on_url(self, url: bytes) -> None:
        self._target.append(url)
        self._header_size += len(url)
        if self._header_size > MAX_TARGET_BYTES:
            self._refuse(414)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_size += len(name) + len(value)
        if self._header_size > self._server.max_headers:
            self._refuse(431)
            return
        self._request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body_size += len(body)
        if self._body_size > self._server.max_body:
            self._refuse(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        if self._ignores_input:
            return
        self._request.method = self._parser.get_method().decode("latin-1")
        self._request.path = b"".join(self._target).decode("latin-1")
        self._request.body = b"".join(self._body)
        self._queue.append((self._request, self._parser.should_keep_alive()))
        if len(self._queue) > MAX_PIPELINED_REQUESTS:
            self._refuse(429)
            return
        if self._task is None:
            self._task = asyncio.ensure_future(self._answer())

    async def _answer(self) -> None:
        while self._queue:
            request, keep_alive = self._queue.pop(0)
            response = await self._server.handle(request)
            if self._transport is None or self._transport.is_closing():
                break
            if response is None:
                self._transport.abort()
                break
            keep_alive = keep_alive and not (self._server.closing and not self._queue)
            self._transport.write(_encode(response, keep_alive))
            if not keep_alive:
                self._close_after_linger(self._transport)
                break
        self._task = None

    def _refuse(self, status: int) -> None:
        # Data after a refused request can't be distinguished from a new request, so the
        # connection is closed.
        self._ignores_input = True
        if self._transport is not None:
            self._transport.write(_encode(Response(status), False))
            self._close_after_linger(self._transport)

    def _close_after_linger(self, transport: asyncio.Transport) -> None:
        """
        Shut down the sending side; close when the client does or after LINGER_TIMEOUT_S.

        If the connection were closed with another request in transit, it would be reset, and a
        client that has not read the last responses yet would lose them.
        """
        self._ignores_input = True
        try:
            transport.write_eof()
        except OSError:
            # The client has reset the connection.
            transport.close()
            return
        asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, transport.close)


def _encode(response: Response, keep_alive: bool) -> bytes:
    lines = [f"HTTP/1.1 {response.status} {_REASON_PHRASES.get(response.status, 'Status')}"]
    if response.body:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(response.body)}")
    if response.retry_after is not None:
        lines.append(f"Retry-After: {response.retry_after}")
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + response.body
