"""
Introduction of workers
=======================

Add the listed workers of a cell to its owner, some at a time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Sequence
from typing import Protocol

from toucanpin.entry.clocks import steady_time
from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.orders import WorkerEntry

__all__ = ["WorkerIntroduction"]

MAX_ASKED_WORKERS = 16  # new ones that are asked at a time
MAX_EARLY_WORKERS = 64  # asked before the rows are read, all of which ask again after that
READS_FIRST_S = 0.5  # for which that holds; on a slow link the reads take seconds
MAX_ANSWER_TIME_S = 0.5  # of a new worker, after which others are asked in its place
MAX_INTRODUCTION_S = 1.5  # leases of 4.5 s end 2 s after a takeover unless they are renewed
INTRODUCTION_INTERVAL_S = 0.005


class _Registry(Protocol):
    """Workers of a cell that are polled."""

    def update_entries(
        self, entries: Sequence[WorkerEntry], malformed: Collection[str] = ...
    ) -> None: ...


class WorkerIntroduction:
    """
    Introduction of new workers to the owner of a cell, as fast as they answer.

    Hundreds of workers asked at once would take all time of a weak host that has just taken the
    cell, and the reads and the write that its first placement needs would come last.
    """

    __slots__ = ("_asked_at", "_cell", "_is_loaded", "_registry")

    def __init__(self, cell: Cell, registry: _Registry, is_loaded: Callable[[], bool]) -> None:
        self._cell = cell
        self._registry = registry
        self._is_loaded = is_loaded
        self._asked_at: dict[str, float] = {}  # of workers that may still answer
        cell.introduced = False

    async def update(self, entries: Sequence[WorkerEntry], malformed: Collection[str]) -> None:
        """Update the entries of all listed workers within MAX_INTRODUCTION_S."""
        began = steady_time()
        introduced = self._list_introduced()
        while steady_time() < began + MAX_INTRODUCTION_S:
            added = [entry for entry in entries if entry.id not in introduced]
            if not added:
                break
            free = MAX_ASKED_WORKERS - self._count_asked()
            if not self._is_loaded() and steady_time() < began + READS_FIRST_S:
                free = min(free, MAX_EARLY_WORKERS - len(introduced))
            if free > 0:
                listed = [entry for entry in entries if entry.id in introduced]
                self._registry.update_entries(listed + added[:free], malformed)
                asked = [entry.id for entry in added[:free]]
                self._asked_at.update(dict.fromkeys(asked, steady_time()))
                introduced.update(asked)
            await asyncio.sleep(INTRODUCTION_INTERVAL_S)
        self._registry.update_entries(entries, malformed)
        self._cell.introduced = True

    def _list_introduced(self) -> set[str]:
        """Return the workers with an entry; others are only known from the rows of their tasks."""
        return {key for key, worker in self._cell.workers.items() if worker.entry.address}

    def _count_asked(self) -> int:
        """Return how many new workers were asked and may still answer."""
        oldest = steady_time() - MAX_ANSWER_TIME_S
        self._asked_at = {key: at for key, at in self._asked_at.items() if at > oldest}
        return sum(not self._has_answered(key) for key in self._asked_at)

    def _has_answered(self, key: str) -> bool:
        worker = self._cell.workers.get(key)
        if worker is None:
            return True  # removed, so no answer is awaited
        return worker.reached if self._is_loaded() else bool(worker.clock)
