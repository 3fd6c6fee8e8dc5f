"""
Choosing a worker
=================

Which workers may run a task of a step, and what each place costs.
"""

from __future__ import annotations

import enum
import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from toucanpin.scheduling.cell import Cell, Group, LiveJob, Now
from toucanpin.scheduling.crashing import count_suspected
from toucanpin.scheduling.evacuating import list_not_evacuated
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.prediction import estimate_utilization, predict_rise, predict_share
from toucanpin.scheduling.progress import CrashSuspicion
from toucanpin.scheduling.reserving import leaves_reserve
from toucanpin.scheduling.shortage import Shortage
from toucanpin.scheduling.trust import is_trusted
from toucanpin.scheduling.utilization import WorkerUtilization
from toucanpin.scheduling.worker import Worker, count_fitting_tasks, has_room

__all__ = [
    "ReserveAccess",
    "CandidateWorkers",
    "PlacementRound",
    "meets_constraints",
    "list_eligible",
    "may_place_long_running",
]

CONTACT_TIMEOUT_S = 2.5  # s without an answer after which a worker gets nothing new
REMOTE_RACK_COST = 4.0  # weight of a place away from a step's data against a wholly idle worker's 1
SUSPECT_COST = 100.0  # weight that leaves failing workers for the case that no other has room
SAFE_SHARE = 0.75  # of the utilization that a target allows: below it nothing counts as disturbed
INTERFERENCE_COST = 6.0  # weight of a whole such utilization more
MAX_SHARE = 0.97  # of it: a task that fills waits rather than bring a serving one above
OVERSUBSCRIPTION_COST = (
    3.0  # weight of cores that are asked for and not there: tasks take that much longer
)
MAX_CORE_SHARE = 1.05  # of a worker's cores in use: more tasks that fill would only slow each other
OTHER_IMAGE_COST = 1.5  # weight of each other image that serves on a worker
RESERVE_COST = 20.0  # weight of a place that takes reserved cores
UTILIZATION_MAX_AGE_S = 0.2  # s for which a sum counts; loads are measured as often
WATCHED_TASK_COST = 1.0  # weight of each other task that is watched, for one that is watched itself
CRASH_RISK_COST = 10.0  # weight of a whole worker's cores in use for a task that may crash it
BEST_EFFORT_NEIGHBOUR_COST = 1.0  # weight against serving beside a worker full of what fills


class ReserveAccess(enum.Enum):
    """Say how far a task may take cores that are reserved for brief ones."""

    NONE = "none"
    SPARE = "where there are two places"
    ALL = "all"


@dataclass(slots=True)
class PlacementRound:
    """
    Hold what one round of placing knows.

    ``reserved`` holds by claim what found only room that is reserved for brief tasks.
    """

    model: InterferenceModel
    now: Now
    reserved: dict[ReserveAccess, Shortage] = field(
        default_factory=lambda: {access: Shortage() for access in ReserveAccess}
    )
    _brief: Shortage = field(default_factory=Shortage)
    _lasting: Shortage = field(default_factory=Shortage)

    def utilization(self, worker: Worker) -> WorkerUtilization:
        """
        Return how a worker fares.

        Summed up in each round, this took most of a turn on a few hundred workers.
        """
        now = self.now.steady
        if worker.utilization is None or now > worker.utilization_at + UTILIZATION_MAX_AGE_S:
            worker.utilization = estimate_utilization(self.model, worker, planned=True)
            worker.utilization_at = now
        return worker.utilization

    def is_saturated(self, worker: Worker, cpu: int) -> bool:
        """Tell whether a worker's cores are in use, so that what fills would only be slowed."""
        utilization = self.utilization(worker)
        return utilization.used + cpu > MAX_CORE_SHARE * utilization.capacity

    def shortage(self, lasting: bool) -> Shortage:
        """Return what found no room; brief tasks leave out workers that are kept for large ones."""
        return self._lasting if lasting else self._brief


class CandidateWorkers:
    """
    Hold the places that the tasks of a step could take, the cheapest first.

    ``doubt`` says how far these tasks are suspected of crashing workers; ``constraint_excluded``
    says that a constraint of the step excluded a worker that has room.
    """

    __slots__ = (
        "_eligible",
        "_group",
        "_heap",
        "_live",
        "_round",
        "_step",
        "doubt",
        "constraint_excluded",
    )

    def __init__(
        self,
        round_: PlacementRound,
        live: LiveJob,
        group: Group,
        step: Step,
        eligible: Iterable[Worker],
        doubt: CrashSuspicion = CrashSuspicion.NONE,
    ) -> None:
        self._round = round_
        self.doubt = doubt
        self._live = live
        self._group = group
        self._step = step
        self._eligible = list(eligible)
        self._heap: list[tuple[float, int, Worker]] = []
        self.constraint_excluded = False
        self.update_all()

    def update_all(self) -> None:
        """Weigh all workers anew."""
        weighed = (self._make_entry(number) for number in range(len(self._eligible)))
        self._heap = [place for place in weighed if place is not None]
        heapq.heapify(self._heap)

    def best(self) -> Worker | None:
        """Return the best worker for one more task, None if none may run it."""
        return self._heap[0][2] if self._heap else None

    def update_best(self) -> None:
        """Weigh the best worker anew, which has got a task since."""
        _, number, _ = heapq.heappop(self._heap)
        place = self._make_entry(number)
        if place is not None:
            heapq.heappush(self._heap, place)

    def list_by_cost(self) -> list[Worker]:
        """Return all workers that could take a task, the best first."""
        return [worker for _, _, worker in sorted(self._heap, key=lambda place: place[:2])]

    def _make_entry(self, number: int) -> tuple[float, int, Worker] | None:
        worker = self._eligible[number]
        step = self._step
        now = self._round.now
        # On a full fleet this alone shuts out most workers, so it is looked at first.
        if step.best_effort and self._round.is_saturated(worker, step.cpu):
            return None
        if not has_room(worker, step):
            return None
        if not meets_constraints(worker, self._group, step):
            self.constraint_excluded = True
            return None
        # Its trial may have got a task earlier in this round.
        if _is_held_for_others(worker, self._live, now) or not is_trusted(worker, now):
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
        if self.doubt:
            cost += _compute_crash_cost(worker, step, self.doubt, now)
        return cost, number, worker


def list_eligible(cell: Cell, now: Now) -> list[Worker]:
    """Return the workers that may get something new."""
    return [worker for worker in list_not_evacuated(cell) if _is_eligible(worker, now)]


def may_place_long_running(
    eligible: Iterable[Worker], group: Group, step: Step, access: ReserveAccess
) -> bool:
    """
    Tell whether a lasting task may take a place now.

    Lasting tasks would take the last cores of every worker and keep them, and brief urgent ones
    would wait for seconds.
    """
    if access is ReserveAccess.ALL:
        return True
    places = 0
    for worker in eligible:
        if not _may_run(worker, group, step):
            continue
        if leaves_reserve(worker, step):
            return True
        places += 1 if step.per_worker else count_fitting_tasks(worker, step)
    return access is ReserveAccess.SPARE and places > 1


def _is_eligible(worker: Worker, now: Now) -> bool:
    return (
        worker.reached
        and not worker.silent
        and not worker.unsound
        and worker.entry.ready
        and not worker.unknown_tasks
        and not worker.draining_since
        and now.steady >= worker.full_until
        and is_trusted(worker, now)
        and now.steady - worker.answered_at < CONTACT_TIMEOUT_S
    )


def meets_constraints(worker: Worker, group: Group, step: Step) -> bool:
    """Tell whether a worker may run a task of a step, if it has room."""
    if step.label and step.label not in worker.entry.labels:
        return False
    return not step.per_worker or _count_group(worker, group) < step.per_worker


def _may_run(worker: Worker, group: Group, step: Step) -> bool:
    return has_room(worker, step) and meets_constraints(worker, group, step)


def _is_held_for_others(worker: Worker, live: LiveJob, now: Now) -> bool:
    return now.steady < worker.reserved_until and live.job.priority > worker.reserved_priority


def _count_group(worker: Worker, group: Group) -> int:
    return sum(
        run.task.job == group.job
        and run.task.step == group.step
        and run.task.occurrence == group.occurrence
        for run in worker.runs.values()
    )


def _compute_state_cost(worker: Worker, step: Step, rack: str, now: Now) -> float:
    """Return what a worker's state and its distance from data and siblings cost."""
    cost = 0.0
    if worker.suspect_until > now.steady:
        cost += SUSPECT_COST + len(worker.failed_jobs)
    if step.rack and step.rack != worker.rack:
        cost += REMOTE_RACK_COST
    if rack and rack != worker.rack:
        cost += REMOTE_RACK_COST
    return cost


def _compute_crash_cost(worker: Worker, step: Step, doubt: CrashSuspicion, now: Now) -> float:
    """
    Return the cost of a place for a task under which workers were lost.

    Those lost together are kept apart, or all of them would be lost with the one that crashes.
    Strewn lasting tasks would shut batch work out of many workers for as long as they run.
    """
    cost = 0.0 if step.long_running else WATCHED_TASK_COST * count_suspected(worker, now)
    if doubt is CrashSuspicion.LAST_ATTEMPT:
        cost += CRASH_RISK_COST * (worker.cpu + worker.best_effort_cpu) / max(1, worker.entry.cpu)
    return cost


def _compute_packing_cost(worker: Worker, step: Step) -> float:
    """Return the cost of a place for a task that takes room: the fullest worker comes first."""
    whole = max(1, worker.entry.cpu)
    # Wide tasks find whole workers later if narrow ones fill up what is begun.
    left = 1 - (worker.cpu + step.cpu) / whole
    cost = 0.0
    if step.long_running and not leaves_reserve(worker, step):
        cost += RESERVE_COST
    if step.target:
        beside = BEST_EFFORT_NEIGHBOUR_COST * worker.best_effort_cpu / whole
        return cost + left + beside + _compute_image_cost(worker, step.image)
    return cost + left + 0.2 * worker.best_effort_count


def _compute_best_effort_cost(round_: PlacementRound, worker: Worker, step: Step) -> float | None:
    """Return the cost of a place for a task that fills, None if it would do harm there."""
    model = round_.model
    utilization = round_.utilization(worker)
    asked = (utilization.used + step.cpu) / utilization.capacity
    cost = asked if asked <= 1.0 else 1.0 + OVERSUBSCRIPTION_COST * (asked - 1.0)
    if not utilization.services:
        return cost
    pressure = predict_share(model, utilization, step.image, step.cpu)
    if pressure > MAX_SHARE:
        return None
    rise = predict_rise(model, utilization, step.image, step.cpu)
    return cost + INTERFERENCE_COST * max(0.0, pressure + rise - SAFE_SHARE)


def _compute_image_cost(worker: Worker, image: str) -> float:
    """
    Return the cost of serving beside other images.

    What fills beside a serving task must be harmless to its image, or its load low.
    """
    images = {run.step.image for run in worker.runs.values() if run.step.target}
    # Where an image serves already, one task more of it shuts out no further image that fills.
    return 0.0 if image in images else OTHER_IMAGE_COST * len(images)
