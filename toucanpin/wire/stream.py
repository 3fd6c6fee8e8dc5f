"""
Frames on a stream
==================

Send and receive length-prefixed frames over TCP within a deadline.
"""

from __future__ import annotations

import socket
import struct
import threading
import time

from toucanpin.exception import WireError
from toucanpin.wire.codec import MAX_FRAME_BYTES

__all__ = ["FramePool", "receive_frame", "send_frame"]

_LENGTH = struct.Struct(">I")
_PART_BYTES = 65_536  # read at once; a frame of that size takes no room of a pool


class FramePool:
    """Memory for all incomplete frames of a server, beyond the first part of each."""

    __slots__ = ("_left", "_lock")

    def __init__(self, size: int) -> None:
        self._left = size  # bytes
        self._lock = threading.Lock()

    def take(self, size: int) -> None:
        """
        Take room for some bytes of a frame.

        Raises
        ------
        WireError
            If there is none; the connection has to be closed.
        """
        with self._lock:
            if size > self._left:
                raise WireError(f"no room for {size} more bytes of a frame")
            self._left -= size

    def give_back(self, size: int) -> None:
        """Give back the room of a frame."""
        with self._lock:
            self._left += size


def send_frame(connection: socket.socket, frame: bytes, deadline: float) -> None:
    """Send one frame by ``deadline``, in seconds on the monotonic clock."""
    if len(frame) > MAX_FRAME_BYTES:
        raise WireError(f"frame of {len(frame)} bytes; at most {MAX_FRAME_BYTES} are allowed")
    _set_timeout(connection, deadline)
    connection.sendall(_LENGTH.pack(len(frame)) + frame)


def receive_frame(
    connection: socket.socket, deadline: float, pool: FramePool | None = None
) -> bytes | None:
    """
    Return one frame, None if the peer closed the connection before its first byte.

    Its room is taken from ``pool`` until it is complete.

    Raises
    ------
    WireError
        If the frame is too large, empty or truncated, or the pool has no room.
    TimeoutError
        If it isn't complete by the deadline, even if its bytes keep arriving.
    """
    header = _receive(connection, _LENGTH.size, deadline)
    if not header:
        return None
    if len(header) < _LENGTH.size:
        raise WireError(f"connection closed after {len(header)} of {_LENGTH.size} length bytes")
    (size,) = _LENGTH.unpack(header)
    # The length is not authenticated yet, so it is checked before memory is allocated.
    if not 0 < size <= MAX_FRAME_BYTES:
        raise WireError(f"frame of {size} bytes; allowed are 1 to {MAX_FRAME_BYTES}")
    frame = _receive(connection, size, deadline, pool)
    if len(frame) < size:
        raise WireError(f"connection closed after {len(frame)} of {size} bytes of a frame")
    return frame


def _receive(
    connection: socket.socket, size: int, deadline: float, pool: FramePool | None = None
) -> bytes:
    buffer = bytearray()
    taken = 0
    try:
        while len(buffer) < size:
            _set_timeout(connection, deadline)
            part = connection.recv(min(size - len(buffer), _PART_BYTES))
            if not part:
                break
            if pool is not None and buffer:
                pool.take(len(part))
                taken += len(part)
            buffer += part
        return bytes(buffer)
    finally:
        if pool is not None:
            pool.give_back(taken)


def _set_timeout(connection: socket.socket, deadline: float) -> None:
    remaining = deadline - time.monotonic()
    if remaining <= 0:
        raise TimeoutError("deadline passed")
    connection.settimeout(remaining)
