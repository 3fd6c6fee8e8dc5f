"""
Choice of workers
=================

Select the workers that may run a task of a step, and rank them by cost.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator

from toucanpin.scheduling.cell import Cell, Group, LiveJob, Now
from toucanpin.scheduling.evacuating import list_not_evacuated
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.placement_round import PlacementRound, ReserveAccess
from toucanpin.scheduling.progress import CrashSuspicion
from toucanpin.scheduling.reserving import leaves_reserve
from toucanpin.scheduling.trust import is_trusted
from toucanpin.scheduling.worker import Worker, count_fitting_tasks, has_room
from toucanpin.scheduling.worker_costs import (
    compute_best_effort_cost,
    compute_crash_cost,
    compute_packing_cost,
    compute_state_cost,
)

__all__ = [
    "CONTACT_TIMEOUT_S",
    "CandidateWorkers",
    "has_label",
    "has_spare_place",
    "is_reserved_for_others",
    "list_available",
    "list_eligible",
    "meets_constraints",
]

CONTACT_TIMEOUT_S = 2.5  # without an answer, after which a worker gets no new tasks


class CandidateWorkers:
    """
    Workers that could run a task of a step, in a heap by cost.

    ``suspicion`` is how strongly these tasks are suspected of crashing workers, ``access`` which
    reserved cores they may use.  ``constraint_excluded`` is true if other tasks of the step
    excluded a worker that has room, ``reserve_excluded`` if only the reserve did.
    """

    __slots__ = (
        "_eligible",
        "_group",
        "_heap",
        "_live",
        "_round",
        "_step",
        "access",
        "constraint_excluded",
        "reserve_excluded",
        "suspicion",
    )

    def __init__(
        self,
        round_: PlacementRound,
        live: LiveJob,
        group: Group,
        step: Step,
        eligible: Iterable[Worker],
        suspicion: CrashSuspicion = CrashSuspicion.NONE,
        access: ReserveAccess = ReserveAccess.ALL,
    ) -> None:
        self._round = round_
        self.suspicion = suspicion
        self.access = access
        self._live = live
        self._group = group
        self._step = step
        self._eligible = list(eligible)
        self._heap: list[tuple[float, int, Worker]] = []
        self.constraint_excluded = False
        self.reserve_excluded = False
        self.update_all()

    def update_all(self) -> None:
        """Compute the costs of all workers anew."""
        entries = (self._make_entry(number) for number in range(len(self._eligible)))
        self._heap = [entry for entry in entries if entry is not None]
        heapq.heapify(self._heap)

    def best(self) -> Worker | None:
        """Return the cheapest worker for one more task, None if none may run it."""
        return self._heap[0][2] if self._heap else None

    def find_max_free_cpu(self) -> int:
        """Return the most free cores of any worker with the required label."""
        free = (it.entry.cpu - it.cpu for it in self._eligible if has_label(it, self._step))
        return max(free, default=0)

    def update_best(self) -> None:
        """Compute the cost of the cheapest worker anew, after a task was assigned to it."""
        _, number, _ = heapq.heappop(self._heap)
        entry = self._make_entry(number)
        if entry is not None:
            heapq.heappush(self._heap, entry)

    def list_by_cost(self) -> list[Worker]:
        """Return all workers that could take a task, the cheapest first."""
        return [worker for _, _, worker in sorted(self._heap, key=lambda entry: entry[:2])]

    def _make_entry(self, number: int) -> tuple[float, int, Worker] | None:
        worker = self._eligible[number]
        step = self._step
        now = self._round.now
        # This is checked first since it excludes most workers of a full fleet.
        if step.best_effort and self._round.is_saturated(worker, step.cpu):
            return None
        if not has_room(worker, step):
            return None
        if not has_label(worker, step):
            return None
        if not meets_constraints(worker, self._group, step):
            self.constraint_excluded = True
            return None
        # A worker on trial gets one task at a time, and may have got one in this round.
        if is_reserved_for_others(worker, self._live, now) or not is_trusted(worker, now):
            return None
        # Judged for each worker: were one place outside the reserve enough, a step would take all
        # reserved cores if that place is on a worker that is avoided.
        if self.access is ReserveAccess.NONE and not leaves_reserve(worker, step):
            self.reserve_excluded = True
            return None
        cost = (
            compute_best_effort_cost(self._round, worker, step)
            if step.best_effort
            else compute_packing_cost(worker, step)
        )
        if cost is None:
            return None
        rack = self._live.racks.get(self._group, "")
        cost += compute_state_cost(worker, step, rack, now)
        if self.suspicion:
            cost += compute_crash_cost(worker, step, self.suspicion, now)
        return cost, number, worker


def list_eligible(cell: Cell, now: Now) -> list[Worker]:
    """Return the workers that may get new tasks."""
    return [worker for worker in list_available(cell, now) if is_trusted(worker, now)]


def list_available(cell: Cell, now: Now) -> Iterator[Worker]:
    """Yield the workers that would carry out a start, also those on which tasks fail."""
    return (worker for worker in list_not_evacuated(cell) if _is_available(worker, now))


def has_spare_place(eligible: Iterable[Worker], group: Group, step: Step) -> bool:
    """
    Return whether a place for a long-running task is left beside the one that it takes.

    A place outside the reserve counts for itself.
    """
    places = 0
    for worker in eligible:
        if not _may_run(worker, group, step):
            continue
        if leaves_reserve(worker, step):
            return True
        places += 1 if step.per_worker else count_fitting_tasks(worker, step)
    return places > 1


def _is_available(worker: Worker, now: Now) -> bool:
    return (
        worker.reached
        and not worker.silent
        and not worker.malformed
        and worker.entry.ready
        and not worker.unknown_tasks
        and not worker.draining_since
        and now.steady >= worker.full_until
        and now.steady - worker.answered_at < CONTACT_TIMEOUT_S
    )


def has_label(worker: Worker, step: Step) -> bool:
    """Return whether a worker has the label that a step requires, if any."""
    return not step.label or step.label in worker.entry.labels


def meets_constraints(worker: Worker, group: Group, step: Step) -> bool:
    """Return whether a worker meets a step's constraints, apart from free resources."""
    if not has_label(worker, step):
        return False
    return not step.per_worker or _count_group(worker, group) < step.per_worker


def _may_run(worker: Worker, group: Group, step: Step) -> bool:
    return has_room(worker, step) and meets_constraints(worker, group, step)


def is_reserved_for_others(worker: Worker, live: LiveJob, now: Now) -> bool:
    """Return whether a worker was freed for more urgent tasks than those of a job."""
    return now.steady < worker.reserved_until and live.job.priority > worker.reserved_priority


def _count_group(worker: Worker, group: Group) -> int:
    return sum(
        run.task.job == group.job
        and run.task.step == group.step
        and run.task.occurrence == group.occurrence
        for run in worker.runs.values()
    )
