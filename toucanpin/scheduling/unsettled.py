"""
Unsettled runs
==============

Count the runs that may still execute on workers that don't answer, and tell until when.

Notes
-----
A task of such a run isn't started elsewhere before the worker has answered or its lease has
certainly ended, however much room there is.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.late_orders import bound_late_orders
from toucanpin.scheduling.worker import Worker

__all__ = ["Unsettled", "describe_unsettled"]


@dataclass(frozen=True, slots=True)
class Unsettled:
    """
    Runs on workers that don't answer.

    ``unreached`` counts those on workers that never answered this owner, of which ``unlisted``
    have no entry any more, and ``silent`` those on workers that stopped answering.  ``until`` is
    the local time from which on none of them executes for certain.
    """

    workers: int
    unreached: int
    unlisted: int
    silent: int
    until: float


def describe_unsettled(cell: Cell) -> Unsettled | None:
    """Return the runs on workers that don't answer, None if there are none."""
    workers = [it for it in cell.workers.values() if it.runs and (it.silent or not it.reached)]
    if not workers:
        return None
    unreached = [worker for worker in workers if not worker.reached]
    total = _count_runs(workers)
    return Unsettled(
        len(workers),
        _count_runs(unreached),
        _count_runs(worker for worker in unreached if not worker.entry.address),
        total - _count_runs(unreached),
        max(max(it.lease_expires_at, bound_late_orders(cell, it)) for it in workers),
    )


def _count_runs(workers: Iterable[Worker]) -> int:
    return sum(len(worker.runs) for worker in workers)
