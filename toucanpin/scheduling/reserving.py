"""
Reserve for brief tasks
=======================

Choose the workers on which lasting tasks leave room for brief ones.

Notes
-----
Lasting jobs that ask for more cores than there are take each place that they may have, and keep it.
A part of each worker that they leave free is lost to brief tasks which ask for more than that part;
the same cores on few workers that stay whole serve brief tasks of any size.  Batch work that fills
disturbs nobody there, since nothing serves beside it.
"""

from __future__ import annotations

from collections.abc import Sequence

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.worker import Worker

__all__ = ["leaves_reserve", "reserve_room"]

RESERVE = 0.1  # of all cores
PERIOD = 0.25  # s between choices


def reserve_room(cell: Cell, able: Sequence[Worker], now: Now) -> None:
    """Reserve cores on the workers that have least lasting work, whole ones if there are any."""
    if now.steady < cell.reserved_at + PERIOD:
        return
    cell.reserved_at = now.steady
    for worker in cell.workers.values():
        worker.reserved = 0
    left = int(RESERVE * sum(worker.entry.cpu for worker in able))
    for worker in sorted(able, key=_rank):
        free = worker.entry.cpu - worker.cpu
        if free >= left:
            worker.reserved = left
            return
        # What brief tasks hold now is theirs when they end, or lasting ones would take it then.
        worker.reserved = worker.entry.cpu - worker.lasting_cpu
        left -= free


def leaves_reserve(worker: Worker, step: Step) -> bool:
    """Tell whether one more task of a step leaves a worker's reserved cores free."""
    return worker.cpu + step.cpu <= worker.entry.cpu - worker.reserved


def _rank(worker: Worker) -> tuple[float, str]:
    # Equal workers come in one order for all owners, or each new one would choose others and those
    # chosen before would fill up.
    return worker.lasting_cpu / max(1, worker.entry.cpu), worker.entry.id
