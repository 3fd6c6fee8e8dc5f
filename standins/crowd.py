"""
Crowd
=====

Clients on loopback connections that send what they are told, read nothing and stay.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable

__all__ = ["Crowd"]

CONNECT_TIMEOUT_S = 5.0
SEND_TIMEOUT_S = 10.0  # without progress, after which a client stops to send
PIECE_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 8_192  # of the kernel, so that unread answers stay at the server


class Crowd:
    """
    Clients of one address, which may be closed by the server at any time.

    They connect from the loopback address ``source``, if it is given.
    """

    __slots__ = ("_host", "_port", "_source", "sockets")

    def __init__(self, address: str, source: str = "") -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._source = source
        self.sockets: list[socket.socket] = []

    async def send(self, inputs: Iterable[bytes]) -> None:
        """Open a connection for each input, and send it unless the server ends the connection."""
        await asyncio.gather(*(self._send(data) for data in inputs))

    async def count_open(self) -> int:
        """Return how many connections the server doesn't end in time."""
        await asyncio.gather(*(self.read(client) for client in range(len(self.sockets))))
        return sum(not _is_ended(client) for client in self.sockets)

    async def read(self, client: int, timeout: float = SEND_TIMEOUT_S) -> bytes:
        """Return what a client receives until the server ends its connection."""
        parts = []
        try:
            async with asyncio.timeout(timeout):
                while part := await self._loop.sock_recv(self.sockets[client], PIECE_BYTES):
                    parts.append(part)
        except (OSError, TimeoutError):
            pass
        return b"".join(parts)

    async def send_more(self, client: int, data: bytes) -> bool:
        """Send more on a client's connection; return whether it was taken."""
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await self._loop.sock_sendall(self.sockets[client], data)
        except (OSError, TimeoutError):
            return False
        return True

    def close(self) -> None:
        """Close all connections."""
        for client in self.sockets:
            client.close()
        self.sockets.clear()

    @property
    def _loop(self) -> asyncio.AbstractEventLoop:
        return asyncio.get_running_loop()

    async def _send(self, data: bytes) -> None:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client.setblocking(False)
        if self._source:
            client.bind((self._source, 0))
        self.sockets.append(client)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.sock_connect(client, (self._host, self._port))
            for start in range(0, len(data), PIECE_BYTES):
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await self._loop.sock_sendall(client, data[start : start + PIECE_BYTES])
        except (OSError, TimeoutError):
            # The server has closed the connection, or lets the client wait.
            return


def _is_ended(client: socket.socket) -> bool:
    try:
        return client.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
