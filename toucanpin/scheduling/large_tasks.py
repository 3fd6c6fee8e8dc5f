"""
Reservation for large tasks
===========================

Reserve workers for urgent tasks that don't fit any worker's free resources.
"""

from __future__ import annotations

import heapq
import math

from toucanpin.scheduling.cell import Cell, Group
from toucanpin.scheduling.choosing import has_label, meets_constraints
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

    __slots__ = (
        "_by_free_cores",
        "_cell",
        "_min_eligible",
        "_reserved",
        "_searches_left",
        "eligible",
    )

    def __init__(self, cell: Cell, eligible: list[Worker]) -> None:
        self._cell = cell
        self._min_eligible = len(list_not_evacuated(cell)) * (1 - MAX_RESERVED_SHARE)
        self._by_free_cores: dict[str, list[tuple[int, int, Worker]]] = {}  # heaps by label
        self._reserved: set[str] = set()
        # Workers that may be found to run other tasks of a step that allows no more there.
        self._searches_left = len(eligible)
        self.eligible = eligible

    def reserve_for(self, group: Group, step: Step) -> None:
        """Reserve the worker with the most free cores for a step, if tasks of it still wait."""
        if not self._cell.waiting[group] or step.best_effort or step.long_running or step.gang:
            return
        if not self.count_left():
            return
        reserved = self._pop_worker_with_most_cores(group, step)
        if reserved is not None:
            self.reserve({reserved.entry.id})

    def reserve(self, workers: set[str]) -> None:
        """Keep less urgent steps from workers."""
        self._reserved |= workers
        self.eligible = [worker for worker in self.eligible if worker.entry.id not in workers]

    def count_left(self) -> int:
        """Return how many more workers may be reserved."""
        return max(0, math.ceil(len(self.eligible) - self._min_eligible))

    def _pop_worker_with_most_cores(self, group: Group, step: Step) -> Worker | None:
        """
        Remove and return the worker with the most free cores that meets a step's constraints.

        Free cores only shrink within a round, so the top of the heap is the maximum if its entry is
        still correct.  Of equal workers the first is returned.
        """
        heap = self._get_heap(step)
        excluded: list[tuple[int, int, Worker]] = []
        found = None
        # Only a limit per worker can exclude a worker of the heap, so other steps find one at once.
        while heap and found is None and (self._searches_left > 0 or not step.per_worker):
            free_cores, number, worker = heapq.heappop(heap)
            if worker.entry.id in self._reserved:
                continue
            if free_cores != -_count_free_cores(worker):
                heapq.heappush(heap, (-_count_free_cores(worker), number, worker))
            elif meets_constraints(worker, group, step):
                found = worker
            else:
                excluded.append((free_cores, number, worker))
                self._searches_left -= 1
        for entry in excluded:
            heapq.heappush(heap, entry)
        return found

    def _get_heap(self, step: Step) -> list[tuple[int, int, Worker]]:
        """
        Return the workers that have the label of a step, with their free cores.

        Steps with a label that few workers have would otherwise each search all workers.
        """
        heap = self._by_free_cores.get(step.label)
        if heap is None:
            heap = [
                (-_count_free_cores(worker), number, worker)
                for number, worker in enumerate(self.eligible)
                if has_label(worker, step)
            ]
            heapq.heapify(heap)
            self._by_free_cores[step.label] = heap
        return heap


def _count_free_cores(worker: Worker) -> int:
    return worker.entry.cpu - worker.cpu
