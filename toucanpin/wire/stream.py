"""
Frames on a stream
==================

Send and receive length-prefixed frames over TCP within a deadline.
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
    """Send one frame by ``deadline``, in seconds on the monotonic clock."""
    if len(frame) > MAX_FRAME_BYTES:
        raise WireError(f"frame of {len(frame)} bytes; at most {MAX_FRAME_BYTES} are allowed")
    _set_timeout(connection, deadline)
    connection.sendall(_LENGTH.pack(len(frame)) + frame)


def receive_frame(connection: socket.socket, deadline: float) -> bytes | None:
    """
    Return one frame, None if the peer closed the connection before its first byte.

    Raises
    ------
    WireError
        If the frame is too large, empty or truncated.
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
    frame = _receive(connection, size, deadline)
    if len(frame) < size:
        raise WireError(f"connection closed after {len(frame)} of {size} bytes of a frame")
    return frame


def _receive(connection: socket.socket, size: int, deadline: float) -> bytes:
    parts = bytearray()
    while len(parts) < size:
        _set_timeout(connection, deadline)
        part = connection.recv(min(size - len(parts), 65_536))
        if not part:
            break
        parts += part
    return bytes(parts)


def _set_timeout(connection: socket.socket, deadline: float) -> None:
    remaining = deadline - time.monotonic()
    if remaining <= 0:
        raise TimeoutError("deadline passed")
    connection.settimeout(remaining)
