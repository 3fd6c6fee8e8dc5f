"""
Reserve for short tasks
=======================

Choose the workers on which long-running tasks leave cores free for short ones.

Notes
-----
Long-running jobs that request more cores than there are occupy all cores that they may use, and
keep them.  A reserve on every worker would be too small for large short tasks; the same number of
cores on a few whole workers fits short tasks of any size.  Best-effort tasks may run on reserved
cores, since there are no latency-critical tasks beside them.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.headroom import MAX_HEADROOM_SHARE, plan_headroom, record_demand
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.worker import Worker

__all__ = ["leaves_reserve", "reserve_cores"]

MIN_RESERVED_SHARE = 0.05  # of all cores
MAX_RESERVED_SHARE = 0.1  # of all cores
PEAK_DECAY_S = 10.0  # in which a recorded peak falls to a third
RESERVE_PERIOD_S = 0.25


def reserve_cores(cell: Cell, eligible: Sequence[Worker], now: Now) -> None:
    """Reserve cores on the workers with the least long-running work, preferably on idle ones."""
    if not cell.introduced:
        # The reserve of a part of the fleet would be too small, and the other whole workers of that
        # part be taken.
        _reserve_all(eligible)
        return
    # A worker that has become a candidate since could be taken before the next choice.
    is_complete = all(worker.weighed_for_reserve for worker in eligible)
    elapsed = now.steady - cell.reserved_at
    if is_complete and elapsed < RESERVE_PERIOD_S:
        return
    cell.reserved_at = now.steady
    for worker in cell.workers.values():
        worker.reserved_cpu = 0
        worker.weighed_for_reserve = False
    for worker in eligible:
        worker.weighed_for_reserve = True
    if not cell.features.urgent_headroom:
        _reserve_on(eligible, _compute_reserve(cell, eligible, elapsed))
        return
    missing = _plan_headroom(cell, eligible, elapsed, now)
    if now.steady < cell.headroom.scarce_until:
        # Also those that come free before the next choice.
        _reserve_all(eligible)
        return
    total = sum(worker.entry.cpu for worker in eligible)
    # Cores that are all in one data centre would be lost with it.
    for workers in _split_by_data_centre(eligible):
        share = sum(worker.entry.cpu for worker in workers) / max(1, total)
        _reserve_on(workers, math.ceil(missing * share))


def _reserve_all(eligible: Iterable[Worker]) -> None:
    for worker in eligible:
        worker.reserved_cpu = worker.entry.cpu


def _reserve_on(workers: Iterable[Worker], missing: int) -> None:
    """Reserve cores on the workers with the least long-running work."""
    for worker in sorted(workers, key=_rank):
        free = max(0, worker.entry.cpu - worker.cpu)
        if free >= missing:
            worker.reserved_cpu = missing
            return
        # Cores that short tasks use now stay reserved when these end, or long-running tasks would
        # take them.
        worker.reserved_cpu = max(0, worker.entry.cpu - worker.long_running_cpu)
        missing -= free


def _plan_headroom(cell: Cell, eligible: Sequence[Worker], elapsed: float, now: Now) -> int:
    """Return the cores to reserve by the demand of short tasks as seen by this owner."""
    total = sum(worker.entry.cpu for worker in eligible)
    cell.headroom.max_priority = _find_long_running_priority(cell)
    queues = _list_urgent_queues(cell)
    requested = _sum_used_by_queue(cell) + _sum_waiting_by_queue(cell)
    urgent = {queue: cores for queue, cores in requested.items() if queue in queues}
    record_demand(cell.headroom, urgent, MAX_HEADROOM_SHARE * total, now.steady)
    used_here = sum(worker.cpu - worker.long_running_cpu for worker in eligible)
    planned = plan_headroom(cell.headroom, eligible, bool(cell.evacuated), used_here)
    return max(planned, _compute_reserve(cell, eligible, elapsed))


def _list_urgent_queues(cell: Cell) -> set[str]:
    """Return the queues with jobs that are as urgent as all long-running ones."""
    limit = cell.headroom.max_priority
    return {live.job.queue for live in cell.jobs.values() if live.job.priority <= limit}


def _find_long_running_priority(cell: Cell) -> int:
    """Return the priority number of the most urgent long-running tasks."""
    runs = (run for runs in cell.runs.values() for run in runs if run.step.long_running)
    return min((run.priority for run in runs), default=0)


def _split_by_data_centre(workers: Iterable[Worker]) -> Iterable[list[Worker]]:
    found: dict[str, list[Worker]] = {}
    for worker in workers:
        found.setdefault(worker.entry.data_centre, []).append(worker)
    return found.values()


def _sum_used_by_queue(cell: Cell) -> Counter[str]:
    """Return the cores that short tasks use, by queue."""
    cores: Counter[str] = Counter()
    for job, runs in cell.runs.items():
        live = cell.jobs.get(job)
        if live is not None:
            used = sum(run.step.cpu for run in runs if _is_short(run.step))
            cores[live.job.queue] += used
    return cores


def _sum_waiting_by_queue(cell: Cell) -> Counter[str]:
    """Return the cores that waiting short tasks request, by queue."""
    cores: Counter[str] = Counter()
    for group, waiting in cell.waiting.items():
        job = cell.jobs[group.job].job
        step = job.steps[group.step]
        if _is_short(step):
            cores[job.queue] += step.cpu * len(waiting)
    return cores


def _is_short(step: Step) -> bool:
    return not step.long_running and not step.best_effort


def _compute_reserve(cell: Cell, eligible: Sequence[Worker], elapsed: float) -> int:
    """
    Return the cores to reserve: the recent peak demand of short tasks, less what they use now.

    Long-running tasks keep cores once they have them, so a new owner without a recorded peak
    reserves the maximum and then gives up what isn't needed.  While nothing waits, nobody needs
    them, and the peak doesn't fall.
    """
    total = sum(worker.entry.cpu for worker in eligible)
    used = sum(worker.cpu - worker.long_running_cpu for worker in eligible)
    previous_peak = (
        cell.short_task_peak if cell.short_task_peak is not None else MAX_RESERVED_SHARE * total
    )
    decay = math.exp(-min(elapsed, RESERVE_PERIOD_S) / PEAK_DECAY_S)
    cell.short_task_peak = max(used + _sum_waiting_cpu(cell), previous_peak * decay)
    return int(
        min(
            MAX_RESERVED_SHARE * total, max(MIN_RESERVED_SHARE * total, cell.short_task_peak - used)
        )
    )


def _sum_waiting_cpu(cell: Cell) -> int:
    """Return the cores that waiting short tasks request."""
    return _sum_waiting_by_queue(cell).total()


def leaves_reserve(worker: Worker, step: Step) -> bool:
    """Return whether one more task of a step leaves a worker's reserved cores free."""
    return worker.cpu + step.cpu <= worker.entry.cpu - worker.reserved_cpu


def _rank(worker: Worker) -> tuple[float, str]:
    # Ties are broken by id, so that a new owner reserves the same workers.  Otherwise long-running
    # tasks would fill those that the earlier owner had reserved.
    return worker.long_running_cpu / max(1, worker.entry.cpu), worker.entry.id
