"""
Instability of workers
======================

Tell workers that are lost whatever they run from those that a task may have crashed.

Notes
-----
Workers crash, restart and get disconnected for reasons of their own, often many at the same time or
one again and again.  A loss in such a time says little about the tasks that ran there: it would
have hit any task.  So it is compared with the share of the other workers that were lost within a
second of it.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.progress import CrashSuspicion
from toucanpin.scheduling.worker import Worker
from toucanpin.scheduling.worker_faults import LostWorker

__all__ = ["SUSPICION_PERIOD_S", "is_unstable", "record_lost_worker", "was_lost_otherwise"]

LOSS_MEMORY_S = 30.0  # for which a worker that was lost under other tasks is suspect itself
SIMULTANEOUS_PERIOD_S = 1.0  # between losses that may have the same cause
SUSPICION_PERIOD_S = 2.0  # after the start of a task that ran on lost workers
MIN_SIMULTANEOUS_LOSSES = 2
MIN_SIMULTANEOUS_SHARE = 0.04  # of all workers


def record_lost_worker(cell: Cell, worker: Worker, now: Now) -> None:
    """Record the loss of an incarnation of a worker, before its runs are ended."""
    tasks = frozenset(worker.runs)
    at = worker.silent_since or now.steady
    lost = LostWorker(worker.entry.id, at, tasks, _has_started_suspect(worker))
    cell.lost_workers.append(lost)
    oldest = now.steady - LOSS_MEMORY_S
    cell.lost_workers = [lost for lost in cell.lost_workers if lost.at > oldest]


def was_lost_otherwise(cell: Cell, worker: str, task: TaskKey) -> bool:
    """Return whether a worker was lost lately while it ran neither a task nor a suspected one."""
    return any(lost.worker == worker for lost in _list_unexplained(cell, task))


def is_unstable(
    cell: Cell, task: TaskKey, at: float, period: float = SIMULTANEOUS_PERIOD_S
) -> bool:
    """
    Return whether within ``period`` of a time many workers were lost that a task can't have
    crashed.

    Workers that don't answer count as well: whether they are lost may be known seconds later.
    """
    enough = max(MIN_SIMULTANEOUS_LOSSES, round(MIN_SIMULTANEOUS_SHARE * len(cell.workers)))
    near = islice(_list_lost_near(cell, task, at, period), enough)
    return sum(1 for _ in near) == enough


def _list_lost_near(cell: Cell, task: TaskKey, at: float, period: float) -> Iterator[str]:
    """Yield each worker once that was lost or fell silent near a time."""
    seen: set[str] = set()
    for lost in reversed(cell.lost_workers):
        if abs(lost.at - at) > period or lost.worker in seen:
            continue
        if not lost.suspected and task not in lost.tasks:
            seen.add(lost.worker)
            yield lost.worker
    for worker in cell.workers.values():
        is_near = worker.silent and worker.reached and abs(worker.silent_since - at) <= period
        if not is_near or worker.entry.id in seen or task in worker.runs:
            continue
        if not _has_started_suspect(worker):
            yield worker.entry.id


def _has_started_suspect(worker: Worker) -> bool:
    """Return whether a worker had just started a task that was lost with another one before."""
    return any(
        run.suspicion is not CrashSuspicion.NONE
        and run.last_listed_at < run.ordered_at + SUSPICION_PERIOD_S
        for run in worker.runs.values()
    )


def _list_unexplained(cell: Cell, task: TaskKey) -> Iterator[LostWorker]:
    """Yield the recent losses that neither a task nor other suspected ones can have caused."""
    for lost in cell.lost_workers:
        if not lost.suspected and task not in lost.tasks:
            yield lost
