"""
Trust in workers
================

Which workers may be given tasks, by what became of those that they were given before.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Now
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = ["EARLY_FAILURE_S", "is_distrusted", "is_trusted", "record_success", "record_failure"]

AVOIDANCE_PERIOD_S = 3.0  # s that a worker is avoided after failures
MIN_FAILED_JOBS = 3  # jobs whose tasks failed in a row; fewer may themselves be at fault
EARLY_FAILURE_S = 2.0  # s that a lasting task has to work for its failure to be its own
TRIAL_PERIOD_S = 1.0  # s that one task is watched before a doubted worker gets the next


def record_failure(worker: Worker, run: Run, now: Now, avoided: float = AVOIDANCE_PERIOD_S) -> None:
    """Take note that a task failed or stood still on a worker."""
    until = now.steady + avoided
    worker.suspect_until = max(worker.suspect_until, until)
    # A lasting task may fail at any time; only one that fails at its start tells of its worker.
    if run.step.long_running and now.steady > run.ordered_at + EARLY_FAILURE_S:
        return
    worker.failed_jobs.add(run.task.job)
    worker.failed_at = now.steady
    worker.retries_blocked_until = max(worker.retries_blocked_until, until)


def record_success(worker: Worker, run: Run) -> None:
    """Take note that a worker has done a task; one that began before a failure proves little."""
    worker.suspect_until = 0.0
    if run.ordered_at > worker.failed_at:
        worker.failed_jobs.clear()
        worker.retries_blocked_until = 0.0


def is_distrusted(worker: Worker) -> bool:
    """Tell whether tasks of several jobs have failed on a worker since it did one."""
    return len(worker.failed_jobs) >= MIN_FAILED_JOBS


def is_trusted(worker: Worker, now: Now) -> bool:
    """
    Tell whether a worker may get a task.

    A worker that fails whatever it starts is soon the only one with room on a full fleet, and would
    use up all attempts of job after job.  So it gets nothing for a while, and then one task at a
    time until it does one.
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
