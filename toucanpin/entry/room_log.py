"""
Log of room
===========

Log who holds and who waits for the cores of a cell.
"""

from __future__ import annotations

import logbook

from toucanpin.entry.cell_counts import count_room
from toucanpin.scheduling.cell import Cell

__all__ = ["log_room"]

_log = logbook.Logger("decisions")
REQUESTED = ("short", "short_waiting", "long_running_waiting")  # of the counts of a cell's room


def log_room(cell: Cell, delay: float) -> None:
    """Log the room of a cell while short tasks use or wait for it; ``delay`` is the owner's."""
    cores = count_room(cell)
    if not any(cores[what] for what in REQUESTED):
        return
    # At a level that is kept while the lines of single tasks are dropped.
    _log.notice(
        "room for tasks that request cores",
        event="cell.room",
        cell=cell.name,
        delay=round(delay, 3),
        peak=round((cell.short_task_peak or 0) / 1_000),
        **cores,
    )
