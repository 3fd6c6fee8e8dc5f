"""
Retries
=======

Choice of the workers on which a task may be retried after failures and lost workers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell, Group, LiveJob, Now
from toucanpin.scheduling.choosing import meets_constraints
from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.progress import CrashSuspicion
from toucanpin.scheduling.suspicion import (
    count_suspected,
    find_suspicion,
    is_new_worker,
    list_lost_workers,
    requires_proof,
)
from toucanpin.scheduling.trust import is_distrusted
from toucanpin.scheduling.worker import Worker, count_fitting_when_idle, fits_when_idle

__all__ = ["count_failures", "list_last_resorts", "list_retry_workers", "wastes_attempt"]

MAX_TRUST_WAIT_S = 6.0  # for room on a worker on which tasks don't fail


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
    if not count_failures(live, task):
        return eligible
    found = _find_alternatives(live, task, eligible, now)
    suitable = [worker for worker in eligible if not _has_better(worker, found, now)]
    step = live.job.steps[task.step]
    if step.gang and sum(count_fitting_when_idle(worker, step) for worker in suitable) < step.count:
        return eligible
    return suitable


def count_failures(live: LiveJob, task: TaskKey) -> int:
    """Return how many attempts of a task have failed."""
    records = live.progress.tasks[task.occurrence]
    return records[live.offsets[task.step] + task.index].failures


def wastes_attempt(
    live: LiveJob, task: TaskKey, worker: Worker, eligible: Iterable[Worker], now: Now
) -> bool:
    """
    Return whether a retry on a worker where tasks fail would waste an attempt.

    On a full fleet a failing worker has the only free capacity, and would use up all attempts of a
    task in a row. The attempt isn't wasted if no other worker could run the task.
    """
    if worker.retries_blocked_until <= now.steady and not is_distrusted(worker):
        return False
    return _has_better(worker, _find_alternatives(live, task, eligible, now), now)


def list_last_resorts(
    cell: Cell, group: Group, eligible: Iterable[Worker], now: Now
) -> list[Worker]:
    """
    Return the workers that a task may try after it has waited for long for room on better ones.

    A worker that gets nothing else can't be cleared by a success, so a task that waits for room on
    a trusted one might wait forever beside it.
    """
    wait = cell.waits.get(group)
    if wait is None or now.steady < wait.since + MAX_TRUST_WAIT_S:
        return []
    return [worker for worker in eligible if worker.retries_blocked_until <= now.steady]


@dataclass(frozen=True, slots=True)
class _Alternatives:
    """Whether any worker could run a task that isn't blocked, or that is trusted."""

    unblocked: bool = False
    trusted: bool = False


def _find_alternatives(
    live: LiveJob, task: TaskKey, eligible: Iterable[Worker], now: Now
) -> _Alternatives:
    """
    Return which better workers a retry of a task may wait for.

    Only the last attempt waits for a trusted worker, until the pause after its failure is over.
    """
    step = live.job.steps[task.step]
    failures = count_failures(live, task)
    if step.long_running or not failures:
        return _Alternatives()
    group = Group(task.job, task.occurrence, task.step)
    fitting = [
        worker
        for worker in eligible
        if fits_when_idle(worker, step) and meets_constraints(worker, group, step)
    ]
    is_last = failures >= live.job.max_failures - 1
    return _Alternatives(
        any(worker.retries_blocked_until <= now.steady for worker in fitting),
        is_last and not all(is_distrusted(worker) for worker in fitting),
    )


def _has_better(worker: Worker, found: _Alternatives, now: Now) -> bool:
    """Return whether a retry should rather be made on another worker than this one."""
    if worker.retries_blocked_until > now.steady:
        return found.unblocked
    return found.trusted and is_distrusted(worker)


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
    lost = list_lost_workers(live, task)
    established = [worker for worker in eligible if not is_new_worker(worker, now)]
    if requires_proof(live, task, now) or any(
        fits_when_idle(worker, step) and meets_constraints(worker, group, step)
        for worker in established
    ):
        eligible = established
    # On a small fleet all may have been lost.
    others = [worker for worker in eligible if worker.entry.id not in lost] or eligible
    return [worker for worker in others if not count_suspected(worker, now)]
