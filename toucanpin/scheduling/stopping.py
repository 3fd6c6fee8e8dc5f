"""
Stopping runs
=============

Stop runs, alone or with their gang, and requeue their tasks.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Cell, Group, LiveJob, Now, drop_run, find_record, list_runs
from toucanpin.scheduling.orders import StopOrder
from toucanpin.scheduling.progress import JobState, TaskState
from toucanpin.scheduling.worker import Phase, Run, mark_stopping

__all__ = ["count_unavailable", "list_gang_runs", "requeue_task", "stop_gang", "stop_run"]

# Workers are polled every 0.4 to 0.7 s, and answers may be late.
MAX_LISTING_AGE_S = 2.0  # within which a listed task counts as available


def stop_run(cell: Cell, run: Run, reason: str) -> None:
    """Stop a run; one whose start was never sent ends at once."""
    worker = cell.workers[run.worker]
    if run.phase is Phase.PLACED:
        drop_run(cell, worker, run)
        cell.placed = [other for other in cell.placed if other is not run]
        live = cell.jobs.get(run.task.job)
        record = find_record(live, run.task) if live else None
        if live is None or record is None or record.attempt != run.attempt:
            return
        # Another copy may have finished the task. If it were requeued, it would run again and be
        # counted twice, and the next step would begin before this one is done.
        if record.state == TaskState.DONE:
            return
        record.state = TaskState.WAITING
        record.worker = ""
        record.born = 0
        if not JobState(live.progress.state).ended:
            requeue_task(cell, run)
        return
    mark_stopping(worker, run)
    run.stop_acknowledged_at = run.stop_sent_at = 0.0
    cell.orders.append(StopOrder(run.worker, run.task, run.attempt, reason))


def requeue_task(cell: Cell, run: Run) -> None:
    """Put the task of a run back into the queue."""
    group = Group(run.task.job, run.task.occurrence, run.task.step)
    cell.waiting.setdefault(group, set()).add(run.task.index)


def stop_gang(cell: Cell, live: LiveJob, run: Run, reason: str) -> None:
    """Stop the other members of a run's gang, which can't complete without it."""
    for other in list_gang_runs(cell, live, run):
        if other is not run:
            stop_run(cell, other, reason)


def list_gang_runs(cell: Cell, live: LiveJob, run: Run) -> list[Run]:
    """Return the active runs of a run's gang, including the run."""
    return [
        other
        for other in list_runs(cell, live)
        if other.task.occurrence == run.task.occurrence
        and other.task.step == run.task.step
        and other.attempt == run.attempt
    ]


def count_unavailable(cell: Cell, run: Run, now: Now) -> int:
    """
    Return how many other tasks of a long-running task's step are unavailable.

    A task that wasn't listed recently counts as unavailable: its worker may have crashed while its
    lease still runs.
    """
    live = cell.jobs.get(run.task.job)
    if live is None:
        return 0
    available = sum(
        other.phase is Phase.RUNNING
        and other.percent >= 100
        and now.steady < other.last_listed_at + MAX_LISTING_AGE_S
        for other in list_runs(cell, live)
        if other is not run
        and other.task.step == run.task.step
        and other.task.occurrence == run.task.occurrence
    )
    return run.step.count - 1 - available
