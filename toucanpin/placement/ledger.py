"""
Ledger of a cell
================

What is committed on each worker, counted by declaration.  The cell's row is the truth; the index
keeps free sizes sorted so that a decision looks at a few workers and not at all of them.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from sortedcontainers import SortedList

from toucanpin.exception import LedgerError
from toucanpin.placement.records import CellRow, TaskRecord, WorkerState
from toucanpin.platform.ports import Size

__all__ = [
    "FreeCapacityIndex",
    "add",
    "check_capacity",
    "fits",
    "minimum",
    "subtract",
    "used_by_team",
    "used_by_worker",
]

EMPTY_SIZE = Size(0, 0, 0)


def add(left: Size, right: Size) -> Size:
    """Return the sum of two sizes."""
    return Size(
        left.processors + right.processors,
        left.memory + right.memory,
        left.accelerators + right.accelerators,
    )


def subtract(left: Size, right: Size) -> Size:
    """Return what is left of a size; parts may be negative if it shrank."""
    return Size(
        left.processors - right.processors,
        left.memory - right.memory,
        left.accelerators - right.accelerators,
    )


def minimum(left: Size, right: Size) -> Size:
    """Return the lesser of each part of two sizes."""
    return Size(
        min(left.processors, right.processors),
        min(left.memory, right.memory),
        min(left.accelerators, right.accelerators),
    )


def fits(wanted: Size, free: Size) -> bool:
    """Tell whether every part of a size is free."""
    return (
        wanted.processors <= free.processors
        and wanted.memory <= free.memory
        and wanted.accelerators <= free.accelerators
    )


def used_by_worker(tasks: Iterable[TaskRecord]) -> dict[str, Size]:
    """Return what the tasks take on each worker."""
    used: dict[str, Size] = {}
    for task in tasks:
        used[task.worker] = add(used.get(task.worker, EMPTY_SIZE), task.size)
    return used


def used_by_team(tasks: Iterable[TaskRecord]) -> dict[str, Size]:
    """Return what the tasks of each team take."""
    used: dict[str, Size] = {}
    for task in tasks:
        used[task.team] = add(used.get(task.team, EMPTY_SIZE), task.size)
    return used


def check_capacity(before: CellRow | None, after: CellRow) -> None:
    """
    Raise LedgerError if a cell's new row commits a worker beyond its size.

    A worker that itself became smaller keeps what ran there, but receives nothing more.
    """
    used = used_by_worker(after.tasks.values())
    previous = used_by_worker(before.tasks.values()) if before else {}
    for name, size in used.items():
        worker = after.workers.get(name)
        if worker is None:
            raise LedgerError(f"task committed to {name}, which is not in the cell")
        grown = not fits(size, previous.get(name, EMPTY_SIZE))
        if grown and not fits(size, worker.size):
            raise LedgerError(f"{name} would hold {size} of {worker.size}")


class FreeCapacityIndex:
    """
    Find workers with room, tightest first.

    Workers are sorted by (accelerators, processors, memory) free, so the search starts at the
    first that has the processors and touches ``limit`` fitting workers at most.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self._free: dict[str, Size] = {}
        self._lists: dict[int, SortedList] = {}

    def __len__(self) -> int:
        """Return the number of workers that may receive work."""
        return len(self._free)

    def free(self, worker: str) -> Size | None:
        """Return what is free on a worker, None if it may receive nothing."""
        return self._free.get(worker)

    def set(self, worker: str, free: Size) -> None:
        """Set what is free on a worker."""
        self.remove(worker)
        self._free[worker] = free
        entries = self._lists.setdefault(free.accelerators, SortedList())
        entries.add((free.processors, free.memory, worker))

    def remove(self, worker: str) -> None:
        """Take a worker out."""
        free = self._free.pop(worker, None)
        if free is not None:
            self._lists[free.accelerators].remove((free.processors, free.memory, worker))

    def allocate(self, worker: str, size: Size) -> None:
        """Count a new commitment."""
        self.set(worker, subtract(self._free[worker], size))

    def release(self, worker: str, size: Size) -> None:
        """Count a release."""
        if worker in self._free:
            self.set(worker, add(self._free[worker], size))

    def candidates(self, wanted: Size, limit: int, scan: int = 64) -> list[str]:
        """Return up to ``limit`` workers with room, after looking at ``scan`` at most."""
        found: list[str] = []
        for worker in self._ascending(wanted, scan):
            if fits(wanted, self._free[worker]):
                found.append(worker)
                if len(found) == limit:
                    break
        return found

    def _ascending(self, wanted: Size, scan: int) -> Iterator[str]:
        for accelerators in sorted(self._lists):
            if accelerators < wanted.accelerators:
                continue
            entries = self._lists[accelerators].irange((wanted.processors, 0, ""))
            for _, (_, _, worker) in zip(range(scan), entries, strict=False):
                yield worker

    @classmethod
    def from_cell(cls, row: CellRow, usable: Iterable[str]) -> FreeCapacityIndex:
        """Build the index of a cell over the workers that may receive work now."""
        index = cls()
        used = used_by_worker(row.tasks.values())
        for name in usable:
            worker = row.workers[name]
            if worker.state is WorkerState.ACTIVE:
                index.set(name, subtract(worker.size, used.get(name, EMPTY_SIZE)))
        return index
