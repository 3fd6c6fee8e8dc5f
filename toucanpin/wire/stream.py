"""
Frames on a stream
==================

Send and receive length-prefixed frames on a TCP socket within a deadline.
"""

from __future__ import annotations

import socket
import struct
import time

from toucanpin.exception import WireError
from toucanpin.wire.codec import MAX_FRAME_BYTES

__all__ = ["receive_frame", "send_frame"]

_LENGTH = struct.Struct(">I")


def send_frame(connection: socket.socket, frame: bytes, deadline: float) -> None:
    """Send one frame; ``deadline`` is on the monotonic clock, in seconds."""
    if len(frame) > MAX_FRAME_BYTES:
        raise WireError(f"frame of {len(frame)} bytes; at most {MAX_FRAME_BYTES} are allowed")
    _limit(connection, deadline)
    connection.sendall(_LENGTH.pack(len(frame)) + frame)


def receive_frame(connection: socket.socket, deadline: float) -> bytes | None:
    """
    Receive one whole frame, None if the peer closed before its first byte.

    Raises
    ------
    WireError
        If the frame is too large, empty or cut.
    TimeoutError
        If it isn't whole by the deadline, however slowly its bytes drip in.
    """
    header = _receive(connection, _LENGTH.size, deadline)
    if not header:
        return None
    if len(header) < _LENGTH.size:
        raise WireError("connection closed within a frame's length")
    (size,) = _LENGTH.unpack(header)
    # The length comes before any proof of who sends it, so it is refused before memory is taken.
    if not 0 < size <= MAX_FRAME_BYTES:
        raise WireError(f"frame of {size} bytes; allowed are 1 to {MAX_FRAME_BYTES}")
    frame = _receive(connection, size, deadline)
    if len(frame) < size:
        raise WireError("connection closed within a frame")
    return frame


def _receive(connection: socket.socket, size: int, deadline: float) -> bytes:
    parts = bytearray()
    while len(parts) < size:
        _limit(connection, deadline)
        part = connection.recv(min(size - len(parts), 65_536))
        if not part:
            break
        parts += part
    return bytes(parts)


def _limit(connection: socket.socket, deadline: float) -> None:
    left = deadline - time.monotonic()
    if left <= 0:
        raise TimeoutError("deadline passed")
    connection.settimeout(left)
