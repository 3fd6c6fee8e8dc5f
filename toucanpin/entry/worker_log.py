"""
Log of workers
==============

Log what a cell's workers answer, and what is ordered from them.
"""

from __future__ import annotations

from collections.abc import Iterable

import logbook

from toucanpin.entry.log_fields import describe_attempt
from toucanpin.entry.metrics import ENDS, REFUSED_STARTS
from toucanpin.scheduling.job import format_task
from toucanpin.scheduling.orders import EndedRun, RefusalReason, StopOrder
from toucanpin.scheduling.worker import Run, Silence, Worker

__all__ = [
    "log_distrusted",
    "log_ends",
    "log_refused",
    "log_replaced",
    "log_restarted",
    "log_silent",
    "log_stopping",
    "log_unnumbered",
]

_log = logbook.Logger("workers")


def log_restarted(worker: Worker) -> None:
    """Log a worker of which a new incarnation has become known."""
    _log.info(
        "worker restarted under its id",
        event="worker.restarted",
        worker=worker.entry.id,
        born=worker.born,
        earlier=worker.earlier_born,
    )


def log_unnumbered(worker: Worker) -> None:
    """Log a worker that doesn't tell its incarnation."""
    _log.warning(
        "a worker doesn't tell its incarnation, so its restarts may go unnoticed",
        event="worker.unnumbered",
        worker=worker.entry.id,
    )


def log_replaced(worker: Worker) -> None:
    """Log a worker at whose address another one answers."""
    _log.info("worker replaced", event="worker.replaced", worker=worker.entry.id)


def log_silent(worker: Worker, silence: Silence, error: Exception) -> None:
    """Log a worker that doesn't answer any more, or doesn't in another way than before."""
    _log.warning(
        "no answer from a worker",
        event="worker.silent",
        worker=worker.entry.id,
        silence=silence.value,
        reason=error,
    )


def log_distrusted(worker: Worker) -> None:
    """Log a worker that has become distrusted, with the jobs that failed there."""
    _log.warning(
        "tasks of several jobs fail on a worker",
        event="worker.doubted",
        worker=worker.entry.id,
        jobs=sorted(worker.failed_jobs),
    )


def log_refused(run: Run, reason: RefusalReason) -> None:
    """Log and count a start that its worker has refused."""
    REFUSED_STARTS.add(1, {"reason": reason.value})
    _log.info(
        "start refused",
        event="task.refused",
        job=run.task.job,
        worker=run.worker,
        reason=reason.value,
    )


def log_stopping(order: StopOrder) -> None:
    """Log a stop that is sent."""
    _log.info(
        "stopping task",
        event="task.stopping",
        job=order.task.job,
        task=format_task(order.task),
        worker=order.worker,
        reason=order.reason,
    )


def log_ends(worker: Worker, ends: Iterable[EndedRun]) -> None:
    """Log and count the ended runs that a worker lists for the first time."""
    for ended in ends:
        if ended.sequence > worker.listed_sequence:
            ENDS.add(1, ended.end.value)
            _log.info(
                "task ended",
                event="task.ended",
                **describe_attempt(ended.task, ended.attempt, worker.entry.id),
                end=ended.end.value,
            )
