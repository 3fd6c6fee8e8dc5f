"""
Attribution of failures
=======================

Decide whether a task's failure is laid on its worker or on its own job.

Notes
-----
A single failure tells neither.  A step that fails on one worker and does well on others shows a bad
worker; one that fails on most of the workers it has tried fails by itself, whatever else runs
there.  Between them the larger side decides: a step whose tasks failed on more workers than there
are jobs that failed on these is at fault itself.  Without that, a few jobs that can't run would
make each worker look bad to all other jobs.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from toucanpin.scheduling.cell import Cell, Now, StepAtFault, StepOutcomes
from toucanpin.scheduling.worker import Run, Worker

__all__ = [
    "MIN_FAILED_JOBS",
    "clear_worker",
    "is_distrusted",
    "limit_distrusted",
    "record_failed",
    "record_well",
]

MIN_FAILED_JOBS = 3  # on a worker since its last success; fewer jobs may themselves be at fault
MIN_FAILED_WORKERS = 3  # of a step at fault; one or two may be bad workers that it met in turn
FAILURE_MAX_AGE_S = 60.0
# Workers fail independently of each other.  If more of them look bad, the jobs are the cause.
MAX_DISTRUSTED_SHARE = 0.5
MIN_COMPARED_WORKERS = 3  # fewer show nothing about each other


def is_distrusted(worker: Worker) -> bool:
    """Return whether tasks of several jobs have failed on a worker since its last success."""
    return len(worker.failed_jobs) >= MIN_FAILED_JOBS


def record_failed(cell: Cell, worker: Worker, run: Run, now: Now) -> bool:
    """Record a failed or refused run; return whether that is laid on its job."""
    outcomes = _find_outcomes(cell, run)
    if outcomes is None:
        return False
    job = run.task.job
    outcomes.failed[worker.entry.id] = now.steady
    if not outcomes.at_fault and _fails_by_itself(cell, outcomes, job, now):
        _lay_on_job(cell, job, run.task.step, outcomes)
    if outcomes.at_fault:
        _clear_workers(cell, outcomes, job)
    return outcomes.at_fault


def record_well(cell: Cell, worker: Worker, run: Run) -> None:
    """Record that a run did well: the task is done, or runs for longer than those that fail."""
    outcomes = _find_outcomes(cell, run)
    if outcomes is not None:
        outcomes.well.add(worker.entry.id)
        outcomes.at_fault = False


def clear_worker(cell: Cell, worker: Worker, well_since: float) -> None:
    """
    Trust a worker again, on which a run that began at ``well_since`` does well.

    The jobs that failed there meanwhile, and did well nowhere, fail by themselves.
    """
    for job in worker.failed_jobs:
        for step, outcomes in _list_outcomes(cell, job):
            if outcomes.failed.get(worker.entry.id, 0.0) > well_since and not outcomes.well:
                _lay_on_job(cell, job, step, outcomes)
    worker.failed_jobs.clear()


def limit_distrusted(cell: Cell) -> None:
    """
    Lay failures on the jobs that fail on the most workers until few workers are distrusted.

    A job that failed on one worker only says nothing against another, so it stays with its worker.
    """
    workers = [worker for worker in cell.workers.values() if worker.reached]
    limit = MAX_DISTRUSTED_SHARE * len(workers)
    if len(workers) < MIN_COMPARED_WORKERS:
        return
    distrusted = [worker for worker in workers if is_distrusted(worker)]
    counts = Counter(job for worker in distrusted for job in worker.failed_jobs)
    for job, count in counts.most_common():
        if count < 2 or len(distrusted) <= limit:
            return
        failing = [(step, it) for step, it in _list_outcomes(cell, job) if it.failed]
        if any(outcomes.well for _, outcomes in failing):
            continue
        for step, outcomes in failing:
            _lay_on_job(cell, job, step, outcomes)
        for worker in workers:
            worker.failed_jobs.discard(job)
        distrusted = [worker for worker in distrusted if is_distrusted(worker)]


def _fails_by_itself(cell: Cell, outcomes: StepOutcomes, job: str, now: Now) -> bool:
    """Return whether a step fails on most workers it has tried, and these are no bad ones."""
    oldest = now.steady - FAILURE_MAX_AGE_S
    outcomes.failed = {key: at for key, at in outcomes.failed.items() if at >= oldest}
    failed = outcomes.failed.keys()
    if len(failed) < MIN_FAILED_WORKERS or 2 * len(failed) <= len(failed | outcomes.well):
        return False
    if 2 * len(failed) > len(cell.workers):
        return True
    # A worker on which more jobs fail than this one fails on workers may be bad itself.
    workers = (cell.workers[key] for key in failed if key in cell.workers)
    credible = (it for it in workers if len(it.failed_jobs - {job}) < len(failed) - 1)
    return sum(1 for _ in credible) >= MIN_FAILED_WORKERS


def _lay_on_job(cell: Cell, job: str, step: int, outcomes: StepOutcomes) -> None:
    outcomes.at_fault = True
    if not outcomes.logged:
        outcomes.logged = True
        found = StepAtFault(job, step, len(outcomes.failed), len(outcomes.well))
        cell.unlogged_steps_at_fault.append(found)


def _clear_workers(cell: Cell, outcomes: StepOutcomes, job: str) -> None:
    for key in outcomes.failed:
        worker = cell.workers.get(key)
        if worker is not None:
            worker.failed_jobs.discard(job)


def _find_outcomes(cell: Cell, run: Run) -> StepOutcomes | None:
    live = cell.jobs.get(run.task.job)
    return None if live is None else live.outcomes.setdefault(run.task.step, StepOutcomes())


def _list_outcomes(cell: Cell, job: str) -> Iterable[tuple[int, StepOutcomes]]:
    """Return the outcomes of a job by step; an ended one has none."""
    live = cell.jobs.get(job)
    return live.outcomes.items() if live is not None else ()
