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
from toucanpin.scheduling.timing import ClockEstimate
from toucanpin.steady import steady_time

MIN_AGREEING_HOSTS = 3  # hosts from which on their median decides
OFFSET_PERIOD_S = 0.5  # s; hosts announce themselves each 4 s
UNKNOWN_ERROR_MS = 60_000  # ms: an estimate of which nothing is known

__all__ = ["MIN_AGREEING_HOSTS", "Clocks", "measure_wall_offset", "steady_time"]


class Clocks:
    """Read the clocks; the table's is estimated from its answers."""

    __slots__ = ("_offset", "_offset_until", "_store", "offsets")

    def __init__(self, store: Store) -> None:
        self._store = store
        self._offset: int | None = None
        self._offset_until = 0.0
        self.offsets: Callable[[], Sequence[int]] = tuple

    def now(self) -> Now:
        """Return all clocks as they are."""
        steady = steady_time()
        table = int(self._store.clock_estimate.read(steady))
        return Now(steady, table, self._read_wall(steady, table))

    def _read_wall(self, steady: float, table: int) -> int:
        """
        Return the time of day.

        The time of day of a host may jump by seconds, and due times with it.  Every host has
        announced how far its own is ahead of the table's steady clock, and a jump of some of them
        doesn't move the median.
        """
        if steady >= self._offset_until:
            # Decisions read the clocks some thousand times a second, and going through all hosts'
            # offsets each time would cost an owner more with each host.
            self._offset_until = steady + OFFSET_PERIOD_S
            self._offset = self._compute_offset()
        if self._offset is None or not self._store.clock_estimate.known:
            return time.time_ns() // 1_000_000
        return table + self._offset

    def _compute_offset(self) -> int | None:
        """Return the median of the hosts' offsets, None if too few know theirs."""
        offsets = sorted(self.offsets())
        return offsets[len(offsets) // 2] if len(offsets) >= MIN_AGREEING_HOSTS else None


def measure_wall_offset(table: ClockEstimate) -> tuple[int, int]:
    """
    Return how far the time of day is ahead of the table's clock, and the error of that, in ms.

    A process may be suspended between two readings, so the time that they took is part of the
    error.
    """
    before = steady_time()
    wall = time.time_ns() / 1_000_000
    after = steady_time()
    error = min(float(UNKNOWN_ERROR_MS), table.error(after) + (after - before) * 1_000)
    return round(wall - table.read((before + after) / 2)), int(error)
