"""
Capacity ledger of a cell
=========================

Account for the declared sizes of the tasks committed to each worker.  The cell's row is
authoritative; the index keeps workers sorted by free capacity, so that a placement decision
inspects only a few of them.
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
    """Return the difference of two sizes; components may be negative if a worker shrank."""
    return Size(
        left.processors - right.processors,
        left.memory - right.memory,
        left.accelerators - right.accelerators,
    )


def minimum(left: Size, right: Size) -> Size:
    """Return the component-wise minimum of two sizes."""
    return Size(
        min(left.processors, right.processors),
        min(left.memory, right.memory),
        min(left.accelerators, right.accelerators),
    )


def fits(size: Size, free: Size) -> bool:
    """Return whether every component of a size fits into a free size."""
    return (
        size.processors <= free.processors
        and size.memory <= free.memory
        and size.accelerators <= free.accelerators
    )


def used_by_worker(tasks: Iterable[TaskRecord]) -> dict[str, Size]:
    """Return the total size of the tasks on each worker."""
    used: dict[str, Size] = {}
    for task in tasks:
        used[task.worker] = add(used.get(task.worker, EMPTY_SIZE), task.size)
    return used


def used_by_team(tasks: Iterable[TaskRecord]) -> dict[str, Size]:
    """Return the total size of the tasks of each team."""
    used: dict[str, Size] = {}
    for task in tasks:
        used[task.team] = add(used.get(task.team, EMPTY_SIZE), task.size)
    return used


def check_capacity(before: CellRow | None, after: CellRow) -> None:
    """
    Raise LedgerError if a cell's new row commits more to a worker than its size.

    A worker that has itself become smaller keeps its tasks, but receives no more.
    """
    used = used_by_worker(after.tasks.values())
    previous = used_by_worker(before.tasks.values()) if before else {}
    for name, size in used.items():
        worker = after.workers.get(name)
        if worker is None:
            raise LedgerError(
                f"tasks of {size} committed to worker {name}, which is not in the cell"
            )
        grown = not fits(size, previous.get(name, EMPTY_SIZE))
        if grown and not fits(size, worker.size):
            raise LedgerError(
                f"worker {name} overcommitted: {size} committed, its size is {worker.size}"
            )


class FreeCapacityIndex:
    """
    Index of workers by free capacity, for best-fit searches.

    Workers are sorted by free (accelerators, processors, memory), so a search starts at the first
    worker with enough processors and stops after ``limit`` fitting ones.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self._free: dict[str, Size] = {}
        self._lists: dict[int, SortedList] = {}

    def __len__(self) -> int:
        """Return the number of workers that may receive tasks."""
        return len(self._free)

    def free(self, worker: str) -> Size | None:
        """Return the free capacity of a worker, None if it may receive no tasks."""
        return self._free.get(worker)

    def set(self, worker: str, free: Size) -> None:
        """Set the free capacity of a worker."""
        self.remove(worker)
        self._free[worker] = free
        entries = self._lists.setdefault(free.accelerators, SortedList())
        entries.add((free.processors, free.memory, worker))

    def remove(self, worker: str) -> None:
        """Remove a worker."""
        free = self._free.pop(worker, None)
        if free is not None:
            self._lists[free.accelerators].remove((free.processors, free.memory, worker))

    def allocate(self, worker: str, size: Size) -> None:
        """Subtract a new commitment from the free capacity of a worker."""
        self.set(worker, subtract(self._free[worker], size))

    def release(self, worker: str, size: Size) -> None:
        """Add a released commitment to the free capacity of a worker."""
        if worker in self._free:
            self.set(worker, add(self._free[worker], size))

    def candidates(self, size: Size, limit: int, scan: int = 64) -> list[str]:
        """Return up to ``limit`` fitting workers, tightest first, inspecting ``scan`` per group."""
        found: list[str] = []
        for worker in self._ascending(size, scan):
            if fits(size, self._free[worker]):
                found.append(worker)
                if len(found) == limit:
                    break
        return found

    def _ascending(self, size: Size, scan: int) -> Iterator[str]:
        for accelerators in sorted(self._lists):
            if accelerators < size.accelerators:
                continue
            entries = self._lists[accelerators].irange((size.processors, 0, ""))
            for _, (_, _, worker) in zip(range(scan), entries, strict=False):
                yield worker

    @classmethod
    def from_cell(cls, row: CellRow, usable: Iterable[str]) -> FreeCapacityIndex:
        """Build the index of a cell over the workers that may receive tasks now."""
        index = cls()
        used = used_by_worker(row.tasks.values())
        for name in usable:
            worker = row.workers[name]
            if worker.state is WorkerState.ACTIVE:
                index.set(name, subtract(worker.size, used.get(name, EMPTY_SIZE)))
        return index
