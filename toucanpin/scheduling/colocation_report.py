"""
Report on colocation
====================

What keeps idle cores from best-effort tasks that wait, and how many latency-critical tasks are over
their target.
"""

from __future__ import annotations

import enum
import heapq
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.choosing import list_eligible
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.placement_round import PlacementRound
from toucanpin.scheduling.prediction import predict_share
from toucanpin.scheduling.utilization import ServiceUtilization, WorkerUtilization
from toucanpin.scheduling.waits import WaitReason
from toucanpin.scheduling.worker import Phase, Worker, has_room
from toucanpin.scheduling.worker_costs import MAX_SHARE

__all__ = ["ColocationReport", "Obstacle", "describe_colocation"]

MAX_EXAMINED_IMAGES = 3  # each is compared with all workers


class Obstacle(enum.Enum):
    """What keeps a best-effort task off a worker with idle cores."""

    NONE = "none"
    MEMORY = "memory"
    CORES = "cores"  # what is idle is less than the task needs
    LOAD = "load"  # a service is at its limit by its own load
    NEIGHBOURS = "neighbours"  # a service is at its limit by best-effort tasks that run there
    HARMFUL = "harmful"  # the task's image is known to be harmful to a service
    UNKNOWN = "unknown"  # little is known of the images, or their effects add up


@dataclass(slots=True)
class ColocationReport:
    """
    Best-effort demand and idle cores of a cell, and latency-critical tasks over their target.

    ``waiting`` counts the cores of best-effort tasks that wait because of interference; ``idle``
    those idle on eligible workers; ``blocked`` the idle cores by obstacle, as a mean over the
    images of which the most waits; ``images`` the workers by their number of latency-critical
    images.
    """

    waiting: float = 0.0
    idle: float = 0.0
    blocked: defaultdict[Obstacle, float] = field(default_factory=lambda: defaultdict(float))
    images: Counter[int] = field(default_factory=Counter)
    best_effort_tasks: int = 0
    paced_tasks: int = 0
    services: int = 0
    over_target: int = 0


def describe_colocation(cell: Cell, model: InterferenceModel, now: Now) -> ColocationReport:
    """Return what best-effort and latency-critical tasks cost each other at this moment."""
    report = ColocationReport()
    round_ = PlacementRound(model, now)
    cores, steps = _sum_waiting(cell)
    report.waiting = sum(cores.values())
    examined = heapq.nlargest(MAX_EXAMINED_IMAGES, cores.items(), key=lambda item: item[1])
    total = max(1.0, sum(waiting for _, waiting in examined))
    for worker in list_eligible(cell, now):
        utilization = round_.utilization(worker)
        idle = max(0.0, utilization.capacity - utilization.used) / 1_000
        report.idle += idle
        report.images[len({service.image for service in utilization.services})] += 1
        for image, waiting in examined:
            obstacle = _find_obstacle(round_, worker, steps[image])
            report.blocked[obstacle] += idle * waiting / total
        _count_runs(report, worker)
    return report


def _sum_waiting(cell: Cell) -> tuple[dict[str, float], dict[str, Step]]:
    """Return the cores that wait because of interference and the smallest step, by image."""
    cores: defaultdict[str, float] = defaultdict(float)
    steps: dict[str, Step] = {}
    for group, wait in cell.waits.items():
        if wait.reason is not WaitReason.INTERFERENCE:
            continue
        step = cell.jobs[group.job].job.steps[group.step]
        cores[step.image] += step.cpu * len(cell.waiting.get(group, ())) / 1_000
        if step.image not in steps or step.cpu < steps[step.image].cpu:
            steps[step.image] = step
    return cores, steps


def _count_runs(report: ColocationReport, worker: Worker) -> None:
    for run in worker.runs.values():
        if run.phase is not Phase.RUNNING:
            continue
        if run.step.best_effort:
            report.best_effort_tasks += 1
            report.paced_tasks += run.pace < 100
        elif run.step.target:
            report.services += 1
            report.over_target += run.measure > run.step.target


def _find_obstacle(round_: PlacementRound, worker: Worker, step: Step) -> Obstacle:
    if not has_room(worker, step):
        return Obstacle.MEMORY
    if round_.is_saturated(worker, step.cpu):
        return Obstacle.CORES
    model = round_.model
    utilization = round_.utilization(worker)
    if predict_share(model, utilization, step.image, step.cpu) <= MAX_SHARE:
        return Obstacle.NONE
    worst = _find_most_disturbed(model, utilization, step)
    if worst.load > MAX_SHARE * worst.limit:
        return Obstacle.LOAD
    if max(worst.expected, worst.measured) > MAX_SHARE * worst.limit:
        return Obstacle.NEIGHBOURS
    return Obstacle.HARMFUL if model.is_harmful(worst.image, step.image) else Obstacle.UNKNOWN


def _find_most_disturbed(
    model: InterferenceModel, utilization: WorkerUtilization, step: Step
) -> ServiceUtilization:
    """Return the service that one more task would bring nearest to its limit."""

    def rate(service: ServiceUtilization) -> float:
        alone = WorkerUtilization(utilization.capacity, utilization.used, (service,))
        return predict_share(model, alone, step.image, step.cpu)

    return max(utilization.services, key=rate)
