"""
Yielding of long-running tasks
==============================

Stop some long-running tasks where short ones of the same urgency have no room for long.

Notes
-----
After a data centre is evacuated, the others run as many long-running tasks as before and have to
take all short ones.  If these request more cores than are left, each waits longer than the one
before it, until the evacuation ends.  A service with one task less serves nearly as much.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from toucanpin.scheduling.cell import Cell, Group, Now, WaitReason
from toucanpin.scheduling.choosing import meets_constraints
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.preempting import sum_stopping
from toucanpin.scheduling.stopping import count_unavailable, stop_run
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = ["make_room", "update_scarcity"]

SCARCITY_WAIT_S = 0.3  # of a short task for room, from which on long-running ones get none
# After the last such wait; until then cores that come free are kept for the next short tasks.
SCARCITY_HOLD_S = 3.0
YIELD_PERIOD_S = 10.0  # in which a task yields once at most
MAX_YIELDING_SHARE = 0.05  # of the cores in use by long-running tasks, in a period
MAX_YIELDS = 16  # tasks at a time
RESERVATION_MARGIN_S = 0.4  # beyond a stop, for which freed cores are kept for urgent tasks


def update_scarcity(cell: Cell, now: Now) -> None:
    """Record whether short tasks wait for room, so that long-running ones get none."""
    if any(_list_waiting(cell, SCARCITY_WAIT_S, now)):
        cell.headroom.scarce_until = now.steady + SCARCITY_HOLD_S


def make_room(cell: Cell, eligible: Sequence[Worker], now: Now) -> None:
    """
    Stop long-running tasks for short ones that have waited for as long as a stop takes.

    A shorter lack of room would be over before a stopped task has left its cores.
    """
    waiting = sorted(
        _list_waiting(cell, cell.stop_time, now),
        key=lambda pair: (cell.jobs[pair[0].job].job.priority, cell.waits[pair[0]].since),
    )
    if not waiting:
        return
    _drop_expired(cell, now)
    budget = int(MAX_YIELDING_SHARE * sum(worker.long_running_cpu for worker in eligible))
    budget -= sum(cores for _, cores in cell.headroom.yielded.values())
    freed = {worker.entry.id: sum_stopping(worker).cpu for worker in eligible}
    tasks = [(group, step) for group, step in waiting for _ in cell.waiting[group]]
    for group, step in tasks[:MAX_YIELDS]:
        if any(_claim_room(worker, group, step, freed) for worker in eligible):
            continue
        run = _find_yielding(cell, eligible, group, step, freed, now)
        if run is None or run.step.cpu > budget:
            continue
        budget -= run.step.cpu
        worker = cell.workers[run.worker]
        freed[run.worker] += run.step.cpu - step.cpu
        worker.reserved_until = now.steady + cell.stop_time + RESERVATION_MARGIN_S
        worker.reserved_priority = cell.jobs[group.job].job.priority
        cell.headroom.yielded[run.task] = (now.steady, run.step.cpu)
        stop_run(cell, run, "makes room for urgent work")


def _list_waiting(cell: Cell, wait_time: float, now: Now) -> Iterator[tuple[Group, Step]]:
    """Yield the short steps that have waited for room for this time."""
    for group, wait in cell.waits.items():
        live = cell.jobs.get(group.job)
        if live is None or not cell.waiting.get(group) or now.steady < wait.since + wait_time:
            continue
        step = live.job.steps[group.step]
        lacks_room = wait.reason in (WaitReason.NO_ROOM, WaitReason.EVACUATED)
        if lacks_room and not step.long_running and not step.best_effort:
            yield group, step


def _claim_room(worker: Worker, group: Group, step: Step, freed: dict[str, int]) -> bool:
    """Claim cores on a worker where a task will fit once all stopped ones have ended."""
    if not freed[worker.entry.id] or _count_missing(worker, step, freed) > 0:
        return False
    if not meets_constraints(worker, group, step):
        return False
    freed[worker.entry.id] -= step.cpu
    return True


def _count_missing(worker: Worker, step: Step, freed: dict[str, int]) -> int:
    return worker.cpu + step.cpu - worker.entry.cpu - freed[worker.entry.id]


def _find_yielding(
    cell: Cell,
    eligible: Iterable[Worker],
    group: Group,
    step: Step,
    freed: dict[str, int],
    now: Now,
) -> Run | None:
    """Return the long-running task with the fewest cores that makes room for a short one."""
    priority = cell.jobs[group.job].job.priority
    candidates = [
        run
        for worker in eligible
        if worker.memory + step.memory <= worker.entry.memory
        and meets_constraints(worker, group, step)
        for run in worker.runs.values()
        if run.step.long_running
        and run.phase is Phase.RUNNING
        and run.priority >= priority
        and run.step.cpu >= _count_missing(worker, step, freed) > 0
        and run.task not in cell.headroom.yielded
    ]
    # Tasks that don't serve yet are stopped first, as nobody uses them.
    candidates.sort(key=lambda run: (run.percent >= 100, run.step.cpu, run.task))
    return next((run for run in candidates if _may_yield(cell, run, now)), None)


def _may_yield(cell: Cell, run: Run, now: Now) -> bool:
    """Return whether all other tasks of a service are available."""
    return run.task.job in cell.jobs and count_unavailable(cell, run, now) == 0


def _drop_expired(cell: Cell, now: Now) -> None:
    cell.headroom.yielded = {
        task: (since, cores)
        for task, (since, cores) in cell.headroom.yielded.items()
        if now.steady < since + YIELD_PERIOD_S
    }
