"""
Skewed clocks of the placement tests
====================================

Clocks with individual rates and offsets, and a worker core on such a clock.
"""

from __future__ import annotations

from contextlib import contextmanager

from standins.worker import WorkerCore
from toucanpin.platform.ports import Size

__all__ = ["Clock", "SkewedCore"]

RATES = (1.009, 0.991, 1.0)


class Clock:
    """Clock with its own rate and offset; the rates differ by less than the assumed drift."""

    def __init__(self, number: int) -> None:
        self.rate = RATES[number % len(RATES)]
        self.offset = 37.0 * number

    def read(self, now: float) -> float:
        """Return this clock's reading (s) at an instant of the world."""
        return now * self.rate + self.offset

    def invert(self, reading: float) -> float:
        """Return the world's instant for a reading of this clock."""
        return (reading - self.offset) / self.rate


class SkewedCore(WorkerCore):
    """Worker core on its own clock; callers pass instants of the world."""

    def __init__(self, name: str, incarnation: str, size: Size, number: int) -> None:
        super().__init__(name, incarnation, size)
        self.clock = Clock(number)

    def read_clock(self, now: int) -> int:
        """Return this worker's clock in milliseconds."""
        return int(self.clock.read(now / 1000) * 1000)

    def poll(self, now, poll):
        """Handle a poll at an instant of the world."""
        with self._own_clock():
            return super().poll(self.read_clock(now), poll)

    def advance(self, now):
        """Advance to an instant of the world, or of the own clock within another call."""
        if self._uses_own_clock:
            super().advance(now)
            return
        with self._own_clock():
            super().advance(self.read_clock(now))

    def finish_put(self, now, put, stored):
        """Handle the outcome of a write."""
        with self._own_clock():
            super().finish_put(self.read_clock(now), put, stored)

    def finish_get(self, now, get, body, answered):
        """Handle the outcome of a read."""
        with self._own_clock():
            super().finish_get(self.read_clock(now), get, body, answered)

    _uses_own_clock = False

    @contextmanager
    def _own_clock(self):
        self._uses_own_clock = True
        yield
        self._uses_own_clock = False
