"""
Prediction of tails
===================

What a worker's serving tasks will suffer from what fills beside them, now or with one task more.
"""

from __future__ import annotations

from toucanpin.scheduling.sharing import Sharing
from toucanpin.scheduling.worker import Run, Worker

__all__ = ["measure_use", "predict_rise", "predict_rise_of", "predict_utilization", "use_cores"]


def predict_utilization(
    sharing: Sharing, worker: Worker, image: str, cpu: int, planned: bool = False
) -> float:
    """
    Return the highest utilization on a worker, as a share of what a target allows.

    ``cpu`` of an image are thought to run there besides; 0 judges the worker as it is.  With
    ``planned`` the serving tasks are thought to be as loaded as they soon may be.
    """
    whole = max(1, worker.entry.cpu)
    fillers = [run for run in worker.runs.values() if run.step.fills]
    highest = 0.0
    for run in _find_distinct(worker):
        serving = run.step.image
        beside = sum(
            sharing.effect(serving, other.step.image) * measure_use(other) for other in fillers
        )
        more = sharing.effect(serving, image) * cpu
        load = sharing.planned_load(run) if planned else sharing.load(run)
        expected = load * (1 + (beside + more) / whole)
        measured = sharing.utilization(run) + load * more / whole
        highest = max(highest, max(expected, measured) / sharing.limit(run))
    return highest


def predict_rise(sharing: Sharing, worker: Worker, image: str, cpu: float) -> float:
    """Return the most that ``cpu`` of an image add to a serving task's utilization."""
    rises = (predict_rise_of(sharing, worker, run, image, cpu) for run in _find_distinct(worker))
    return max(rises, default=0.0)


def predict_rise_of(
    sharing: Sharing, worker: Worker, serving: Run, image: str, cpu: float
) -> float:
    """Return what ``cpu`` of an image add to the utilization of one serving task."""
    whole = max(1, worker.entry.cpu)
    effect = sharing.effect(serving.step.image, image)
    return sharing.planned_load(serving) * effect * cpu / whole


def use_cores(sharing: Sharing, worker: Worker, planned: bool = False) -> float:
    """Return the cores that a worker's tasks use together, in thousandths."""
    total = 0.0
    for run in worker.runs.values():
        if run.step.target:
            load = sharing.planned_load(run) if planned else sharing.load(run)
            total += run.step.cpu * load
        else:
            total += measure_use(run)
    return total


def measure_use(run: Run) -> float:
    """Return the cores that a task which doesn't serve uses, in thousandths."""
    if not run.step.fills:
        return run.step.cpu
    if run.pace < 100:
        return run.step.cpu * max(0, run.pace) / 100
    return run.measure or run.step.cpu


def _find_distinct(worker: Worker) -> list[Run]:
    """Return one serving task of each job: those of one job fare alike."""
    hottest: dict[str, Run] = {}
    for run in worker.runs.values():
        if run.step.target:
            other = hottest.get(run.task.job)
            if other is None or run.measure > other.measure:
                hottest[run.task.job] = run
    return list(hottest.values())
