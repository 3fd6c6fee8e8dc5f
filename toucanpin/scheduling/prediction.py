"""
Prediction of tails
===================

What a worker's serving tasks will suffer from what fills beside them, now or with one task more.
"""

from __future__ import annotations

from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.utilization import ServiceUtilization, WorkerUtilization
from toucanpin.scheduling.worker import Run, Worker

__all__ = [
    "estimate_utilization",
    "measure_use",
    "predict_rise",
    "predict_rise_of",
    "predict_share",
]


def estimate_utilization(
    model: InterferenceModel, worker: Worker, planned: bool = False
) -> WorkerUtilization:
    """
    Sum up a worker as it is.

    With ``planned`` the serving tasks are thought to be as loaded as they soon may be.
    """
    whole = max(1, worker.entry.cpu)
    cores = 0.0
    amounts: dict[str, float] = {}
    hottest: dict[str, Run] = {}
    for run in worker.runs.values():
        if run.step.target:
            load = model.planned_load(run) if planned else model.load(run)
            cores += run.step.cpu * load
            other = hottest.get(run.task.job)
            # Tasks of one job fare alike, so one of them stands for all.
            if other is None or run.measure > other.measure:
                hottest[run.task.job] = run
            continue
        used = measure_use(run)
        cores += used
        if run.step.best_effort:
            amounts[run.step.image] = amounts.get(run.step.image, 0.0) + used / whole
    served = tuple(_sum_up(model, run, amounts, planned) for run in hottest.values())
    return WorkerUtilization(whole, cores, served)


def predict_share(
    model: InterferenceModel, utilization: WorkerUtilization, image: str, cpu: float
) -> float:
    """Return the highest utilization with ``cpu`` of an image more, as a share of its limit."""
    highest = 0.0
    for service in utilization.services:
        rise = service.load * model.effect(service.image, image) * cpu / utilization.capacity
        share = (max(service.expected, service.measured) + rise) / service.limit
        highest = max(highest, share)
    return highest


def predict_rise(
    model: InterferenceModel, utilization: WorkerUtilization, image: str, cpu: float
) -> float:
    """Return the most that ``cpu`` of an image add to a serving task's utilization."""
    highest = 0.0
    for service in utilization.services:
        rise = service.load * model.effect(service.image, image) * cpu / utilization.capacity
        highest = max(highest, rise)
    return highest


def predict_rise_of(
    model: InterferenceModel, worker: Worker, serving: Run, image: str, cpu: float
) -> float:
    """Return what ``cpu`` of an image add to the utilization of one serving task."""
    effect = model.effect(serving.step.image, image)
    return model.planned_load(serving) * effect * cpu / max(1, worker.entry.cpu)


def measure_use(run: Run) -> float:
    """Return the cores that a task which doesn't serve uses, in thousandths."""
    if not run.step.best_effort:
        return run.step.cpu
    if run.pace < 100:
        return run.step.cpu * max(0, run.pace) / 100
    return run.measure or run.step.cpu


def _sum_up(
    model: InterferenceModel, run: Run, amounts: dict[str, float], planned: bool
) -> ServiceUtilization:
    image = run.step.image
    growth = sum(share * model.effect(image, filling) for filling, share in amounts.items())
    load = model.planned_load(run) if planned else model.load(run)
    return ServiceUtilization(
        image, load, load * (1 + growth), model.utilization(run), model.limit(run)
    )
