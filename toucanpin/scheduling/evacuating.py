"""
Evacuation of data centres
==========================

Exclude the workers of data centres that operators evacuate from placement.

Notes
-----
Tasks that run there continue: an evacuation only requires that no more tasks are sent.  The free
resources there don't count, so waiting tasks are compared with those that they may use.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.worker import Worker

__all__ = [
    "Evacuation",
    "EvacuationList",
    "apply_evacuations",
    "describe_evacuations",
    "has_current_evacuations",
    "is_evacuated",
    "list_not_evacuated",
]

# Maximum age of the list as a share of the time within which an evacuation has to be in force.  The
# rest of that time is for the read that first shows it and for start orders in flight.
MAX_AGE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class EvacuationList:
    """Data centres that are evacuated, as read at a local time."""

    data_centres: frozenset[str]
    read_at: float


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Progress of an evacuation: the workers of a data centre and the runs left on them."""

    data_centre: str
    workers: int
    runs: int


def apply_evacuations(cell: Cell, evacuated: EvacuationList, bound: float) -> bool:
    """
    Apply the evacuations that were read; return whether they have changed.

    ``bound`` is the time in s within which an evacuation has to be in force.
    """
    changed = cell.evacuated != evacuated.data_centres
    cell.evacuated = evacuated.data_centres
    cell.evacuated_until = evacuated.read_at + bound * MAX_AGE_SHARE
    return changed


def has_current_evacuations(cell: Cell, now: Now) -> bool:
    """
    Return whether the known evacuations are recent enough to start tasks.

    Otherwise an owner that is new, or that the table doesn't answer, would start tasks in a data
    centre long after its evacuation was accepted.
    """
    return now.steady <= cell.evacuated_until


def is_evacuated(cell: Cell, worker: Worker) -> bool:
    """Return whether a worker is in an evacuated data centre."""
    return worker.entry.data_centre in cell.evacuated


def list_not_evacuated(cell: Cell) -> list[Worker]:
    """Return the workers outside evacuated data centres."""
    return [worker for worker in cell.workers.values() if not is_evacuated(cell, worker)]


def describe_evacuations(cell: Cell) -> tuple[Evacuation, ...]:
    """Return the progress of each evacuation, also of data centres without a worker."""
    workers: Counter[str] = Counter()
    runs: Counter[str] = Counter()
    for worker in cell.workers.values():
        if is_evacuated(cell, worker):
            workers[worker.entry.data_centre] += 1
            runs[worker.entry.data_centre] += len(worker.runs)
    return tuple(Evacuation(name, workers[name], runs[name]) for name in sorted(cell.evacuated))
