"""
Trust in workers
================

Decide by the outcome of a worker's earlier tasks whether it may be given more.
"""

from __future__ import annotations

from toucanpin.scheduling.attribution import (
    MIN_FAILED_JOBS,
    clear_worker,
    is_distrusted,
    limit_distrusted,
    record_failed,
    record_well,
)
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = [
    "EARLY_FAILURE_S",
    "MIN_FAILED_JOBS",
    "is_distrusted",
    "is_trusted",
    "may_try",
    "record_failure",
    "record_success",
    "record_survival",
]

AVOIDANCE_PERIOD_S = 3.0  # after a failure
LAST_RESORT_PAUSE_S = 2.5  # for jobs that have nowhere else to go: none stands still for 3 s
EARLY_FAILURE_S = 2.0  # a long-running task that fails later isn't its worker's fault
TRIAL_PERIOD_S = 1.0  # between tasks on a distrusted worker
# A task that runs for longer than those that failed, by this factor, shows that its worker is well.
SURVIVAL_FACTOR = 2.0


def record_failure(
    cell: Cell, worker: Worker, run: Run, now: Now, avoidance: float = AVOIDANCE_PERIOD_S
) -> None:
    """Record that a task failed or made no progress on a worker."""
    # A long-running task may fail at any time; only an early failure is evidence against its
    # worker.
    is_late = run.step.long_running and now.steady > run.ordered_at + EARLY_FAILURE_S
    if not is_late and record_failed(cell, worker, run, now):
        return
    until = now.steady + avoidance
    worker.suspect_until = max(worker.suspect_until, until)
    if is_late:
        return
    was_distrusted = is_distrusted(worker)
    worker.failed_jobs.add(run.task.job)
    worker.failed_at = now.steady
    worker.failed_after = max(worker.failed_after, _measure_age(run, now))
    worker.retries_blocked_until = max(worker.retries_blocked_until, until)
    if is_distrusted(worker) and not was_distrusted:
        worker.distrusted_since = now.steady
        limit_distrusted(cell)


def record_success(cell: Cell, worker: Worker, run: Run) -> None:
    """Record that a worker completed a task; one started before a failure shows little."""
    record_well(cell, worker, run)
    worker.suspect_until = 0.0
    _restore_trust(cell, worker, run)


def record_survival(cell: Cell, worker: Worker, run: Run, now: Now) -> None:
    """
    Record that a running task has gone on for longer than those that failed on its worker.

    A worker that runs long tasks completes none for a while, and would stay distrusted meanwhile.
    """
    if run.survived or not (run.step.long_running or run.percent):
        return
    if _measure_age(run, now) > max(EARLY_FAILURE_S, SURVIVAL_FACTOR * worker.failed_after):
        run.survived = True
        if run.step.long_running:
            record_well(cell, worker, run)
        _restore_trust(cell, worker, run)


def is_trusted(worker: Worker, now: Now) -> bool:
    """
    Return whether a worker may be given a task.

    On a full fleet a worker that fails every task soon has the only free capacity, and would use up
    all attempts of job after job. So it is given nothing for a while, and then one task at a time
    until one succeeds.
    """
    if not is_distrusted(worker):
        return True
    if now.steady < worker.retries_blocked_until:
        return False
    return not any(_is_on_trial(worker, run, now) for run in worker.runs.values())


def may_try(worker: Worker, job: str, now: Now) -> bool:
    """
    Return whether a distrusted worker may be given a task of a job that has nowhere else to go.

    Tasks that fail there again and again keep the worker from all others without an end.  If it is
    bad, a job loses one attempt there.
    """
    if not is_distrusted(worker) or job in worker.failed_jobs:
        return False
    return now.steady >= worker.distrusted_since + LAST_RESORT_PAUSE_S


def _restore_trust(cell: Cell, worker: Worker, run: Run) -> None:
    """
    Trust a worker again if the run that did well was started after its failures.

    On a distrusted worker failures go on while jobs that fail by themselves are tried, so a start
    since it is distrusted suffices: a worker that fails every task has none that does well.
    """
    failed_at = worker.distrusted_since if is_distrusted(worker) else worker.failed_at
    if run.ordered_at > failed_at:
        clear_worker(cell, worker, run.ordered_at)
        worker.failed_after = 0.0
        worker.retries_blocked_until = 0.0


def _measure_age(run: Run, now: Now) -> float:
    """Return for how long a run has gone on in s, 0 if an earlier owner began it."""
    began = run.started_at or run.ordered_at
    return now.steady - began if began else 0.0


def _is_on_trial(worker: Worker, run: Run, now: Now) -> bool:
    if run.phase is Phase.PLACED:
        return True
    return run.ordered_at > worker.failed_at and now.steady < run.ordered_at + TRIAL_PERIOD_S
