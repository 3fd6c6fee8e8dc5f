"""
Unplaceable tasks
=================

Record demands that could not be placed, so that equal or larger ones aren't tried on all workers.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Cell, LiveJob, Now, WaitReason
from toucanpin.scheduling.choosing import PlacementRound, ReserveAccess
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.shortage import Demand

__all__ = ["find_known_reason", "is_known_unplaceable", "record_shortage", "record_unplaceable"]

UNPLACEABLE_PERIOD_S = 0.0012  # per worker, without another try for best-effort tasks


def is_known_unplaceable(cell: Cell, step: Step, now: Now) -> bool:
    """Return whether an equal or smaller best-effort task could not be placed a moment ago."""
    cpu, until = cell.unplaceable.get(step.image, (0, 0.0))
    return step.best_effort and now.steady < until and step.cpu >= cpu


def record_unplaceable(cell: Cell, live: LiveJob, step: Step, now: Now) -> None:
    """
    Record that a best-effort task could not be placed.

    Otherwise a long queue would be compared with all workers at each end of a task, which on a few
    hundred workers takes more processor time than there is between two ends.
    """
    if not step.best_effort or step.label or step.per_worker or live.job.advised:
        return
    known, until = cell.unplaceable.get(step.image, (step.cpu, 0.0))
    cpu = min(known, step.cpu) if now.steady < until else step.cpu
    cell.unplaceable[step.image] = (cpu, _end_shared_period(cell, now))


def _end_shared_period(cell: Cell, now: Now) -> float:
    """
    Return the end of the current period, which all images share.

    With separate periods the utilization of all workers would be computed once for each image.
    """
    period = UNPLACEABLE_PERIOD_S * len(cell.workers)
    return (now.steady // period + 1) * period if period else now.steady


def find_known_reason(
    round_: PlacementRound, live: LiveJob, step: Step, access: ReserveAccess
) -> WaitReason | None:
    """Return why a task can't be placed, if one with no larger demand could not."""
    if step.best_effort or live.job.advised:
        return None
    demand = Demand.of(step)
    if round_.shortage(step.long_running).covers(demand):
        return WaitReason.NO_ROOM
    if round_.reserved[access].covers(demand):
        return WaitReason.RESERVED
    return None


def record_shortage(
    round_: PlacementRound,
    live: LiveJob,
    step: Step,
    access: ReserveAccess | None,
    constraint_excluded: bool,
) -> None:
    """
    Record that a task could not be placed, unless its constraints excluded possible workers.

    With ``access``, only reserved capacity was left.
    """
    if step.best_effort or constraint_excluded or live.job.advised:
        return
    shortage = round_.reserved[access] if access else round_.shortage(step.long_running)
    shortage.record(Demand.of(step))
