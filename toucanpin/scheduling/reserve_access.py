"""
Access to reserved cores
========================

Decide which long-running tasks may use the cores that are reserved for short ones.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Cell, Group, LiveJob, Now
from toucanpin.scheduling.interrupted_tasks import leaves_cores_to_short, may_take_reserve
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.placement_round import ReserveAccess

__all__ = ["find_reserve_access"]

MAX_FIRST_DELAY_S = 1.5  # of a service of which no task runs
MAX_JOIN_DELAY_S = 6.0  # of tasks that never ran, of a service of which others do


def find_reserve_access(
    cell: Cell, live: LiveJob, group: Group, index: int, now: Now
) -> ReserveAccess:
    """
    Return which reserved cores a task may use.

    The first task of a long-running step may use some: while none of its tasks runs, its service is
    unavailable.
    """
    step = live.job.steps[group.step]
    if not step.long_running or may_take_reserve(cell, live, group, index, now):
        return ReserveAccess.ALL
    if len(cell.waiting[group]) < step.count:
        return ReserveAccess.SPARE if _leaves_plan(cell, group, step, now) else ReserveAccess.NONE
    if leaves_cores_to_short(cell, group, MAX_FIRST_DELAY_S, now):
        return ReserveAccess.NONE
    return ReserveAccess.SPARE


def _leaves_plan(cell: Cell, group: Group, step: Step, now: Now) -> bool:
    """
    Return whether a long-running task that has waited for long leaves the planned cores free.

    While short tasks wait, all cores are reserved, and some may fit nowhere for minutes.
    """
    headroom, wait = cell.headroom, cell.waits.get(group)
    if now.steady >= headroom.scarce_until or wait is None:
        return False
    waited = now.steady >= wait.since + MAX_JOIN_DELAY_S
    return waited and headroom.free - step.cpu >= headroom.planned
