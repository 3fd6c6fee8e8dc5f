"""
Log of room
===========

Log who holds and who waits for the cores of a cell, once in a while.
"""

from __future__ import annotations

import logbook

from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.room import Room, describe_room

__all__ = ["count_room", "log_room"]

_log = logbook.Logger("decisions")


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


def log_room(cell: Cell, delay: float) -> None:
    """Log the room of a cell while short tasks use or wait for it; ``delay`` is the owner's."""
    room = describe_room(cell)
    if not _is_requested(room):
        return
    # At a level that is kept while the lines of single tasks are dropped.
    _log.notice(
        "room for tasks that request cores",
        event="cell.room",
        cell=cell.name,
        delay=round(delay, 3),
        peak=round((cell.short_task_peak or 0) / 1_000),
        **count_room(cell),
    )


def _is_requested(room: Room) -> bool:
    return bool(room.short.used or room.short.waiting or room.long_running.waiting)
