"""
Retry budget
============

Retries as a share of the traffic, so that a service that fails everywhere isn't loaded further.
"""

from __future__ import annotations

__all__ = ["RetryBudget"]

MAX_TOKENS = 20.0
FIRST_TOKENS = 3.0
EARNED_PART = 0.9


class RetryBudget:
    """
    Grant retries from tokens that first attempts earn.

    At most ``1 + share`` attempts are made for each request, over any run of
    ``FIRST_TOKENS / (share * (1 - EARNED_PART))`` requests or more (300 at a share of 0.1): the
    tokens that a quiet service starts with are paid for by earning a little less than the share.
    """

    __slots__ = ("_earned", "_tokens")

    def __init__(self, share: float) -> None:
        self._earned = share * EARNED_PART
        self._tokens = FIRST_TOKENS

    @property
    def affords(self) -> bool:
        """Say whether a retry is in the budget."""
        return self._tokens >= 1.0

    def earn(self) -> None:
        """Count one first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._earned)

    def spend(self) -> bool:
        """Take one retry if the budget allows it."""
        if not self.affords:
            return False
        self._tokens -= 1.0
        return True
