"""
Sockets with a deadline
=======================

A socket whose every operation ends by one instant, however slowly the peer sends byte after byte.
"""

from __future__ import annotations

import socket
import time
from typing import Any

__all__ = ["DeadlineSocket", "wrap_socket"]

NO_DEADLINE = float("inf")


class DeadlineSocket(socket.socket):
    """
    Limit the sum of all waits by ``deadline`` (monotonic seconds) in place of each wait.

    A plain timeout starts afresh with every byte, so a peer that trickles would hold its thread
    for as long as it likes.
    """

    __slots__ = ("deadline",)

    deadline: float

    def _set_timeout(self) -> None:
        if self.deadline == NO_DEADLINE:
            self.settimeout(None)
            return
        remaining = self.deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("timed out")
        self.settimeout(remaining)

    def recv_into(self, *args: Any, **kwargs: Any) -> int:
        """Receive by the deadline."""
        self._set_timeout()
        return super().recv_into(*args, **kwargs)

    def receive(self, size: int) -> bytes:
        """Receive up to ``size`` bytes by the deadline."""
        self._set_timeout()
        return super().recv(size)

    def send(self, *args: Any, **kwargs: Any) -> int:
        """Send what fits by the deadline."""
        self._set_timeout()
        return super().send(*args, **kwargs)

    def sendall(self, *args: Any, **kwargs: Any) -> None:
        """Send all by the deadline."""
        self._set_timeout()
        super().sendall(*args, **kwargs)


def wrap_socket(sock: socket.socket, deadline: float) -> DeadlineSocket:
    """Turn a plain socket into one with a deadline; the plain one is used up."""
    timed = DeadlineSocket(sock.family, sock.type, sock.proto, fileno=sock.detach())
    timed.deadline = deadline
    return timed
