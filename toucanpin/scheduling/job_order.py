"""
Order of jobs
=============

Rank the waiting steps of a cell, by the lateness of their jobs.
"""

from __future__ import annotations

import enum
from collections import Counter

from toucanpin.scheduling.cell import Cell, Group, LiveJob, Now
from toucanpin.scheduling.job import Job

__all__ = ["EXPIRY_FACTOR", "Lateness", "count_brief_tasks", "estimate_lateness", "rank_group"]

# A result that is later than this multiple of the job's time limit is of no use to its caller.
EXPIRY_FACTOR = 3


class Lateness(enum.IntEnum):
    """Expected end of a job relative to its objective."""

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


def rank_group(cell: Cell, group: Group, now: Now) -> tuple[int, bool, int, int, Group]:
    """
    Return the key that sorts waiting steps, the most urgent first.

    Jobs that will miss their objective come after the others of their priority.  In an overload the
    oldest jobs would otherwise go first, and all jobs would be late.  Occurrences of recurring jobs
    have objectives of their own, so that of several jobs that are behind each has its turn.
    """
    live = cell.jobs[group.job]
    if live.job.steps[group.step].long_running:
        return (
            live.job.priority,
            True,
            not _has_run_before(cell, live, group),
            live.objective,
            group,
        )
    lateness = estimate_lateness(live, group.step, now, group.occurrence)
    objective = live.objective + _find_delay(live.job, group.occurrence, now)
    return live.job.priority, False, lateness, objective, group


def estimate_lateness(live: LiveJob, step: int, now: Now, occurrence: int = 0) -> Lateness:
    """Return how late an occurrence of a job will end if the given step of it starts now."""
    end = now.table + live.remaining_ms[step] - _find_delay(live.job, occurrence, now)
    if end <= live.objective:
        return Lateness.ON_TIME
    allowed = live.objective - live.job.accepted
    limit = live.job.accepted + EXPIRY_FACTOR * allowed
    return Lateness.LATE if end <= limit else Lateness.EXPIRED


def count_brief_tasks(cell: Cell, now: Now) -> Counter[int]:
    """
    Return the waiting tasks by priority that may start before those of a new job.

    Long-running ones may wait indefinitely, and occurrences that are of no use any more come last.
    """
    waiting: Counter[int] = Counter()
    for group, indices in cell.waiting.items():
        live = cell.jobs[group.job]
        if live.job.steps[group.step].long_running:
            continue
        lateness = estimate_lateness(live, group.step, now, group.occurrence)
        if not live.job.repeats or lateness is not Lateness.EXPIRED:
            waiting[live.job.priority] += len(indices)
    return waiting


def _find_delay(job: Job, occurrence: int, now: Now) -> int:
    """Return by how many ms an occurrence is due after its job was accepted; may be negative."""
    if not job.repeats:
        return 0
    due = job.start_at + occurrence * job.interval
    return due - now.wall + now.table - job.accepted


def _has_run_before(cell: Cell, live: LiveJob, group: Group) -> bool:
    """
    Return whether a waiting task of a step has run before.

    Such steps come first: on a full fleet new long-running jobs would take all freed capacity, and
    a failed task of a service that is in use would not run again.
    """
    records = live.progress.tasks[group.occurrence]
    start = live.offsets[group.step]
    return any(records[start + index].attempt for index in cell.waiting.get(group, ()))
