"""
HTTP server for callers
=======================

A cheroot server that parses input strictly and refuses in JSON.  A caller occupies a thread only
once its complete request head has arrived.
"""

from __future__ import annotations

import collections
import contextlib
import math
import re
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

import logbook
import msgspec
from cheroot import server, wsgi
from cheroot.makefile import MakeFile

from toucanpin.daemon.caller_input import ChunkedBody, read_headers
from toucanpin.daemon.caller_reader import CallerReader
from toucanpin.daemon.deadline_socket import wrap_socket
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["CallerRequest", "CallerServer", "encode_refusal"]

HEAD_TIMEOUT_S = 5.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 30
PARKED_CHECK_PERIOD_S = 0.02
EXPIRATION_PERIOD_S = 0.1
MAX_PARKED_CONNECTIONS = 2_000
MAX_IDLE_CONNECTIONS = 2_000
MAX_UNREAD_BYTES = 1 << 16
TARGET_PATTERN = re.compile(rb"[!-~]+")
REASON_OF_STATUS = {
    400: Reason.BAD_REQUEST,
    408: Reason.DEADLINE,
    413: Reason.TOO_LARGE,
    414: Reason.TOO_LARGE,
    500: Reason.INTERNAL,
}

log = logbook.Logger("toucanpin.front")
_encode = msgspec.json.Encoder().encode


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the JSON body of a refusal."""
    body: dict[str, Any] = {
        "verdict": refusal.verdict.value,
        "reason": refusal.reason.value,
        "detail": refusal.detail,
    }
    if refusal.retry_after is not None:
        body["retry_after"] = round(refusal.retry_after, 3)
    return _encode(body)


class CallerRequest(server.HTTPRequest):
    """Request that is parsed strictly; a malformed one is refused in JSON."""

    rfile: Any
    server: Any
    conn: Any

    def read_request_headers(self) -> bool:
        """Read the headers, refuse ambiguous ones, then let cheroot process them."""
        if TARGET_PATTERN.fullmatch(self.uri) is None:
            self.simple_response("400 Bad Request", "the target has characters not accepted")
            return False
        self.header_reader = self._read_strictly
        return super().read_request_headers()

    def _read_strictly(self, rfile: Any, into: dict[bytes, bytes]) -> dict[bytes, bytes]:
        into.update(read_headers(rfile, self.request_protocol, self.method))
        return into

    def parse_request(self) -> None:
        """Parse the head within its timeout, then set the timeout for the body."""
        self.conn.socket.deadline = time.monotonic() + HEAD_TIMEOUT_S
        super().parse_request()
        self.conn.socket.deadline = time.monotonic() + BODY_TIMEOUT_S

    def respond(self) -> None:
        """Call the gateway; close the connection unless the whole body was read."""
        limit = self.server.max_request_body_size
        if self.chunked_read:
            self.rfile = ChunkedBody(self.conn.rfile, limit)
        else:
            length = int(self.inheaders.get(b"Content-Length", 0))
            self.rfile = server.KnownLengthRFile(self.conn.rfile, length)
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")
        if not self.body_is_read:
            self.close_connection = True

    @property
    def body_is_read(self) -> bool:
        """Whether the whole body was read, so that the connection can be reused."""
        if self.chunked_read:
            return bool(self.rfile.closed)
        return self.rfile.remaining == 0

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Refuse a request, as not run unless ``status`` is 5xx, and close its connection."""
        self.close_connection = True
        code = int(str(status)[:3])
        reason = REASON_OF_STATUS.get(code, Reason.BAD_REQUEST)
        detail = msg or str(status)[4:]
        verdict = Verdict.MAY_HAVE_RUN if code >= 500 else Verdict.NOT_RUN
        body = encode_refusal(Refusal(verdict, reason, detail))
        head = (
            f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Toucanpin-Verdict: {verdict.value}\r\nToucanpin-Reason: {reason.value}\r\n\r\n"
        )
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head.encode("ascii") + body)
            self.conn.wfile.flush()


class CallerConnection(server.HTTPConnection):
    """Connection of one caller, with a deadline on every operation."""

    RequestHandlerClass = CallerRequest
    rfile: Any

    def __init__(self, owner: Any, sock: socket.socket, makefile: Any = MakeFile) -> None:
        timed = wrap_socket(sock, time.monotonic() + HEAD_TIMEOUT_S)
        super().__init__(owner, timed, makefile)
        self.rfile = CallerReader(timed)
        self.parked_since: float | None = None
        self.deferred = False

    def has_head(self, limit: int) -> bool:
        """Return whether a thread can read a complete head, or the error, without blocking."""
        return self.rfile.receive_head(limit)

    def close(self) -> None:
        """Close after reading the data that has arrived meanwhile."""
        # Closing with unread input makes the kernel reset the connection, and the caller may lose
        # the refusal that was just written.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.settimeout(0)
            self.socket.recv(MAX_UNREAD_BYTES)
        super().close()


class CallerServer(wsgi.Server):
    """Server that passes a connection to a thread only once a complete request head has arrived."""

    ConnectionClass = CallerConnection

    def __init__(
        self,
        address: tuple[str, int],
        gateway: Callable[[Any], Any],
        threads: int,
        max_header: int,
        max_body: int,
        grace: float,
    ) -> None:
        super().__init__(
            address,
            wsgi_app=None,
            numthreads=threads,
            request_queue_size=1024,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=math.ceil(grace),
        )
        self.gateway = gateway
        self.expiration_interval = EXPIRATION_PERIOD_S
        self.max_request_header_size = max_header
        self.max_request_body_size = max_body
        self.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._parked: collections.deque[CallerConnection] = collections.deque()
        self._parked_thread = threading.Thread(
            target=self._check_parked, name="parked", daemon=True
        )
        self._closing = threading.Event()
        self._has_parked = threading.Event()

    def prepare(self) -> None:
        """Bind, listen and start the threads."""
        super().prepare()
        self._parked_thread.start()

    def stop(self) -> None:
        """Stop accepting, finish the requests in flight and close."""
        self._closing.set()
        self._has_parked.set()
        super().stop()
        while self._parked:
            self._parked.popleft().close()

    def process_conn(self, conn: Any) -> None:
        """Queue a connection for a thread, or park it until its head is complete."""
        if conn.has_head(self.max_request_header_size):
            super().process_conn(conn)
            return
        if not conn.deferred:
            conn.deferred = True
            self.put_conn(conn)
            return
        conn.parked_since = time.monotonic()
        self._parked.append(conn)
        self._has_parked.set()
        if len(self._parked) > MAX_PARKED_CONNECTIONS:
            self._refuse_timed_out(self._parked.popleft())

    def _check_parked(self) -> None:
        # If threads read the heads themselves, a few hundred callers that send theirs slowly would
        # occupy all of them.
        while not self._closing.wait(PARKED_CHECK_PERIOD_S):
            if not self._parked:
                self._wait_for_parked()
            for _ in range(len(self._parked)):
                try:
                    conn = self._parked.popleft()
                except IndexError:
                    break
                if conn.has_head(self.max_request_header_size):
                    super().process_conn(conn)
                elif time.monotonic() - (conn.parked_since or 0.0) > HEAD_TIMEOUT_S:
                    self._refuse_timed_out(conn)
                else:
                    self._parked.append(conn)

    def _wait_for_parked(self) -> None:
        """Wait until a connection is parked."""
        self._has_parked.clear()
        # A connection parked just before the flag was cleared is seen here; later ones set it.
        if not self._parked and not self._closing.is_set():
            self._has_parked.wait()

    def _refuse_timed_out(self, conn: CallerConnection) -> None:
        request = CallerRequest(self, conn)
        conn.socket.deadline = time.monotonic() + PARKED_CHECK_PERIOD_S
        request.simple_response("408 Request Timeout", "the request's head took too long")
        conn.close()

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log a message of cheroot."""
        if traceback:
            log.warn("{}", msg, exc_info=True)
        else:
            log.debug("{}", msg)
