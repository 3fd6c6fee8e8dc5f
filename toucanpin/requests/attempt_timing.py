"""
Timeouts and hedging delays of attempts
=======================================

How long one attempt of an idempotent request may take before another instance is tried, and after
which delay a second attempt starts in parallel.
"""

from __future__ import annotations

from toucanpin.requests.quantile import Quantile

__all__ = ["AttemptTiming"]

TIMEOUT_QUANTILE = 0.99
HEDGE_QUANTILE = 0.95
TIMEOUT_FACTOR = 3.0
MIN_TIMEOUT_S = 0.05
MIN_HEDGE_DELAY_MEANS = 2.0
MAX_TIMEOUT_SHARE = 0.6


class AttemptTiming:
    """
    Estimator of how long an attempt may take, from answer times.

    A frozen or unreachable instance does not answer; without a timeout of its own, the first
    attempt would use up all the time until the caller's deadline.
    """

    __slots__ = ("_timeout_quantile", "_hedge_quantile")

    def __init__(self) -> None:
        self._timeout_quantile = Quantile(TIMEOUT_QUANTILE)
        self._hedge_quantile = Quantile(HEDGE_QUANTILE)

    def observe(self, seconds: float) -> None:
        """Record how long an instance took to answer, or how long a timed-out attempt lasted."""
        self._timeout_quantile.observe(seconds)
        self._hedge_quantile.observe(seconds)

    def timeout(self, remaining: float) -> float:
        """Return the timeout of an attempt, of the caller's ``remaining`` seconds."""
        if not self._timeout_quantile.is_warm:
            return remaining * MAX_TIMEOUT_SHARE
        timeout = max(MIN_TIMEOUT_S, self._timeout_quantile.value * TIMEOUT_FACTOR)
        # With too little time for two attempts, ending the first early would only waste its slot.
        return timeout if timeout <= remaining * MAX_TIMEOUT_SHARE else remaining

    def hedge_delay(self, mean: float) -> float | None:
        """
        Return the seconds after which a second attempt may start, None while unknown.

        The delay is at least twice the ``mean``: where answer times hardly vary, an answer that is
        later than most still arrives before that of an attempt started now.
        """
        if not self._hedge_quantile.is_warm:
            return None
        return max(MIN_HEDGE_DELAY_MEANS * mean, self._hedge_quantile.value)
