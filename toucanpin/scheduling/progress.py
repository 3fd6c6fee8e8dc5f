"""
Progress of a job
=================

The record of every task of a job, written by the owner of the cell.
"""

from __future__ import annotations

import enum

import msgspec

from toucanpin.scheduling.job import Job
from toucanpin.scheduling.number_ranges import Ranges

__all__ = [
    "CrashSuspicion",
    "JobState",
    "Progress",
    "TaskRecord",
    "TaskState",
    "clear_losses",
    "matches_job",
]


class JobState(enum.IntEnum):
    """State of a job."""

    PENDING = 0
    ACTIVE = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def ended(self) -> bool:
        """Return whether no task of the job may start any more."""
        return self >= JobState.COMPLETED


class TaskState(enum.IntEnum):
    """State of a task."""

    WAITING = 0
    PLACED = 1
    DONE = 2
    GANG_FAILED = 3  # placed in a gang whose failure is counted; its own end isn't


class CrashSuspicion(enum.IntEnum):
    """How strongly a task is suspected of crashing its workers."""

    NONE = 0
    SUSPECTED = 1  # a worker was lost while it ran the task
    LAST_ATTEMPT = 2  # one more such loss fails its job


class TaskRecord(msgspec.Struct, array_like=True, omit_defaults=True):
    """
    Persistent state of one task.

    A placed task may run on ``worker`` under ``attempt`` until its end is known. ``counted`` lists
    the attempts that are included in ``failures``, so that a failure that is reported twice counts
    once. ``crashed`` maps workers that were lost while they ran the task, and haven't answered
    since, to whether the loss was right after the start.  ``born`` tells the incarnation of
    ``worker``.  ``lost_at`` tells when the lost workers last answered, in ms on the table's clock;
    ``explained`` names those that were probably lost whatever they ran; ``furthest`` is the largest
    progress in percent that the task had when a worker was lost.
    """

    state: int = 0
    attempt: int = 0
    failures: int = 0
    worker: str = ""
    checkpoint: str = ""
    counted: list[int] = []
    crashed: dict[str, bool] = {}
    born: int = 0
    lost_at: dict[str, int] = {}
    explained: list[str] = []
    furthest: int = 0


class Progress(msgspec.Struct, array_like=True):
    """
    Persistent state of one job.

    ``ended`` is on the table's clock in ms; ``tasks`` has the records of each occurrence in
    progress, ordered by step and index; ``ended_occurrences`` has the occurrences that are done.
    """

    state: int
    ended: int
    ended_occurrences: Ranges
    tasks: dict[int, list[TaskRecord]]


def clear_losses(record: TaskRecord) -> None:
    """Discard all workers that were lost while they ran a task."""
    record.crashed = {}
    record.lost_at = {}
    record.explained = []


def matches_job(progress: Progress, job: Job) -> bool:
    """Return whether progress has a job's number of tasks and only known states."""
    total = sum(step.count for step in job.steps)
    known = set(TaskState)
    ended = progress.ended_occurrences
    if ended and not 0 <= ended[0][0] <= ended[-1][1] < job.occurrences:
        return False
    return progress.state in set(JobState) and all(
        0 <= occurrence < job.occurrences
        and len(records) == total
        and all(record.state in known for record in records)
        for occurrence, records in progress.tasks.items()
    )
