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

import math
from collections.abc import Sequence

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.worker import Worker

__all__ = ["leaves_reserve", "reserve_cores"]

MIN_RESERVED_SHARE = 0.05  # of all cores
MAX_RESERVED_SHARE = 0.1  # of all cores
PEAK_DECAY_S = 10.0  # s in which what is remembered of a peak falls to a third
RESERVE_PERIOD_S = 0.25  # s between choices


def reserve_cores(cell: Cell, eligible: Sequence[Worker], now: Now) -> None:
    """Reserve cores on the workers that have least lasting work, whole ones if there are any."""
    if now.steady < cell.reserved_at + RESERVE_PERIOD_S:
        return
    cell.reserved_at = now.steady
    for worker in cell.workers.values():
        worker.reserved_cpu = 0
    left = _compute_reserve(cell, eligible)
    for worker in sorted(eligible, key=_rank):
        free = max(0, worker.entry.cpu - worker.cpu)
        if free >= left:
            worker.reserved_cpu = left
            return
        # What brief tasks hold now is theirs when they end, or lasting ones would take it then.
        worker.reserved_cpu = max(0, worker.entry.cpu - worker.long_running_cpu)
        left -= free


def _compute_reserve(cell: Cell, eligible: Sequence[Worker]) -> int:
    """
    Return the cores to reserve: what brief tasks asked for lately, less what they hold now.

    Lasting tasks keep what they once have, so an owner that has seen no load yet reserves most, and
    gives up what turns out not to be needed.
    """
    whole = sum(worker.entry.cpu for worker in eligible)
    held = sum(worker.cpu - worker.long_running_cpu for worker in eligible)
    remembered = (
        cell.short_task_peak if cell.short_task_peak is not None else MAX_RESERVED_SHARE * whole
    )
    cell.short_task_peak = max(
        held + _sum_waiting_cpu(cell), remembered * math.exp(-RESERVE_PERIOD_S / PEAK_DECAY_S)
    )
    return int(
        min(
            MAX_RESERVED_SHARE * whole, max(MIN_RESERVED_SHARE * whole, cell.short_task_peak - held)
        )
    )


def _sum_waiting_cpu(cell: Cell) -> int:
    """Return the cores that waiting brief tasks ask for."""
    cores = 0
    for group, waiting in cell.waiting.items():
        step = cell.jobs[group.job].job.steps[group.step]
        if not step.long_running and not step.best_effort:
            cores += step.cpu * len(waiting)
    return cores


def leaves_reserve(worker: Worker, step: Step) -> bool:
    """Tell whether one more task of a step leaves a worker's reserved cores free."""
    return worker.cpu + step.cpu <= worker.entry.cpu - worker.reserved_cpu


def _rank(worker: Worker) -> tuple[float, str]:
    # Equal workers come in one order for all owners, or each new one would choose others and those
    # chosen before would fill up.
    return worker.long_running_cpu / max(1, worker.entry.cpu), worker.entry.id
