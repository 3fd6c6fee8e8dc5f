"""
Queue of a cell
===============

The order in which waiting tasks are tried, quotas of teams, and the choice of a cell.
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
    "choose_cell",
    "cell_name",
    "rendezvous_weight",
    "list_cell_shapes",
]

SECONDS_PER_PRIORITY = 60.0
MAX_CONSECUTIVE_URGENT = 7


@dataclass(frozen=True, slots=True)
class WaitingTask:
    """Hold one waiting task; ``version`` is that of its queue row, ``since`` in seconds."""

    record: TaskRecord
    version: int
    since: float


class TaskQueue:
    """
    Order the waiting tasks of one cell.

    Urgent tasks go first, but after seven of them one other is tried.  Among the others a step of
    priority is worth a minute of waiting, so whatever waits long enough comes to the front.
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
        """Tell whether a task waits here."""
        return task in self._entries

    def get(self, task: str) -> WaitingTask | None:
        """Return a waiting task."""
        return self._entries.get(task)

    def put(self, record: TaskRecord, version: int, since: float) -> None:
        """Add a task, or replace it by its newer row without losing its place."""
        known = self._entries.get(record.task)
        if known is not None:
            self.drop(record.task)
            since = min(since, known.since)
        entry = WaitingTask(record, version, since)
        self._entries[record.task] = entry
        self._lane(record)[self._key(entry)] = entry

    def drop(self, task: str) -> None:
        """Take a task out."""
        entry = self._entries.pop(task, None)
        if entry is not None:
            del self._lane(entry.record)[self._key(entry)]

    def has_urgent(self) -> bool:
        """Tell whether an urgent task waits."""
        return bool(self._urgent)

    def in_order(self) -> Iterator[WaitingTask]:
        """Yield the waiting tasks as they are to be tried; the queue may change meanwhile."""
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
    Bound what the tasks of a team hold at one time, over all cells.

    The use of cells that other processes own is as old as the last scan: two owners may together
    pass a quota by what both place within one turn.  A host's size never depends on this.
    """

    def __init__(self, teams: Iterable[Team], used: Mapping[str, Size]) -> None:
        """Start from the teams of the bundle in force and what they use now."""
        self._limits = {it.name: Size(it.processors, it.memory, it.accelerators) for it in teams}
        self._used = dict(used)

    def allows(self, team: str, size: Size) -> bool:
        """Tell whether a team may hold this much more; without teams there are no quotas."""
        if not self._limits:
            return True
        limit = self._limits.get(team)
        return limit is not None and fits(add(self._used.get(team, EMPTY_SIZE), size), limit)

    def allocate(self, team: str, size: Size) -> None:
        """Count a new commitment."""
        self._used[team] = add(self._used.get(team, EMPTY_SIZE), size)


@dataclass(frozen=True, slots=True)
class CellShape:
    """Describe a cell by the sizes of its listed workers."""

    name: str
    sizes: tuple[Size, ...]

    def can_hold(self, size: Size) -> bool:
        """Tell whether an empty worker of the cell could hold a size."""
        return any(fits(size, it) for it in self.sizes)


def cell_name(host: ListedHost) -> str:
    """Return the cell of a worker: its rack, which is named within its site."""
    return f"{host.site}.{host.rack}"


def list_cell_shapes(hosts: Iterable[ListedHost]) -> tuple[CellShape, ...]:
    """Return the cells of a host list, in order of their names."""
    sizes: dict[str, list[Size]] = {}
    for host in hosts:
        if host.role is HostRole.WORKER:
            sizes.setdefault(cell_name(host), []).append(host.size)
    return tuple(CellShape(name, tuple(sizes[name])) for name in sorted(sizes))


def rendezvous_weight(key: str, name: str) -> int:
    """Return the rendezvous weight of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def choose_cell(task: str, size: Size, shapes: Iterable[CellShape]) -> str | None:
    """Return the rendezvous cell among those that can ever hold a size, None if none can."""
    eligible = (shape.name for shape in shapes if shape.can_hold(size))
    return max(eligible, key=lambda name: rendezvous_weight(task, name), default=None)
