"""
Frames between hosts
====================

Read and write messages of the inner protocol, authenticated by the key that all hosts share.
"""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING

from toucanpin.exception import WireError
from toucanpin.http.client import MAX_ANSWER_BYTES

if TYPE_CHECKING:
    from toucanpin.wire.codec import Purpose
    from toucanpin.wire.messages import Message, Received

__all__ = [
    "LENGTH_BYTES",
    "MAX_FRAME_BYTES",
    "MAX_TRANSFER_TIME_S",
    "decode_frame",
    "decode_size",
    "encode_frame",
    "read_payload",
    "read_size",
]

_LENGTH = struct.Struct(">I")
LENGTH_BYTES = _LENGTH.size  # before each frame
# Any answer of the store has to fit.  Otherwise a host that the store refuses couldn't read a large
# configuration through its peers.
MAX_FRAME_BYTES = MAX_ANSWER_BYTES + 65_536  # an answer and the envelope around it
# Total time of an answer that keeps arriving.  A slow link takes seconds for a document with
# thousands of queues.
MAX_TRANSFER_TIME_S = 6.0


async def read_size(reader: asyncio.StreamReader) -> int:
    return decode_size(await reader.readexactly(LENGTH_BYTES))


def decode_size(header: bytes) -> int:
    """Return the size in bytes of the frame that follows a header of LENGTH_BYTES."""
    (size,) = _LENGTH.unpack(header)
    if not 0 < size <= MAX_FRAME_BYTES:
        raise WireError(f"frame of {size} bytes; allowed are 1 to {MAX_FRAME_BYTES}")
    return size


async def read_payload(reader: asyncio.StreamReader, size: int, idle_timeout: float) -> bytes:
    """Read a frame of ``size`` bytes, with a timeout for the whole and one for each pause."""
    parts: list[bytes] = []
    async with asyncio.timeout(MAX_TRANSFER_TIME_S):
        while size:
            async with asyncio.timeout(idle_timeout):
                part = await reader.read(size)
            if not part:
                raise WireError(f"{size} bytes of a frame are missing")
            parts.append(part)
            size -= len(part)
    return b"".join(parts)


def encode_frame(name: str, secret: bytes, purpose: Purpose, nonce: int, message: Message) -> bytes:
    from toucanpin.wire.codec import MINOR_VERSION, encode
    from toucanpin.wire.keys import PeerKeys
    from toucanpin.wire.messages import Envelope

    envelope = Envelope(MINOR_VERSION, "entry", name, "", 0, 0, 0, 0, "", nonce)
    frame = encode(PeerKeys("table", {"table": secret}), purpose, envelope, message)
    if len(frame) > MAX_FRAME_BYTES:
        raise WireError(f"frame of {len(frame)} bytes; allowed are 1 to {MAX_FRAME_BYTES}")
    return _LENGTH.pack(len(frame)) + frame


def decode_frame(secret: bytes, purpose: Purpose, frame: bytes) -> Received:
    from toucanpin.wire.codec import decode
    from toucanpin.wire.keys import PeerKeys

    return decode(PeerKeys("table", {"table": secret}), purpose, "entry", frame)
