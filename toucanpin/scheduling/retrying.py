"""
Retries
=======

Choice of the workers on which a task may be retried after failures and lost workers.
"""

from __future__ import annotations

from collections.abc import Iterable

from toucanpin.scheduling.cell import Group, LiveJob, Now
from toucanpin.scheduling.choosing import meets_constraints
from toucanpin.scheduling.crashing import find_suspicion, is_new_worker, runs_last_attempt
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.progress import CrashSuspicion
from toucanpin.scheduling.trust import is_recently_distrusted
from toucanpin.scheduling.worker import Worker, count_fitting_when_idle, fits_when_idle

__all__ = ["list_retry_workers", "risks_attempt"]


def list_retry_workers(
    live: LiveJob, task: TaskKey, eligible: list[Worker], now: Now
) -> list[Worker]:
    """Return the workers on which a task may run, given its failures and losses."""
    if live.job.steps[task.step].speculative:
        # Runs of a worker are indexed by task: a copy there would hide the original run, whose
        # failure wouldn't be counted and whose resources wouldn't be released.
        eligible = [worker for worker in eligible if task not in worker.runs]
    if find_suspicion(live, task) is CrashSuspicion.LAST_ATTEMPT:
        eligible = _list_for_last_attempt(live, task, eligible, now)
    if not _count_failures(live, task):
        return eligible
    suitable = [worker for worker in eligible if not risks_attempt(live, task, worker, now)]
    step = live.job.steps[task.step]
    needed = step.count if step.gang else 1
    if _count_fitting(task, step, suitable) < needed:
        # The attempt isn't wasted if no other worker could run the task.
        return eligible
    return suitable


def risks_attempt(live: LiveJob, task: TaskKey, worker: Worker, now: Now) -> bool:
    """
    Return whether a retry on a worker where tasks fail might waste an attempt.

    On a full fleet a failing worker has the only free capacity, and would use up all attempts of a
    task in a row.
    """
    failures = _count_failures(live, task)
    if live.job.steps[task.step].long_running or not failures:
        return False
    if worker.retries_blocked_until > now.steady:
        return True
    is_last = failures >= live.job.max_failures - 1
    return is_last and is_recently_distrusted(worker, now)


def _list_for_last_attempt(
    live: LiveJob, task: TaskKey, eligible: list[Worker], now: Now
) -> list[Worker]:
    """
    Return the workers whose loss would be the clearest evidence against a task.

    Two tasks that were lost together would otherwise be placed together again, and the harmless one
    would fail with the one that crashes its workers. A task on workers that restart often would
    fail as well.
    """
    step = live.job.steps[task.step]
    group = Group(task.job, task.occurrence, task.step)
    available = [worker for worker in eligible if not runs_last_attempt(worker, now)]
    established = [worker for worker in eligible if not is_new_worker(worker, now)]
    if any(
        fits_when_idle(worker, step) and meets_constraints(worker, group, step)
        for worker in established
    ):
        return [worker for worker in available if not is_new_worker(worker, now)]
    return available


def _count_failures(live: LiveJob, task: TaskKey) -> int:
    records = live.progress.tasks[task.occurrence]
    return records[live.offsets[task.step] + task.index].failures


def _count_fitting(task: TaskKey, step: Step, workers: Iterable[Worker]) -> int:
    """Return how many tasks of a step the workers could run if they were idle."""
    group = Group(task.job, task.occurrence, task.step)
    return sum(
        count_fitting_when_idle(worker, step)
        for worker in workers
        if step.gang or meets_constraints(worker, group, step)
    )
