"""
HTTP client
===========

Call one address over keep-alive connections, and report for every failure whether the request may
have run.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import TypeVar

import httptools

from toucanpin.exception import ToucanpinError
from toucanpin.verdict import Verdict

__all__ = [
    "Answer",
    "CallError",
    "Client",
    "ConnectionEndedError",
    "TooLargeError",
    "UnreachableError",
]

# TCP sends a lost SYN packet again only after 1 s, and a dead host never answers.
CONNECT_TIMEOUT_S = 0.6
MAX_ANSWER_BYTES = 4_194_304  # four times the platform's largest page
MAX_IDLE_CONNECTIONS = 8  # per address
LATENESS_THRESHOLD_S = 0.05  # a timeout that fires this late means a busy or suspended process
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class CallError(ToucanpinError):
    """Raised if a call has no usable answer; ``verdict`` says whether it may have had an effect."""

    def __init__(self, verdict: Verdict, detail: str, status: int = 0) -> None:
        super().__init__(detail)
        self.verdict = verdict
        self.status = status

    @property
    def certain(self) -> bool:
        """Return whether the request certainly had no effect."""
        return self.verdict is Verdict.NOT_RUN


class UnreachableError(CallError):
    """
    Raised if no connection can be opened, so the request certainly had no effect.

    ``refused`` is whether the host answered that nobody listens there.
    """

    def __init__(self, detail: str, refused: bool) -> None:
        super().__init__(Verdict.NOT_RUN, detail)
        self.refused = refused


class ConnectionEndedError(CallError):
    """Raised if the connection ends before the answer is complete."""

    def __init__(self, detail: str) -> None:
        super().__init__(Verdict.MAY_HAVE_RUN, detail)


class TooLargeError(CallError):
    """Raised if an answer exceeds MAX_ANSWER_BYTES, which is no sign of an unhealthy server."""

    def __init__(self, detail: str) -> None:
        super().__init__(Verdict.MAY_HAVE_RUN, detail)


class Client:
    """Client of one address; each connection carries one request at a time."""

    __slots__ = ("_host", "_idle", "_port", "address")

    def __init__(self, address: str) -> None:
        self.address = address
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[_Connection] = []

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        timeout: float = 1.0,
        total_timeout: float = 0.0,
    ) -> Answer:
        """
        Send one request and return its answer, which must be complete within ``timeout`` seconds.

        While parts of the answer keep arriving at most ``timeout`` seconds apart, the limit is
        extended up to ``total_timeout`` seconds.

        Raises
        ------
        CallError
            If no complete answer arrives.
        """
        request = _encode(method, path, self.address, body, headers)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        connection = await self._connect(min(timeout, CONNECT_TIMEOUT_S))
        waiter = connection.send(request)
        try:
            answer = await _await_answer(connection, waiter, deadline, timeout, total_timeout)
        except TimeoutError as error:
            connection.abort()
            # Idle connections to an address usually go silent together, without a reset, and each
            # of them would make another call time out.
            self.close()
            detail = f"{self.address} {method} {path}: no answer in {timeout} s"
            raise CallError(Verdict.MAY_HAVE_RUN, detail) from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        if connection.reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.abort()
        return answer

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def _connect(self, timeout: float) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
        loop = asyncio.get_running_loop()
        opening = asyncio.ensure_future(loop.create_connection(_Connection, self._host, self._port))
        try:
            _, connection = await _wait_until(opening, loop.time() + timeout, timeout)
        except (OSError, TimeoutError) as error:
            _cancel_opening(opening)
            detail = f"{self.address} can't be reached: {error or 'time-out'}"
            raise UnreachableError(detail, isinstance(error, ConnectionRefusedError)) from error
        except asyncio.CancelledError:
            _cancel_opening(opening)
            raise
        return connection


class _Connection(asyncio.Protocol):
    """A connection for one request at a time; unexpected data closes it."""

    def __init__(self) -> None:
        self.reusable = True
        self.received_at = 0.0  # the loop's time when the latest data arrived
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[Answer] | None = None
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = 0

    def send(self, request: bytes) -> asyncio.Future[Answer]:
        """Send one request and return the future of its answer."""
        self._waiter = asyncio.get_running_loop().create_future()
        assert self._transport is not None
        self._transport.write(request)
        return self._waiter

    def abort(self) -> None:
        """Close the connection at once, dropping any request in flight."""
        self.reusable = False
        self._waiter = None
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        self._size += len(data)
        self.received_at = asyncio.get_running_loop().time()
        if self._waiter is None:
            self._fail("answer without a request")
            return
        if self._size > MAX_ANSWER_BYTES:
            self._end(TooLargeError(f"answer of more than {MAX_ANSWER_BYTES} bytes"))
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"answer is not HTTP: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        # Part of the request may have reached the server before the connection ended, even if an
        # idle connection was closed while the request was being written.
        self._end(ConnectionEndedError(f"connection ended: {error or 'closed'}"))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        answer = Answer(self._parser.get_status_code(), self._headers, b"".join(self._body))
        waiter = self._waiter
        self._waiter = None
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._reset()
        if waiter is not None and not waiter.done():
            waiter.set_result(answer)

    def _fail(self, detail: str) -> None:
        self._end(CallError(Verdict.MAY_HAVE_RUN, detail))

    def _end(self, error: CallError) -> None:
        self.reusable = False
        waiter = self._waiter
        self._waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
        if self._transport is not None:
            self._transport.abort()


async def _await_answer(
    connection: _Connection,
    waiter: asyncio.Future[Answer],
    deadline: float,
    timeout: float,
    total_timeout: float,
) -> Answer:
    latest = deadline - timeout + total_timeout
    while True:
        try:
            return await _wait_until(waiter, deadline, timeout)
        except TimeoutError:
            # Giving up an answer that saturates the link only leads to a request for it again.
            following = min(connection.received_at + timeout, latest)
            if following <= deadline:
                raise
            deadline = following


def _cancel_opening(opening: asyncio.Task[tuple[asyncio.Transport, _Connection]]) -> None:
    """Cancel the opening of a connection, or close the connection if it has just opened."""
    if not opening.cancel() and not opening.cancelled() and opening.exception() is None:
        opening.result()[1].abort()


async def _wait_until(waiter: asyncio.Future[T], deadline: float, max_extension: float) -> T:
    """
    Return the result of ``waiter`` if it is done by ``deadline``, in the loop's time.

    A process that was busy or suspended finds an expired timeout and the data that arrived in the
    meantime at the same moment.  If the timeout fires late, the deadline is therefore extended by
    that lateness, at most by ``max_extension``.  Otherwise answers that have arrived would be
    dropped, and with them the task outcomes that they report.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout_at(deadline):
            return await asyncio.shield(waiter)
    except TimeoutError:
        lateness = loop.time() - deadline
        if lateness < LATENESS_THRESHOLD_S and not waiter.done():
            raise
    async with asyncio.timeout_at(loop.time() + min(lateness, max_extension)):
        return await asyncio.shield(waiter)


def _encode(
    method: str, path: str, host: str, body: bytes, headers: tuple[tuple[str, str], ...]
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append("Content-Type: application/json")
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
