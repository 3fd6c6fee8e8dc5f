"""
Waits for room
==============

Record that no worker takes a task of a step, so that its other tasks aren't tried in vain.
"""

from __future__ import annotations

from toucanpin.scheduling.assigning import record_wait
from toucanpin.scheduling.cell import Cell, Group, LiveJob
from toucanpin.scheduling.choosing import CandidateWorkers
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.placement_round import PlacementRound, ReserveAccess
from toucanpin.scheduling.unplaceable import postpone, record_shortage, record_unplaceable
from toucanpin.scheduling.waits import WaitReason
from toucanpin.scheduling.worker import Worker, has_room

__all__ = ["find_room_reason", "record_no_room", "record_reserved"]


def record_no_room(
    cell: Cell,
    round_: PlacementRound,
    live: LiveJob,
    group: Group,
    step: Step,
    eligible: list[Worker],
    candidates: CandidateWorkers,
) -> None:
    """Record that no worker takes any task of a step, so that the others aren't tried."""
    now = round_.now
    record_wait(cell, group, find_room_reason(live, step, eligible), now)
    if not live.job.advised:
        record_unplaceable(cell, step, candidates, now)
    record_shortage(round_, live, step, None, candidates)
    if candidates.constraint_excluded:
        postpone(cell, group, step, now)


def record_reserved(
    cell: Cell,
    round_: PlacementRound,
    live: LiveJob,
    group: Group,
    step: Step,
    candidates: CandidateWorkers,
) -> None:
    """Record that only reserved cores are left to the tasks of a long-running step."""
    record_wait(cell, group, WaitReason.RESERVED, round_.now)
    # Two places on one worker aren't enough for a step that may use only one of them.
    uses_one_place = step.per_worker and candidates.access is ReserveAccess.SPARE
    if candidates.constraint_excluded or uses_one_place:
        postpone(cell, group, step, round_.now)
    else:
        record_shortage(round_, live, step, candidates.access, candidates)


def find_room_reason(live: LiveJob, step: Step, eligible: list[Worker]) -> WaitReason:
    """Return why a step finds no worker among those that are eligible."""
    if live.job.advised and not eligible:
        return WaitReason.NO_TICKET
    if step.best_effort and any(has_room(worker, step) for worker in eligible):
        return WaitReason.INTERFERENCE
    return WaitReason.NO_ROOM
