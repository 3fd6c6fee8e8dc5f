"""
Patience
========

How long one attempt of an idempotent request may take before another instance is tried.
"""

from __future__ import annotations

__all__ = ["Patience"]

TARGET = 0.99
STEP_SHARE = 0.05
FACTOR = 3.0
FIRST_ANSWERS = 100
MIN_SECONDS = 0.05
MAX_SHARE = 0.6


class Patience:
    """
    Follow a high quantile of the service's answer times.

    It starts from the longest of the first answers.  Attempts that were cut count with the time
    they had: left out, the estimate would shrink with each cut and cut ever more.

    An instance that is frozen or cut off says nothing; without a limit of its own, the first
    attempt would use up the caller's whole time.
    """

    __slots__ = ("quantile", "_seen")

    def __init__(self) -> None:
        self.quantile = 0.0
        self._seen = 0

    def observe(self, seconds: float) -> None:
        """Take in how long an instance took, moving the estimate a small step towards it."""
        self._seen += 1
        if self._seen <= FIRST_ANSWERS:
            self.quantile = max(self.quantile, seconds)
            return
        step = self.quantile * STEP_SHARE
        if seconds > self.quantile:
            self.quantile += step * TARGET
        else:
            self.quantile -= step * (1 - TARGET)

    def limit(self, remaining: float) -> float:
        """Return the seconds that an attempt gets of the caller's ``remaining`` ones."""
        if self._seen < FIRST_ANSWERS:
            return remaining * MAX_SHARE
        wanted = max(MIN_SECONDS, self.quantile * FACTOR)
        # With too little time left for two attempts, a cut one would only waste its slot.
        return wanted if wanted <= remaining * MAX_SHARE else remaining
