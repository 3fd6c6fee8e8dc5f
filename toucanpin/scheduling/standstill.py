"""
Standstills of a cell
=====================

Measure for how long the owner of a cell could place no task, and why.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

__all__ = ["Standstill", "StandstillCause", "StandstillMeter"]

MIN_STANDSTILL_S = 0.5  # shorter ones are part of normal operation
MIN_LATE_WRITE_S = 0.3  # a shorter write is no sign of an outage


class StandstillCause(Enum):
    """Reason for which no task could be placed."""

    TAKEOVER = "no owner"
    LOADING = "new owner reads its rows"
    STORE = "store doesn't answer"
    JOBS = "no recent view of the jobs"
    EVACUATIONS = "no recent view of the evacuations"


@dataclass(frozen=True, slots=True)
class Standstill:
    """Time in s without placements, by cause."""

    seconds: dict[StandstillCause, float]

    @property
    def total(self) -> float:
        """Return the time of all causes."""
        return sum(self.seconds.values())

    @property
    def main_cause(self) -> StandstillCause:
        """Return the cause of most of the time."""
        return max(self.seconds, key=lambda cause: self.seconds[cause])


@dataclass(slots=True)
class StandstillMeter:
    """
    Meter of the time in which tasks can't be placed; all times are steady.

    ``marked_at`` is the time up to which everything is recorded, at first that of the last owner's
    last known write.
    """

    marked_at: float
    seconds: dict[StandstillCause, float] = field(default_factory=dict)

    def record_blocked(self, cause: StandstillCause, now: float) -> None:
        """Record that nothing could be placed since the last record."""
        elapsed = max(0.0, now - self.marked_at)
        self.seconds[cause] = self.seconds.get(cause, 0.0) + elapsed
        self.marked_at = now

    def record_write(self, sent_at: float, now: float) -> None:
        """Record a write; placements are only carried out once they are written."""
        if now - sent_at > MIN_LATE_WRITE_S:
            self.marked_at = max(self.marked_at, sent_at)
            self.record_blocked(StandstillCause.STORE, now)
        self.marked_at = now

    def record_placing(self, now: float) -> Standstill | None:
        """Record that tasks can be placed; return the standstill that has ended, if any."""
        ended = Standstill(self.seconds)
        self.marked_at = now
        self.seconds = {}
        return ended if ended.total >= MIN_STANDSTILL_S else None
