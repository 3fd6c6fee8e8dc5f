"""
Interrupted long-running tasks
==============================

Decide when long-running tasks that have run before precede short ones, and which workers they get.

Notes
-----
Precedence alone gives them the free cores of a worker, but short tasks take each core that becomes
free before there are enough for a larger task.  So workers are reserved for them, on which short
tasks end within a second or two.  Stopping short tasks of the same priority would be faster by that
second, and their work would be lost.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator
from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell, Group, LiveJob, Now
from toucanpin.scheduling.choosing import meets_constraints
from toucanpin.scheduling.headroom import is_scarce
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.job_order import rank_group
from toucanpin.scheduling.large_tasks import LargeTaskReservation
from toucanpin.scheduling.worker import Phase, Run, Worker, fits_when_idle

__all__ = [
    "InterruptedTaskReservation",
    "PlacementTurn",
    "leaves_cores_to_short",
    "list_interrupted",
    "list_turns",
    "may_take_reserve",
]

# A long-running task that has run before and waits for longer than this may take cores that are
# reserved for short urgent tasks, since its service is in use.  New ones may not: together they
# would leave nothing to short tasks.
RESERVE_WAIT_S = 1.0
# While cores are scarce they wait longer, but no task for over 6 s where there is room for two.
MAX_RETRY_DELAY_S = 4.0
# From which on they also precede short tasks.  Most find room sooner, and the short tasks of a
# reserved worker have to end within the 6 s as well.
PRECEDENCE_WAIT_S = 2.0
# Until the short tasks of a reserved worker have ended, if there are others.
MAX_DRAIN_S = 3.0
MAX_SEARCHES = 4  # of all workers, by all steps of a round
MAX_TRIES = 8  # workers beyond those needed that are compared for a step


@dataclass(frozen=True, slots=True)
class PlacementTurn:
    """Waiting tasks of a step that are placed together; with ``precedes``, before short ones."""

    group: Group
    tasks: Collection[int]
    precedes: bool = False


def list_turns(cell: Cell, now: Now) -> list[PlacementTurn]:
    """Return the waiting tasks in the order of placement, the most urgent first."""
    turns: list[tuple[tuple[int, bool, tuple[object, ...]], PlacementTurn]] = []
    for group, waiting in cell.waiting.items():
        priority = cell.jobs[group.job].job.priority
        rank = rank_group(cell, group, now)
        interrupted = _list_preceding(cell, group, now)
        if interrupted:
            turn = PlacementTurn(group, interrupted, True)
            turns.append(((priority, False, rank), turn))
            waiting = waiting - interrupted
        if waiting:
            turns.append(((priority, True, rank), PlacementTurn(group, waiting)))
    return [turn for _, turn in sorted(turns, key=lambda ranked: ranked[0])]


def list_interrupted(cell: Cell, group: Group, now: Now) -> Iterator[tuple[int, float]]:
    """Yield the waiting tasks of a step that have run before, and when they last did."""
    live = cell.jobs[group.job]
    start = live.offsets[group.step]
    records = live.progress.tasks[group.occurrence]
    for index in cell.waiting[group]:
        if records[start + index].attempt:
            task = TaskKey(group.job, group.occurrence, group.step, index)
            yield index, cell.interrupted.setdefault(task, now.steady)


def may_take_reserve(cell: Cell, live: LiveJob, group: Group, index: int, now: Now) -> bool:
    """Return whether a long-running task that has run before may take reserved cores."""
    records = live.progress.tasks[group.occurrence]
    if not records[live.offsets[group.step] + index].attempt:
        return False
    wait = MAX_RETRY_DELAY_S if _are_cores_scarce(cell, now) else RESERVE_WAIT_S
    task = TaskKey(group.job, group.occurrence, group.step, index)
    return now.steady > cell.interrupted.get(task, now.steady) + wait


def leaves_cores_to_short(cell: Cell, group: Group, max_delay: float, now: Now) -> bool:
    """Return whether long-running tasks get no reserved cores, as these are scarce."""
    if not _are_cores_scarce(cell, now):
        return False
    wait = cell.waits.get(group)
    return wait is None or now.steady < wait.since + max_delay


def _are_cores_scarce(cell: Cell, now: Now) -> bool:
    return cell.features.urgent_headroom and is_scarce(cell.headroom, now.steady)


def _list_preceding(cell: Cell, group: Group, now: Now) -> set[int]:
    """Return the waiting tasks of a step that have run before and waited for long enough."""
    step = cell.jobs[group.job].job.steps[group.step]
    if not step.long_running or step.gang:
        return set()
    # The wait of the step tells nothing of a task that failed while its siblings waited.
    due = now.steady - (MAX_RETRY_DELAY_S if _are_cores_scarce(cell, now) else PRECEDENCE_WAIT_S)
    return {index for index, since in list_interrupted(cell, group, now) if since <= due}


class InterruptedTaskReservation:
    """
    Workers reserved for interrupted tasks in one round of placement.

    ``eligible`` are the workers left for other long-running tasks.  Less urgent and short tasks are
    kept from the others by the reservation for large tasks, which bounds their number.
    """

    __slots__ = ("_by_free_cores", "_large", "_now", "_searches_left", "_stop_time", "eligible")

    def __init__(
        self, cell: Cell, eligible: list[Worker], large: LargeTaskReservation, now: Now
    ) -> None:
        self._now = now
        self._stop_time = cell.stop_time
        self._large = large
        self._by_free_cores: list[Worker] | None = None
        self._searches_left = MAX_SEARCHES * len(eligible)
        self.eligible = eligible

    def reserve_for(self, group: Group, step: Step, count: int) -> None:
        """Reserve the workers that will soonest have room, one for each of ``count`` tasks."""
        count = min(count, self._large.count_left())
        if count <= 0:
            return
        found: list[tuple[float, int, Worker]] = []
        for worker in self._list_suitable(group, step):
            delay = self._estimate_delay(worker, step)
            # Of the others those with the most free cores are kept from one round to the next, as
            # only there no short task takes the place of one that ends.
            excess = delay if delay > MAX_DRAIN_S else 0.0
            if delay < math.inf:
                found.append((excess, len(found), worker))
            if len(found) == count + MAX_TRIES:
                break
        self._reserve({worker.entry.id for _, _, worker in sorted(found)[:count]})

    def _reserve(self, workers: set[str]) -> None:
        self._large.reserve(workers)
        self.eligible = [worker for worker in self.eligible if worker.entry.id not in workers]
        if self._by_free_cores is not None:
            self._by_free_cores = [it for it in self._by_free_cores if it.entry.id not in workers]

    def _list_suitable(self, group: Group, step: Step) -> Iterator[Worker]:
        """
        Yield workers that could run a task of a step once short ones end, by their free cores.

        All steps of a round share a bound on the workers that are looked at.
        """
        if self._by_free_cores is None:
            self._by_free_cores = sorted(self.eligible, key=_count_free_cores, reverse=True)
        for worker in self._by_free_cores:
            if self._searches_left <= 0:
                return
            self._searches_left -= 1
            if worker.entry.cpu - worker.long_running_cpu < step.cpu:
                continue
            if meets_constraints(worker, group, step) and fits_when_idle(worker, step):
                yield worker

    def _estimate_delay(self, worker: Worker, step: Step) -> float:
        """Return the time in s until ended runs will have left room for a task of a step."""
        cpu = step.cpu - _count_free_cores(worker)
        memory = step.memory - worker.entry.memory + worker.memory
        accelerators = step.accelerators - worker.entry.accelerators + worker.accelerators
        if max(cpu, memory, accelerators) <= 0:
            return 0.0
        ends = ((self._estimate_time_left(run), run.task, run) for run in worker.runs.values())
        for time_left, _, run in sorted(ends, key=lambda end: end[:2]):
            cpu -= 0 if run.step.best_effort else run.step.cpu
            memory -= run.step.memory
            accelerators -= run.step.accelerators
            if max(cpu, memory, accelerators) <= 0:
                return time_left
        return math.inf

    def _estimate_time_left(self, run: Run) -> float:
        if run.phase is Phase.STOPPING:
            return self._stop_time
        if run.step.long_running or run.step.gang:
            return math.inf
        estimate = run.step.estimate / 1_000
        if not run.started_at:
            return estimate
        # A task that runs for longer than estimated probably goes on for as long again.
        return abs(self._now.steady - run.started_at - estimate)


def _count_free_cores(worker: Worker) -> int:
    return worker.entry.cpu - worker.cpu
