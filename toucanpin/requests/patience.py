"""
Patience
========

How long one attempt of an idempotent request may take before another instance is tried, and after
which time a second attempt starts beside it.
"""

from __future__ import annotations

from toucanpin.requests.quantile import Quantile

__all__ = ["Patience"]

TARGET = 0.99
HEDGE_TARGET = 0.95
FACTOR = 3.0
MIN_SECONDS = 0.05
MIN_HEDGE_MEANS = 2.0
MAX_SHARE = 0.6


class Patience:
    """
    Learn how long the service's answers take.

    An instance that is frozen or cut off says nothing; without a limit of its own, the first
    attempt would use up the caller's whole time.
    """

    __slots__ = ("_long", "_hedge")

    def __init__(self) -> None:
        self._long = Quantile(TARGET)
        self._hedge = Quantile(HEDGE_TARGET)

    def observe(self, seconds: float) -> None:
        """Take in how long an instance took."""
        self._long.observe(seconds)
        self._hedge.observe(seconds)

    def limit(self, remaining: float) -> float:
        """Return the seconds that an attempt gets of the caller's ``remaining`` ones."""
        if not self._long.known:
            return remaining * MAX_SHARE
        wanted = max(MIN_SECONDS, self._long.value * FACTOR)
        # With too little time left for two attempts, a cut one would only waste its slot.
        return wanted if wanted <= remaining * MAX_SHARE else remaining

    def hedge_after(self, mean: float) -> float | None:
        """
        Return the seconds after which a second attempt may start, None while unknown.

        Where answers take nearly equal times, one later than most comes sooner than that of an
        attempt begun now, which takes the ``mean``.
        """
        if not self._hedge.known:
            return None
        return max(MIN_HEDGE_MEANS * mean, self._hedge.value)
