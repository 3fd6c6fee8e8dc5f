"""
Access to reserved cores
========================

Decide which long-running tasks may use the cores that are reserved for short ones.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Cell, Group, LiveJob, Now
from toucanpin.scheduling.choosing import ReserveAccess
from toucanpin.scheduling.headroom import is_scarce
from toucanpin.scheduling.job import Step

__all__ = ["find_reserve_access", "may_take_reserve"]

# A long-running task that has run before and waits for longer than this may take cores that are
# reserved for short urgent tasks, since its service is in use.  New ones may not: together they
# would leave nothing to short tasks.
RESERVE_WAIT_S = 1.0
# While cores are scarce they wait longer, but no task for over 6 s where there is room for two.
MAX_RETRY_DELAY_S = 4.0
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
    if _leaves_cores_to_short(cell, group, MAX_FIRST_DELAY_S, now):
        return ReserveAccess.NONE
    return ReserveAccess.SPARE


def may_take_reserve(cell: Cell, live: LiveJob, group: Group, index: int, now: Now) -> bool:
    """Return whether a long-running task has run before and has waited for RESERVE_WAIT_S."""
    wait = cell.waits.get(group)
    if wait is None or now.steady <= wait.since + RESERVE_WAIT_S:
        return False
    if _leaves_cores_to_short(cell, group, MAX_RETRY_DELAY_S, now):
        return False
    records = live.progress.tasks[group.occurrence]
    return records[live.offsets[group.step] + index].attempt > 0


def _leaves_cores_to_short(cell: Cell, group: Group, max_delay: float, now: Now) -> bool:
    """Return whether long-running tasks get no reserved cores, as these are scarce."""
    if not cell.features.urgent_headroom or not is_scarce(cell.headroom, now.steady):
        return False
    wait = cell.waits.get(group)
    return wait is None or now.steady < wait.since + max_delay


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
