"""
Server for operators
====================

A cheroot server whose threads are only given connections on which a request has begun, with TLS if
a certificate is set.
"""

from __future__ import annotations

import contextlib
import enum
import socket
import ssl
import time
from typing import Any

import logbook
from cheroot import server, wsgi
from cheroot.makefile import MakeFile
from cheroot.ssl.builtin import BuiltinSSLAdapter

__all__ = ["DeferredHandshakeAdapter", "OperatorsServer"]

HANDSHAKE_SECONDS = 10.0
MAX_WAITING = 512
LEFTOVER_BYTES = 1 << 16
PLAIN_HTTP = "HTTP_REQUEST"
PLAIN_TEXT = (
    b"The client sent a plain HTTP request, but this server only speaks HTTPS on this port.\n"
)
PLAIN_ANSWER = (
    b"HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nConnection: close\r\n"
    b"Content-Length: %d\r\n\r\n%b" % (len(PLAIN_TEXT), PLAIN_TEXT)
)

log = logbook.Logger("toucanpin.operators")


class Progress(enum.Enum):
    """Say how far a connection is."""

    WAITING = enum.auto()
    BEGUN = enum.auto()
    FAILED = enum.auto()


class DeferredHandshakeAdapter(BuiltinSSLAdapter):
    """Wrap accepted sockets and leave the handshake for later."""

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, dict[str, Any]]:
        """Wrap a socket without waiting for its peer."""
        # cheroot shakes hands on the accepting thread: one peer that said nothing kept everybody
        # out for as long as the server's timeout.
        wrapped = self.context.wrap_socket(sock, server_side=True, do_handshake_on_connect=False)
        return wrapped, {}


class OperatorsConnection(server.HTTPConnection):
    """Serve one operator's connection."""

    rfile: Any
    socket: Any
    ssl_env: dict[str, Any]

    def __init__(self, owner: Any, sock: socket.socket, makefile: Any = MakeFile) -> None:
        super().__init__(owner, sock, makefile)
        self._deadline = time.monotonic() + HANDSHAKE_SECONDS
        self._shaken = not isinstance(sock, ssl.SSLSocket)
        self._seen = False

    def advance(self, adapter: DeferredHandshakeAdapter | None, timeout: float) -> Progress:
        """Go as far as is possible with the bytes that are there."""
        if not self._seen:
            self._seen = True
            return Progress.WAITING
        if self._shaken or adapter is None:
            return Progress.BEGUN
        progress = self._shake_hands()
        self.socket.settimeout(timeout)
        if progress is Progress.BEGUN:
            self._shaken = True
            self.ssl_env = adapter.get_environ(self.socket)
            # The selector sees only bytes that TLS hasn't taken from the kernel yet.
            return Progress.BEGUN if self.socket.pending() else Progress.WAITING
        return progress

    def _shake_hands(self) -> Progress:
        """Do what can be done of the handshake without waiting."""
        if time.monotonic() > self._deadline:
            return Progress.FAILED
        self.socket.settimeout(0.0)
        try:
            self.socket.do_handshake()
        except ssl.SSLWantReadError:
            return Progress.WAITING
        except (OSError, ValueError) as error:
            log.debug("handshake with {} failed: {}", self.remote_addr, error)
            if getattr(error, "reason", "") == PLAIN_HTTP:
                self._answer_plain()
            return Progress.FAILED
        return Progress.BEGUN

    def _answer_plain(self) -> None:
        """Tell a peer that speaks plain HTTP, beneath TLS, what this port speaks."""
        with contextlib.suppress(OSError):
            raw = socket.socket(fileno=self.socket.detach())
            self.socket = raw
            raw.settimeout(0.0)
            raw.send(PLAIN_ANSWER)
            raw.shutdown(socket.SHUT_WR)
            # Unread input makes the kernel reset the connection, and the answer may be lost.
            raw.recv(LEFTOVER_BYTES)


class OperatorsServer(wsgi.Server):
    """Hand a connection to a thread once its handshake is done and its request has begun."""

    ConnectionClass = OperatorsConnection
    keep_alive_conn_limit = MAX_WAITING

    def process_conn(self, conn: Any) -> None:
        """Queue a connection for a thread, or leave it to the selector."""
        match conn.advance(self.ssl_adapter, self.timeout):
            case Progress.BEGUN:
                super().process_conn(conn)
            case Progress.WAITING if self.can_add_keepalive_connection:
                self.put_conn(conn)
            case _:
                conn.close()

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log what cheroot reports."""
        if traceback:
            log.warning("{}", msg, exc_info=True)
        else:
            log.debug("{}", msg)
