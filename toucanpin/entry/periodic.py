"""
Periodic decisions
==================

Run optional decisions periodically, each with a limited share of the process's time.
"""

from __future__ import annotations

from collections.abc import Callable

import logbook

from toucanpin.entry.clocks import steady_time
from toucanpin.scheduling.cell import Now
from toucanpin.scheduling.load_shedding import TimeShare

__all__ = ["PeriodTimer", "PeriodicDecision"]

_log = logbook.Logger("owner")
MAX_TIME_SHARE = 0.08  # maximum fraction of the time for one decision
RETRY_DELAY_S = 1.0  # after a decision failed


class PeriodicDecision:
    """
    Decision that is made every ``period`` seconds at most.

    An error in it is logged, and the owner keeps its cell.  A takeover would stop all scheduling
    for seconds, and the next owner would run into the same error.
    """

    __slots__ = ("_decide", "_due_at", "_period", "_share")

    def __init__(self, decide: Callable[[Now], object], period: float) -> None:
        self._decide = decide
        self._period = period
        self._share = TimeShare(MAX_TIME_SHARE)
        self._due_at = 0.0

    def run_if_due(self, now: Now) -> None:
        """Make the decision if its period is over and its time share allows it."""
        if now.steady < self._due_at or self._share.remaining_pause(now.steady):
            return
        self._due_at = now.steady + self._period
        try:
            self._decide(now)
        except Exception:
            _log.exception("periodic decision failed", event="owner.fault")
            self._due_at = now.steady + RETRY_DELAY_S
        self._share.record(now.steady, steady_time())


class PeriodTimer:
    """Timer of something that is done every ``period`` seconds at most."""

    __slots__ = ("_done_at", "_period")

    def __init__(self, period: float) -> None:
        self._period = period
        self._done_at = 0.0

    def restart_if_due(self, now: Now) -> bool:
        """Return whether the period is over, and begin the next one if so."""
        if now.steady <= self._done_at + self._period:
            return False
        self._done_at = now.steady
        return True
