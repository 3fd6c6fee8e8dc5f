"""
Unplaceable tasks
=================

Record demands that could not be placed, so that equal or larger ones aren't tried on all workers.
"""

from __future__ import annotations

from dataclasses import replace

from toucanpin.scheduling.cell import Cell, Group, LiveJob, Now
from toucanpin.scheduling.choosing import CandidateWorkers
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.placement_round import PlacementRound, ReserveAccess
from toucanpin.scheduling.shortage import Demand, Shortage
from toucanpin.scheduling.suspicion import is_start_blocked
from toucanpin.scheduling.waits import WaitReason

__all__ = [
    "find_block",
    "describe_shortage",
    "find_known_reason",
    "is_delayed",
    "is_known_unplaceable",
    "is_shortage_known",
    "postpone",
    "record_shortage",
    "record_unplaceable",
]

UNPLACEABLE_PERIOD_S = 0.0012  # per worker, without another try for best-effort tasks
MAX_UNPLACEABLE_PERIOD_S = 1.0  # a task has to start within 3 s once there is room
# Per worker, without another try for a step that its own constraints kept from workers with room,
# since the result holds for no other step.
CONSTRAINED_RETRY_S = 0.0002


def find_block(cell: Cell, live: LiveJob, task: TaskKey, now: Now) -> WaitReason | None:
    """Return why a task may not be placed yet on any worker, None if it may."""
    if cell.delayed_until.get(task, 0.0) > now.steady:
        return WaitReason.BACKOFF
    return WaitReason.CRASHING if is_start_blocked(cell, live, task, now) else None


def is_delayed(cell: Cell, group: Group, now: Now) -> bool:
    """Return whether a step's own constraints left it no worker a moment ago."""
    wait = cell.waits.get(group)
    return wait is not None and now.steady < wait.retry_at


def postpone(cell: Cell, group: Group, step: Step, now: Now) -> None:
    """Delay the next try to place a step whose own constraints excluded workers with room."""
    wait = cell.waits.get(group)
    if wait is None:
        return
    if step.best_effort:
        wait.retry_at = _end_shared_period(cell, now)
    else:
        wait.retry_at = now.steady + CONSTRAINED_RETRY_S * len(cell.workers)


def is_known_unplaceable(cell: Cell, step: Step, now: Now) -> bool:
    """Return whether an equal or smaller best-effort task could not be placed a moment ago."""
    if not step.best_effort or now.steady >= cell.unplaceable_until:
        return False
    known = cell.unplaceable.get(step.image)
    return known is not None and known.covers(_make_best_effort_demand(step, _min_count(step)))


def record_unplaceable(
    cell: Cell, step: Step, candidates: CandidateWorkers, now: Now, found: int = 0
) -> None:
    """
    Record that only ``found`` tasks of a best-effort step found a worker among all.

    Otherwise a long queue would be compared with all workers at each end of a task, which on a few
    hundred workers takes more processor time than there is between two ends.
    """
    if not step.best_effort or candidates.constraint_excluded:
        return
    if now.steady >= cell.unplaceable_until:
        cell.unplaceable.clear()
        cell.unplaceable_until = _end_shared_period(cell, now)
    known = cell.unplaceable.setdefault(step.image, Shortage())
    known.record(_make_best_effort_demand(step, found + 1))


def _end_shared_period(cell: Cell, now: Now) -> float:
    """
    Return the end of the current period, which all images share.

    With separate periods the utilization of all workers would be computed once for each image.
    """
    period = min(MAX_UNPLACEABLE_PERIOD_S, UNPLACEABLE_PERIOD_S * len(cell.workers))
    return (now.steady // period + 1) * period if period else now.steady


def _make_best_effort_demand(step: Step, count: int) -> Demand:
    return replace(Demand.of(step, count=count), cpu=step.cpu)


def _min_count(step: Step) -> int:
    """Return how many tasks of a step have to find a worker at once."""
    return step.count if step.gang else 1


def find_known_reason(
    round_: PlacementRound, live: LiveJob, step: Step, access: ReserveAccess
) -> WaitReason | None:
    """Return why a task can't be placed, if one with no larger demand could not."""
    if is_shortage_known(round_, live, step):
        return WaitReason.NO_ROOM
    if step.best_effort or live.job.advised:
        return None
    return WaitReason.RESERVED if round_.reserved[access].covers(Demand.of(step)) else None


def is_shortage_known(round_: PlacementRound, live: LiveJob, step: Step) -> bool:
    """Return whether tasks with no larger demand found no room in this round."""
    if step.best_effort or live.job.advised:
        return False
    demand = Demand.of(step, count=_min_count(step))
    return round_.shortage(step.long_running).covers(demand)


def record_shortage(
    round_: PlacementRound,
    live: LiveJob,
    step: Step,
    access: ReserveAccess | None,
    candidates: CandidateWorkers,
    found: int = 0,
) -> None:
    """
    Record that only ``found`` tasks of a step found room, unless constraints excluded workers.

    With ``access``, only reserved capacity was left.
    """
    if step.best_effort or candidates.constraint_excluded or live.job.advised:
        return
    shortage = round_.reserved[access] if access else round_.shortage(step.long_running)
    shortage.record(describe_shortage(step, candidates, found))


def describe_shortage(step: Step, candidates: CandidateWorkers, found: int = 0) -> Demand:
    """Return the smallest known demand that can't be met if only ``found`` tasks found room."""
    demand = Demand.of(step, count=found + 1)
    free = candidates.find_max_free_cpu()
    # Steps of decreasing size would otherwise each search all workers.
    return demand.with_any_size(free + 1) if demand.cpu > free else demand
