"""
Choice of workers
=================

Select the workers that may run a task of a step, and rank them by cost.
"""

from __future__ import annotations

import enum
import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from toucanpin.scheduling.cell import Cell, Group, LiveJob, Now
from toucanpin.scheduling.evacuating import list_not_evacuated
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.prediction import estimate_utilization, predict_rise, predict_share
from toucanpin.scheduling.progress import CrashSuspicion
from toucanpin.scheduling.reserving import leaves_reserve
from toucanpin.scheduling.shortage import Shortage
from toucanpin.scheduling.suspicion import count_suspected, is_new_worker
from toucanpin.scheduling.trust import is_trusted
from toucanpin.scheduling.utilization import WorkerUtilization
from toucanpin.scheduling.worker import Worker, count_fitting_tasks, has_room

__all__ = [
    "CONTACT_TIMEOUT_S",
    "CandidateWorkers",
    "MAX_SHARE",
    "PlacementRound",
    "ReserveAccess",
    "has_label",
    "is_reserved_for_others",
    "list_eligible",
    "may_place_long_running",
    "meets_constraints",
]

CONTACT_TIMEOUT_S = 2.5  # without an answer, after which a worker gets no new tasks
# The costs of candidates are relative to the 1 that the free cores of an idle worker cost.  Shares
# of utilization refer to the utilization at which a latency-critical task reaches its target.
REMOTE_RACK_COST = 4.0  # on another rack than the step's data or its other tasks
SUSPECT_COST = 100.0  # so high that suspect workers are used only if no other has room
SAFE_SHARE = 0.75  # of utilization, below which no interference is counted
INTERFERENCE_COST = 6.0  # per unit of the share of utilization above SAFE_SHARE
MAX_SHARE = 0.97  # of utilization: best-effort tasks wait rather than raise a service above it
OVERSUBSCRIPTION_COST = 3.0  # per missing share of the cores, by which all tasks take longer
MAX_CORE_SHARE = 1.05  # of a worker's cores in use: more best-effort tasks only slow each other
OTHER_IMAGE_COST = 1.5  # per other latency-critical image on the worker
# Per share of the best-effort demand that could run there as well: above the cost of used cores, so
# that tasks that fit anywhere leave rare places free, and below that of interference.
DISPLACEMENT_COST = 3.0
RESERVE_COST = 20.0  # of taking reserved cores
UTILIZATION_MAX_AGE_S = 0.2  # loads are measured as often
SUSPECTED_TASK_COST = 1.0  # per suspected task on the worker, for a task that is suspected itself
NEW_WORKER_COST = 3.0  # for a suspected task: a worker that has just restarted may do so again
CRASH_RISK_COST = 10.0  # per share of cores in use that a task on its last attempt puts at risk
BEST_EFFORT_NEIGHBOUR_COST = 1.0  # per share of cores in use by best-effort tasks


class ReserveAccess(enum.Enum):
    """Permission of a task to use cores that are reserved for short ones."""

    NONE = "none"
    SPARE = "where there are two places"
    ALL = "all"


@dataclass(slots=True)
class PlacementRound:
    """
    State of one round of placement.

    ``reserved`` holds, by the access that a task had, the demands that only reserved cores could
    meet.
    """

    model: InterferenceModel
    now: Now
    reserved: dict[ReserveAccess, Shortage] = field(
        default_factory=lambda: {access: Shortage() for access in ReserveAccess}
    )
    _short: Shortage = field(default_factory=Shortage)
    _long_running: Shortage = field(default_factory=Shortage)

    def utilization(self, worker: Worker) -> WorkerUtilization:
        """
        Return the utilization of a worker, cached for a while.

        Computing it anew in each round would take most of a turn on a few hundred workers.
        """
        now = self.now.steady
        if worker.utilization is None or now > worker.utilization_at + UTILIZATION_MAX_AGE_S:
            worker.utilization = estimate_utilization(self.model, worker, planned=True)
            worker.utilization_at = now
        return worker.utilization

    def is_saturated(self, worker: Worker, cpu: int) -> bool:
        """Return whether a worker has too few idle cores for a best-effort task."""
        utilization = self.utilization(worker)
        return utilization.used + cpu > MAX_CORE_SHARE * utilization.capacity

    def shortage(self, long_running: bool) -> Shortage:
        """
        Return the unmet demands of long-running or of other tasks.

        They are recorded separately since workers reserved for large tasks are excluded for the
        latter only.
        """
        return self._long_running if long_running else self._short


class CandidateWorkers:
    """
    Workers that could run a task of a step, in a heap by cost.

    ``suspicion`` is how strongly these tasks are suspected of crashing workers;
    ``constraint_excluded`` is true if other tasks of the step excluded a worker that has room.
    """

    __slots__ = (
        "_eligible",
        "_group",
        "_heap",
        "_live",
        "_round",
        "_step",
        "suspicion",
        "constraint_excluded",
    )

    def __init__(
        self,
        round_: PlacementRound,
        live: LiveJob,
        group: Group,
        step: Step,
        eligible: Iterable[Worker],
        suspicion: CrashSuspicion = CrashSuspicion.NONE,
    ) -> None:
        self._round = round_
        self.suspicion = suspicion
        self._live = live
        self._group = group
        self._step = step
        self._eligible = list(eligible)
        self._heap: list[tuple[float, int, Worker]] = []
        self.constraint_excluded = False
        self.update_all()

    def update_all(self) -> None:
        """Compute the costs of all workers anew."""
        entries = (self._make_entry(number) for number in range(len(self._eligible)))
        self._heap = [entry for entry in entries if entry is not None]
        heapq.heapify(self._heap)

    def best(self) -> Worker | None:
        """Return the cheapest worker for one more task, None if none may run it."""
        return self._heap[0][2] if self._heap else None

    def find_max_free_cpu(self) -> int:
        """Return the most free cores of any worker with the required label."""
        free = (it.entry.cpu - it.cpu for it in self._eligible if has_label(it, self._step))
        return max(free, default=0)

    def update_best(self) -> None:
        """Compute the cost of the cheapest worker anew, after a task was assigned to it."""
        _, number, _ = heapq.heappop(self._heap)
        entry = self._make_entry(number)
        if entry is not None:
            heapq.heappush(self._heap, entry)

    def list_by_cost(self) -> list[Worker]:
        """Return all workers that could take a task, the cheapest first."""
        return [worker for _, _, worker in sorted(self._heap, key=lambda entry: entry[:2])]

    def _make_entry(self, number: int) -> tuple[float, int, Worker] | None:
        worker = self._eligible[number]
        step = self._step
        now = self._round.now
        # This is checked first since it excludes most workers of a full fleet.
        if step.best_effort and self._round.is_saturated(worker, step.cpu):
            return None
        if not has_room(worker, step):
            return None
        if not has_label(worker, step):
            return None
        if not meets_constraints(worker, self._group, step):
            self.constraint_excluded = True
            return None
        # A worker on trial gets one task at a time, and may have got one in this round.
        if is_reserved_for_others(worker, self._live, now) or not is_trusted(worker, now):
            return None
        cost = (
            _compute_best_effort_cost(self._round, worker, step)
            if step.best_effort
            else _compute_packing_cost(worker, step)
        )
        if cost is None:
            return None
        rack = self._live.racks.get(self._group, "")
        cost += _compute_state_cost(worker, step, rack, now)
        if self.suspicion:
            cost += _compute_crash_cost(worker, step, self.suspicion, now)
        return cost, number, worker


def list_eligible(cell: Cell, now: Now) -> list[Worker]:
    """Return the workers that may get new tasks."""
    return [worker for worker in list_not_evacuated(cell) if _is_eligible(worker, now)]


def may_place_long_running(
    eligible: Iterable[Worker], group: Group, step: Step, access: ReserveAccess
) -> bool:
    """
    Return whether a long-running task may be placed now.

    Without a reserve long-running tasks would occupy the last cores of every worker, and short
    urgent ones would wait for seconds.
    """
    if access is ReserveAccess.ALL:
        return True
    free_slots = 0
    for worker in eligible:
        if not _may_run(worker, group, step):
            continue
        if leaves_reserve(worker, step):
            return True
        free_slots += 1 if step.per_worker else count_fitting_tasks(worker, step)
    return access is ReserveAccess.SPARE and free_slots > 1


def _is_eligible(worker: Worker, now: Now) -> bool:
    return (
        worker.reached
        and not worker.silent
        and not worker.malformed
        and worker.entry.ready
        and not worker.unknown_tasks
        and not worker.draining_since
        and now.steady >= worker.full_until
        and is_trusted(worker, now)
        and now.steady - worker.answered_at < CONTACT_TIMEOUT_S
    )


def has_label(worker: Worker, step: Step) -> bool:
    """Return whether a worker has the label that a step requires, if any."""
    return not step.label or step.label in worker.entry.labels


def meets_constraints(worker: Worker, group: Group, step: Step) -> bool:
    """Return whether a worker meets a step's constraints, apart from free resources."""
    if not has_label(worker, step):
        return False
    return not step.per_worker or _count_group(worker, group) < step.per_worker


def _may_run(worker: Worker, group: Group, step: Step) -> bool:
    return has_room(worker, step) and meets_constraints(worker, group, step)


def is_reserved_for_others(worker: Worker, live: LiveJob, now: Now) -> bool:
    """Return whether a worker was freed for more urgent tasks than those of a job."""
    return now.steady < worker.reserved_until and live.job.priority > worker.reserved_priority


def _count_group(worker: Worker, group: Group) -> int:
    return sum(
        run.task.job == group.job
        and run.task.step == group.step
        and run.task.occurrence == group.occurrence
        for run in worker.runs.values()
    )


def _compute_state_cost(worker: Worker, step: Step, rack: str, now: Now) -> float:
    """Return the cost of a suspect worker and of the distance to data and sibling tasks."""
    cost = 0.0
    if max(worker.suspect_until, worker.slow_until) > now.steady:
        cost += SUSPECT_COST + len(worker.failed_jobs)
    if step.rack and step.rack != worker.rack:
        cost += REMOTE_RACK_COST
    if rack and rack != worker.rack:
        cost += REMOTE_RACK_COST
    return cost


def _compute_crash_cost(worker: Worker, step: Step, suspicion: CrashSuspicion, now: Now) -> float:
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


def _compute_packing_cost(worker: Worker, step: Step) -> float:
    """Return the cost of a worker for a task that reserves cores, the lowest for the fullest."""
    capacity = max(1, worker.entry.cpu)
    # Packing small tasks leaves whole workers for large ones.
    free_share = 1 - (worker.cpu + step.cpu) / capacity
    cost = 0.0
    if step.long_running and not leaves_reserve(worker, step):
        cost += RESERVE_COST
    if step.target:
        neighbour_cost = BEST_EFFORT_NEIGHBOUR_COST * worker.best_effort_cpu / capacity
        return cost + free_share + neighbour_cost + _compute_image_cost(worker, step.image)
    return cost + free_share + 0.2 * worker.best_effort_count


def _compute_best_effort_cost(round_: PlacementRound, worker: Worker, step: Step) -> float | None:
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
