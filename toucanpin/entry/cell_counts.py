"""
Counts of a cell
================

Count what a cell's owner shows in its metrics.
"""

from __future__ import annotations

from collections import Counter

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.evacuating import describe_evacuations
from toucanpin.scheduling.headroom import describe_headroom
from toucanpin.scheduling.occurrences import describe_late_jobs
from toucanpin.scheduling.room import describe_room
from toucanpin.scheduling.unsettled import describe_unsettled

__all__ = [
    "count_evacuated",
    "count_headroom",
    "count_late_occurrences",
    "count_room",
    "count_unsettled",
    "count_waiting",
]


def count_waiting(cell: Cell) -> Counter[str]:
    """Return the number of unplaced tasks by priority."""
    counts: Counter[str] = Counter()
    for group, indices in cell.waiting.items():
        counts[str(cell.jobs[group.job].job.priority)] += len(indices)
    return counts


def count_late_occurrences(cell: Cell, now: Now) -> dict[str, float]:
    """Return the number of due occurrences that haven't begun, by priority."""
    counts: Counter[str] = Counter()
    for job in describe_late_jobs(cell, now):
        counts[str(cell.jobs[job.job].job.priority)] += job.waiting
    return {priority: float(count) for priority, count in counts.items()}


def count_evacuated(cell: Cell) -> dict[str, float]:
    """Return the number of tasks that still run in each evacuated data centre."""
    return {it.data_centre: float(it.runs) for it in describe_evacuations(cell)}


def count_unsettled(cell: Cell) -> dict[str, float]:
    """Return the number of runs on workers that don't answer, by what is known of those."""
    found = describe_unsettled(cell)
    if found is None:
        return {}
    return {"unreached": float(found.unreached), "silent": float(found.silent)}


def count_headroom(cell: Cell) -> dict[str, float]:
    """Return the cores that are kept for short tasks, by what is counted."""
    return describe_headroom(cell.headroom) if cell.features.urgent_headroom else {}


def count_room(cell: Cell) -> dict[str, float]:
    """Return the cores of a cell by who holds or waits for them, and its whole workers."""
    room = describe_room(cell)
    cores = {
        "total": room.total,
        "free": room.free,
        "unoccupied": room.unoccupied,
        "reserved": room.reserved,
        "largest": room.largest,
        "short": room.short.used,
        "long_running": room.long_running.used,
        "short_waiting": room.short.waiting,
        "long_running_waiting": room.long_running.waiting,
    }
    return {what: thousandths / 1_000 for what, thousandths in cores.items()} | {
        "whole_workers": float(room.whole)
    }
