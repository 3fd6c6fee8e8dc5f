"""
Consolidation of images
=======================

Move a long-running task off a worker where it is the only reason why best-effort tasks wait.

Notes
-----
A best-effort task has to be harmless to all latency-critical images on its worker, so each further
image excludes some of the best-effort images that could run beside the others.  Long-running tasks
arrive in any order and stay for long, so single tasks of one image end up on workers of another.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell, Group, Now
from toucanpin.scheduling.choosing import list_eligible, meets_constraints
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.reserving import leaves_reserve
from toucanpin.scheduling.stopping import count_unavailable, stop_run
from toucanpin.scheduling.waits import WaitReason
from toucanpin.scheduling.worker import Phase, Run, Worker, has_room

__all__ = ["consolidate_images"]

MOVE_PERIOD_S = 0.5  # a moved task runs again elsewhere within about this time
MIN_WAIT_S = 0.5  # of best-effort tasks, before a task is moved for them
# Cores that a move has to make usable: those of one best-effort task.  With a plan the median of
# those that wait counts, since on small workers no move could make this many usable.
MIN_GAIN_CORES = 6.0
MIN_STAY_S = 20.0  # until a task is moved again; longer than a best-effort job takes


@dataclass(frozen=True, slots=True)
class _WorkerImages:
    """Latency-critical images of a worker, one per task, and its cores for best-effort tasks."""

    worker: Worker
    images: tuple[str, ...]
    free: float


def consolidate_images(cell: Cell, model: InterferenceModel, now: Now) -> Run | None:
    """Stop and return the long-running task whose move makes the most cores usable."""
    if now.steady < cell.consolidated_at + MOVE_PERIOD_S:
        return None
    demand = _sum_demand(cell, now)
    if not demand:
        return None
    cell.consolidated_at = now.steady
    candidates = [_describe(worker) for worker in list_eligible(cell, now)]
    min_gain = MIN_GAIN_CORES if model.plan is None else _find_median_size(cell, demand)
    moves = _list_moves(cell, model, candidates, demand, min_gain, now)
    best = max(moves, key=lambda move: move[0], default=None)
    if best is None or best[0] < min_gain:
        return None
    run = best[1]
    _drop_expired_moves(cell, now)
    cell.consolidated[run.task] = now.steady
    stop_run(cell, run, "leaves its worker to batch work")
    return run


def _drop_expired_moves(cell: Cell, now: Now) -> None:
    """Drop moves that no longer matter; the state of a cell is kept for months."""
    cell.consolidated = {
        task: moved_at
        for task, moved_at in cell.consolidated.items()
        if now.steady < moved_at + MIN_STAY_S
    }


def _sum_demand(cell: Cell, now: Now) -> dict[str, float]:
    """Return by image the cores of best-effort tasks that wait because of interference."""
    demand: dict[str, float] = {}
    for group, wait in cell.waits.items():
        if wait.reason is not WaitReason.INTERFERENCE or now.steady - wait.since < MIN_WAIT_S:
            continue
        step = cell.jobs[group.job].job.steps[group.step]
        cores = step.cpu * len(cell.waiting.get(group, ())) / 1_000
        demand[step.image] = demand.get(step.image, 0.0) + cores
    return demand


def _find_median_size(cell: Cell, demand: dict[str, float]) -> float:
    """Return the median cores of a task over the best-effort steps that wait."""
    steps = (cell.jobs[group.job].job.steps[group.step] for group in cell.waiting)
    sizes = [step.cpu / 1_000 for step in steps if step.best_effort and step.image in demand]
    return statistics.median(sizes) if sizes else MIN_GAIN_CORES


def _describe(worker: Worker) -> _WorkerImages:
    images = tuple(run.step.image for run in worker.runs.values() if run.step.target)
    used = worker.cpu + worker.best_effort_cpu
    return _WorkerImages(worker, images, max(0.0, worker.entry.cpu - used) / 1_000)


def _list_moves(
    cell: Cell,
    model: InterferenceModel,
    candidates: list[_WorkerImages],
    demand: dict[str, float],
    min_gain: float,
    now: Now,
) -> Iterable[tuple[float, Run]]:
    """Yield the cores that each possible move would make usable, and the task to move."""
    for candidate in candidates:
        if len(set(candidate.images)) < 2:
            continue
        for run in candidate.worker.runs.values():
            if candidate.images.count(run.step.image) != 1 or not _may_move(cell, run, now):
                continue
            remaining = [image for image in candidate.images if image != run.step.image]
            gain = _count_usable_cores(model, candidate, remaining, demand, run.step.cpu / 1_000)
            gain -= _count_usable_cores(model, candidate, candidate.images, demand)
            if gain < min_gain:
                continue
            loss = _find_min_loss(model, candidates, candidate, run, demand)
            if loss is not None:
                yield gain - loss, run


def _may_move(cell: Cell, run: Run, now: Now) -> bool:
    if not run.step.long_running or not run.step.target or run.phase is not Phase.RUNNING:
        return False
    if run.percent < 100 or now.steady < cell.consolidated.get(run.task, -MIN_STAY_S) + MIN_STAY_S:
        return False
    return run.task.job in cell.jobs and count_unavailable(cell, run, now) == 0


def _find_min_loss(
    model: InterferenceModel,
    candidates: list[_WorkerImages],
    candidate: _WorkerImages,
    run: Run,
    demand: dict[str, float],
) -> float | None:
    """Return the fewest usable cores lost on another worker, None if none can take the task."""
    group = Group(run.task.job, run.task.occurrence, run.task.step)
    lowest: float | None = None
    for other in candidates:
        if other is candidate or run.step.image not in other.images:
            continue
        worker = other.worker
        if not (has_room(worker, run.step) and meets_constraints(worker, group, run.step)):
            continue
        if not leaves_reserve(worker, run.step):
            continue
        before = _count_usable_cores(model, other, other.images, demand)
        after = _count_usable_cores(model, other, other.images, demand, -run.step.cpu / 1_000)
        lowest = before - after if lowest is None else min(lowest, before - after)
    return lowest


def _count_usable_cores(
    model: InterferenceModel,
    candidate: _WorkerImages,
    images: Iterable[str],
    demand: dict[str, float],
    extra: float = 0.0,
) -> float:
    """Return the cores of a worker that waiting tasks could use beside the given images."""
    service_images = set(images)
    requested = sum(
        cores
        for image, cores in demand.items()
        if not any(model.is_harmful(service_image, image) for service_image in service_images)
    )
    return min(requested, max(0.0, candidate.free + extra))
