"""
Gathering of images
===================

Move a lasting task away from a worker where it alone shuts out batch work that waits.

Notes
-----
On a worker that serves several images a filling task has to be harmless to all of them, so each
image more shuts out a share of those that could fill beside the others.  Lasting tasks come in any
order and stay for long, so strays of one image end up on workers of another.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell, Group, Now, WaitReason
from toucanpin.scheduling.choosing import list_eligible, meets_constraints
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.reserving import leaves_reserve
from toucanpin.scheduling.stopping import count_unavailable, stop_run
from toucanpin.scheduling.worker import Phase, Run, Worker, has_room

__all__ = ["consolidate_images"]

MOVE_PERIOD_S = (
    0.5  # s between moves; one that was stopped runs again elsewhere within about that time
)
MIN_WAIT_S = 0.5  # s that batch work has waited before anything is moved for it
HARMFUL_EFFECT = 2.0  # effect from which an image counts as harmful to another
MIN_GAIN_CORES = 6.0  # cores that a move has to open for what waits: those of one batch task
MIN_STAY_S = 20.0  # s for which a task that was moved stays, longer than a batch job takes


@dataclass(frozen=True, slots=True)
class _WorkerImages:
    """Hold a worker's serving images and the cores that what fills could use."""

    worker: Worker
    images: tuple[str, ...]
    free: float


def consolidate_images(cell: Cell, model: InterferenceModel, now: Now) -> Run | None:
    """Stop the lasting task whose move opens most cores to what waits, and return it."""
    if now.steady < cell.consolidated_at + MOVE_PERIOD_S:
        return None
    demand = _sum_demand(cell, now)
    if not demand:
        return None
    cell.consolidated_at = now.steady
    candidates = [_describe(worker) for worker in list_eligible(cell, now)]
    best = max(
        _list_moves(cell, model, candidates, demand, now), key=lambda move: move[0], default=None
    )
    if best is None or best[0] < MIN_GAIN_CORES:
        return None
    run = best[1]
    _drop_expired_moves(cell, now)
    cell.consolidated[run.task] = now.steady
    stop_run(cell, run, "leaves its worker to batch work")
    return run


def _drop_expired_moves(cell: Cell, now: Now) -> None:
    """Drop moves that hold nothing back any more; a cell lives for months."""
    cell.consolidated = {
        task: moved_at
        for task, moved_at in cell.consolidated.items()
        if now.steady < moved_at + MIN_STAY_S
    }


def _sum_demand(cell: Cell, now: Now) -> dict[str, float]:
    """Return by image the cores of filling tasks that wait since they would disturb."""
    demand: dict[str, float] = {}
    for group, wait in cell.waits.items():
        if wait.reason is not WaitReason.INTERFERENCE or now.steady - wait.since < MIN_WAIT_S:
            continue
        step = cell.jobs[group.job].job.steps[group.step]
        cores = step.cpu * len(cell.waiting.get(group, ())) / 1_000
        demand[step.image] = demand.get(step.image, 0.0) + cores
    return demand


def _describe(worker: Worker) -> _WorkerImages:
    images = tuple(run.step.image for run in worker.runs.values() if run.step.target)
    used = worker.cpu + worker.best_effort_cpu
    return _WorkerImages(worker, images, max(0.0, worker.entry.cpu - used) / 1_000)


def _list_moves(
    cell: Cell,
    model: InterferenceModel,
    candidates: list[_WorkerImages],
    demand: dict[str, float],
    now: Now,
) -> Iterable[tuple[float, Run]]:
    """Yield the cores that each possible move would open, and the task that would move."""
    for candidate in candidates:
        if len(set(candidate.images)) < 2:
            continue
        for run in candidate.worker.runs.values():
            if candidate.images.count(run.step.image) != 1 or not _may_move(cell, run, now):
                continue
            left = [image for image in candidate.images if image != run.step.image]
            gain = _count_usable_cores(model, candidate, left, demand, run.step.cpu / 1_000)
            gain -= _count_usable_cores(model, candidate, candidate.images, demand)
            if gain < MIN_GAIN_CORES:
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
    """Return the fewest cores that the task would shut to what waits, None if it has no place."""
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
    more: float = 0.0,
) -> float:
    """Return the cores of a worker that what waits could use beside some images."""
    serving = set(images)
    wanted = sum(
        cores
        for image, cores in demand.items()
        if all(model.expected_effect(served, image) < HARMFUL_EFFECT for served in serving)
    )
    return min(wanted, max(0.0, candidate.free + more))
