"""
Turns of input
==============

Share the event loop between clients' input and other work: each turn of the loop parses a bounded
number of bytes, and connections with more take turns.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

__all__ = ["READ_BYTES", "SLICE_BYTES", "Intake", "Source"]

READ_BYTES = 16_384  # that a connection is read at once
SLICE_BYTES = 4_096  # of one connection before the next one has its turn
TURN_BYTES = 32_768  # of all connections in one turn of the event loop
MIN_LEFT_BYTES = 16_384  # of a turn, below which the next one is begun
_NOTHING = memoryview(b"")


class Source(Protocol):
    """A connection whose input is parsed."""

    def parse(self, data: memoryview) -> None:
        """Parse a part of the input."""

    def pause(self) -> None:
        """Read no more until the input that was read is parsed."""

    def resume(self) -> None:
        """Continue to read."""


class Intake:
    """Input that was read and waits for its turn, of all listeners of a process."""

    __slots__ = ("_left", "_scheduled", "_waiting")

    def __init__(self) -> None:
        self._waiting: deque[tuple[Source, memoryview]] = deque()
        self._left = TURN_BYTES
        self._scheduled = False

    def add(self, source: Source, data: memoryview) -> None:
        """Parse input of a connection now, or later if this turn's bytes are used up."""
        if not self._waiting:
            data = self._parse(source, data, self._left)
        if data:
            source.pause()
            self._waiting.append((source, memoryview(bytes(data))))
        # A little input needs no turn of its own: it only shortens the next one.
        if self._left < MIN_LEFT_BYTES:
            self._schedule()

    def _parse(self, source: Source, data: memoryview, limit: int) -> memoryview:
        """Parse the first bytes, at most ``limit``, in slices; return the others."""
        size = len(data)
        if size <= SLICE_BYTES and size <= limit:
            source.parse(data)
            self._left -= size
            return _NOTHING
        end = min(limit, size)
        for start in range(0, end, SLICE_BYTES):
            source.parse(data[start : min(start + SLICE_BYTES, end)])
        self._left -= end
        return data[end:]

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._scheduled = False
        self._left = TURN_BYTES
        while self._waiting and self._left > 0:
            self._schedule()
            source, data = self._waiting.popleft()
            data = self._parse(source, data, min(SLICE_BYTES, self._left))
            if data:
                self._waiting.append((source, data))
            else:
                source.resume()
