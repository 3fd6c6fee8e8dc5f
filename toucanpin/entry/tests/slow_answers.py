"""
Slow answers
============

Answers of a store whose bodies arrive slowly.
"""

from __future__ import annotations

import asyncio

__all__ = ["PIECES", "PIECE_INTERVAL_S", "send_slowly", "serve_slowly"]

PIECES = 6  # of a body
PIECE_INTERVAL_S = 0.3  # s between pieces; together they exceed the timeout of an answer


async def serve_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer one request with a body that arrives slowly."""
    await reader.readuntil(b"\r\n\r\n")
    await send_slowly(writer)
    writer.close()


async def send_slowly(writer: asyncio.StreamWriter) -> None:
    """Write an answer whose body arrives slowly."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % PIECES)
    for _ in range(PIECES):
        await asyncio.sleep(PIECE_INTERVAL_S)
        writer.write(b"x")
        await writer.drain()
