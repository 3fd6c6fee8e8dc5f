"""
Placement
=========

Assign waiting tasks to workers, the most urgent first.
"""

from __future__ import annotations

from toucanpin.scheduling.advising import list_ticketed
from toucanpin.scheduling.assigning import assign_task, record_wait, update_candidates
from toucanpin.scheduling.cell import Cell, LiveJob, Now
from toucanpin.scheduling.choosing import CandidateWorkers, has_spare_place, list_eligible
from toucanpin.scheduling.evicting import make_room, update_scarcity
from toucanpin.scheduling.gangs import place_gang
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.interrupted_tasks import (
    InterruptedTaskReservation,
    PlacementTurn,
    list_turns,
    may_take_reserve,
)
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.large_tasks import LargeTaskReservation
from toucanpin.scheduling.placement_round import PlacementRound, ReserveAccess
from toucanpin.scheduling.preempting import PreemptionCandidates, PreemptionRound
from toucanpin.scheduling.racks import update_rack
from toucanpin.scheduling.reserve_access import find_reserve_access
from toucanpin.scheduling.reserving import reserve_cores
from toucanpin.scheduling.retry_choice import choose_for_retry
from toucanpin.scheduling.retrying import count_failures, list_retry_workers
from toucanpin.scheduling.room_waits import find_room_reason, record_no_room, record_reserved
from toucanpin.scheduling.standing_jobs import StandingJobs
from toucanpin.scheduling.suspicion import find_suspicion
from toucanpin.scheduling.unplaceable import (
    find_block,
    find_known_reason,
    is_delayed,
    is_known_unplaceable,
    is_shortage_known,
)
from toucanpin.scheduling.waits import WaitReason
from toucanpin.scheduling.worker import Worker

__all__ = ["place_tasks"]

NO_LIMIT = 1_000_000  # more tasks than any cell runs
# Of interrupted tasks, beyond the limit of an owner that is behind.  Others would use up all of it
# in each turn.
MAX_EXTRA_STARTS = 16
MAX_PREEMPTIONS = 16  # tasks of a step for which others are preempted in one round


def place_tasks(cell: Cell, model: InterferenceModel, now: Now, max_tasks: int = NO_LIMIT) -> None:
    """
    Place about ``max_tasks`` waiting tasks at most, the most urgent first.

    An assignment takes effect only after it is written to the table.
    """
    # The demand for cores is also recorded while nothing waits.
    if not cell.waiting and not cell.features.urgent_headroom:
        cell.waits.clear()
        return
    all_eligible = list_eligible(cell, now)
    reserve_cores(cell, all_eligible, now)
    large = LargeTaskReservation(cell, all_eligible)
    interrupted = InterruptedTaskReservation(cell, all_eligible, large, now)
    round_ = PlacementRound(model, now)
    preemption = PreemptionRound()
    standing = StandingJobs(cell, round_)
    least_urgent = _find_least_urgent(cell)
    for turn in list_turns(cell, now):
        extra = MAX_EXTRA_STARTS if turn.precedes else 0
        if len(cell.placed) >= max_tasks + extra:
            continue
        group = turn.group
        live = cell.jobs[group.job]
        step = live.job.steps[group.step]
        # Workers reserved for large tasks are available to long-running ones, which must not wait.
        allowed = interrupted.eligible if step.long_running else large.eligible
        if turn.precedes:
            allowed = all_eligible
        if live.job.advised:
            allowed = list_ticketed(cell, group, allowed, now)
        if not is_delayed(cell, group, now):
            if step.same_rack:
                update_rack(cell, live, group)
            if step.gang:
                place_gang(cell, round_, live, group, step, allowed)
            else:
                _place_group(cell, round_, live, turn, step, allowed)
            if live.job.priority < least_urgent and not step.gang:
                _preempt_for(cell, live, turn, step, allowed, preemption, now)
        standing.place_for(live, turn, step, allowed)
        if turn.precedes:
            interrupted.reserve_for(group, step, _count_startable(cell, live, turn, now))
        else:
            large.reserve_for(group, step)
    for group in [group for group, waiting in cell.waiting.items() if not waiting]:
        del cell.waiting[group]
    for group in [group for group in cell.waits if group not in cell.waiting]:
        del cell.waits[group]
    if cell.features.urgent_headroom and cell.reserved_at == now.steady:
        update_scarcity(cell, all_eligible, now)
        make_room(cell, all_eligible, now)


def _count_startable(cell: Cell, live: LiveJob, turn: PlacementTurn, now: Now) -> int:
    """Return how many tasks of a turn still wait and may be placed once there is room."""
    group = turn.group
    tasks = (
        TaskKey(group.job, group.occurrence, group.step, index)
        for index in cell.waiting[group].intersection(turn.tasks)
    )
    return sum(find_block(cell, live, task, now) is None for task in tasks)


def _order_waiting(cell: Cell, live: LiveJob, turn: PlacementTurn) -> list[int]:
    """
    Return the waiting tasks of a turn in the order of placement.

    Tasks that have run before come first, since their service is in use, and of these the ones with
    fewer crashes.
    """
    group = turn.group
    start = live.offsets[group.step]
    records = live.progress.tasks[group.occurrence]

    def rank(index: int) -> tuple[bool, int, int]:
        record = records[start + index]
        return record.attempt == 0, len(record.crashed), index

    return sorted(cell.waiting[group].intersection(turn.tasks), key=rank)


def _find_least_urgent(cell: Cell) -> int:
    """Return the highest priority number, that of the least urgent running job."""
    running = (cell.jobs[job].job.priority for job in cell.runs if job in cell.jobs)
    return max(running, default=0)


def _preempt_for(
    cell: Cell,
    live: LiveJob,
    turn: PlacementTurn,
    step: Step,
    eligible: list[Worker],
    preemption: PreemptionRound,
    now: Now,
) -> None:
    """Preempt less urgent tasks for the tasks of a turn that found no worker."""
    group = turn.group
    if preemption.is_infeasible(step, ignore_reserve=step.long_running):
        return
    preemptions: dict[bool, PreemptionCandidates] = {}
    for index in _order_waiting(cell, live, turn)[:MAX_PREEMPTIONS]:
        task = TaskKey(group.job, group.occurrence, group.step, index)
        if find_block(cell, live, task, now) is not None:
            continue
        ignore_reserve = step.long_running and may_take_reserve(cell, live, group, index, now)
        if preemption.is_infeasible(step, ignore_reserve):
            return
        safe = list_retry_workers(live, task, eligible, now)
        if len(safe) < len(eligible):
            # Fewer workers are allowed for a task that has failed, so this result doesn't apply to
            # the other tasks of the step.
            PreemptionCandidates(
                cell, group, step, safe, preemption, now, ignore_reserve
            ).preempt_for_one()
            continue
        if ignore_reserve not in preemptions:
            preemptions[ignore_reserve] = PreemptionCandidates(
                cell, group, step, eligible, preemption, now, ignore_reserve
            )
        candidates = preemptions[ignore_reserve]
        if not candidates.preempt_for_one():
            if not candidates.constraint_excluded and not live.job.advised:
                preemption.mark_infeasible(step, candidates.describe_infeasible())
            return


def _place_group(
    cell: Cell,
    round_: PlacementRound,
    live: LiveJob,
    turn: PlacementTurn,
    step: Step,
    eligible: list[Worker],
) -> None:
    group = turn.group
    waiting = cell.waiting[group]
    now = round_.now
    if is_known_unplaceable(cell, step, now):
        earlier = cell.waits.get(group)
        record_wait(cell, group, earlier.reason if earlier else WaitReason.INTERFERENCE, now)
        return
    # Ordering the tasks first would look at each of thousands of them in each turn.
    is_short = not eligible or is_shortage_known(round_, live, step)
    if is_short and _needs_only_room(cell, live, turn, now):
        record_wait(cell, group, find_room_reason(live, step, eligible), now)
        return
    candidates: CandidateWorkers | None = None
    hopeless: set[int] = set()  # numbers of failures with which tasks found no room to be retried
    for index in _order_waiting(cell, live, turn):
        task = TaskKey(group.job, group.occurrence, group.step, index)
        block = find_block(cell, live, task, now)
        if block is not None:
            record_wait(cell, group, block, now)
            continue
        access = find_reserve_access(cell, live, group, index, now)
        known = find_known_reason(round_, live, step, access)
        if known is not None:
            record_wait(cell, group, known, now)
            return
        suspicion = find_suspicion(live, task)
        if candidates is None or (candidates.suspicion, candidates.access) != (suspicion, access):
            candidates = CandidateWorkers(round_, live, group, step, eligible, suspicion, access)
        if candidates.best() is None:
            if candidates.reserve_excluded:
                record_reserved(cell, round_, live, group, step, candidates)
            else:
                record_no_room(cell, round_, live, group, step, eligible, candidates)
            return
        failures = count_failures(live, task)
        if failures in hopeless:
            record_wait(cell, group, WaitReason.FAILING_WORKERS, now)
            continue
        choice = choose_for_retry(cell, round_, live, task, eligible, candidates)
        chosen = choice.candidates
        worker = chosen.best()
        if worker is None:
            record_wait(cell, group, choice.reason, now)
            if choice.reason is WaitReason.FAILING_WORKERS:
                hopeless.add(failures)
            continue
        if access is ReserveAccess.SPARE and not has_spare_place(eligible, group, step):
            record_reserved(cell, round_, live, group, step, candidates)
            return
        cell.delayed_until.pop(task, None)
        waiting.discard(index)
        assign_task(cell, live, task, step, worker, now)
        if step.long_running:
            cell.headroom.free -= step.cpu
        update_candidates(chosen, live, group, step, worker)
        candidates = candidates if chosen is candidates else None


def _needs_only_room(cell: Cell, live: LiveJob, turn: PlacementTurn, now: Now) -> bool:
    """Return whether a waiting task of a turn may be placed once there is room."""
    group = turn.group
    tasks = (TaskKey(group.job, group.occurrence, group.step, index) for index in turn.tasks)
    return any(find_block(cell, live, task, now) is None for task in tasks)
