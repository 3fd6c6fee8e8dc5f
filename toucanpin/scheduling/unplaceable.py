"""
Recalling
=========

Tell which tasks needn't be weighed against the workers, since others that ask for no more found no
place.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Cell, LiveJob, Now, WaitReason
from toucanpin.scheduling.choosing import PlacementRound, ReserveAccess
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.shortage import Demand

__all__ = ["is_known_unplaceable", "record_unplaceable", "record_shortage", "find_known_reason"]

UNPLACEABLE_PERIOD_S = 0.0012  # s a worker for which what found no place isn't weighed again


def is_known_unplaceable(cell: Cell, step: Step, now: Now) -> bool:
    """Tell whether an equal or smaller task found no place a moment ago."""
    cpu, until = cell.unplaceable.get(step.image, (0, 0.0))
    return step.best_effort and now.steady < until and step.cpu >= cpu


def record_unplaceable(cell: Cell, live: LiveJob, step: Step, now: Now) -> None:
    """
    Remember that a task that fills found no place.

    A long queue would otherwise be weighed against all workers at each end of a task, which takes
    more processor time than there is between two ends on a few hundred workers.
    """
    if not step.best_effort or step.label or step.per_worker or live.job.advised:
        return
    known, until = cell.unplaceable.get(step.image, (step.cpu, 0.0))
    cpu = min(known, step.cpu) if now.steady < until else step.cpu
    cell.unplaceable[step.image] = (cpu, _end_shared_period(cell, now))


def _end_shared_period(cell: Cell, now: Now) -> float:
    """
    Return the end of the rest that all images share.

    Rests that end one by one have all workers summed up once for each of them.
    """
    rest = UNPLACEABLE_PERIOD_S * len(cell.workers)
    return (now.steady // rest + 1) * rest if rest else now.steady


def find_known_reason(
    round_: PlacementRound, live: LiveJob, step: Step, claim: ReserveAccess
) -> WaitReason | None:
    """Return why a task can't find a place, if one that asks for no more found none."""
    if step.best_effort or live.job.advised:
        return None
    demand = Demand.of(step)
    if round_.shortage(step.long_running).covers(demand):
        return WaitReason.NO_ROOM
    if round_.reserved[claim].covers(demand):
        return WaitReason.RESERVED
    return None


def record_shortage(
    round_: PlacementRound,
    live: LiveJob,
    step: Step,
    claim: ReserveAccess | None,
    constraint_excluded: bool,
) -> None:
    """
    Remember that a task found no place, unless a rule of its own shut it out of one.

    With a claim it found only reserved room.
    """
    if step.best_effort or constraint_excluded or live.job.advised:
        return
    shortage = round_.reserved[claim] if claim else round_.shortage(step.long_running)
    shortage.note(Demand.of(step))
