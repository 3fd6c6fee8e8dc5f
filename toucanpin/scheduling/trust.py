"""
Trust in workers
================

Decide by the outcome of a worker's earlier tasks whether it may be given more.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Now
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = [
    "EARLY_FAILURE_S",
    "is_distrusted",
    "is_trusted",
    "record_failure",
    "record_success",
]

AVOIDANCE_PERIOD_S = 3.0  # after a failure
MIN_FAILED_JOBS = 3  # with failures in a row; fewer jobs may themselves be at fault
EARLY_FAILURE_S = 2.0  # a long-running task that fails later isn't its worker's fault
TRIAL_PERIOD_S = 1.0  # between tasks on a distrusted worker


def record_failure(
    worker: Worker, run: Run, now: Now, avoidance: float = AVOIDANCE_PERIOD_S
) -> None:
    """Record that a task failed or made no progress on a worker."""
    until = now.steady + avoidance
    worker.suspect_until = max(worker.suspect_until, until)
    # A long-running task may fail at any time; only an early failure is evidence against its
    # worker.
    if run.step.long_running and now.steady > run.ordered_at + EARLY_FAILURE_S:
        return
    worker.failed_jobs.add(run.task.job)
    worker.failed_at = now.steady
    worker.retries_blocked_until = max(worker.retries_blocked_until, until)


def record_success(worker: Worker, run: Run) -> None:
    """Record that a worker completed a task; one started before a failure shows little."""
    worker.suspect_until = 0.0
    if run.ordered_at > worker.failed_at:
        worker.failed_jobs.clear()
        worker.retries_blocked_until = 0.0


def is_distrusted(worker: Worker) -> bool:
    """Return whether tasks of several jobs have failed on a worker since its last success."""
    return len(worker.failed_jobs) >= MIN_FAILED_JOBS


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


def _is_on_trial(worker: Worker, run: Run, now: Now) -> bool:
    if run.phase is Phase.PLACED:
        return True
    return run.ordered_at > worker.failed_at and now.steady < run.ordered_at + TRIAL_PERIOD_S
