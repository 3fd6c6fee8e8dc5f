"""
Presence of workers
===================

Tell a worker that seems to be gone from one that only doesn't answer.

Notes
-----
Nobody listens at the address of a worker that is gone, and its entry is removed once its reports
are missing.  Between two incarnations connections are refused as well, but not for long enough to
lose the entry.  Entries may also expire because the table was unavailable; they are back soon after
its return.  One that is cut off may look the same and run on, so these signs end no lease, only the
wait for orders that a later incarnation might carry out.
"""

from __future__ import annotations

from collections.abc import Collection

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.worker import Silence, Worker

__all__ = ["is_gone", "record_listing", "seems_gone"]

# Between two reads, within which the table can't have been unavailable for long enough to make the
# entry of a worker that is there expire: it takes three missing reports.
MAX_READ_GAP_S = 1.5
ENTRY_RETURN_S = 2.5  # after the table's return, until the entries that expired are back
MIN_MISSING_S = 1.0  # of an entry, in reads one after the other


def record_listing(cell: Cell, listed: Collection[str], now: Now) -> None:
    """Record which workers have an entry by a read of the list that has just succeeded."""
    if now.steady > cell.entries_read_at + MAX_READ_GAP_S:
        cell.entries_sound_since = now.steady
    cell.entries_read_at = now.steady
    for identifier, worker in cell.workers.items():
        if identifier in listed:
            worker.unlisted_since = 0.0
        else:
            worker.unlisted_since = worker.unlisted_since or now.steady


def is_gone(cell: Cell, worker: Worker, now: Now) -> bool:
    """Return whether a worker has seemed to be gone in reads one after the other."""
    if not seems_gone(cell, worker, now.steady):
        return False
    return now.steady >= worker.unlisted_since + MIN_MISSING_S


def seems_gone(cell: Cell, worker: Worker, now: float) -> bool:
    """Return whether a worker has no entry and refuses connections, while the list is sound."""
    if worker.silence is not Silence.REFUSED or not worker.unlisted_since:
        return False
    if now > cell.entries_read_at + MAX_READ_GAP_S:
        return False
    return now >= cell.entries_sound_since + ENTRY_RETURN_S
