"""
Clocks
======

The three clocks that decisions use, read at one moment.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

from toucanpin.platform.store import Store
from toucanpin.scheduling.cell import Now

AGREEING = 3  # hosts from which on their median decides

__all__ = ["Clocks", "steady_time"]


class Clocks:
    """Read the clocks; the table's is carried on from its newest answer."""

    __slots__ = ("_base", "_base_at", "_store", "offsets")

    def __init__(self, store: Store) -> None:
        self._store = store
        self.offsets: Callable[[], Sequence[int]] = tuple
        self._base = 0
        self._base_at = 0.0

    def now(self) -> Now:
        """Return all clocks as they are."""
        steady = steady_time()
        if self._store.clock > self._base:
            self._base = self._store.clock
            self._base_at = steady
        table = self._base + int((steady - self._base_at) * 1_000)
        return Now(steady, table, self._read_wall(table))

    def _read_wall(self, table: int) -> int:
        """
        Return the time of day.

        The time of day of a host may jump by seconds, and due times with it.  Every host has
        announced how far its own is ahead of the table's steady clock, and a jump of some of them
        doesn't move the median.
        """
        offsets = sorted(self.offsets())
        if len(offsets) < AGREEING or not self._base:
            return time.time_ns() // 1_000_000
        return table + offsets[len(offsets) // 2]


def steady_time() -> float:
    """
    Return the time since the machine began, in seconds.

    It counts the time for which the machine was suspended: an owner that wakes would otherwise
    think that the table has confirmed it a moment ago.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
