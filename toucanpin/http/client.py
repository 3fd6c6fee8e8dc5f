"""
HTTP client
===========

Call one address over kept connections, and say of each failure whether the request may have run.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import TypeVar

import httptools

from toucanpin.exception import ToucanpinError
from toucanpin.verdict import Verdict

__all__ = ["Answer", "CallError", "Client", "TooLargeError"]

CONNECT_TIMEOUT = (
    0.6  # s: one lost opening packet is sent again after 1 s, a dead host never answers
)
MAX_ANSWER_BYTES = 4_194_304  # bytes: four times the platform's largest page
MAX_IDLE = 8  # kept connections to one address
LATE = 0.05  # s by which time-outs come late in a process that was busy or suspended
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold one whole answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class CallError(ToucanpinError):
    """Report a call without a usable answer; ``verdict`` says whether it may have had an effect."""

    def __init__(self, verdict: Verdict, detail: str, status: int = 0) -> None:
        super().__init__(detail)
        self.verdict = verdict
        self.status = status

    @property
    def certain(self) -> bool:
        """Tell whether the request certainly had no effect."""
        return self.verdict is Verdict.NOT_RUN


class TooLargeError(CallError):
    """Report an answer that is larger than any may be; the other side is well."""

    def __init__(self, detail: str) -> None:
        super().__init__(Verdict.MAY_HAVE_RUN, detail)


class Client:
    """Call one address; each connection carries one request at a time."""

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
        Send one request and wait at most ``timeout`` seconds for the whole answer.

        An answer of which a part came within the last ``timeout`` seconds is waited for longer,
        ``arriving`` seconds in all.

        Raises
        ------
        CallError
            If no whole answer came.
        """
        request = _encode(method, path, self.address, body, headers)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        connection = await self._connect(min(timeout, CONNECT_TIMEOUT))
        waiter = connection.send(request)
        try:
            answer = await _await_answer(connection, waiter, deadline, timeout, total_timeout)
        except TimeoutError as error:
            connection.abort()
            # Kept connections go silent together, without a reset.  Left, each would cost a call.
            self.close()
            detail = f"{self.address} {method} {path}: no answer in {timeout} s"
            raise CallError(Verdict.MAY_HAVE_RUN, detail) from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        if connection.reusable and len(self._idle) < MAX_IDLE:
            self._idle.append(connection)
        else:
            connection.abort()
        return answer

    def close(self) -> None:
        """Close the kept connections."""
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
            _drop(opening)
            detail = f"{self.address} can't be reached: {error or 'time-out'}"
            raise CallError(Verdict.NOT_RUN, detail) from error
        except asyncio.CancelledError:
            _drop(opening)
            raise
        return connection


class _Connection(asyncio.Protocol):
    """Carry requests one after another; anything unexpected ends the connection."""

    def __init__(self) -> None:
        self.reusable = True
        self.received_at = 0.0  # on the loop's clock, of the newest part of an answer
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[Answer] | None = None
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = 0

    def send(self, request: bytes) -> asyncio.Future[Answer]:
        """Write one request and return the future of its answer."""
        self._waiter = asyncio.get_running_loop().create_future()
        assert self._transport is not None
        self._transport.write(request)
        return self._waiter

    def abort(self) -> None:
        """Drop the connection with whatever is under way on it."""
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
            self._fail("an answer that nobody asked for")
            return
        if self._size > MAX_ANSWER_BYTES:
            self._end(TooLargeError(f"an answer of more than {MAX_ANSWER_BYTES} bytes"))
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"an answer that is no HTTP: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        self._fail(f"connection ended: {error or 'closed'}")

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
        # Bytes of the request may have reached the other side before the connection ended, also
        # on a kept connection that was closed as the request was written.
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
            # Whoever gives up an answer that fills its link asks for the same again.
            following = min(connection.received_at + timeout, latest)
            if following <= deadline:
                raise
            deadline = following


def _drop(opening: asyncio.Task[tuple[asyncio.Transport, _Connection]]) -> None:
    """Give up a connection that is being opened, or that was opened at this moment."""
    if not opening.cancel() and not opening.cancelled() and opening.exception() is None:
        opening.result()[1].abort()


async def _wait_until(waiter: asyncio.Future[T], deadline: float, longest: float) -> T:
    """
    Return a result that comes by a time of the loop's clock.

    A process that was busy or suspended finds what came meanwhile and its time-outs at the same
    moment.  Without some time more it would drop answers that are there, and the ends in them.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout_at(deadline):
            return await asyncio.shield(waiter)
    except TimeoutError:
        late = loop.time() - deadline
        if late < LATE and not waiter.done():
            raise
    async with asyncio.timeout_at(loop.time() + min(late, longest)):
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
