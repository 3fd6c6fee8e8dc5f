"""
Clocks
======

Read the three clocks that scheduling uses, at one moment.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

from toucanpin.platform.store import Store
from toucanpin.scheduling.cell import Now
from toucanpin.scheduling.remote_clock import ClockEstimate
from toucanpin.steady import steady_time

MIN_AGREEING_HOSTS = 3  # with at least so many hosts, the median of their offsets is used
OFFSET_PERIOD_S = 0.5  # between computations of the median; hosts announce themselves every 4 s
UNKNOWN_ERROR_MS = 60_000  # for an estimate whose error is unknown

__all__ = ["MIN_AGREEING_HOSTS", "Clocks", "measure_wall_offset", "steady_time"]


class Clocks:
    """Reader of the clocks; the table's clock is estimated from its answers."""

    __slots__ = ("_offset", "_offset_until", "_store", "offsets")

    def __init__(self, store: Store) -> None:
        self._store = store
        self._offset: int | None = None
        self._offset_until = 0.0
        self.offsets: Callable[[], Sequence[int]] = tuple

    def now(self) -> Now:
        """Return the present time of all clocks."""
        steady = steady_time()
        table = int(self._store.clock_estimate.read(steady))
        return Now(steady, table, self._read_wall(steady, table))

    def _read_wall(self, steady: float, table: int) -> int:
        """
        Return the time of day in ms.

        The time of day of a host may jump by seconds, which would shift due times.  Each host
        announces by how much its own is ahead of the table's monotonic clock.  The median of these
        offsets doesn't move if some hosts' clocks jump.
        """
        if steady >= self._offset_until:
            # The clocks are read some thousand times a second.  Sorting the offsets of all hosts
            # each time would get more expensive with each host.
            self._offset_until = steady + OFFSET_PERIOD_S
            self._offset = self._compute_offset()
        if self._offset is None or not self._store.clock_estimate.known:
            return time.time_ns() // 1_000_000
        return table + self._offset

    def _compute_offset(self) -> int | None:
        """Return the median of the hosts' offsets, None if there are too few."""
        offsets = sorted(self.offsets())
        return offsets[len(offsets) // 2] if len(offsets) >= MIN_AGREEING_HOSTS else None


def measure_wall_offset(table: ClockEstimate) -> tuple[int, int]:
    """
    Return by how much the time of day is ahead of the table's clock, and its error, both in ms.

    The process may be suspended between the two readings, so the time between them is part of the
    error.
    """
    before = steady_time()
    wall = time.time_ns() / 1_000_000
    after = steady_time()
    error = min(float(UNKNOWN_ERROR_MS), table.error(after) + (after - before) * 1_000)
    return round(wall - table.read((before + after) / 2)), int(error)
