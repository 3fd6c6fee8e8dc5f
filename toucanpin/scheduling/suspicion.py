"""
Suspicion
=========

How strongly a task is suspected of crashing its workers, and when it may be started again.

Notes
-----
A task that crashes each worker has to be recognized after a few of them, and one that was lost by
chance must not be taken for it.  Losses that would have hit any task are explained: they prove
nothing.  A task with several losses of any kind is started only where a further one would prove
something, on a worker that has been there for a while, at a time in which few others are lost.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping

from toucanpin.scheduling.cell import Cell, LiveJob, Now, find_record
from toucanpin.scheduling.instability import SUSPICION_PERIOD_S, is_unstable
from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.progress import CrashSuspicion, TaskRecord
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = [
    "MAX_CRASHES",
    "MAX_CRASHES_AT_START",
    "MIN_PROOF_CRASHES",
    "NEW_WORKER_PERIOD_S",
    "assess_suspicion",
    "count_suspected",
    "describe_losses",
    "find_shared_losses",
    "find_suspicion",
    "is_known_to_crash",
    "is_new_worker",
    "is_start_blocked",
    "list_lost_workers",
    "name_incarnation",
    "requires_proof",
    "was_lost_at_start",
]

MAX_CRASHES = 5  # workers lost while they ran a task, until it isn't started any more
MAX_CRASHES_AT_START = 3  # the same for unexplained losses right after the task's start
MIN_UNEXPLAINED = 2  # of MAX_CRASHES losses
MIN_SHARED_LOSSES = 2  # with one other task, either of which may have crashed the workers
MIN_PROOF_CRASHES = 3  # from which on a task is started only where one more would prove something
START_PERIOD_S = 1.0  # within which a loss counts as one at the start
NEW_WORKER_PERIOD_S = 3.0  # since the first listing; longer than most workers that flap stay up
UNSTABLE_PERIOD_S = 3.0  # without other losses, before a start proves something
# Since the latest loss.  A lost worker that neither answers nor leaves the list may keep a task
# from being judged.
MAX_HOLD_S = 10.0
MAX_UNSTABLE_HOLD_S = 20.0  # the same while workers go on being lost, for as long as they like


def is_known_to_crash(
    losses: Mapping[str, bool], explained: Collection[str], shared: Collection[str] = ()
) -> bool:
    """Return whether losses show that a task crashes its workers; ``shared`` ones count once."""
    unexplained = {lost: at_start for lost, at_start in losses.items() if lost not in explained}
    at_start = {lost for lost, is_at_start in unexplained.items() if is_at_start}
    evidence = len(at_start.difference(shared)) + bool(at_start.intersection(shared))
    if evidence >= MAX_CRASHES_AT_START:
        return True
    return len(losses) >= MAX_CRASHES and len(unexplained) >= MIN_UNEXPLAINED


def find_shared_losses(cell: Cell, task: TaskKey, losses: Mapping[str, bool]) -> set[str]:
    """
    Return the losses that another job's task may have caused as well, lost with it repeatedly.

    A task that crashes its workers may take the same neighbour along to each of them.
    """
    shared: dict[TaskKey, set[str]] = {}
    for lost in losses:
        for other in cell.suspects.get(lost, ()):
            if other.job != task.job and _was_lost_at_start_of(cell, other, lost):
                shared.setdefault(other, set()).add(lost)
    return {lost for both in shared.values() if len(both) >= MIN_SHARED_LOSSES for lost in both}


def is_start_blocked(cell: Cell, live: LiveJob, task: TaskKey, now: Now) -> bool:
    """
    Return whether a task may not be started until more is known of the lost workers that ran it.

    A copy is started as soon as a worker becomes silent, so silent workers count too.
    """
    record = _get_record(live, task)
    silent = list(_list_silent_runs(cell, live, task)) if record.attempt else []
    losses = record.crashed | {
        name_incarnation(run.worker, run.born): was_lost_at_start(run) for run in silent
    }
    if len(losses) < MIN_PROOF_CRASHES:
        return False
    if is_known_to_crash(losses, record.explained, find_shared_losses(cell, task, losses)):
        return not _is_hold_over(cell, record, silent, now)
    if _is_long_ago(record, MAX_UNSTABLE_HOLD_S, now):
        return False
    # A new owner doesn't know yet whether workers are being lost.
    if now.steady < cell.owned_since + UNSTABLE_PERIOD_S:
        return True
    return is_unstable(cell, task, now.steady, UNSTABLE_PERIOD_S)


def assess_suspicion(record: TaskRecord) -> CrashSuspicion:
    """Return how strongly a task is suspected of crashing its workers."""
    if not record.crashed:
        return CrashSuspicion.NONE
    one_more = record.crashed | {"": True}
    if len(record.crashed) >= MIN_PROOF_CRASHES or is_known_to_crash(one_more, record.explained):
        return CrashSuspicion.LAST_ATTEMPT
    return CrashSuspicion.SUSPECTED


def requires_proof(live: LiveJob, task: TaskKey, now: Now) -> bool:
    """Return whether a task may be started only where a further loss would prove something."""
    record = _get_record(live, task)
    return len(record.crashed) >= MIN_PROOF_CRASHES and not _is_long_ago(record, MAX_HOLD_S, now)


def find_suspicion(live: LiveJob, task: TaskKey) -> CrashSuspicion:
    """Return how strongly a task of a job is suspected of crashing its workers."""
    return assess_suspicion(_get_record(live, task))


def list_lost_workers(live: LiveJob, task: TaskKey) -> set[str]:
    """Return the ids of the workers whose loss counts against a task."""
    return {lost.partition("/")[0] for lost in _get_record(live, task).crashed}


def count_suspected(worker: Worker, now: Now) -> int:
    """Return how many suspected tasks a worker has just started."""
    return sum(_is_suspected(run, now.steady) for run in worker.runs.values())


def is_new_worker(worker: Worker, now: Now) -> bool:
    """Return whether a worker is new: it may be one of many that end soon after their start."""
    return now.steady < worker.first_listed_at + NEW_WORKER_PERIOD_S


def was_lost_at_start(run: Run) -> bool:
    """
    Return whether a run's worker may have been lost right after the start.

    The start time of a run that an earlier owner started isn't known.
    """
    if run.phase is Phase.UNKNOWN or not run.ordered_at:
        return False
    return run.last_listed_at < run.ordered_at + START_PERIOD_S


def name_incarnation(worker: str, born: int) -> str:
    """Return the name under which the loss of an incarnation of a worker is counted."""
    return f"{worker}/{born}" if born else worker


def describe_losses(record: TaskRecord, now: Now) -> Iterator[str]:
    """Yield a text for each loss that counts against a task: which, how it counted and when."""
    for lost, at_start in record.crashed.items():
        ago = (now.table - record.lost_at.get(lost, now.table)) / 1_000
        explained = ", explained" if lost in record.explained else ""
        yield f"{lost} {'at the start' if at_start else 'later'} {ago:.1f} s ago{explained}"


def _is_hold_over(cell: Cell, record: TaskRecord, silent: Iterable[Run], now: Now) -> bool:
    """Return whether the latest loss is so long ago that a task isn't held for it any more."""
    if any(now.steady < cell.workers[run.worker].silent_since + MAX_HOLD_S for run in silent):
        return False
    return _is_long_ago(record, MAX_HOLD_S, now)


def _is_long_ago(record: TaskRecord, hold: float, now: Now) -> bool:
    """Return whether the latest known loss was more than ``hold`` s ago."""
    return now.table > max(record.lost_at.values(), default=0) + hold * 1_000


def _was_lost_at_start_of(cell: Cell, task: TaskKey, lost: str) -> bool:
    """Return whether a loss still counts against a task as one right after its start."""
    live = cell.jobs.get(task.job)
    record = find_record(live, task) if live else None
    return record is not None and record.crashed.get(lost, False)


def _list_silent_runs(cell: Cell, live: LiveJob, task: TaskKey) -> Iterator[Run]:
    """Yield the runs of a task that may have copies on workers that don't answer."""
    if not live.job.steps[task.step].speculative:
        return
    for run in cell.runs.get(task.job, ()):
        worker = cell.workers.get(run.worker)
        if run.task == task and worker is not None and worker.silent:
            yield run


def _get_record(live: LiveJob, task: TaskKey) -> TaskRecord:
    records = live.progress.tasks[task.occurrence]
    return records[live.offsets[task.step] + task.index]


def _is_suspected(run: Run, at: float) -> bool:
    if run.suspicion is CrashSuspicion.NONE:
        return False
    return not run.ordered_at or at < run.ordered_at + SUSPICION_PERIOD_S
