"""
Ends of leases
==============

Tell the next owner of a cell when the leases that earlier owners granted have certainly ended.

Notes
-----
A successor that can't reach a worker has to wait for all leases that may have been granted there.
An owner grants none for long after the last write that the table accepted from it, so the wait
counts from that write.  An owner that noticed the silence of a worker knows better, and its row
lists such workers.  What it lists has to stay true: a listed worker gets no lease before a row
without it is written.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.ownership import OwnerRecord
from toucanpin.scheduling.presence import seems_gone
from toucanpin.scheduling.worker import Worker

__all__ = [
    "bound_earlier_leases",
    "bound_earlier_orders",
    "confirm_lease_ends",
    "count_ms_until",
    "find_earlier_leases_end",
    "forget_lease_ends",
    "is_lease_withheld",
    "list_lease_ends",
    "restore_lease_ends",
    "shift_lease_ends",
    "withhold_leases",
]

MAX_LISTED_WORKERS = 200  # the row is written several times a second
# Leases end on clocks that may run 2% slow; the rest is a margin.
CLOCK_FACTOR = 1.04
CLOCK_MARGIN_S = 0.4
UNKNOWN_AUTHORITY_S = 8.5  # of owners of earlier builds, whose rows don't tell it


def find_earlier_leases_end(previous: OwnerRecord | None, seen_at: float, now: float) -> float:
    """
    Return the local time by which every lease that an earlier owner may have granted has ended.

    ``seen_at`` is when the last write of the ``previous`` owner was first seen, in steady seconds.
    No write of it was accepted later, since the takeover is conditional on that one.
    """
    if previous is None:
        return now
    if not previous.authority:
        # Such an owner may count its authority from a write that was applied before it was sent
        # again, so that only the takeover bounds it.
        return now + UNKNOWN_AUTHORITY_S * CLOCK_FACTOR + CLOCK_MARGIN_S
    own_end = previous.authority / 1_000 * CLOCK_FACTOR + CLOCK_MARGIN_S
    return seen_at + max(own_end, previous.earlier_end / 1_000)


def count_ms_until(end: float, now: float) -> int:
    """Return the ms until a time, rounded up, 0 if it is over."""
    return max(0, math.ceil((end - now) * 1_000))


def list_lease_ends(cell: Cell, now: float) -> dict[str, int]:
    """
    Return in how many ms the leases of workers that don't answer will have ended, by worker.

    Those of an earlier owner stay listed when they are over: as long as the rows aren't read, tasks
    may still be placed there, and the next owner would count their leases anew.
    """
    ends = {
        key: end for key, end in cell.earlier_lease_ends.items() if not _has_answered(cell, key)
    }
    ends |= {worker.entry.id: _bound_runs(cell, worker, now) for worker in _list_silent(cell)}
    soonest = sorted(ends.items(), key=lambda item: item[1])[:MAX_LISTED_WORKERS]
    return {key: count_ms_until(end, now) for key, end in soonest}


def forget_lease_ends(cell: Cell) -> None:
    """Discard the ends of workers on which the rows place no task, once they are read."""
    placed = {key for key, worker in cell.workers.items() if worker.runs}
    cell.earlier_lease_ends = {
        key: end for key, end in cell.earlier_lease_ends.items() if key in placed
    }


def shift_lease_ends(listed: Mapping[str, int], elapsed: float) -> dict[str, int]:
    """Return what is left in ms of listed times, ``elapsed`` seconds after their write."""
    return {key: max(0, left - int(elapsed * 1_000)) for key, left in listed.items()}


def restore_lease_ends(listed: Mapping[str, int], seen_at: float) -> dict[str, float]:
    """Return the listed ends in steady seconds; their write was first seen at ``seen_at``."""
    return {key: seen_at + left / 1_000 for key, left in listed.items()}


def withhold_leases(cell: Cell, listed: Iterable[str]) -> None:
    """Grant no leases to the workers of a list that is about to be written."""
    cell.withheld.update(listed)


def confirm_lease_ends(cell: Cell, listed: Iterable[str]) -> None:
    """Grant leases again to the workers that the list written last doesn't hold."""
    cell.withheld = set(listed)


def is_lease_withheld(cell: Cell, worker: Worker) -> bool:
    """Return whether a successor may believe that a worker has no lease any more."""
    return worker.entry.id in cell.withheld


def bound_earlier_leases(cell: Cell, worker: str) -> float:
    """Return the local time by which the leases of a worker by earlier owners have ended."""
    listed = cell.earlier_lease_ends.get(worker, cell.earlier_leases_end)
    return min(listed, cell.earlier_leases_end)


def bound_earlier_orders(cell: Cell, worker: str) -> float:
    """
    Return the local time by which late orders of earlier owners to a worker have no effects.

    A listed end that is later than that of all leases counts orders to earlier incarnations.
    """
    listed = cell.earlier_lease_ends.get(worker, 0.0)
    return listed if listed > cell.earlier_leases_end else 0.0


def _list_silent(cell: Cell) -> Iterable[Worker]:
    for worker in cell.workers.values():
        is_unlisted = not worker.entry.address  # it can't be asked, and may have left
        if worker.runs and (worker.silent or is_unlisted):
            yield worker


def _bound_runs(cell: Cell, worker: Worker, now: float) -> float:
    """
    Return when what a worker runs has ended, by an order to an earlier incarnation at the latest.

    Such an order has no effects on a process that has ended; the next owner can't find that out, as
    it knows no address of a worker without an entry.
    """
    if seems_gone(cell, worker, now):
        return worker.lease_expires_at
    return max(worker.lease_expires_at, worker.late_orders_end)


def _has_answered(cell: Cell, identifier: str) -> bool:
    worker = cell.workers.get(identifier)
    return worker is not None and bool(worker.clock)
