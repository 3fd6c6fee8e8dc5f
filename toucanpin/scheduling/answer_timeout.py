"""
Answer timeout
==============

Distinguish lost answers from late ones by the lateness of recent answers.
"""

from __future__ import annotations

__all__ = ["MAX_LATENESS_S", "MIN_LATENESS_S", "AnswerTimeout"]

MAX_LATENESS_S = 0.7  # beyond the requested wait
MIN_LATENESS_S = 0.25  # an order takes 2 ms
PEAK_FACTOR = 4.0  # times the largest recent lateness
HALF_LIFE_S = 2.0  # of the largest lateness


class AnswerTimeout:
    """
    Adaptive timeout for answers.

    With a long fixed timeout each lost answer would delay the ends of a worker by up to a second.
    With a short one all workers would be considered silent whenever links or the owner are slow.
    """

    __slots__ = ("_peak", "_recorded_at")

    def __init__(self) -> None:
        self._peak = MAX_LATENESS_S
        self._recorded_at = 0.0

    def record(self, late: float, now: float) -> None:
        """Record an answer that arrived ``late`` seconds after it could have."""
        self._peak = max(late, self._decay(now))
        self._recorded_at = now

    def limit(self, now: float) -> float:
        """Return how many seconds late an answer may be before it counts as lost."""
        return min(MAX_LATENESS_S, max(MIN_LATENESS_S, PEAK_FACTOR * self._decay(now)))

    def _decay(self, now: float) -> float:
        if not self._recorded_at:
            return self._peak
        return self._peak * 0.5 ** (max(0.0, now - self._recorded_at) / HALF_LIFE_S)
