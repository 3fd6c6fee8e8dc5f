"""
HTTP server that parks connections
==================================

A cheroot server whose threads only handle connections on which a complete request head has arrived,
with bounds on connections and on the time that a head and a body may take.
"""

from __future__ import annotations

import collections
import contextlib
import resource
import socket
import ssl
import threading
import time
from typing import Any

import logbook
from cheroot import server, wsgi
from cheroot.makefile import MakeFile

from toucanpin.daemon.caller_reader import CallerReader
from toucanpin.daemon.deadline_socket import wrap_socket

__all__ = ["ParkingConnection", "ParkingServer", "TimedRequest"]

HEAD_TIMEOUT_S = 5.0
BODY_TIMEOUT_S = 30.0
PARKED_CHECK_PERIOD_S = 0.02
EXPIRATION_PERIOD_S = 0.1
MAX_UNREAD_BYTES = 1 << 16
MIN_CONNECTIONS = 8
TRACEBACK_PERIOD_S = 1.0  # between tracebacks in the log

_log = logbook.Logger("toucanpin.http")


class TimedRequest(server.HTTPRequest):
    """Request whose head and body each have to arrive in time."""

    conn: Any

    def parse_request(self) -> None:
        """Parse the head within its timeout, then set the timeout for the body."""
        self.conn.socket.deadline = time.monotonic() + HEAD_TIMEOUT_S
        super().parse_request()
        self.conn.socket.deadline = time.monotonic() + BODY_TIMEOUT_S


class ParkingConnection(server.HTTPConnection):
    """Connection of one client, with a deadline on every operation."""

    RequestHandlerClass = TimedRequest
    rfile: Any
    socket: Any

    def __init__(self, owner: Any, sock: socket.socket, makefile: Any = MakeFile) -> None:
        deadline = time.monotonic() + HEAD_TIMEOUT_S
        timed: Any = sock if isinstance(sock, ssl.SSLSocket) else wrap_socket(sock, deadline)
        super().__init__(owner, timed, makefile)
        self.rfile = CallerReader(timed)
        self.parked_since: float | None = None
        self.deferred = False
        self.admitted = False

    def has_head(self, limit: int) -> bool:
        """Return whether a thread can read a complete head, or the error, without blocking."""
        return self.rfile.receive_head(limit)

    def close(self) -> None:
        """Close after reading the data that has arrived meanwhile."""
        # Closing with unread input makes the kernel reset the connection, and the client may lose
        # the refusal that was just written.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.settimeout(0)
            self.socket.recv(MAX_UNREAD_BYTES)
        super().close()
        self.server.forget(self)


class ParkingServer(wsgi.Server):
    """
    Server that passes a connection to a thread only once a complete request head has arrived.

    Above ``max_connections``, or ``descriptors_share`` of the process's descriptors, a new
    connection takes the place of the one that is idle for longest, then of the one whose head takes
    longest.
    """

    ConnectionClass: type[ParkingConnection] = ParkingConnection
    expiration_interval = EXPIRATION_PERIOD_S
    max_connections = 1_024
    max_parked = 1_024
    descriptors_share = 1 / 2

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.keep_alive_conn_limit = self.max_connections
        self._open: set[ParkingConnection] = set()
        self._idle: dict[ParkingConnection, None] = {}  # in the order in which they became idle
        self._lock = threading.Lock()
        self._parked: collections.deque[ParkingConnection] = collections.deque()
        self._parked_thread = threading.Thread(
            target=self._check_parked, name="parked", daemon=True
        )
        self._closing = threading.Event()
        self._has_parked = threading.Event()
        self._traceback_at = 0.0

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
        if not self.admit(conn):
            return
        if conn.has_head(self.max_request_header_size):
            self._process_head(conn)
            return
        if not conn.deferred:
            conn.deferred = True
            self.put_conn(conn)
            return
        conn.parked_since = time.monotonic()
        self._parked.append(conn)
        self._has_parked.set()
        if len(self._parked) > self.max_parked:
            self._refuse_oldest()

    def put_conn(self, conn: Any) -> None:
        """Wait for a request on a connection."""
        with self._lock:
            self._idle[conn] = None
        super().put_conn(conn)

    def admit(self, conn: Any) -> bool:
        """Return whether a connection may stay; a new one may have to be closed."""
        with self._lock:
            self._idle.pop(conn, None)
            if conn.admitted:
                return True
            full = len(self._open) >= self._count_allowed()
            replaced = next(iter(self._idle), None) if full else None
            if replaced is not None:
                del self._idle[replaced]
        if full and replaced is None and not self._refuse_oldest():
            conn.close()
            return False
        if replaced is not None:
            # The selector reports the end of its input, and the connection is closed.
            with contextlib.suppress(OSError):
                replaced.socket.shutdown(socket.SHUT_RDWR)
        with self._lock:
            conn.admitted = True
            self._open.add(conn)
        return True

    def forget(self, conn: ParkingConnection) -> None:
        """Count a closed connection no more."""
        with self._lock:
            self._open.discard(conn)
            self._idle.pop(conn, None)

    def _count_allowed(self) -> int:
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if descriptors == resource.RLIM_INFINITY:
            return self.max_connections
        allowed = int(self.descriptors_share * descriptors)
        return max(MIN_CONNECTIONS, min(self.max_connections, allowed))

    def _process_head(self, conn: ParkingConnection) -> None:
        if conn.rfile.ended and not conn.rfile.has_data():
            conn.close()
        else:
            super().process_conn(conn)

    def _check_parked(self) -> None:
        # If threads read the heads themselves, a few hundred clients that send theirs slowly would
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
                    self._process_head(conn)
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

    def _refuse_oldest(self) -> bool:
        """Refuse the connection whose head takes longest; return whether there is one."""
        try:
            self._refuse_timed_out(self._parked.popleft())
        except IndexError:
            return False
        return True

    def _refuse_timed_out(self, conn: ParkingConnection) -> None:
        request = conn.RequestHandlerClass(self, conn)
        conn.socket.deadline = time.monotonic() + PARKED_CHECK_PERIOD_S
        with contextlib.suppress(OSError):
            request.simple_response("408 Request Timeout", "the request's head took too long")
        conn.close()

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log a message of cheroot, and some of its tracebacks: each failed accept has one."""
        now = time.monotonic()
        if traceback and now - self._traceback_at > TRACEBACK_PERIOD_S:
            self._traceback_at = now
            _log.warning("{}", msg, exc_info=True)
        else:
            _log.debug("{}", msg)
