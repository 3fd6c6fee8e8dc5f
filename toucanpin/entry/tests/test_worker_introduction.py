"""Introduction of workers to a new owner whose rows name some of them."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Collection, Sequence
from dataclasses import replace
from itertools import pairwise

from standins.site.virtual import run_virtual
from toucanpin.entry.clocks import steady_time
from toucanpin.entry.worker_introduction import (
    MAX_ANSWER_TIME_S,
    MAX_ASKED_WORKERS,
    WorkerIntroduction,
)
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.leases import update_workers
from toucanpin.scheduling.orders import WorkerEntry
from toucanpin.scheduling.worker import Worker

WORKERS = 3 * MAX_ASKED_WORKERS
BORN = 1_000
RUNNING_TIME_S = 60.0  # of the host before the takeover


class _SilentWorkers:
    """
    Registry of workers that don't answer.

    ``updates`` holds how many were known after each update, ``updated_at`` its time.
    """

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self.updates: list[int] = []
        self.updated_at: list[float] = []

    def update_entries(
        self, entries: Sequence[WorkerEntry], malformed: Collection[str] = frozenset()
    ) -> None:
        update_workers(self._cell, entries, Now(steady_time(), 0, 0), malformed)
        self.updated_at.append(steady_time())
        self.updates.append(sum(bool(it.entry.address) for it in self._cell.workers.values()))


class WorkerIntroductionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cell = Cell("c", 1, 0.0, 0.0)
        self.entries = [
            WorkerEntry(f"w{number}", "c", "a:1", "dc", True, 4_000, 8_000, 0, born=BORN)
            for number in range(WORKERS)
        ]
        self.registry = _SilentWorkers(self.cell)
        self.introduction = WorkerIntroduction(self.cell, self.registry, lambda: True)

    def _introduce(self, entries: Sequence[WorkerEntry]) -> None:
        async def introduce() -> None:
            await asyncio.sleep(RUNNING_TIME_S)
            await self.introduction.update(entries, ())

        run_virtual(introduce)

    def _name_in_rows(self, entry: WorkerEntry, born: int) -> None:
        """Record a worker as known from the rows of its tasks only."""
        self.cell.workers[entry.id] = Worker(replace(entry, address=""), born=born)

    def test_workers_of_running_tasks_are_asked_some_at_a_time(self) -> None:
        """
        Guards against a new owner that asks all workers named in its rows at once, as they were
        known before they were listed: on a weak host its first write came after their answers.
        """
        for entry in self.entries:
            self._name_in_rows(entry, BORN)
        self._introduce(self.entries)
        first, second, third = (MAX_ASKED_WORKERS * count for count in (1, 2, 3))
        self.assertEqual([first, second, third, WORKERS], self.registry.updates)
        for earlier, later in pairwise(self.registry.updated_at[:3]):
            self.assertGreaterEqual(later - earlier, MAX_ANSWER_TIME_S)

    def test_an_outdated_entry_is_not_tried_all_the_time(self) -> None:
        """
        Guards against an entry of an earlier incarnation than the rows name: it is never recorded,
        and the owner compared all entries 200 times a second while it was listed.
        """
        self._name_in_rows(self.entries[0], BORN + 1)
        self._introduce(self.entries[:1])
        self.assertEqual(2, len(self.registry.updates))


if __name__ == "__main__":
    unittest.main()
