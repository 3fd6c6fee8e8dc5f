"""
Prediction of utilization
=========================

Estimate how best-effort tasks raise the utilization of latency-critical tasks on a worker, with the
tasks that run now or with one more.
"""

from __future__ import annotations

from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.utilization import ServiceUtilization, WorkerUtilization
from toucanpin.scheduling.worker import Run, Worker

__all__ = [
    "estimate_used_cpu",
    "estimate_utilization",
    "predict_rise",
    "predict_rise_for_run",
    "predict_share",
]


def estimate_utilization(
    model: InterferenceModel, worker: Worker, planned: bool = False
) -> WorkerUtilization:
    """
    Return the utilization of a worker with the tasks that run there.

    With ``planned``, latency-critical tasks count with the load that they may soon reach.
    """
    capacity = max(1, worker.entry.cpu)
    used = 0.0
    core_shares: dict[str, float] = {}  # of the worker's capacity, by best-effort image
    most_loaded: dict[str, Run] = {}
    for run in worker.runs.values():
        if run.step.target:
            load = model.planned_load(run) if planned else model.load(run)
            used += run.step.cpu * load
            other = most_loaded.get(run.task.job)
            # Tasks of one job have similar tails, so the highest one represents the job.
            if other is None or run.measure > other.measure:
                most_loaded[run.task.job] = run
            continue
        cpu = estimate_used_cpu(run)
        used += cpu
        if run.step.best_effort:
            core_shares[run.step.image] = core_shares.get(run.step.image, 0.0) + cpu / capacity
    services = tuple(
        _summarize_service(model, run, core_shares, planned) for run in most_loaded.values()
    )
    return WorkerUtilization(capacity, used, services)


def predict_share(
    model: InterferenceModel, utilization: WorkerUtilization, image: str, cpu: float
) -> float:
    """Return the highest utilization, as a share of its limit, if ``cpu`` of an image is added."""
    highest = 0.0
    for service in utilization.services:
        rise = (
            service.load * model.cautious_effect(service.image, image) * cpu / utilization.capacity
        )
        share = (max(service.expected, service.measured) + rise) / service.limit
        highest = max(highest, share)
    return highest


def predict_rise(
    model: InterferenceModel, utilization: WorkerUtilization, image: str, cpu: float
) -> float:
    """Return the most that ``cpu`` of an image adds to any latency-critical task's utilization."""
    highest = 0.0
    for service in utilization.services:
        rise = (
            service.load * model.cautious_effect(service.image, image) * cpu / utilization.capacity
        )
        highest = max(highest, rise)
    return highest


def predict_rise_for_run(
    model: InterferenceModel, worker: Worker, service: Run, image: str, cpu: float
) -> float:
    """Return what ``cpu`` of an image adds to the utilization of one latency-critical task."""
    effect = model.cautious_effect(service.step.image, image)
    return model.planned_load(service) * effect * cpu / max(1, worker.entry.cpu)


def estimate_used_cpu(run: Run) -> float:
    """Return the cores that a task without a latency target uses, in thousandths."""
    if not run.step.best_effort:
        return run.step.cpu
    if run.pace < 100:
        return run.step.cpu * max(0, run.pace) / 100
    return run.measure or run.step.cpu


def _summarize_service(
    model: InterferenceModel, run: Run, core_shares: dict[str, float], planned: bool
) -> ServiceUtilization:
    image = run.step.image
    growth = sum(
        share * model.cautious_effect(image, neighbour) for neighbour, share in core_shares.items()
    )
    load = model.planned_load(run) if planned else model.load(run)
    return ServiceUtilization(
        image, load, load * (1 + growth), model.utilization(run), model.limit(run)
    )
