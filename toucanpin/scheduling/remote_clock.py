"""
Estimate of a remote clock
==========================

Estimate a remote monotonic clock from the times in its answers, each of which took a while.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ClockEstimate"]

# Monotonic clocks rarely drift apart by more than 1 in 10,000. A larger bound only lets a newer
# reading replace an older one sooner.
MAX_DRIFT_RATE = 0.001


@dataclass(frozen=True, slots=True)
class _Reading:
    """Offset of the remote clock and its error, both in s, and when it was read."""

    offset: float
    error: float
    at: float

    def error_at(self, now: float) -> float:
        """Return the error of the reading by now in seconds, including drift."""
        return self.error + MAX_DRIFT_RATE * max(0.0, now - self.at)


class ClockEstimate:
    """
    Estimate of a remote clock from the answer with the shortest round trip, as in NTP.

    The remote clock was read between the request and its answer, so half of the round trip bounds
    the error. A late answer, from a slow service or read by a suspended or busy process, has a
    large error and doesn't change the estimate.
    """

    __slots__ = ("_reading",)

    def __init__(self) -> None:
        self._reading: _Reading | None = None

    @property
    def known(self) -> bool:
        """Return whether the remote clock was ever read."""
        return self._reading is not None

    def record(self, clock: float, sent: float, received: float) -> None:
        """Record an answer with the remote time ``clock`` in ms; local times are in seconds."""
        error = max(0.0, received - sent) / 2
        if self._reading is not None and error > self._reading.error_at(received):
            return
        self._reading = _Reading(clock / 1_000 - (sent + received) / 2, error, received)

    def read(self, now: float) -> float:
        """Return the remote clock at a local time in ms, 0 if it was never read."""
        return (now + self._reading.offset) * 1_000 if self._reading else 0.0

    def error(self, now: float) -> float:
        """Return the bound on the estimate's error in ms."""
        return self._reading.error_at(now) * 1_000 if self._reading else float("inf")
