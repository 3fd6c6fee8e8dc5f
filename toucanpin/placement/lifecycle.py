"""
Task life cycle
===============

State transitions of a task.  Each transition is a `Change`: the new state of the task's record in
the cell row, and the other rows that change in the same transaction.

    queued --place--> committed --finish--> job finished
       ^                  |------fail-----> queued again, or job failed
       +------requeue-----+------cancel---> gone (the job row already says cancelled)
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from toucanpin.placement.queue import WaitingTask
from toucanpin.placement.records import (
    JobRow,
    JobState,
    QueueRow,
    StandingRow,
    TaskRecord,
    cancel_key,
    encode,
    job_key,
    queue_key,
    standing_key,
)
from toucanpin.platform.ports import ABSENT, Write

__all__ = [
    "Change",
    "accept_checkpoint",
    "cancel",
    "fail",
    "finish",
    "move",
    "name_checkpoint",
    "name_result",
    "place",
    "remove_standing",
    "requeue",
    "requeue_lost",
]

MAX_FAILED_ON = 16  # workers remembered per task


@dataclass(frozen=True, slots=True)
class Change:
    """
    Change of one task within a transaction on a cell's row.

    ``record`` replaces the task in the cell row, None removes it.  ``queued`` is the record added
    to this cell's queue.  ``kind`` names the event on the timeline.
    """

    kind: str
    task: str
    record: TaskRecord | None
    writes: tuple[Write, ...] = ()
    queued: TaskRecord | None = None
    detail: str = ""


def name_result(task: str, attempt: int) -> str:
    """Return the name of the object for an attempt's result, which no other attempt writes."""
    return f"result/{task}/{attempt}"


def name_checkpoint(task: str, attempt: int, sequence: int) -> str:
    """Return the name of the object for a checkpoint of an attempt."""
    return f"checkpoint/{task}/{attempt}/{sequence}"


def place(cell: str, waiting: WaitingTask, worker: str, incarnation: str) -> Change:
    """Commit a waiting task to a worker as its next attempt."""
    record = waiting.record
    placed = msgspec.structs.replace(
        record,
        attempt=record.attempt + 1,
        worker=worker,
        incarnation=incarnation,
        order=record.order or waiting.version,
        job_version=record.job_version or waiting.version,
    )
    delete = Write(queue_key(cell, record.task), waiting.version, None)
    return Change("task.place", record.task, placed, (delete,), detail=worker)


def accept_checkpoint(record: TaskRecord, checkpoint: str) -> Change:
    """Accept a newer checkpoint of a running attempt."""
    newer = msgspec.structs.replace(record, checkpoint=checkpoint, lost=0)
    return Change("task.checkpoint", record.task, newer, detail=checkpoint)


def finish(cell: str, record: TaskRecord, result: str) -> Change:
    """Finish a job with an attempt's result; a concurrent cancellation conflicts on its row."""
    done = JobRow(record.task, JobState.FINISHED, record, cell, record.attempt, result)
    write = Write(job_key(record.task), record.job_version, encode(done))
    return Change("job.finish", record.task, None, (write,))


def requeue(cell: str, record: TaskRecord, checkpoint: str, evicted: bool) -> Change:
    """Queue a stopped or lost attempt again, to resume from its newest checkpoint."""
    waiting = msgspec.structs.replace(
        record,
        worker="",
        incarnation="",
        checkpoint=checkpoint or record.checkpoint,
        evictions=record.evictions + int(evicted),
    )
    kind = "task.evict" if evicted else "task.requeue"
    return _queue_again(kind, cell, waiting, record.worker)


def requeue_lost(cell: str, record: TaskRecord, checkpoint: str, max_attempts: int) -> Change:
    """
    Queue an attempt that was lost with its worker again, or fail the job after too many of them.

    Without the bound a job that crashes its workers takes down one after the other.  A standing
    task is always queued again.
    """
    lost = record.lost + 1
    if lost >= max_attempts and not record.standing:
        return _fail_job(
            cell, record, f"{lost} workers were lost under it, the last was {record.worker}"
        )
    return requeue(cell, msgspec.structs.replace(record, lost=lost), checkpoint, False)


def fail(
    cell: str, record: TaskRecord, checkpoint: str, max_attempts: int, detail: str, counts: bool
) -> Change:
    """
    Queue a failed attempt again, or fail the job after too many failures.

    ``counts`` is False if the worker is known to be at fault.  A standing task is always queued
    again.
    """
    failures = record.failures + int(counts)
    failed_on = record.failed_on
    if record.worker not in failed_on:
        failed_on = (*failed_on, record.worker)[-MAX_FAILED_ON:]
    if failures >= max_attempts and not record.standing:
        hosts = ", ".join(failed_on)
        return _fail_job(cell, record, f"failed {failures} times on {hosts}: {detail}")
    waiting = msgspec.structs.replace(
        record,
        worker="",
        incarnation="",
        checkpoint=checkpoint or record.checkpoint,
        failures=failures,
        failed_on=failed_on,
    )
    return _queue_again("task.fail", cell, waiting, f"{record.worker}: {detail}")


def _fail_job(cell: str, record: TaskRecord, reason: str) -> Change:
    done = JobRow(record.task, JobState.FAILED, record, cell, record.attempt, reason=reason)
    write = Write(job_key(record.task), record.job_version, encode(done))
    return Change("job.fail", record.task, None, (write,), detail=reason)


def _queue_again(kind: str, cell: str, waiting: TaskRecord, detail: str) -> Change:
    write = Write(queue_key(cell, waiting.task), ABSENT, encode(QueueRow(waiting)))
    return Change(kind, waiting.task, None, (write,), queued=waiting, detail=detail)


def cancel(cell: str, task: str, cancel_version: int, waiting: WaitingTask | None) -> Change:
    """Drop a cancelled job that has stopped or is waiting, with its cancellation request."""
    writes: tuple[Write, ...] = (Write(cancel_key(cell, task), cancel_version, None),)
    if waiting is not None:
        writes += (Write(queue_key(cell, task), waiting.version, None),)
    return Change("task.cancel", task, None, writes)


def remove_standing(
    cell: str, record: TaskRecord, row_version: int, bundle: int, waiting: WaitingTask | None
) -> Change:
    """Drop a stopped standing task that a newer bundle no longer names."""
    task = record.task
    row = StandingRow(task, cell, bundle, removed=bundle, attempt=record.attempt)
    writes: tuple[Write, ...] = (Write(standing_key(task), row_version, encode(row)),)
    if waiting is not None:
        writes += (Write(queue_key(cell, task), waiting.version, None),)
    return Change("standing.remove", task, None, writes)


def move(cell: str, waiting: WaitingTask, target: str, payload: bytes) -> tuple[Write, ...]:
    """Return the writes that move a waiting task to another cell's queue."""
    record = waiting.record
    version = record.job_version or waiting.version
    # Zero means the version of the new queue row, which the job row receives as well.
    moved = msgspec.structs.replace(
        record,
        job_version=0,
        order=record.order or waiting.version,
        moves=record.moves + 1,
    )
    if record.standing:
        standing_row = encode(StandingRow(record.task, target, record.bundle))
        location = Write(standing_key(record.task), version, standing_row)
    else:
        job = JobRow(record.task, JobState.ACCEPTED, moved, target)
        location = Write(job_key(record.task), version, encode(job))
    return (
        Write(queue_key(cell, record.task), waiting.version, None),
        Write(queue_key(target, record.task), ABSENT, encode(QueueRow(moved, payload))),
        location,
    )
