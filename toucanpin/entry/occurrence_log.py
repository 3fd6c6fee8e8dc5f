"""
Log of occurrences
==================

Log the jobs of which occurrences are due and have not begun.
"""

from __future__ import annotations

import logbook

from toucanpin.entry.periodic import PeriodTimer
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.occurrences import describe_late_jobs

__all__ = ["LateJobsLog"]

_log = logbook.Logger("decisions")
PERIOD_S = 5.0
MAX_LOGGED_JOBS = 5  # per call, those that are behind for longest


class LateJobsLog:
    """Periodic log of the jobs of one cell of which due occurrences haven't begun."""

    __slots__ = ("_timer",)

    def __init__(self) -> None:
        self._timer = PeriodTimer(PERIOD_S)

    def write_if_due(self, cell: Cell, now: Now) -> None:
        """Log the jobs that are behind."""
        if not self._timer.restart_if_due(now):
            return
        late = describe_late_jobs(cell, now)
        for job in late[:MAX_LOGGED_JOBS]:
            _log.notice(
                "occurrences of a job are due and have not begun",
                event="job.behind",
                job=job.job,
                waiting=job.waiting,
                late=round(job.lateness, 1),
                jobs=len(late),
            )
