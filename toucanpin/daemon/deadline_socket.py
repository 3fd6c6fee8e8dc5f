"""
Sockets with a deadline
=======================

A socket whose operations all end by one deadline, however slowly the peer sends.
"""

from __future__ import annotations

import socket
import ssl
import time
from typing import Any

__all__ = ["DeadlineSocket", "DeadlineSslSocket", "wrap_socket"]

NO_DEADLINE = float("inf")


class _Deadline(socket.socket):
    """
    Operations of a socket that time out at ``deadline``, in seconds of the monotonic clock.

    A plain timeout restarts with every operation, so a peer that sends byte after byte could
    occupy its thread without limit.
    """

    __slots__ = ()

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
        """Receive into a buffer, as ``socket.recv_into``, by the deadline."""
        self._set_timeout()
        return super().recv_into(*args, **kwargs)

    def receive(self, size: int) -> bytes:
        """Receive up to ``size`` bytes by the deadline."""
        self._set_timeout()
        return super().recv(size)

    def send(self, *args: Any, **kwargs: Any) -> int:
        """Send, as ``socket.send``, by the deadline."""
        self._set_timeout()
        return super().send(*args, **kwargs)

    def sendall(self, *args: Any, **kwargs: Any) -> None:
        """Send all data, as ``socket.sendall``, by the deadline."""
        self._set_timeout()
        super().sendall(*args, **kwargs)


class DeadlineSocket(_Deadline, socket.socket):
    """Socket with a deadline."""

    __slots__ = ("deadline",)


class DeadlineSslSocket(_Deadline, ssl.SSLSocket):
    """TLS socket with a deadline."""

    deadline = NO_DEADLINE


def wrap_socket(sock: socket.socket, deadline: float) -> DeadlineSocket:
    """Return a socket with a deadline that takes over the descriptor of ``sock``."""
    timed = DeadlineSocket(sock.family, sock.type, sock.proto, fileno=sock.detach())
    timed.deadline = deadline
    return timed
