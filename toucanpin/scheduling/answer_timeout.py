"""
Lost answers
============

Tell an answer that is lost from one that is late, by how late answers have come of late.
"""

from __future__ import annotations

__all__ = ["MAX_LATENESS_S", "MIN_LATENESS_S", "AnswerTimeout"]

MAX_LATENESS_S = 0.7  # s beyond its wait that an answer may take
MIN_LATENESS_S = 0.25  # s: the least; an order takes 2 ms
PEAK_FACTOR = 4.0  # times the latest answer of the last seconds
HALF_LIFE_S = 2.0  # s in which what was latest counts half


class AnswerTimeout:
    """
    Follow how late answers come.

    Without it each lost answer keeps the owner from hearing a worker's ends for a second more.  A
    fixed shorter time would take every worker for silent whenever links or the owner are slow.
    """

    __slots__ = ("_latest", "_noted_at")

    def __init__(self) -> None:
        self._latest = MAX_LATENESS_S
        self._noted_at = 0.0

    def record(self, late: float, now: float) -> None:
        """Take note of an answer that came ``late`` seconds after it could have."""
        self._latest = max(late, self._fade(now))
        self._noted_at = now

    def limit(self, now: float) -> float:
        """Return how late an answer may be before it counts as lost, in seconds."""
        return min(MAX_LATENESS_S, max(MIN_LATENESS_S, PEAK_FACTOR * self._fade(now)))

    def _fade(self, now: float) -> float:
        if not self._noted_at:
            return self._latest
        return self._latest * 0.5 ** (max(0.0, now - self._noted_at) / HALF_LIFE_S)
