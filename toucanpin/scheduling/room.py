"""
Room of a cell
==============

Sum up the cores of a cell: who holds them, which are whole workers, and who waits for them.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.evacuating import list_not_evacuated
from toucanpin.scheduling.job import Step

__all__ = ["CoreUse", "Room", "describe_room"]


@dataclass(slots=True)
class CoreUse:
    """Cores of one kind of task, in thousandths: in use, and requested by waiting tasks."""

    used: int = 0
    waiting: int = 0


@dataclass(slots=True)
class Room:
    """
    Cores of a cell's workers, in thousandths.

    ``whole`` counts the workers without long-running tasks, ``unoccupied`` their cores that no
    other task holds either, and ``largest`` are the most free cores of any worker.
    """

    total: int = 0
    free: int = 0
    whole: int = 0
    unoccupied: int = 0
    reserved: int = 0
    largest: int = 0
    short: CoreUse = field(default_factory=CoreUse)
    long_running: CoreUse = field(default_factory=CoreUse)


def describe_room(cell: Cell) -> Room:
    """Return who holds and who waits for the cores of all workers that aren't evacuated."""
    room = Room()
    for worker in list_not_evacuated(cell):
        free = max(0, worker.entry.cpu - worker.cpu)
        room.total += worker.entry.cpu
        room.free += free
        room.reserved += min(free, worker.reserved_cpu)
        room.largest = max(room.largest, free)
        room.long_running.used += worker.long_running_cpu
        room.short.used += worker.cpu - worker.long_running_cpu
        if not worker.long_running_cpu:
            room.whole += 1
            room.unoccupied += free
    for step, count in _count_waiting(cell):
        use = room.long_running if step.long_running else room.short
        use.waiting += count * step.cpu
    return room


def _count_waiting(cell: Cell) -> Iterator[tuple[Step, int]]:
    """Yield the steps with waiting tasks that request cores, and the number of those."""
    for group, waiting in cell.waiting.items():
        step = cell.jobs[group.job].job.steps[group.step]
        if not step.best_effort:
            yield step, len(waiting)
