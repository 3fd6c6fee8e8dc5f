"""
Reservation for large tasks
===========================

Reserve workers for urgent tasks that don't fit any worker's free resources.
"""

from __future__ import annotations

import heapq

from toucanpin.scheduling.cell import Cell, Group
from toucanpin.scheduling.choosing import meets_constraints
from toucanpin.scheduling.evacuating import list_not_evacuated
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.worker import Worker

__all__ = ["LargeTaskReservation"]

MAX_RESERVED_SHARE = 0.12  # of all workers


class LargeTaskReservation:
    """
    Workers reserved for large tasks in one round of placement.

    ``eligible`` are the workers left for less urgent steps.  Without a reservation small tasks
    would take each core that becomes free, and a large task would wait for as long as small ones
    do.
    """

    __slots__ = ("_cell", "_min_eligible", "_by_free_cores", "eligible")

    def __init__(self, cell: Cell, eligible: list[Worker]) -> None:
        self._cell = cell
        self._min_eligible = len(list_not_evacuated(cell)) * (1 - MAX_RESERVED_SHARE)
        self._by_free_cores: list[tuple[int, int, Worker]] = []
        self.eligible = eligible

    def reserve_for(self, group: Group, step: Step) -> None:
        """Reserve the worker with the most free cores for a step, if tasks of it still wait."""
        if not self._cell.waiting[group] or step.best_effort or step.long_running or step.gang:
            return
        if len(self.eligible) <= self._min_eligible:
            return
        reserved = self._pop_worker_with_most_cores(group, step)
        if reserved is not None:
            self.eligible = [worker for worker in self.eligible if worker is not reserved]

    def _pop_worker_with_most_cores(self, group: Group, step: Step) -> Worker | None:
        """
        Remove and return the worker with the most free cores that meets a step's constraints.

        Free cores only shrink within a round, so the top of the heap is the maximum if its entry is
        still correct.  Of equal workers the first is returned.
        """
        if not self._by_free_cores:
            pairs = enumerate(self.eligible)
            self._by_free_cores = [
                (-_count_free_cores(worker), number, worker) for number, worker in pairs
            ]
            heapq.heapify(self._by_free_cores)
        excluded: list[tuple[int, int, Worker]] = []
        found = None
        while self._by_free_cores and found is None:
            free_cores, number, worker = heapq.heappop(self._by_free_cores)
            if free_cores != -_count_free_cores(worker):
                heapq.heappush(self._by_free_cores, (-_count_free_cores(worker), number, worker))
            elif meets_constraints(worker, group, step):
                found = worker
            else:
                excluded.append((free_cores, number, worker))
        for entry in excluded:
            heapq.heappush(self._by_free_cores, entry)
        return found


def _count_free_cores(worker: Worker) -> int:
    return worker.entry.cpu - worker.cpu
