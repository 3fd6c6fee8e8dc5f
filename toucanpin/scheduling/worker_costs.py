"""
Costs of workers
================

What speaks against a worker for a task of a step, apart from whether it may run there at all.

Notes
-----
Costs are relative to the 1 that the free cores of an idle worker cost.  Shares of utilization refer
to the utilization at which a latency-critical task reaches its target.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Now
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.placement_round import PlacementRound
from toucanpin.scheduling.prediction import predict_rise, predict_share
from toucanpin.scheduling.progress import CrashSuspicion
from toucanpin.scheduling.reserving import leaves_reserve
from toucanpin.scheduling.suspicion import count_suspected, is_new_worker
from toucanpin.scheduling.worker import Worker

__all__ = [
    "MAX_SHARE",
    "compute_best_effort_cost",
    "compute_crash_cost",
    "compute_packing_cost",
    "compute_state_cost",
]

REMOTE_RACK_COST = 4.0  # on another rack than the step's data or its other tasks
SUSPECT_COST = 100.0  # so high that suspect workers are used only if no other has room
SAFE_SHARE = 0.75  # of utilization, below which no interference is counted
INTERFERENCE_COST = 6.0  # per unit of the share of utilization above SAFE_SHARE
MAX_SHARE = 0.97  # of utilization: best-effort tasks wait rather than raise a service above it
OVERSUBSCRIPTION_COST = 3.0  # per missing share of the cores, by which all tasks take longer
OTHER_IMAGE_COST = 1.5  # per other latency-critical image on the worker
# Per share of the best-effort demand that could run there as well: above the cost of used cores, so
# that tasks that fit anywhere leave rare places free, and below that of interference.
DISPLACEMENT_COST = 3.0
RESERVE_COST = 20.0  # of taking reserved cores
SUSPECTED_TASK_COST = 1.0  # per suspected task on the worker, for a task that is suspected itself
NEW_WORKER_COST = 3.0  # for a suspected task: a worker that has just restarted may do so again
CRASH_RISK_COST = 10.0  # per share of cores in use that a task on its last attempt puts at risk
BEST_EFFORT_NEIGHBOUR_COST = 1.0  # per share of cores in use by best-effort tasks


def compute_state_cost(worker: Worker, step: Step, rack: str, now: Now) -> float:
    """Return the cost of a suspect worker and of the distance to data and sibling tasks."""
    cost = 0.0
    if max(worker.suspect_until, worker.slow_until) > now.steady:
        cost += SUSPECT_COST + len(worker.failed_jobs)
    if step.rack and step.rack != worker.rack:
        cost += REMOTE_RACK_COST
    if rack and rack != worker.rack:
        cost += REMOTE_RACK_COST
    return cost


def compute_crash_cost(worker: Worker, step: Step, suspicion: CrashSuspicion, now: Now) -> float:
    """
    Return the cost of a worker for a task that ran on workers when they were lost.

    Suspected tasks are placed on different workers, since those on one worker would all be lost
    with the one that crashes it.  Long-running tasks are not: spread over many workers they would
    exclude best-effort tasks from them for as long as they run.
    """
    cost = 0.0 if step.long_running else SUSPECTED_TASK_COST * count_suspected(worker, now)
    if is_new_worker(worker, now):
        cost += NEW_WORKER_COST
    if suspicion is CrashSuspicion.LAST_ATTEMPT:
        cost += CRASH_RISK_COST * (worker.cpu + worker.best_effort_cpu) / max(1, worker.entry.cpu)
    return cost


def compute_packing_cost(worker: Worker, step: Step) -> float:
    """Return the cost of a worker for a task that reserves cores, the lowest for the fullest."""
    capacity = max(1, worker.entry.cpu)
    # Short tasks are gone in a moment; a worker that is full of them is still whole.
    held = worker.long_running_cpu if step.long_running else worker.cpu
    # Packing small tasks leaves whole workers for large ones.
    free_share = 1 - (held + step.cpu) / capacity
    cost = 0.0
    if step.long_running and not leaves_reserve(worker, step):
        cost += RESERVE_COST * (1 + free_share)
    if step.target:
        neighbour_cost = BEST_EFFORT_NEIGHBOUR_COST * worker.best_effort_cpu / capacity
        return cost + free_share + neighbour_cost + _compute_image_cost(worker, step.image)
    return cost + free_share + 0.2 * worker.best_effort_count


def compute_best_effort_cost(round_: PlacementRound, worker: Worker, step: Step) -> float | None:
    """Return the cost of a worker for a best-effort task, None if it would interfere too much."""
    model = round_.model
    utilization = round_.utilization(worker)
    core_share = (utilization.used + step.cpu) / utilization.capacity
    cost = core_share if core_share <= 1.0 else 1.0 + OVERSUBSCRIPTION_COST * (core_share - 1.0)
    if model.plan is not None:
        images = frozenset(service.image for service in utilization.services)
        cost += DISPLACEMENT_COST * model.plan.usable_share(model.expected_effect, images)
    if not utilization.services:
        return cost
    share = predict_share(model, utilization, step.image, step.cpu)
    if share > MAX_SHARE:
        return None
    rise = predict_rise(model, utilization, step.image, step.cpu)
    return cost + INTERFERENCE_COST * max(0.0, share + rise - SAFE_SHARE)


def _compute_image_cost(worker: Worker, image: str) -> float:
    """
    Return the cost of placing a latency-critical task beside other images.

    A best-effort task must be harmless to all latency-critical images on its worker, or their load
    must be low.
    """
    images = {run.step.image for run in worker.runs.values() if run.step.target}
    # One more task of an image that runs there excludes no further best-effort images.
    return 0.0 if image in images else OTHER_IMAGE_COST * len(images)
