"""
Periodic decisions
==================

Make decisions that others can do without again and again, each in its share of the time.
"""

from __future__ import annotations

from collections.abc import Callable

import logbook

from toucanpin.entry.clocks import steady_time
from toucanpin.scheduling.cell import Now
from toucanpin.scheduling.shedding import TimeShare

__all__ = ["PeriodicDecision"]

_log = logbook.Logger("owner")
MAX_TIME_SHARE = 0.08  # of the time, at most
RETRY_DELAY_S = 1.0  # s until a decision that failed is made again


class PeriodicDecision:
    """
    Make one decision again and again, ``period`` seconds apart at least.

    A fault in it costs this decision, not the cell: a takeover would have all jobs stand still for
    seconds, and the next owner would meet the same fault.
    """

    __slots__ = ("_decide", "_due_at", "_period", "_share")

    def __init__(self, decide: Callable[[Now], object], period: float) -> None:
        self._decide = decide
        self._period = period
        self._share = TimeShare(MAX_TIME_SHARE)
        self._due_at = 0.0

    def run_if_due(self, now: Now) -> None:
        """Make the decision unless it rests."""
        if now.steady < self._due_at or self._share.left(now.steady):
            return
        self._due_at = now.steady + self._period
        try:
            self._decide(now)
        except Exception:
            _log.exception("a decision failed", event="owner.fault")
            self._due_at = now.steady + RETRY_DELAY_S
        self._share.note(now.steady, steady_time())
