"""
Retry budget
============

Limit retries to a share of the traffic, so that they add little load to a service whose instances
all fail.
"""

from __future__ import annotations

__all__ = ["RetryBudget"]

MAX_TOKENS = 20.0
INITIAL_TOKENS = 3.0
EARNED_FRACTION = 0.9


class RetryBudget:
    """
    Token bucket of retries; each first attempt earns a fraction of a token.

    At most ``1 + share`` attempts per request are made over any sequence of
    ``INITIAL_TOKENS / (share * (1 - EARNED_FRACTION))`` requests or more (300 at a share of 0.1):
    earning a little less than the share makes up for the tokens that a service starts with.
    """

    __slots__ = ("_earned_per_request", "_tokens")

    def __init__(self, share: float) -> None:
        self._earned_per_request = share * EARNED_FRACTION
        self._tokens = INITIAL_TOKENS

    @property
    def has_token(self) -> bool:
        """Return whether the budget allows a retry."""
        return self._tokens >= 1.0

    def earn(self) -> None:
        """Add what one first attempt earns."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._earned_per_request)

    def spend(self) -> bool:
        """Take the token of one retry; return False if there is none."""
        if not self.has_token:
            return False
        self._tokens -= 1.0
        return True
