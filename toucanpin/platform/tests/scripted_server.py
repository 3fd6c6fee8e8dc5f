"""A server on a loopback socket that sends scripted bytes and can end connections early."""

from __future__ import annotations

import socket
import struct
import threading
from dataclasses import dataclass

__all__ = ["Reply", "ScriptedServer", "find_closed_port"]

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Reply:
    """
    Bytes to send in answer to a request, and what to do with the connection afterwards.

    ``then`` is "keep", "close", "reset" or "hang".  The request is read first unless ``unread``.
    """

    sent: bytes = b""
    then: str = "close"
    unread: bool = False


class ScriptedServer:
    """Serve one connection at a time, with one reply per request."""

    def __init__(self, *replies: Reply) -> None:
        self.requests: list[bytes] = []
        self._replies = list(replies)
        self._closing = threading.Event()
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._socket.getsockname()[1]
        self.url = f"http://127.0.0.1:{self.port}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop the server and close its connections."""
        self._closing.set()
        self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        self._thread.join()

    def _serve(self) -> None:
        connections = []
        while self._replies:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                break
            connections.append(connection)
            self._serve_connection(connection)
        self._closing.wait()
        for connection in connections:
            connection.close()

    def _serve_connection(self, connection: socket.socket) -> None:
        while self._replies:
            reply = self._replies[0]
            if reply.unread:
                # Wait for the first byte: a reset while the client still connects is another
                # case, in which nothing was sent.
                connection.recv(1, socket.MSG_PEEK)
            elif not self._read_request(connection):
                return
            self._replies.pop(0)
            connection.sendall(reply.sent)
            if reply.then == "reset":
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            if reply.then in ("close", "reset"):
                connection.close()
            if reply.then != "keep":
                return

    def _read_request(self, connection: socket.socket) -> bool:
        received = b""
        while b"\r\n\r\n" not in received:
            part = connection.recv(65_536)
            if not part:
                return False
            received += part
        head, _, body = received.partition(b"\r\n\r\n")
        lengths = [it for it in head.lower().split(b"\r\n") if it.startswith(b"content-length:")]
        length = int(lengths[0].split(b":")[1]) if lengths else 0
        while len(body) < length:
            body += connection.recv(65_536)
        self.requests.append(head + b"\r\n\r\n" + body)
        return True


def find_closed_port() -> int:
    """Return a port on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port: int = probe.getsockname()[1]
        return port
