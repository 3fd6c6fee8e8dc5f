"""
Crashing tasks
==============

Count the workers lost under each task, and fail the jobs of tasks that crash their workers.

Notes
-----
A worker that crashes reports no ends, so its runs are only known to be lost.  Each lost incarnation
of a worker counts against the tasks that may have crashed it, until that incarnation answers again.
An incarnation whose number is known is named by it too, since its worker's next one answers under
the same id.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Cell, LiveJob, Now, find_record, mark_dirty
from toucanpin.scheduling.ending import end_job
from toucanpin.scheduling.instability import is_unstable, record_lost_worker, was_lost_otherwise
from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.progress import (
    CrashSuspicion,
    JobState,
    TaskRecord,
    TaskState,
    clear_losses,
)
from toucanpin.scheduling.suspicion import (
    MIN_PROOF_CRASHES,
    NEW_WORKER_PERIOD_S,
    find_shared_losses,
    is_known_to_crash,
    name_incarnation,
    was_lost_at_start,
)
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = [
    "clear_advanced",
    "clear_survivor",
    "clear_worker",
    "fail_crashing_jobs",
    "forget_crashes",
    "record_incarnation_lost",
    "record_loss",
    "restore_crashes",
]

MIN_CONFIRMED_CRASHES = 2  # lost workers that certainly ended; others may only be disconnected
SURVIVAL_PERIOD_S = 5.0  # after which a long-running task is cleared of suspicion
# A run that goes on for so long and does so much of its task's work clears it of suspicion.  A task
# that saves work before it crashes each worker must not crash many.
MIN_ADVANCE_PERIOD_S = 3.0
MIN_ADVANCE_PERCENT = 5
# Since the latest loss, until the others of the same time are known as well.
ASSESSMENT_DELAY_S = 1.0
FIRST_LISTING_PERIOD_S = 3.0  # from a takeover until an owner has found the workers that are there


def record_incarnation_lost(cell: Cell, worker: Worker, now: Now) -> None:
    """
    Record the loss of an incarnation of a worker, before its runs are ended.

    One that never answered this owner may be an old entry of the list.
    """
    if worker.reached:
        record_lost_worker(cell, worker, now)


def record_loss(cell: Cell, worker: Worker, run: Run, now: Now) -> int:
    """Count the loss of a worker against a run's task; return the number of losses counted."""
    live = cell.jobs.get(run.task.job)
    record = find_record(live, run.task) if live else None
    if live is None or record is None or JobState(live.progress.state).ended:
        return 0
    if record.state == TaskState.DONE:
        return 0
    lost = name_incarnation(worker.entry.id, run.born or worker.born)
    if lost not in record.crashed and _may_have_caused_loss(worker, run):
        at = worker.silent_since or now.steady
        record.crashed[lost] = was_lost_at_start(run)
        record.furthest = max(record.furthest, run.percent)
        record.lost_at[lost] = now.table - int((now.steady - at) * 1_000)
        if _is_explained(cell, worker, run, record, at):
            record.explained.append(lost)
        mark_dirty(cell, live)
        _index_losses(cell, run.task, record)
    return len(record.crashed)


def clear_worker(cell: Cell, worker: Worker) -> None:
    """Discard the losses counted for a worker that answers: nothing crashed it."""
    if cell.suspects:
        _discard_losses(cell, worker.entry.id)
        _discard_losses(cell, name_incarnation(worker.entry.id, worker.born))


def clear_survivor(run: Run, record: TaskRecord) -> None:
    """Discard the losses of a long-running task that has run long enough."""
    if run.step.long_running and run.last_listed_at > run.started_at + SURVIVAL_PERIOD_S:
        clear_losses(record)
        run.suspicion = CrashSuspicion.NONE


def clear_advanced(run: Run, record: TaskRecord) -> None:
    """Discard the losses of a task that has saved work well beyond the point of each of them."""
    if run.step.long_running or run.last_listed_at < run.started_at + MIN_ADVANCE_PERIOD_S:
        return
    if run.percent >= record.furthest + MIN_ADVANCE_PERCENT:
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
        elif _is_certain(cell, task, record, now):
            cell.crashing.discard(task)
            end_job(cell, live, JobState.FAILED, now)
            for worker in record.crashed:
                _explain_losses(cell, worker, task)
            failed.append(task)
    return failed


def _is_certain(cell: Cell, task: TaskKey, record: TaskRecord, now: Now) -> bool:
    """Return whether a task certainly crashed its workers, by all that is known by now."""
    if now.table < max(record.lost_at.values(), default=0) + ASSESSMENT_DELAY_S * 1_000:
        return False
    _explain_later(cell, task, record, now)
    if not is_known_to_crash(record.crashed, record.explained):
        cell.crashing.discard(task)
        return False
    shared = find_shared_losses(cell, task, record.crashed)
    if not is_known_to_crash(record.crashed, record.explained, shared):
        return False
    unexplained = [lost for lost in record.crashed if lost not in record.explained]
    return sum(_has_ended(cell, lost) for lost in unexplained) >= MIN_CONFIRMED_CRASHES


def _explain_later(cell: Cell, task: TaskKey, record: TaskRecord, now: Now) -> None:
    """Explain losses by others of the same time that became known only later."""
    for lost, at in record.lost_at.items():
        steady = now.steady - (now.table - at) / 1_000
        if lost not in record.explained and is_unstable(cell, task, steady):
            record.explained.append(lost)
            mark_dirty(cell, cell.jobs[task.job])


def _is_explained(cell: Cell, worker: Worker, run: Run, record: TaskRecord, at: float) -> bool:
    """
    Return whether a loss would probably have hit any task.

    A worker that had only just restarted, or that was lost a moment ago under other tasks, is often
    lost again.  The latter doesn't count where a start was meant as a proof: other tasks that crash
    workers would hide this one.  How long a worker has been there that this owner found is unknown.
    """
    restarted = worker.first_listed_at > cell.owned_since + FIRST_LISTING_PERIOD_S
    if restarted and 0 < run.ordered_at < worker.first_listed_at + NEW_WORKER_PERIOD_S:
        return True
    is_proof = len(record.crashed) > MIN_PROOF_CRASHES
    if not is_proof and was_lost_otherwise(cell, worker.entry.id, run.task):
        return True
    return is_unstable(cell, run.task, at)


def _discard_losses(cell: Cell, worker: str) -> None:
    """Discard the loss of a worker for all tasks."""
    for task in cell.suspects.pop(worker, ()):
        live = cell.jobs.get(task.job)
        record = find_record(live, task) if live else None
        if live is None or record is None:
            continue
        if record.crashed.pop(worker, None) is not None:
            record.lost_at.pop(worker, None)
            record.explained = [lost for lost in record.explained if lost != worker]
            mark_dirty(cell, live)


def _explain_losses(cell: Cell, worker: str, cause: TaskKey) -> None:
    """
    Explain the loss of a worker for all tasks but the one that caused it.

    It isn't discarded: another of these tasks may crash workers as well, and would get as many
    more.
    """
    for task in cell.suspects.get(worker, ()):
        live = cell.jobs.get(task.job)
        record = find_record(live, task) if live else None
        if live is None or record is None or task == cause:
            continue
        if worker in record.crashed and worker not in record.explained:
            record.explained.append(worker)
            mark_dirty(cell, live)


def _counts_loss(cell: Cell, task: TaskKey, lost: str) -> bool:
    """Return whether a loss still counts against a task."""
    live = cell.jobs.get(task.job)
    record = find_record(live, task) if live else None
    return record is not None and lost in record.crashed


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
    return is_known_to_crash(record.crashed, record.explained)


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


def _index_losses(cell: Cell, task: TaskKey, record: TaskRecord) -> None:
    for worker in record.crashed:
        cell.suspects.setdefault(worker, set()).add(task)
    if is_known_to_crash(record.crashed, record.explained):
        cell.crashing.add(task)
