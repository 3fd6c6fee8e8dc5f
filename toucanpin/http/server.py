"""
HTTP server
===========

Answer requests one after another on each connection; limits hold before a body is kept.
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
MAX_TARGET = 8_192  # bytes of a request's path and query
FINISH = 1.0  # s for which a caller may go on writing behind the last answer
MAX_PIPELINED = 16  # requests that wait on one connection before it is closed
_REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 429: "Too Many Requests"}


@dataclass(slots=True)
class Request:
    """Hold one whole request; header names are in lower case."""

    method: str = ""
    path: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Response:
    """Answer one request; ``retry_after`` is in whole seconds."""

    status: int
    body: bytes = b""
    retry_after: int | None = None


Handler = Callable[[Request], Awaitable[Response | None]]


class Server:
    """Serve one address; a handler that returns None breaks the caller's connection."""

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

    async def drain(self, seconds: float, timeout_response: Response | None = None) -> None:
        """
        Take no new connections, answer what was read, then close, within ``seconds``.

        What isn't answered by then is answered with ``late``, or not at all if that is None.
        """
        self.closing = True
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while loop.time() < deadline and any(session.busy for session in self.sessions):
            await asyncio.sleep(0.02)
        if self._server is not None:
            self._server.close()
        for session in tuple(self.sessions):
            if timeout_response is not None:
                session.give_up(timeout_response)
            session.close()

    async def handle(self, request: Request) -> Response | None:
        """Answer one request; a fault in the handler becomes a 500 with a log line."""
        try:
            return await self._handler(request)
        except Exception:
            _log.exception("handler failed", event="request.failed", path=request.path)
            return Response(500)


class _Session(asyncio.Protocol):
    """Read requests from one connection and answer them in their order."""

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
        self._broken = False

    @property
    def busy(self) -> bool:
        """Tell whether a request was read and isn't answered."""
        return self._task is not None

    def give_up(self, response: Response) -> None:
        """Answer alike whatever was read and isn't answered, also what waits its turn."""
        if self._task is None or self._transport is None or self._transport.is_closing():
            return
        self._task.cancel()
        self._task = None
        for left in range(len(self._queue), -1, -1):
            self._transport.write(_encode(response, keep=left > 0))
        self._queue.clear()

    def close(self) -> None:
        """Close the connection once what was written has left."""
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
        if self._broken:
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
        if self._header_size > MAX_TARGET:
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
        if self._broken:
            return
        self._request.method = self._parser.get_method().decode("latin-1")
        self._request.path = b"".join(self._target).decode("latin-1")
        self._request.body = b"".join(self._body)
        self._queue.append((self._request, self._parser.should_keep_alive()))
        if len(self._queue) > MAX_PIPELINED:
            self._refuse(429)
            return
        if self._task is None:
            self._task = asyncio.ensure_future(self._answer())

    async def _answer(self) -> None:
        while self._queue:
            request, keep = self._queue.pop(0)
            response = await self._server.handle(request)
            if self._transport is None or self._transport.is_closing():
                break
            if response is None:
                self._transport.abort()
                break
            keep = keep and not (self._server.closing and not self._queue)
            self._transport.write(_encode(response, keep))
            if not keep:
                self._finish(self._transport)
                break
        self._task = None

    def _refuse(self, status: int) -> None:
        # What follows a refused head can't be told from a new request, so the connection ends.
        self._broken = True
        if self._transport is not None:
            self._transport.write(_encode(Response(status), False))
            self._finish(self._transport)

    def _finish(self, transport: asyncio.Transport) -> None:
        """
        End the connection, and close it once the caller does, or after a while.

        Closed while another request is on its way, it would be reset, and a caller that hasn't read
        the last answers yet would lose them.
        """
        self._broken = True
        try:
            transport.write_eof()
        except OSError:
            # The caller has reset it.
            transport.close()
            return
        asyncio.get_running_loop().call_later(FINISH, transport.close)


def _encode(response: Response, keep: bool) -> bytes:
    lines = [f"HTTP/1.1 {response.status} {_REASONS.get(response.status, 'Status')}"]
    if response.body:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(response.body)}")
    if response.retry_after is not None:
        lines.append(f"Retry-After: {response.retry_after}")
    if not keep:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + response.body
