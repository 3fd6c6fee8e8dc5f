"""
Released runs
=============

Runs whose tasks may run elsewhere although their workers didn't tell their ends, and which of them
are seen again.

Notes
-----
A run that its worker lists as running after its release may have run beside its replacement, so
the sight of one tells of a broken promise whatever the cause.  Its absence proves nothing: a worker
that was cut off for longer has ended the run by then, and doesn't tell when.  The next owner
doesn't know of releases before its own.
"""

from __future__ import annotations

from itertools import takewhile

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.orders import RunEnd
from toucanpin.scheduling.worker_faults import Loss, Reappearance

__all__ = ["record_release", "record_seen_again"]

MEMORY_S = 60.0  # for which a worker that was cut off may tell of a released run


def record_release(cell: Cell, loss: Loss, now: Now) -> None:
    """Record a run that was lost with its worker; those released long ago are forgotten."""
    released = cell.released_runs
    released.pop((loss.worker, loss.task, loss.attempt), None)  # the oldest ones come first
    released[loss.worker, loss.task, loss.attempt] = loss
    for known in list(
        takewhile(lambda it: now.steady > released[it].released_at + MEMORY_S, released)
    ):
        del released[known]


def record_seen_again(
    cell: Cell, worker: str, task: TaskKey, attempt: int, end: RunEnd | None, asked_at: float
) -> None:
    """
    Record that a worker lists a released run, as running or as ended, for the log.

    ``asked_at`` is when the worker was asked: an answer may be older than the release.
    """
    key = (worker, task, attempt)
    loss = cell.released_runs.get(key)
    if loss is None or (end is None and asked_at < loss.released_at):
        return
    del cell.released_runs[key]
    cell.unlogged_reappearances.append(Reappearance(loss, end, asked_at - loss.released_at))
