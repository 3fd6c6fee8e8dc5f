"""
Queue of a cell
===============

Order waiting tasks, enforce the quotas of teams and choose the cell of a new task.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import xxhash
from sortedcontainers import SortedDict

from toucanpin.bundles.schema import Team
from toucanpin.placement.ledger import EMPTY_SIZE, add, fits
from toucanpin.placement.records import TaskRecord
from toucanpin.platform.ports import HostRole, ListedHost, Size

__all__ = [
    "CellShape",
    "Quotas",
    "TaskQueue",
    "WaitingTask",
    "cell_name",
    "choose_cell",
    "list_cell_shapes",
    "rendezvous_weight",
]

SECONDS_PER_PRIORITY = 60.0
MAX_CONSECUTIVE_URGENT = 7


@dataclass(frozen=True, slots=True)
class WaitingTask:
    """Waiting task; ``version`` is that of its queue row, ``since`` is in seconds."""

    record: TaskRecord
    version: int
    since: float


class TaskQueue:
    """
    Ordered queue of the waiting tasks of one cell.

    Urgent tasks come first, but after seven of them one other task is tried.  Among the others one
    step of priority is worth a minute of waiting, so that low priorities do not starve.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[str, WaitingTask] = {}
        self._urgent: SortedDict = SortedDict()
        self._others: SortedDict = SortedDict()

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        return len(self._entries)

    def __contains__(self, task: str) -> bool:
        """Return whether a task waits here."""
        return task in self._entries

    def get(self, task: str) -> WaitingTask | None:
        """Return a waiting task."""
        return self._entries.get(task)

    def put(self, record: TaskRecord, version: int, since: float) -> None:
        """Add a task, or replace it by its newer row without resetting its waiting time."""
        known = self._entries.get(record.task)
        if known is not None:
            self.drop(record.task)
            since = min(since, known.since)
        entry = WaitingTask(record, version, since)
        self._entries[record.task] = entry
        self._lane(record)[self._key(entry)] = entry

    def drop(self, task: str) -> None:
        """Remove a task."""
        entry = self._entries.pop(task, None)
        if entry is not None:
            del self._lane(entry.record)[self._key(entry)]

    def has_urgent(self) -> bool:
        """Return whether an urgent task waits."""
        return bool(self._urgent)

    def in_order(self) -> Iterator[WaitingTask]:
        """Yield the waiting tasks in order; the queue may change during the iteration."""
        urgent = list(self._urgent.values())
        others = iter(list(self._others.values()))
        for position, entry in enumerate(urgent, start=1):
            yield entry
            if position % MAX_CONSECUTIVE_URGENT == 0 and (other := next(others, None)):
                yield other
        yield from others

    def _lane(self, record: TaskRecord) -> SortedDict:
        return self._urgent if record.urgent else self._others

    @staticmethod
    def _key(entry: WaitingTask) -> tuple[float, int, str]:
        record = entry.record
        due = entry.since - record.priority * SECONDS_PER_PRIORITY
        return due, record.order or entry.version, record.task


class Quotas:
    """
    Quotas of teams over all cells, by the total size of a team's committed tasks.

    Usage in cells of other owners is as old as the last scan, so two owners together may exceed a
    quota by what both place within one turn.  The size of a worker is never exceeded.
    """

    def __init__(self, teams: Iterable[Team], used: Mapping[str, Size]) -> None:
        """Start from the teams of the bundle in force and their present usage."""
        self._limits = {it.name: Size(it.processors, it.memory, it.accelerators) for it in teams}
        self._used = dict(used)

    def allows(self, team: str, size: Size) -> bool:
        """Return whether a team may use this much more; without teams there are no quotas."""
        if not self._limits:
            return True
        limit = self._limits.get(team)
        return limit is not None and fits(add(self._used.get(team, EMPTY_SIZE), size), limit)

    def allocate(self, team: str, size: Size) -> None:
        """Add a new commitment to the usage of a team."""
        self._used[team] = add(self._used.get(team, EMPTY_SIZE), size)


@dataclass(frozen=True, slots=True)
class CellShape:
    """Name of a cell and the sizes of its listed workers."""

    name: str
    sizes: tuple[Size, ...]

    def can_hold(self, size: Size) -> bool:
        """Return whether an empty worker of the cell could hold a size."""
        return any(fits(size, it) for it in self.sizes)


def cell_name(host: ListedHost) -> str:
    """Return the name of a worker's cell, which is its rack, qualified by its site."""
    return f"{host.site}.{host.rack}"


def list_cell_shapes(hosts: Iterable[ListedHost]) -> tuple[CellShape, ...]:
    """Return the shapes of the cells of a host list, sorted by name."""
    sizes: dict[str, list[Size]] = {}
    for host in hosts:
        if host.role is HostRole.WORKER:
            sizes.setdefault(cell_name(host), []).append(host.size)
    return tuple(CellShape(name, tuple(sizes[name])) for name in sorted(sizes))


def rendezvous_weight(key: str, name: str) -> int:
    """Return the rendezvous weight of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def choose_cell(task: str, size: Size, shapes: Iterable[CellShape]) -> str | None:
    """Return a task's cell by rendezvous hashing among those that can hold it, None if none can."""
    eligible = (shape.name for shape in shapes if shape.can_hold(size))
    return max(eligible, key=lambda name: rendezvous_weight(task, name), default=None)
