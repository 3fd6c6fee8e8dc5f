"""
Preemption
==========

Stop less urgent tasks where an urgent one finds no free resources, with the least work lost.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell, Group, Now
from toucanpin.scheduling.choosing import has_label, meets_constraints
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.shortage import Demand, Shortage
from toucanpin.scheduling.stopping import stop_run
from toucanpin.scheduling.worker import Phase, Run, Worker, bound_freeable_cpu

__all__ = [
    "FreedResources",
    "PreemptionCandidates",
    "PreemptionRound",
    "reserve_freed",
    "sum_stopping",
]

RESUME_LOSS_S = 0.3  # of work that a task loses which resumes from its checkpoint
# Time beyond that of a stop for which the freed resources are reserved for the urgent task.
# Several stops end one after the other, and other waiting tasks would take the resources that the
# first one frees.
RESERVATION_MARGIN_S = 0.4
STOP_LOSS_S = 0.1  # of work that any stop costs


@dataclass(slots=True)
class FreedResources:
    """Resources that preemption will free on a worker, less those that urgent tasks will take."""

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0


def sum_stopping(worker: Worker) -> FreedResources:
    """Return the resources that the runs being stopped on a worker will free."""
    freed = FreedResources()
    for run in worker.runs.values():
        if run.phase is Phase.STOPPING:
            _add(freed, run.step, 1)
    return freed


def reserve_freed(cell: Cell, worker: Worker, priority: int, now: Now) -> None:
    """Reserve what stopped runs will free on a worker for tasks of a priority, until they end."""
    worker.reserved_until = now.steady + cell.stop_time + RESERVATION_MARGIN_S
    worker.reserved_priority = priority


class PreemptionRound:
    """State of preemption in one round of placement."""

    __slots__ = ("_freed", "_infeasible")

    def __init__(self) -> None:
        self._freed: dict[str, FreedResources] = {}
        self._infeasible = {False: Shortage(), True: Shortage()}

    def is_infeasible(self, step: Step, ignore_reserve: bool) -> bool:
        """Return whether preemption could not free enough for a demand of at most this size."""
        return self._infeasible[step.long_running].covers(_make_demand(step, ignore_reserve))

    def mark_infeasible(self, step: Step, demand: Demand) -> None:
        """Record a demand for which preemption can't free enough on any worker."""
        self._infeasible[step.long_running].record(demand)

    def get_freed(self, worker: Worker) -> FreedResources:
        """Return the resources that preemption will free on a worker."""
        known = self._freed.get(worker.entry.id)
        if known is None:
            known = self._freed[worker.entry.id] = sum_stopping(worker)
        return known


def _make_demand(step: Step, ignore_reserve: bool) -> Demand:
    # A long-running task is placed only beside the reserve.  Resources freed for it without the
    # reserve would go to other tasks.
    return Demand.of(step, step.long_running and not ignore_reserve)


class PreemptionCandidates:
    """
    Workers on which preemption could free resources for a step, in a heap by the work lost.

    ``constraint_excluded`` is true if other tasks of the step excluded a worker that may have room.
    """

    __slots__ = (
        "_eligible",
        "_cell",
        "_demand",
        "_group",
        "_heap",
        "_max_freeable_cpu",
        "_round",
        "_now",
        "_priority",
        "_step",
        "constraint_excluded",
    )

    def __init__(
        self,
        cell: Cell,
        group: Group,
        step: Step,
        eligible: Sequence[Worker],
        round_: PreemptionRound,
        now: Now,
        ignore_reserve: bool = False,
    ) -> None:
        self._cell = cell
        self._group = group
        self._step = step
        self._eligible = eligible
        self._round = round_
        self._now = now
        self._demand = _make_demand(step, ignore_reserve)
        self._priority = cell.jobs[group.job].job.priority
        self._max_freeable_cpu = 0  # on any worker, for one task
        self.constraint_excluded = False
        found = (self._make_entry(number) for number in range(len(eligible)))
        self._heap = [entry for entry in found if entry is not None]
        heapq.heapify(self._heap)

    def preempt_for_one(self) -> bool:
        """
        Preempt runs for one task on the cheapest worker; return whether there will be room for it.

        Without preemption urgent tasks would wait for seconds until earlier tasks end.
        """
        if not self._heap:
            return False
        _, number, victims = heapq.heappop(self._heap)
        worker = self._eligible[number]
        freed = self._round.get_freed(worker)
        if victims:
            reserve_freed(self._cell, worker, self._priority, self._now)
        for run in victims:
            stop_run(self._cell, run, "makes room for urgent work")
            _add(freed, run.step, 1)
        _add(freed, self._step, -1)
        entry = self._make_entry(number)
        if entry is not None:
            heapq.heappush(self._heap, entry)
        return True

    def describe_infeasible(self) -> Demand:
        """Return the smallest known demand for which preemption can't free enough."""
        # Steps of decreasing size would otherwise each search all workers.
        if self._demand.cpu <= self._max_freeable_cpu:
            return self._demand
        return self._demand.with_any_size(self._max_freeable_cpu + 1)

    def _make_entry(self, number: int) -> tuple[float, int, list[Run]] | None:
        worker = self._eligible[number]
        if not has_label(worker, self._step):
            return None
        freeable = bound_freeable_cpu(worker, self._priority)
        missing = self._demand.required_cpu(worker.reserved_cpu) - freeable
        self._max_freeable_cpu = max(self._max_freeable_cpu, self._demand.cpu - missing)
        if missing > 0:
            return None
        if not meets_constraints(worker, self._group, self._step):
            self.constraint_excluded = True
            return None
        freed = self._round.get_freed(worker)
        victims = _find_victims(self._cell, worker, self._group, self._demand, freed, self._now)
        if victims is None:
            return None
        return sum(_estimate_loss(run, self._now) for run in victims), number, victims


def _find_victims(
    cell: Cell, worker: Worker, group: Group, demand: Demand, freed: FreedResources, now: Now
) -> list[Run] | None:
    """Return the runs to stop on a worker, empty if none is needed, None if there is no room."""
    entry = worker.entry
    cpu = entry.cpu - worker.cpu + freed.cpu - demand.required_cpu(worker.reserved_cpu)
    memory = entry.memory - worker.memory + freed.memory - demand.memory
    accelerators = (
        entry.accelerators - worker.accelerators + freed.accelerators - demand.accelerators
    )
    victims: list[Run] = []
    if min(cpu, memory, accelerators) >= 0:
        return victims
    candidates = (run for run in worker.runs.values() if _is_preemptible(cell, run, group))
    for run in sorted(candidates, key=lambda run: _estimate_loss(run, now)):
        victims.append(run)
        cpu += 0 if run.step.best_effort else run.step.cpu
        memory += run.step.memory
        accelerators += run.step.accelerators
        if min(cpu, memory, accelerators) >= 0:
            return victims
    return None


def _is_preemptible(cell: Cell, run: Run, group: Group) -> bool:
    live = cell.jobs.get(run.task.job)
    return (
        live is not None
        and live.job.priority > cell.jobs[group.job].job.priority
        and run.phase is Phase.RUNNING
        and not run.step.long_running
        and not run.step.gang
    )


def _estimate_loss(run: Run, now: Now) -> float:
    """Return the work that a stop would lose, in core-seconds."""
    elapsed = now.steady - run.started_at
    lost = min(RESUME_LOSS_S, elapsed) if run.step.checkpoints else elapsed
    return (lost + STOP_LOSS_S) * run.step.cpu / 1_000


def _add(freed: FreedResources, step: Step, sign: int) -> None:
    if not step.best_effort:
        freed.cpu += sign * step.cpu
    freed.memory += sign * step.memory
    freed.accelerators += sign * step.accelerators
