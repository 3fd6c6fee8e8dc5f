"""
Retry budget
============

Retries as a share of the traffic, so that a service that fails everywhere isn't loaded further.
"""

from __future__ import annotations

__all__ = ["RetryBudget"]

MAX_TOKENS = 20.0
MAX_RESERVE = 3.0
RESERVE_PER_SECOND = 1.0


class RetryBudget:
    """
    Grant retries from tokens that first attempts earn.

    Requests that were delivered are repeated only for tokens, so at most ``1 + share`` times the
    traffic reaches the instances.  An attempt that was refused before its first byte has cost its
    instance nothing; it may also draw on a small reserve that refills with time, so that a quiet
    service survives the loss of an instance.
    """

    __slots__ = ("_share", "_tokens", "_reserve", "_refilled")

    def __init__(self, share: float, now: float) -> None:
        self._share = share
        self._tokens = 0.0
        self._reserve = MAX_RESERVE
        self._refilled = now

    def earn(self) -> None:
        """Count one first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._share)

    def spend(self, delivered: bool, now: float) -> bool:
        """Take one retry if the budget allows it."""
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        if delivered:
            return False
        self._refill(now)
        if self._reserve < 1.0:
            return False
        self._reserve -= 1.0
        return True

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._refilled) * RESERVE_PER_SECOND
        self._reserve = min(MAX_RESERVE, self._reserve + gained)
        self._refilled = now
