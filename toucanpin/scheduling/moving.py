"""
Moving of tasks
===============

Stop or copy tasks that should run elsewhere: those on workers that shut down, are slow or silent,
and those that make no progress.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import islice

from toucanpin.scheduling.cell import Cell, Group, Now, find_record, mark_dirty
from toucanpin.scheduling.choosing import list_eligible, meets_constraints
from toucanpin.scheduling.progress import JobState, TaskState
from toucanpin.scheduling.sibling_durations import (
    MOVE_OVERHEAD_S,
    StepDurations,
    find_slow_tasks,
    list_durations,
)
from toucanpin.scheduling.stopping import list_gang_runs, requeue_task, stop_gang, stop_run
from toucanpin.scheduling.trust import record_failure
from toucanpin.scheduling.worker import Phase, Run, Worker, count_fitting_tasks, has_room
from toucanpin.scheduling.worker_faults import SlowWorker
from toucanpin.scheduling.worker_speed import StepRates, find_slow_worker, update_rates

__all__ = ["move_tasks"]

STALL_TIMEOUT_S = 1.5  # without progress, of a task that takes less for one percent
STALL_FACTOR = 2.0  # times the time that one percent takes
USUAL_STALLS = 2  # of a task; further ones are laid on it, and each doubles its timeout
MAX_STALL_DOUBLINGS = 6
SUSPECT_TIME_S = 5.0  # for which a worker is avoided after a task was stalled or slow on it
SLOW_TIME_S = 1.5  # for which a worker is avoided after its tasks were slow
PLACING_TIME_S = 0.5  # from the end of a task that is moved until it is placed again
MAX_MOVES = 40  # away from slow workers that are considered in one turn
GANG_TIMEOUT_S = 1.5  # for an incomplete gang; workers themselves wait at least 3 s
COPY_AFTER_S = 0.7  # without an answer of a worker until copies of its tasks start, if allowed


def move_tasks(cell: Cell, now: Now) -> None:
    """Stop or copy the tasks that should run on another worker."""
    profiles = cell.features.worker_profiles
    durations = {} if profiles else list_durations(cell)
    complete: dict[tuple[Group, int], bool] = {}
    for worker in cell.workers.values():
        if not worker.reached or worker.silent:
            _queue_copies_of_silent(cell, worker, now)
            continue
        for run in list(worker.runs.values()):
            if run.phase is Phase.RUNNING:
                _check_run(cell, worker, run, complete, now)
            elif run.step.gang and run.phase is Phase.ORDERED:
                _stop_incomplete_gang(cell, run, now)
        if not profiles:
            _move_slow_tasks(cell, durations, worker, now)
    if profiles:
        _leave_slow_workers(cell, now)


def _move_slow_tasks(cell: Cell, durations: StepDurations, worker: Worker, now: Now) -> None:
    """Move the tasks of a worker that are slower than their siblings elsewhere."""
    slow = find_slow_tasks(cell, durations, worker)
    others = list_eligible(cell, now) if slow else []
    for run in slow:
        if _has_other_worker(others, run, now):
            worker.suspect_until = now.steady + SUSPECT_TIME_S
            cell.moved_tasks.add(run.task)
            _relocate(cell, run, "slow")


def _leave_slow_workers(cell: Cell, now: Now) -> None:
    """Avoid slow workers, and move the tasks that end sooner elsewhere."""
    workers = [it for it in cell.workers.values() if it.reached and not it.silent]
    # Only a new report may change what is known of a worker; to judge all of them in each turn
    # would take much of an owner's time.
    reported = [worker for worker in workers if update_rates(worker)]
    rates = StepRates(cell)
    slow = [found for it in reported if (found := find_slow_worker(cell, rates, it)) is not None]
    for found in slow:
        if found.worker.slow_until <= now.steady:
            cell.unlogged_slow_workers.append(found)
        found.worker.slow_until = now.steady + SLOW_TIME_S
    others = list_eligible(cell, now) if slow else []
    for run in islice(_list_gaining(cell, slow), MAX_MOVES):
        target = _find_other_worker(others, run, now)
        if target is not None:
            _claim_room(cell, target, now)
            cell.moved_tasks.add(run.task)
            _relocate(cell, run, "slow")


def _list_gaining(cell: Cell, slow: Iterable[SlowWorker]) -> Iterator[Run]:
    return (run for found in slow for run in found.runs if _gains_by_move(cell, found, run))


def _gains_by_move(cell: Cell, slow: SlowWorker, run: Run) -> bool:
    """Return whether a task would end sooner if it were moved off a slow worker."""
    if run.task in cell.moved_tasks:
        return False
    left = (100 - run.percent) / run.max_rate
    work = left if run.step.checkpoints else 100 / run.max_rate
    return left > work / slow.factor + cell.stop_time + cell.restore_time + MOVE_OVERHEAD_S


def _check_run(
    cell: Cell, worker: Worker, run: Run, complete: dict[tuple[Group, int], bool], now: Now
) -> None:
    """Stop or move a run if its worker, its gang or its lack of progress calls for it."""
    if not worker.entry.ready and _outlasts_worker(worker, run, now):
        stop_run(cell, run, "worker leaves")
        return
    if run.step.long_running or run.pace <= 0:
        return
    if run.step.gang and not _is_gang_known_complete(cell, run, complete):
        _stop_incomplete_gang(cell, run, now)
    elif _is_stalled(cell, run):
        # A task that stands still wherever it runs says nothing of its workers.
        stalls = cell.stalls[run.task] = cell.stalls.get(run.task, 0) + 1
        if stalls <= USUAL_STALLS:
            record_failure(cell, worker, run, now, SUSPECT_TIME_S)
        _relocate(cell, run, "stands still")


def _relocate(cell: Cell, run: Run, reason: str) -> None:
    """Run a task elsewhere: at once if copies are allowed, otherwise after it has stopped."""
    if run.step.speculative:
        _queue_copy(cell, run)
    else:
        stop_run(cell, run, reason)


def _queue_copy(cell: Cell, run: Run) -> None:
    """Queue another copy of a task while this run continues."""
    live = cell.jobs.get(run.task.job)
    record = find_record(live, run.task) if live else None
    if live is None or record is None or JobState(live.progress.state).ended:
        return
    if record.state != TaskState.PLACED or record.attempt != run.attempt:
        return
    record.state = TaskState.WAITING
    record.worker = ""
    mark_dirty(cell, live)
    requeue_task(cell, run)


def _queue_copies_of_silent(cell: Cell, worker: Worker, now: Now) -> None:
    """Queue copies of a silent worker's speculative tasks before its lease ends."""
    if now.steady - worker.answered_at < COPY_AFTER_S:
        return
    for run in worker.runs.values():
        if run.step.speculative and run.phase in (Phase.RUNNING, Phase.ORDERED, Phase.UNKNOWN):
            _queue_copy(cell, run)


def _is_gang_known_complete(cell: Cell, run: Run, complete: dict[tuple[Group, int], bool]) -> bool:
    """Return whether a gang is complete; ``complete`` holds what is known of gangs in this turn."""
    key = (Group(run.task.job, run.task.occurrence, run.task.step), run.attempt)
    # Otherwise each member would look at all runs of its job.
    if key not in complete:
        complete[key] = _is_gang_complete(cell, run)
    return complete[key]


def _is_gang_complete(cell: Cell, run: Run) -> bool:
    live = cell.jobs.get(run.task.job)
    record = find_record(live, run.task) if live else None
    if live is None or record is None or record.state == TaskState.DONE:
        return True
    members = list_gang_runs(cell, live, run)
    return len(members) == run.step.count and all(m.phase is Phase.RUNNING for m in members)


def _stop_incomplete_gang(cell: Cell, run: Run, now: Now) -> None:
    """Stop a gang with missing members: the others would only occupy their resources."""
    live = cell.jobs.get(run.task.job)
    if live is not None and now.steady > run.ordered_at + GANG_TIMEOUT_S:
        stop_gang(cell, live, run, "gang not whole")
        stop_run(cell, run, "gang not whole")


def _outlasts_worker(worker: Worker, run: Run, now: Now) -> bool:
    """Return whether a task won't end before its worker shuts down."""
    if run.step.long_running:
        return True
    elapsed = now.steady - run.started_at
    left = worker.entry.time_left - (now.steady - worker.listed_at)
    if run.percent < 1:
        return run.step.estimate / 1_000 > left
    return elapsed * (100 - run.percent) / run.percent > left


def _is_stalled(cell: Cell, run: Run) -> bool:
    """
    Return whether a task made no progress between two reports of its worker.

    Progress is told in whole percent, so a long task, or one that is slowed down, is silent for
    longer; so is one whose estimate is far too short, which is given more time at each try.
    The time without progress counts up to the latest report, not up to now: an owner whose link is
    congested gets no reports for a while and would otherwise stop all tasks and lose their work.
    """
    idle = run.last_listed_at - run.progressed_at
    if run.percent >= 100 or idle <= STALL_TIMEOUT_S:
        return False
    doublings = cell.stalls.get(run.task, 0) + 1 - USUAL_STALLS
    doublings = max(0, min(MAX_STALL_DOUBLINGS, doublings))
    timeout = max(STALL_TIMEOUT_S, STALL_FACTOR * _estimate_percent_time(run))
    return idle > timeout * 2.0**doublings


def _estimate_percent_time(run: Run) -> float:
    """Return the time in s that a task takes for one percent, by its estimate and so far."""
    estimated = run.step.estimate / 100_000 * 100 / run.pace
    measured = (run.progressed_at - run.started_at) / run.percent if run.percent else 0.0
    return max(estimated, measured)


def _claim_room(cell: Cell, worker: Worker, now: Now) -> None:
    """
    Claim room for a task that moves to a worker, until it has stopped and is placed.

    Otherwise more tasks than fit would leave in the meantime, lose their work and come back.
    """
    worker.claimed_until = [until for until in worker.claimed_until if until > now.steady]
    worker.claimed_until.append(now.steady + cell.stop_time + PLACING_TIME_S)


def _has_other_worker(eligible: list[Worker], run: Run, now: Now) -> bool:
    """Return whether another worker that isn't suspect has room for a task."""
    return _find_other_worker(eligible, run, now) is not None


def _find_other_worker(eligible: list[Worker], run: Run, now: Now) -> Worker | None:
    """Return another worker that isn't suspect and has room for a task, None if there is none."""
    group = Group(run.task.job, run.task.occurrence, run.task.step)
    found = (
        worker
        for worker in eligible
        if worker.entry.id != run.worker
        and max(worker.suspect_until, worker.slow_until) <= now.steady
        and has_room(worker, run.step)
        and meets_constraints(worker, group, run.step)
        and _has_unclaimed_room(worker, run, now)
    )
    return next(found, None)


def _has_unclaimed_room(worker: Worker, run: Run, now: Now) -> bool:
    claims = sum(until > now.steady for until in worker.claimed_until)
    return not claims or count_fitting_tasks(worker, run.step) > claims
