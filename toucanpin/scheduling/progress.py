"""
Progress of a job
=================

The record of every task of a job, as it stands in one row that the owner of the cell writes.
"""

from __future__ import annotations

import enum

import msgspec

from toucanpin.scheduling.job import Job

__all__ = [
    "CrashSuspicion",
    "JobState",
    "Progress",
    "TaskRecord",
    "TaskState",
    "decode_progress",
    "encode_progress",
    "matches_job",
]


class JobState(enum.IntEnum):
    """Say what has become of a job."""

    PENDING = 0
    ACTIVE = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def ended(self) -> bool:
        """Tell whether nothing of the job may start any more."""
        return self >= JobState.COMPLETED


class TaskState(enum.IntEnum):
    """Say what is known of one task."""

    WAITING = 0
    PLACED = 1
    DONE = 2
    GANG_FAILED = 3  # placed in a gang whose failure is counted already; its own end counts no more


class CrashSuspicion(enum.IntEnum):
    """Say how far a task is suspected of crashing its workers."""

    NONE = 0
    SUSPECTED = 1  # a worker was lost under it
    LAST_ATTEMPT = 2  # one more such loss gives it up


class TaskRecord(msgspec.Struct, array_like=True, omit_defaults=True):
    """
    Hold what must last of one task.

    A task that is placed may run at ``worker`` under ``attempt`` until an end is known; ``counted``
    names the attempts that ``failures`` counts, so that an end that is listed again counts once.
    ``crashed`` names the workers that were lost under the task and haven't answered since, and
    tells whether that was right after its start.
    """

    state: int = 0
    attempt: int = 0
    failures: int = 0
    worker: str = ""
    checkpoint: str = ""
    counted: list[int] = []
    crashed: dict[str, bool] = {}


class Progress(msgspec.Struct, array_like=True):
    """
    Hold what must last of one job.

    ``ended`` is on the table's clock in ms; ``tasks`` holds the records of each occurrence that
    has begun and not ended, in the order of steps and indices; ``over`` counts those that ended.
    """

    state: int
    ended: int
    ended_occurrences: list[int]
    tasks: dict[int, list[TaskRecord]]


def encode_progress(progress: Progress) -> bytes:
    """Return a job's progress as it stands in its row."""
    return msgspec.msgpack.encode(progress)


def decode_progress(value: bytes) -> Progress:
    """Read a job's progress from its row."""
    return msgspec.msgpack.decode(value, type=Progress)


def matches_job(progress: Progress, job: Job) -> bool:
    """Tell whether progress is that of a job: as many tasks, and states that there are."""
    total = sum(step.count for step in job.steps)
    known = set(TaskState)
    return progress.state in set(JobState) and all(
        0 <= occurrence < job.occurrences
        and len(records) == total
        and all(record.state in known for record in records)
        for occurrence, records in progress.tasks.items()
    )
