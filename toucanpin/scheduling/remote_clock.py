"""
Estimate of a remote clock
==========================

Follow a steady clock that is only told in answers, each of which took a while.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ClockEstimate"]

# Two steady clocks that drift apart by a part in ten thousand are already unusual.  A larger bound
# only makes an old reading give way to a newer one sooner.
MAX_DRIFT_RATE = 0.001


@dataclass(frozen=True, slots=True)
class _Reading:
    """Hold the distance to the remote clock, its error, both in s, and when it was read."""

    ahead: float
    error: float
    at: float

    def error_at(self, now: float) -> float:
        """Return the error that the reading has by now, in seconds."""
        return self.error + MAX_DRIFT_RATE * max(0.0, now - self.at)


class ClockEstimate:
    """
    Estimate a remote clock from the answer that took the least time, as time protocols do.

    The remote clock was read at some moment between the request and its answer, so half of that
    time bounds the error.  An answer that came late, since the remote service is slow or this
    process was suspended or busy, has a large error and doesn't move the estimate.
    """

    __slots__ = ("_reading",)

    def __init__(self) -> None:
        self._reading: _Reading | None = None

    @property
    def known(self) -> bool:
        """Tell whether the remote clock was ever read."""
        return self._reading is not None

    def record(self, clock: float, sent: float, received: float) -> None:
        """Take note that an answer told ``clock``, in ms; the local times are in seconds."""
        error = max(0.0, received - sent) / 2
        if self._reading is not None and error > self._reading.error_at(received):
            return
        self._reading = _Reading(clock / 1_000 - (sent + received) / 2, error, received)

    def read(self, now: float) -> float:
        """Return the remote clock at a local time, in ms; 0 if it was never read."""
        return (now + self._reading.ahead) * 1_000 if self._reading else 0.0

    def error(self, now: float) -> float:
        """Return by how much the estimate may be wrong, in ms."""
        return self._reading.error_at(now) * 1_000 if self._reading else float("inf")
