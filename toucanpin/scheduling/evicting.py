"""
Eviction of long-running tasks
==============================

Stop some long-running tasks where short ones of the same urgency have no room for long.

Notes
-----
After a data centre is evacuated, the others run as many long-running tasks as before and have to
take all short ones.  If these request more cores than are left, each waits longer than the one
before it, until the evacuation ends.  A service with one task less serves nearly as much.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from toucanpin.scheduling.advising import find_ticket
from toucanpin.scheduling.cell import Cell, Group, Now
from toucanpin.scheduling.choosing import has_label, meets_constraints
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.preempting import reserve_freed, sum_stopping
from toucanpin.scheduling.stopping import count_unavailable, stop_run
from toucanpin.scheduling.waits import WaitReason
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = ["make_room", "update_scarcity"]

SCARCITY_WAIT_S = 0.3  # of a short task for room, from which on long-running ones get none
# After the last such wait; until then cores that come free are kept for the next short tasks.
SCARCITY_HOLD_S = 3.0
EVICTION_PERIOD_S = 10.0  # in which a task is evicted once at most
MAX_EVICTED_SHARE = 0.05  # of the cores in use by long-running tasks, in a period
MAX_TRIES = 16  # tasks at a time


def update_scarcity(cell: Cell, eligible: Sequence[Worker], now: Now) -> None:
    """Record whether short tasks wait for room, so that long-running ones get none."""
    largest: dict[str, tuple[int, int, int]] = {}  # capacity of the workers with a label
    for _, step in _list_waiting(cell, SCARCITY_WAIT_S, now):
        if step.label not in largest:
            largest[step.label] = _find_largest_capacity(eligible, step)
        cpu, memory, accelerators = largest[step.label]
        # One that fits no worker waits however many cores are free.
        if step.cpu <= cpu and step.memory <= memory and step.accelerators <= accelerators:
            cell.headroom.scarce_until = now.steady + SCARCITY_HOLD_S
            return


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
    budget = int(MAX_EVICTED_SHARE * sum(worker.long_running_cpu for worker in eligible))
    budget -= sum(cores for _, cores in cell.headroom.evicted.values())
    search = _Search(cell, eligible, now)
    tries = 0
    for group, step in waiting:
        for _ in cell.waiting[group]:
            if tries == MAX_TRIES:
                return
            tries += 1
            if search.claim_room(group, step):
                continue
            run = search.find_evictable(group, step)
            if run is None or run.step.cpu > budget:
                # Others that wait may need less.
                break
            budget -= run.step.cpu
            search.freed[run.worker] += run.step.cpu - step.cpu
            reserve_freed(cell, cell.workers[run.worker], cell.jobs[group.job].job.priority, now)
            cell.headroom.evicted[run.task] = (now.steady, run.step.cpu)
            stop_run(cell, run, "makes room for urgent work")


def _find_largest_capacity(eligible: Sequence[Worker], step: Step) -> tuple[int, int, int]:
    """Return the largest cores, memory and accelerators of workers with the label of a step."""
    entries = [worker.entry for worker in eligible if has_label(worker, step)]
    return (
        max((entry.cpu for entry in entries), default=-1),
        max((entry.memory for entry in entries), default=-1),
        max((entry.accelerators for entry in entries), default=-1),
    )


def _list_waiting(cell: Cell, wait_time: float, now: Now) -> Iterator[tuple[Group, Step]]:
    """Yield the steps of urgent short tasks that have waited for room for this time."""
    for group, wait in cell.waits.items():
        live = cell.jobs.get(group.job)
        if live is None or not cell.waiting.get(group) or now.steady < wait.since + wait_time:
            continue
        step = live.job.steps[group.step]
        if live.job.priority > cell.headroom.max_priority:
            continue
        lacks_room = wait.reason in (WaitReason.NO_ROOM, WaitReason.EVACUATED)
        if lacks_room and not step.long_running and not step.best_effort:
            yield group, step


class _Search:
    """
    Search for long-running tasks that may be evicted at one moment.

    ``freed`` holds by worker the cores that stopped tasks will free, less those that are claimed.
    """

    __slots__ = ("_cell", "_eligible", "_now", "_runs", "_serving", "freed")

    def __init__(self, cell: Cell, eligible: Sequence[Worker], now: Now) -> None:
        self._cell = cell
        self._eligible = {worker.entry.id: worker for worker in eligible}
        self._now = now
        self._serving: dict[Group, bool] = {}  # services of which all tasks are available
        self.freed = {worker.entry.id: sum_stopping(worker).cpu for worker in eligible}
        # Tasks that don't serve yet are stopped first, as nobody uses them.
        runs = sorted(
            (run for worker in eligible for run in worker.runs.values() if run.step.long_running),
            key=lambda run: (run.percent >= 100, run.step.cpu, run.task),
        )
        self._runs = [(run, _find_service(run)) for run in runs]

    def claim_room(self, group: Group, step: Step) -> bool:
        """Claim cores where a task will fit once all stopped ones have ended."""
        for name, cores in self.freed.items():
            worker = self._eligible[name]
            if (
                cores <= 0
                or not self._may_start(worker, group)
                or self._count_missing(worker, step) > 0
            ):
                continue
            if meets_constraints(worker, group, step):
                self.freed[name] -= step.cpu
                return True
        return False

    def find_evictable(self, group: Group, step: Step) -> Run | None:
        """Return the long-running task with the fewest cores that makes room for a short one."""
        priority = self._cell.jobs[group.job].job.priority
        self._drop_unavailable()
        for run, service in self._runs:
            worker = self._eligible[run.worker]
            if not run.step.cpu >= self._count_missing(worker, step) > 0:
                continue
            if run.priority < priority or not _fits_beside_cores(worker, step):
                continue
            if not self._may_start(worker, group) or not meets_constraints(worker, group, step):
                continue
            if self._may_be_evicted(run, service):
                self._serving[service] = False
                return run
        return None

    def _drop_unavailable(self) -> None:
        """Drop tasks of services that may not lose one, so that each search passes over fewer."""
        self._runs = [pair for pair in self._runs if self._serving.get(pair[1], True)]

    def _may_start(self, worker: Worker, group: Group) -> bool:
        """Return whether a task may start on a worker by its tickets."""
        if not self._cell.jobs[group.job].job.advised:
            return True
        return bool(find_ticket(self._cell, group, worker.entry.id, self._now))

    def _count_missing(self, worker: Worker, step: Step) -> int:
        return worker.cpu + step.cpu - worker.entry.cpu - self.freed[worker.entry.id]

    def _may_be_evicted(self, run: Run, service: Group) -> bool:
        """Return whether a task hasn't evicted lately and all others of its service serve."""
        if run.phase is not Phase.RUNNING or run.task in self._cell.headroom.evicted:
            return False
        # Nothing would be left of its service.
        if run.step.gang or (run.step.count == 1 and run.percent >= 100):
            return False
        known = self._serving.get(service)
        if known is not None:
            return known
        others_serve = (
            run.task.job in self._cell.jobs and count_unavailable(self._cell, run, self._now) == 0
        )
        if run.percent >= 100:  # otherwise it is unavailable itself, which counts for the others
            self._serving[service] = others_serve
        return others_serve


def _fits_beside_cores(worker: Worker, step: Step) -> bool:
    """Return whether a worker has the memory and accelerators of one more task of a step."""
    entry = worker.entry
    return (
        worker.memory + step.memory <= entry.memory
        and worker.accelerators + step.accelerators <= entry.accelerators
    )


def _find_service(run: Run) -> Group:
    return Group(run.task.job, run.task.occurrence, run.task.step)


def _drop_expired(cell: Cell, now: Now) -> None:
    cell.headroom.evicted = {
        task: (since, cores)
        for task, (since, cores) in cell.headroom.evicted.items()
        if now.steady < since + EVICTION_PERIOD_S
    }
