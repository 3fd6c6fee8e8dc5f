"""
Counts of what waits
====================

How many jobs of each queue have been accepted and not begun.
"""

from __future__ import annotations

from collections import Counter

from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.progress import JobState

__all__ = ["count_pending"]


def count_pending(cell: Cell) -> dict[str, int]:
    """Return the number of jobs of each queue none of whose tasks has begun."""
    counts: Counter[str] = Counter()
    for live in cell.jobs.values():
        counts[live.job.queue] += live.progress.state == JobState.PENDING
    return dict(counts)
