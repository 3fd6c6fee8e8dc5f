"""
Keeping
=======

Keep workers from less urgent steps, for tasks that are too large for what is free.
"""

from __future__ import annotations

import heapq

from toucanpin.scheduling.cell import Cell, Group
from toucanpin.scheduling.choosing import fits_rules
from toucanpin.scheduling.evacuating import list_open
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.worker import Worker

__all__ = ["Keeping"]

MOST_KEPT = 0.12  # of the workers that are kept for large tasks at a time


class Keeping:
    """
    Hold the workers that less urgent steps may still have in one round of placing.

    Small tasks would take each core that becomes free, and a large one would wait for as long as
    there are some.
    """

    __slots__ = ("_cell", "_least", "_roomiest", "able")

    def __init__(self, cell: Cell, able: list[Worker]) -> None:
        self._cell = cell
        self._least = len(list_open(cell)) * (1 - MOST_KEPT)
        self._roomiest: list[tuple[int, int, Worker]] = []
        self.able = able

    def keep_for(self, group: Group, step: Step) -> None:
        """Keep the roomiest worker that a step may have, if tasks of it still wait."""
        if not self._cell.waiting[group] or step.fills or step.lasting or step.gang:
            return
        if len(self.able) <= self._least:
            return
        kept = self._take_roomiest(group, step)
        if kept is not None:
            self.able = [worker for worker in self.able if worker is not kept]

    def _take_roomiest(self, group: Group, step: Step) -> Worker | None:
        """
        Return the worker with most room that a step may have, the first of equals.

        Rooms only shrink within a round, so one whose room is still what the heap says has most.
        """
        if not self._roomiest:
            pairs = enumerate(self.able)
            self._roomiest = [(-_find_free(worker), number, worker) for number, worker in pairs]
            heapq.heapify(self._roomiest)
        shut: list[tuple[int, int, Worker]] = []
        found = None
        while self._roomiest and found is None:
            room, number, worker = heapq.heappop(self._roomiest)
            if room != -_find_free(worker):
                heapq.heappush(self._roomiest, (-_find_free(worker), number, worker))
            elif fits_rules(worker, group, step):
                found = worker
            else:
                shut.append((room, number, worker))
        for entry in shut:
            heapq.heappush(self._roomiest, entry)
        return found


def _find_free(worker: Worker) -> int:
    return worker.entry.cpu - worker.cpu
