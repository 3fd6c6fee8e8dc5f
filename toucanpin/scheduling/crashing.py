"""
Crashing tasks
==============

Suspicion of tasks whose workers were lost, and failure of jobs whose tasks crash workers.

Notes
-----
A worker that crashes reports no ends, so its runs are only known to be lost.  Each lost incarnation
of a worker counts against the tasks that may have crashed it, until that incarnation answers again.
A loss right after a start counts most against the task that was started.  An incarnation whose
number is known is named by it too, since its worker's next one answers under the same id.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from toucanpin.scheduling.cell import Cell, LiveJob, Now, find_record, mark_dirty
from toucanpin.scheduling.ending import end_job
from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.progress import (
    CrashSuspicion,
    JobState,
    TaskRecord,
    TaskState,
    clear_losses,
)
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = [
    "MAX_CRASHES",
    "MAX_CRASHES_AT_START",
    "NEW_WORKER_PERIOD_S",
    "assess_suspicion",
    "clear_survivor",
    "clear_worker",
    "count_suspected",
    "describe_losses",
    "fail_crashing_jobs",
    "find_suspicion",
    "forget_crashes",
    "is_new_worker",
    "is_start_blocked",
    "record_loss",
    "restore_crashes",
    "runs_last_attempt",
]

MAX_CRASHES = 5  # workers lost while they ran a task, until it isn't started any more
MAX_CRASHES_AT_START = 3  # the same for workers lost right after the task's start
MIN_CONFIRMED_CRASHES = 2  # lost workers that certainly ended; others may only be disconnected
START_PERIOD_S = 1.0  # within which a loss counts as one at the start
SURVIVAL_PERIOD_S = 5.0  # after which a long-running task is cleared of suspicion
NEW_WORKER_PERIOD_S = 10.0  # since the first listing
SUSPICION_PERIOD_S = 2.0  # after the start of a task that ran on lost workers


def record_loss(cell: Cell, worker: Worker, run: Run, now: Now) -> int:
    """Count the loss of a worker against a run's task; return the number of losses counted."""
    live = cell.jobs.get(run.task.job)
    record = find_record(live, run.task) if live else None
    if live is None or record is None or JobState(live.progress.state).ended:
        return 0
    if record.state == TaskState.DONE:
        return 0
    lost = _name_incarnation(worker.entry.id, run.born or worker.born)
    if lost not in record.crashed and _may_have_caused_loss(worker, run):
        record.crashed[lost] = _was_lost_at_start(run)
        record.lost_at[lost] = now.table
        mark_dirty(cell, live)
        _index_losses(cell, run.task, record)
    return len(record.crashed)


def clear_worker(cell: Cell, worker: Worker) -> None:
    """Discard the losses counted for a worker that answers: nothing crashed it."""
    if cell.suspects:
        _discard_losses(cell, worker.entry.id)
        _discard_losses(cell, _name_incarnation(worker.entry.id, worker.born))


def clear_survivor(run: Run, record: TaskRecord) -> None:
    """Discard the losses of a long-running task that has run long enough."""
    if run.step.long_running and run.last_listed_at > run.started_at + SURVIVAL_PERIOD_S:
        clear_losses(record)
        run.suspicion = CrashSuspicion.NONE


def restore_crashes(cell: Cell, task: TaskKey, record: TaskRecord) -> None:
    """Restore the losses that an earlier owner counted against a task."""
    if record.crashed:
        _index_losses(cell, task, record)


def forget_crashes(cell: Cell) -> None:
    """Discard the losses of tasks of forgotten jobs, and those that no longer count."""
    for lost, tasks in list(cell.suspects.items()):
        # A long-running job is never forgotten, and each restart of its workers has a new name.
        tasks -= {task for task in tasks if not _counts_loss(cell, task, lost)}
        if not tasks:
            del cell.suspects[lost]


def is_start_blocked(cell: Cell, live: LiveJob, task: TaskKey) -> bool:
    """
    Return whether a task may not be started until more is known of the lost workers that ran it.

    A copy is started as soon as a worker becomes silent, so silent workers count too.
    """
    record = _get_record(live, task)
    if not live.job.steps[task.step].speculative or not record.attempt:
        return _exceeds_limit(record.crashed)
    runs = [run for run in cell.runs.get(task.job, ()) if run.task == task]
    silent = {
        _name_incarnation(run.worker, run.born): _was_lost_at_start(run)
        for run in runs
        if _is_silent(cell, run)
    }
    return _exceeds_limit(record.crashed | silent)


def assess_suspicion(record: TaskRecord) -> CrashSuspicion:
    """Return how strongly a task is suspected of crashing its workers."""
    if not record.crashed:
        return CrashSuspicion.NONE
    one_more = record.crashed | {"": True}
    return CrashSuspicion.LAST_ATTEMPT if _exceeds_limit(one_more) else CrashSuspicion.SUSPECTED


def find_suspicion(live: LiveJob, task: TaskKey) -> CrashSuspicion:
    """Return how strongly a task of a job is suspected of crashing its workers."""
    return assess_suspicion(_get_record(live, task))


def describe_losses(record: TaskRecord, now: Now) -> Iterator[str]:
    """Yield a text for each loss that counts against a task: which, how it counted and when."""
    for lost, at_start in record.crashed.items():
        ago = (now.table - record.lost_at.get(lost, now.table)) / 1_000
        yield f"{lost} {'at the start' if at_start else 'later'} {ago:.1f} s ago"


def count_suspected(worker: Worker, now: Now) -> int:
    """Return how many suspected tasks a worker runs."""
    return sum(_is_suspected(run, now) for run in worker.runs.values())


def runs_last_attempt(worker: Worker, now: Now) -> bool:
    """Return whether a worker runs a task that fails its job if the worker is lost."""
    runs = (run for run in worker.runs.values() if run.suspicion is CrashSuspicion.LAST_ATTEMPT)
    return any(_is_suspected(run, now) for run in runs)


def is_new_worker(worker: Worker, now: Now) -> bool:
    """Return whether a worker is new: it may be one of many that end soon after their start."""
    return now.steady < worker.first_listed_at + NEW_WORKER_PERIOD_S


def fail_crashing_jobs(cell: Cell, now: Now) -> list[TaskKey]:
    """
    Fail the jobs of tasks that have crashed enough workers; return the tasks.

    An owner that hasn't read the list of workers yet can't know whether an incarnation has ended.
    """
    failed: list[TaskKey] = []
    if not any(worker.entry.address for worker in cell.workers.values()):
        return failed
    for task in sorted(cell.crashing):
        live = cell.jobs.get(task.job)
        record = find_record(live, task) if live else None
        if live is None or record is None or not _may_be_failed(live, record):
            cell.crashing.discard(task)
        elif sum(_has_ended(cell, lost) for lost in record.crashed) >= MIN_CONFIRMED_CRASHES:
            cell.crashing.discard(task)
            end_job(cell, live, JobState.FAILED, now)
            # The losses are explained, so they no longer count against other tasks.
            for worker in record.crashed:
                _discard_losses(cell, worker, task)
            failed.append(task)
    return failed


def _discard_losses(cell: Cell, worker: str, cause: TaskKey | None = None) -> None:
    """Discard the loss of a worker for all tasks but the one that caused it."""
    for task in cell.suspects.pop(worker, ()):
        live = cell.jobs.get(task.job)
        record = find_record(live, task) if live else None
        if live is None or record is None or task == cause:
            continue
        if record.crashed.pop(worker, None) is not None:
            record.lost_at.pop(worker, None)
            mark_dirty(cell, live)


def _counts_loss(cell: Cell, task: TaskKey, lost: str) -> bool:
    """Return whether a loss still counts against a task."""
    live = cell.jobs.get(task.job)
    record = find_record(live, task) if live else None
    return record is not None and lost in record.crashed


def _name_incarnation(worker: str, born: int) -> str:
    """Return the name under which the loss of an incarnation of a worker is counted."""
    return f"{worker}/{born}" if born else worker


def _has_ended(cell: Cell, lost: str) -> bool:
    """Return whether a lost incarnation certainly ended; it may only be disconnected."""
    identifier, _, born = lost.partition("/")
    worker = cell.workers.get(identifier)
    if worker is None:
        return True
    return bool(born and worker.born) and str(worker.born) != born


def _may_be_failed(live: LiveJob, record: TaskRecord) -> bool:
    if JobState(live.progress.state).ended or record.state == TaskState.DONE:
        return False
    return _exceeds_limit(record.crashed)


def _may_have_caused_loss(worker: Worker, run: Run) -> bool:
    """Return whether a run may have crashed its worker."""
    if run.phase is Phase.ORDERED and not run.ordered_at:
        return False
    if run.step.long_running and run.last_listed_at > run.started_at + SURVIVAL_PERIOD_S:
        return False
    # A worker without an address is known from a row only. It may have crashed before this owner
    # listed it, so its readiness is unknown.
    announced = bool(worker.entry.address) and not worker.entry.ready
    return not announced and not worker.draining_since


def _was_lost_at_start(run: Run) -> bool:
    """
    Return whether a run's worker may have been lost right after the start.

    The start time of a run that an earlier owner started isn't known.
    """
    if run.phase is Phase.UNKNOWN or not run.ordered_at:
        return False
    return run.last_listed_at < run.ordered_at + START_PERIOD_S


def _exceeds_limit(losses: Mapping[str, bool]) -> bool:
    return len(losses) >= MAX_CRASHES or sum(losses.values()) >= MAX_CRASHES_AT_START


def _index_losses(cell: Cell, task: TaskKey, record: TaskRecord) -> None:
    for worker in record.crashed:
        cell.suspects.setdefault(worker, set()).add(task)
    if _exceeds_limit(record.crashed):
        cell.crashing.add(task)


def _get_record(live: LiveJob, task: TaskKey) -> TaskRecord:
    records = live.progress.tasks[task.occurrence]
    return records[live.offsets[task.step] + task.index]


def _is_silent(cell: Cell, run: Run) -> bool:
    worker = cell.workers.get(run.worker)
    return worker is not None and worker.silent


def _is_suspected(run: Run, now: Now) -> bool:
    if run.suspicion is CrashSuspicion.NONE:
        return False
    return not run.ordered_at or now.steady < run.ordered_at + SUSPICION_PERIOD_S
