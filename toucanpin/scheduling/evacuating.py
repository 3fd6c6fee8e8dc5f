"""
Evacuation of data centres
==========================

Keep new tasks away from workers whose data centre operators are emptying.

Notes
-----
What runs there ends by itself or goes on: an evacuation asks only that nothing more is sent.  Room
there counts nowhere, so what waits is weighed against the room that it may have.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.worker import Worker

__all__ = [
    "EvacuationList",
    "Evacuation",
    "describe_evacuations",
    "is_evacuated",
    "has_current_evacuations",
    "list_not_evacuated",
    "apply_evacuations",
]

# Of the time within which an evacuation has to be in force; the rest is for the read that first
# shows it and for a start on its way.
MAX_AGE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class EvacuationList:
    """Hold the data centres that are evacuated, as read at a local time."""

    data_centres: frozenset[str]
    read_at: float


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Tell how far an evacuation is: the workers of a data centre, and what still runs there."""

    data_centre: str
    workers: int
    runs: int


def apply_evacuations(cell: Cell, evacuated: EvacuationList, bound: float) -> bool:
    """
    Take up what was read; return whether other data centres are evacuated now.

    ``bound`` is the time in s within which an evacuation has to be in force.
    """
    changed = cell.evacuated != evacuated.data_centres
    cell.evacuated = evacuated.data_centres
    cell.evacuated_until = evacuated.read_at + bound * MAX_AGE_SHARE
    return changed


def has_current_evacuations(cell: Cell, now: Now) -> bool:
    """
    Tell whether what is evacuated is known as it was lately.

    An owner that is new, or that the table doesn't answer, would start tasks in a data centre long
    after its evacuation was accepted.
    """
    return now.steady <= cell.evacuated_until


def is_evacuated(cell: Cell, worker: Worker) -> bool:
    """Tell whether nothing more may be started on a worker."""
    return worker.entry.data_centre in cell.evacuated


def list_not_evacuated(cell: Cell) -> list[Worker]:
    """Return the workers outside evacuated data centres."""
    return [worker for worker in cell.workers.values() if not is_evacuated(cell, worker)]


def describe_evacuations(cell: Cell) -> tuple[Evacuation, ...]:
    """Return how far each evacuation is, also of data centres without a worker."""
    workers: Counter[str] = Counter()
    runs: Counter[str] = Counter()
    for worker in cell.workers.values():
        if is_evacuated(cell, worker):
            workers[worker.entry.data_centre] += 1
            runs[worker.entry.data_centre] += len(worker.runs)
    return tuple(Evacuation(name, workers[name], runs[name]) for name in sorted(cell.evacuated))
