"""
Gangs
=====

Place all tasks of a gang at once or none.
"""

from __future__ import annotations

from toucanpin.scheduling.assigning import assign_task, record_wait, update_candidates
from toucanpin.scheduling.cell import Cell, Group, LiveJob
from toucanpin.scheduling.choosing import CandidateWorkers
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.placement_round import PlacementRound
from toucanpin.scheduling.retrying import list_retry_workers
from toucanpin.scheduling.suspicion import find_suspicion, is_start_blocked
from toucanpin.scheduling.unplaceable import (
    is_known_unplaceable,
    is_shortage_known,
    postpone,
    record_shortage,
    record_unplaceable,
)
from toucanpin.scheduling.waits import WaitReason
from toucanpin.scheduling.worker import Phase, Run, Worker, release_run, reserve_run

__all__ = ["align_records", "list_members", "place_gang"]


def place_gang(
    cell: Cell,
    round_: PlacementRound,
    live: LiveJob,
    group: Group,
    step: Step,
    eligible: list[Worker],
) -> None:
    """Place all tasks of a gang or none, since an incomplete gang makes no progress."""
    waiting = cell.waiting[group]
    if len(waiting) < step.count:
        return
    if is_known_unplaceable(cell, step, round_.now):
        record_wait(cell, group, WaitReason.INCOMPLETE_GANG, round_.now)
        return
    align_records(live, group, step)
    members = list_members(group, step)
    if any(is_start_blocked(cell, live, member, round_.now) for member in members):
        record_wait(cell, group, WaitReason.CRASHING, round_.now)
        return
    if is_shortage_known(round_, live, step):
        record_wait(cell, group, WaitReason.INCOMPLETE_GANG, round_.now)
        return
    # Members share the failures of their gang, so the most suspected one represents them.
    suspected = max(members, key=lambda member: find_suspicion(live, member))
    safe = list_retry_workers(live, suspected, eligible, round_.now)
    candidates = CandidateWorkers(round_, live, group, step, safe, find_suspicion(live, suspected))
    chosen = _choose_workers(candidates, live, group, step)
    if len(chosen) < step.count:
        live.racks.pop(group, None)
        record_wait(cell, group, WaitReason.INCOMPLETE_GANG, round_.now)
        if len(safe) < len(eligible) or candidates.constraint_excluded:
            postpone(cell, group, step, round_.now)
            return
        if not live.job.advised:
            record_unplaceable(cell, step, candidates, round_.now, len(chosen))
        record_shortage(round_, live, step, None, candidates, len(chosen))
        return
    for index, worker in zip(sorted(waiting), chosen, strict=True):
        waiting.discard(index)
        task = TaskKey(group.job, group.occurrence, group.step, index)
        assign_task(cell, live, task, step, worker, round_.now)


def align_records(live: LiveJob, group: Group, step: Step) -> None:
    """Give all members of a gang, whose runs share them, the same attempt and checkpoint."""
    start = live.offsets[group.step]
    records = live.progress.tasks[group.occurrence][start : start + step.count]
    attempt = max(record.attempt for record in records)
    checkpoint = max((record.checkpoint for record in records), default="")
    for record in records:
        record.attempt = attempt
        record.checkpoint = checkpoint


def list_members(group: Group, step: Step) -> list[TaskKey]:
    """Return all tasks of a gang."""
    return [TaskKey(group.job, group.occurrence, group.step, index) for index in range(step.count)]


def _choose_workers(
    candidates: CandidateWorkers, live: LiveJob, group: Group, step: Step
) -> list[Worker]:
    """Return a worker for each task of a gang, fewer if not all find one, without assigning any."""
    chosen: list[Worker] = []
    trial: list[tuple[Worker, Run]] = []
    for index in range(step.count):
        worker = candidates.best()
        if worker is None:
            break
        task = TaskKey(group.job, group.occurrence, group.step, index)
        run = Run(task, 0, worker.entry.id, step, Phase.PLACED)
        reserve_run(worker, run)
        trial.append((worker, run))
        chosen.append(worker)
        update_candidates(candidates, live, group, step, worker)
    for worker, run in trial:
        release_run(worker, run)
    return chosen
