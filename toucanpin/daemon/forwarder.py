"""
Forwarder
=========

Send one attempt of a request to one instance over urllib3's connections.  The outcome
states whether the attempt ended before its first byte was sent, after that, or with an answer.
"""

from __future__ import annotations

import http.client
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from toucanpin.daemon.deadline_socket import DeadlineSocket, wrap_socket
from toucanpin.daemon.upstream_answer import InstanceAnswer
from toucanpin.requests.messages import (
    CallerFailed,
    Interrupted,
    Refused,
    Responded,
    Response,
    TimedOut,
)
from toucanpin.verdict import Refusal

__all__ = ["CallerFaultError", "Exchange", "Forwarder", "OutgoingRequest", "TruncatedAnswerError"]

CONNECT_TIMEOUT_S = 0.5
MAX_BUFFERED_BYTES = 65_536  # of a body; what follows is streamed
READ_SIZE_BYTES = 65_536
STREAM_READ_TIMEOUT_S = 10.0  # for each piece of a streamed answer
MAX_FRESH_IDLE_S = 1.0  # for requests that need a fresh connection
MAX_IDLE_S = 20.0
LAST_CHUNK = b"0\r\n\r\n"
ForwardOutcome = Refused | Interrupted | TimedOut | Responded | CallerFailed


class CallerFaultError(Exception):
    """Raised if a caller's request is invalid or its body can't be read; carries the refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class TruncatedAnswerError(Exception):
    """Raised if the answer of an instance ends early while it is being streamed."""


class OutgoingRequest(msgspec.Struct, frozen=True):
    """
    Request as it is sent to an instance.

    ``headers`` are all headers except for the deadline.  ``remaining_body`` returns an iterator
    over the part that follows ``body``; None if ``body`` is complete.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining_body: Callable[[], Iterator[bytes]] | None = None
    chunked: bool = False


class _Connection(HTTPConnection):
    """Connection that records whether anything was written, with one deadline per exchange."""

    response_class = InstanceAnswer
    written = False
    used = False
    idle_since = 0.0
    deadline = 0.0
    deadline_sock: DeadlineSocket
    buffered_head: list[bytes] | None = None

    def _new_conn(self) -> socket.socket:
        self.deadline_sock = wrap_socket(super()._new_conn(), self.deadline)
        return self.deadline_sock

    def begin_exchange(self, deadline: float) -> None:
        """Prepare for an exchange that must end by the deadline."""
        self.written = False
        self.buffered_head = []
        self.deadline = deadline
        if self.sock is not None:
            self.deadline_sock.deadline = deadline

    def send(self, data: Any) -> None:
        """Write to the instance; once anything was written, the request may run."""
        if self.sock is None:
            # http.client would open another connection here, in the middle of a request.
            raise http.client.NotConnected()
        if self.buffered_head is not None:
            self.buffered_head.append(data)
            return
        self.written = True
        self.deadline_sock.sendall(data)

    def flush_head(self, body: bytes) -> None:
        """Send the buffered head and the first part of the body in one write."""
        head, self.buffered_head = self.buffered_head or [], None
        self.send(b"".join((*head, body)))

    def read_head(self) -> InstanceAnswer:
        """Read the head of the answer, without the wrapper that urllib3 puts around it."""
        answer = http.client.HTTPConnection.getresponse(self)
        assert isinstance(answer, InstanceAnswer)
        return answer


class Exchange(msgspec.Struct, frozen=True, eq=False):
    """Attempt whose request was sent and whose answer has not been read yet."""

    forwarder: Forwarder
    connection: _Connection
    reused: bool

    @property
    def socket(self) -> socket.socket:
        """Socket that becomes readable when the answer begins or the connection ends."""
        return self.connection.deadline_sock

    @property
    def deadline(self) -> float:
        """Instant by which the answer must have arrived, in seconds of the monotonic clock."""
        return self.connection.deadline


class Forwarder:
    """
    Connections to one instance, over which attempts are made.

    Parameters
    ----------
    address, port : IP address and port of the instance
    clock : monotonic clock in seconds
    """

    def __init__(
        self, address: str, port: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.address = address
        self.port = port
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: list[_Connection] = []
        self._open = 0
        self.limit = 1

    @property
    def open_connections(self) -> int:
        """Number of open connections to the instance, both in use and idle."""
        return self._open

    def forward(self, outgoing: OutgoingRequest, deadline: float, fresh: bool) -> ForwardOutcome:
        """Make one attempt; ``fresh`` forbids connections that were idle for long."""
        exchange = self.begin(outgoing, deadline, fresh)
        return self.finish(exchange) if isinstance(exchange, Exchange) else exchange

    def begin(
        self, outgoing: OutgoingRequest, deadline: float, fresh: bool
    ) -> Exchange | Refused | Interrupted | TimedOut | CallerFailed:
        """Send the request; a returned exchange must be passed to ``finish`` or ``cancel``."""
        try:
            connection = self._checkout(deadline, fresh)
        except (OSError, HTTPError) as error:
            return Refused(self._clock(), f"no connection to the instance: {_describe(error)}")
        if connection is None:
            return Refused(self._clock(), "every connection allowed to the instance is in use")
        exchange = Exchange(self, connection, connection.used)
        try:
            self._send(connection, outgoing, deadline)
        except BaseException as error:
            return self._classify_failure(exchange, error)
        return exchange

    def finish(self, exchange: Exchange) -> ForwardOutcome:
        """Read the head of the answer and the first part of its body."""
        started = False
        try:
            head = exchange.connection.read_head()
            started = True
            return self._receive(exchange.connection, head)
        except BaseException as error:
            return self._classify_failure(exchange, error, started)

    def cancel(self, exchange: Exchange) -> None:
        """Close the connection, so that a late answer is lost with it."""
        self._discard(exchange.connection)

    def _classify_failure(
        self, exchange: Exchange, error: BaseException, started: bool = False
    ) -> Refused | Interrupted | TimedOut | CallerFailed:
        """Close the connection and return the outcome of a failed attempt."""
        connection = exchange.connection
        # If the connection were reused, a late answer would reach the next caller.
        self._discard(connection)
        match error:
            case CallerFaultError():
                return CallerFailed(self._clock(), error.refusal)
            case TimeoutError():
                return TimedOut(self._clock())
            case OSError() | HTTPError() | http.client.HTTPException() | ValueError():
                if not connection.written:
                    return Refused(self._clock(), f"nothing was sent: {_describe(error)}")
                stale = exchange.reused and not started
                return Interrupted(
                    self._clock(), f"the instance broke off: {_describe(error)}", stale
                )
        raise error

    def close_idle(self, include_recent: bool = False) -> None:
        """Close idle connections: old ones, those above the limit, and recent ones on request."""
        now = self._clock()
        with self._lock:
            old = [c for c in self._idle if include_recent or c.idle_since + MAX_IDLE_S < now]
            excess = max(0, self._open - len(old) - self.limit)
            recent = [connection for connection in self._idle if connection not in old]
            old += recent[:excess]
            self._idle = recent[excess:]
            self._open -= len(old)
        for connection in old:
            connection.close()

    def _checkout(self, deadline: float, fresh: bool) -> _Connection | None:
        now = self._clock()
        oldest = now - (MAX_FRESH_IDLE_S if fresh else MAX_IDLE_S)
        while (connection := self._pop_idle()) is not None:
            # A readable idle connection was closed by its peer or holds unsolicited data; neither
            # may carry a request.
            if connection.idle_since >= oldest and connection.is_connected:
                connection.begin_exchange(deadline)
                return connection
            self._discard(connection)
        with self._lock:
            if self._open >= self.limit:
                return None
            self._open += 1
        connection = _Connection(
            self.address, self.port, timeout=max(0.001, min(CONNECT_TIMEOUT_S, deadline - now))
        )
        connection.begin_exchange(deadline)
        try:
            connection.connect()
        except BaseException:
            self._discard(connection)
            raise
        return connection

    def _pop_idle(self) -> _Connection | None:
        with self._lock:
            return self._idle.pop() if self._idle else None

    def _discard(self, connection: _Connection) -> None:
        with self._lock:
            self._open -= 1
        connection.close()

    def _checkin(self, connection: _Connection) -> None:
        connection.used = True
        connection.idle_since = self._clock()
        with self._lock:
            if self._open <= self.limit:
                self._idle.append(connection)
                return
        self._discard(connection)

    def _send(self, connection: _Connection, outgoing: OutgoingRequest, deadline: float) -> None:
        remaining = max(1, int((deadline - self._clock()) * 1_000))
        connection.putrequest(
            outgoing.method, outgoing.target, skip_host=True, skip_accept_encoding=True
        )
        for name, value in outgoing.headers:
            connection.putheader(name, value)
        connection.putheader("Toucanpin-Deadline-Ms", str(remaining))
        connection.endheaders()
        connection.flush_head(_frame(outgoing.body) if outgoing.chunked else outgoing.body)
        if outgoing.remaining_body is not None:
            for piece in outgoing.remaining_body():
                connection.send(_frame(piece) if outgoing.chunked else piece)
        if outgoing.chunked:
            connection.send(LAST_CHUNK)

    def _receive(self, connection: _Connection, head: InstanceAnswer) -> Responded:
        body = head.read(MAX_BUFFERED_BYTES)
        complete = head.isclosed() and not head.length
        if not complete and len(body) < MAX_BUFFERED_BYTES:
            raise http.client.IncompleteRead(body)
        headers = head.select_headers()
        verdict = head.headers_by_name.get("toucanpin-verdict", "")
        not_run = complete and head.status == 503 and verdict == "not-run"
        draining = not_run and head.headers_by_name.get("toucanpin-reason", "") == "draining"
        remaining_body = None
        if complete:
            self._release(connection, head.will_close)
        else:
            remaining_body = self._stream(connection, head)
        response = Response(
            head.status, head.reason, headers, body, remaining_body, not_run, draining
        )
        return Responded(self._clock(), response)

    def _release(self, connection: _Connection, will_close: bool) -> None:
        if will_close:
            self._discard(connection)
        else:
            self._checkin(connection)

    def _stream(self, connection: _Connection, head: InstanceAnswer) -> Iterator[bytes]:
        """Yield the remaining body of an answer; raise TruncatedAnswerError if it ends early."""
        finished = False
        try:
            while not head.isclosed():
                connection.deadline_sock.deadline = time.monotonic() + STREAM_READ_TIMEOUT_S
                piece = head.read1(READ_SIZE_BYTES)
                if not piece:
                    break
                yield piece
            if head.length:
                raise TruncatedAnswerError("the answer is shorter than its Content-Length")
            finished = True
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise TruncatedAnswerError(f"the instance broke off: {_describe(error)}") from error
        finally:
            head.close()
            if finished:
                self._release(connection, head.will_close)
            else:
                self._discard(connection)


def _frame(piece: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(piece), piece) if piece else b""


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
