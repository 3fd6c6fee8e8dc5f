"""
Server for operators
====================

A server, with TLS if a certificate is set, whose threads only handle connections on which a request
head is complete.
"""

from __future__ import annotations

import contextlib
import enum
import socket
import ssl
import time
from typing import Any

import logbook
from cheroot.makefile import MakeFile
from cheroot.ssl.builtin import BuiltinSSLAdapter

from toucanpin.daemon.deadline_socket import DeadlineSslSocket
from toucanpin.daemon.parking_server import ParkingConnection, ParkingServer

__all__ = ["DeferredHandshakeAdapter", "OperatorsServer"]

HANDSHAKE_TIMEOUT_S = 10.0
MAX_DISCARDED_BYTES = 1 << 16
PLAIN_HTTP_REASON = "HTTP_REQUEST"
PLAIN_HTTP_BODY = (
    b"The client sent a plain HTTP request, but this server only speaks HTTPS on this port.\n"
)
PLAIN_HTTP_RESPONSE = (
    b"HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nConnection: close\r\n"
    b"Content-Length: %d\r\n\r\n%b" % (len(PLAIN_HTTP_BODY), PLAIN_HTTP_BODY)
)

log = logbook.Logger("toucanpin.operators")


class ConnectionState(enum.Enum):
    """State of a connection."""

    WAITING = enum.auto()
    READY = enum.auto()
    FAILED = enum.auto()


class DeferredHandshakeAdapter(BuiltinSSLAdapter):
    """TLS adapter that does not wait for the handshake when a connection is accepted."""

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, dict[str, Any]]:
        """Wrap a socket without starting the handshake."""
        # cheroot does the handshake on the accepting thread: one silent peer blocked all new
        # connections for as long as the server's timeout.
        self.context.sslsocket_class = DeadlineSslSocket
        wrapped = self.context.wrap_socket(sock, server_side=True, do_handshake_on_connect=False)
        return wrapped, {}


class OperatorsConnection(ParkingConnection):
    """Connection of one operator."""

    ssl_env: dict[str, Any]

    def __init__(self, http_server: Any, sock: socket.socket, makefile: Any = MakeFile) -> None:
        super().__init__(http_server, sock, makefile)
        self._deadline = time.monotonic() + HANDSHAKE_TIMEOUT_S
        self._handshake_done = not isinstance(sock, ssl.SSLSocket)
        self._registered = False

    def advance(self, adapter: DeferredHandshakeAdapter | None) -> ConnectionState:
        """Advance the handshake as far as the received bytes allow, and return the state."""
        if self._handshake_done or adapter is None:
            return ConnectionState.READY
        if not self._registered:
            self._registered = True
            return ConnectionState.WAITING
        state = self._continue_handshake()
        if state is ConnectionState.READY:
            self._handshake_done = True
            self.ssl_env = adapter.get_environ(self.socket)
        return state

    def _continue_handshake(self) -> ConnectionState:
        """Continue the handshake without blocking."""
        if time.monotonic() > self._deadline:
            return ConnectionState.FAILED
        self.socket.settimeout(0.0)
        try:
            self.socket.do_handshake()
        except ssl.SSLWantReadError:
            return ConnectionState.WAITING
        except (OSError, ValueError) as error:
            log.debug("handshake with {} failed: {}", self.remote_addr, error)
            if getattr(error, "reason", "") == PLAIN_HTTP_REASON:
                self._respond_in_plain_http()
            return ConnectionState.FAILED
        return ConnectionState.READY

    def _respond_in_plain_http(self) -> None:
        """Send an error in plain HTTP to a peer that doesn't speak TLS."""
        with contextlib.suppress(OSError):
            raw = socket.socket(fileno=self.socket.detach())
            self.socket = raw
            raw.settimeout(0.0)
            raw.send(PLAIN_HTTP_RESPONSE)
            raw.shutdown(socket.SHUT_WR)
            # With unread input the kernel resets the connection, and the response may be lost.
            raw.recv(MAX_DISCARDED_BYTES)


class OperatorsServer(ParkingServer):
    """Server that passes a connection to a thread once its handshake and a head are complete."""

    ConnectionClass = OperatorsConnection
    max_connections = 256
    max_parked = 256
    descriptors_share = 1 / 8
    max_request_header_size = 16_384
    max_request_body_size = 2_097_152

    def process_conn(self, conn: Any) -> None:
        """Continue the handshake; then wait for a head, and queue the connection for a thread."""
        if not self.admit(conn):
            return
        match conn.advance(self.ssl_adapter):
            case ConnectionState.READY:
                super().process_conn(conn)
            case ConnectionState.WAITING:
                self.put_conn(conn)
            case _:
                conn.close()
