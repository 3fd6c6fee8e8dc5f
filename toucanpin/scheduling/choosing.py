"""
Choosing a worker
=================

Which workers may run a task of a step, and what each place costs.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from toucanpin.scheduling.cell import Cell, Group, LiveJob, Now
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.prediction import predict_rise, predict_utilization, use_cores
from toucanpin.scheduling.sharing import Sharing
from toucanpin.scheduling.worker import Worker, has_room

__all__ = [
    "RESERVE",
    "choose_worker",
    "fits_rules",
    "list_able",
    "list_candidates",
    "may_last",
]

CONTACT = 2.5  # s without an answer after which a worker gets nothing new
FAR = 4.0  # weight of a place away from a step's data against a wholly idle worker's 1
SUSPECT = 100.0  # weight that leaves failing workers for the case that no other has room
SAFE = 0.75  # of the utilization that a target allows: below it nothing counts as disturbed
HARM = 6.0  # weight of a whole such utilization more
TOO_HOT = 0.97  # of it: a task that fills waits rather than bring a serving one above
CROWDED = 3.0  # weight of cores that are asked for and not there: tasks take that much longer
FULL = 1.05  # of a worker's cores in use: more tasks that fill would only slow each other
OTHER_IMAGE = 1.5  # weight of each other image that serves on a worker
OTHER_JOB = 0.4  # weight of each other job that does
RESERVE = 0.1  # of a worker's cores that lasting tasks leave to brief ones: one urgent task
NO_RESERVE = 20.0  # weight of a place that leaves less
BESIDE_FILLING = 1.0  # weight against serving beside a worker full of what fills


def list_able(cell: Cell, now: Now) -> list[Worker]:
    """Return the workers that may get something new."""
    return [worker for worker in cell.workers.values() if _is_able(worker, now)]


def choose_worker(
    live: LiveJob, group: Group, step: Step, able: Iterable[Worker], sharing: Sharing, now: Now
) -> Worker | None:
    """Return the best worker for one more task of a step, None if none may run it."""
    places = _weigh_all(live, group, step, able, sharing, now)
    best = min(places, key=lambda place: place[0], default=None)
    return best[1] if best else None


def list_candidates(
    live: LiveJob, group: Group, step: Step, able: Iterable[Worker], sharing: Sharing, now: Now
) -> list[Worker]:
    """Return the workers that could take one more task of a step, the best first."""
    places = sorted(_weigh_all(live, group, step, able, sharing, now), key=lambda place: place[0])
    return [worker for _, worker in places]


def _weigh_all(
    live: LiveJob, group: Group, step: Step, able: Iterable[Worker], sharing: Sharing, now: Now
) -> Iterator[tuple[float, Worker]]:
    """Yield the cost of each place that a task of a step could take."""
    rack = live.racks.get(group, "")
    for worker in able:
        if not _may_run(worker, group, step) or _is_kept(worker, live, now):
            continue
        cost = _weigh_filling(worker, step, sharing) if step.fills else _weigh(worker, group, step)
        if cost is not None:
            yield cost + _weigh_place(worker, step, rack, now), worker


def may_last(able: Iterable[Worker], group: Group, step: Step) -> bool:
    """
    Tell whether a lasting task may take a place now.

    Lasting tasks would take the last cores of every worker and keep them, and brief urgent ones
    then waited for seconds (6.2 s in one of twenty).  So the last place that leaves a worker
    without room for these stays free; where there are two, one is taken, since a lasting task may
    not wait while there is plenty of room for it.
    """
    places = 0
    for worker in able:
        if not _may_run(worker, group, step):
            continue
        if _leaves_reserve(worker, step):
            return True
        places += 1
    return places > 1


def _is_able(worker: Worker, now: Now) -> bool:
    return (
        worker.reached
        and not worker.silent
        and worker.entry.ready
        and not worker.strangers
        and not worker.closing_since
        and now.steady >= worker.full_until
        and now.steady - worker.answered_at < CONTACT
    )


def fits_rules(worker: Worker, group: Group, step: Step) -> bool:
    """Tell whether a worker may run a task of a step, if it has room."""
    if step.label and step.label not in worker.entry.labels:
        return False
    return not step.per_worker or _count_group(worker, group) < step.per_worker


def _may_run(worker: Worker, group: Group, step: Step) -> bool:
    return has_room(worker, step) and fits_rules(worker, group, step)


def _is_kept(worker: Worker, live: LiveJob, now: Now) -> bool:
    return now.steady < worker.kept_until and live.job.priority > worker.kept_for


def _leaves_reserve(worker: Worker, step: Step) -> bool:
    return worker.cpu + step.cpu <= (1 - RESERVE) * worker.entry.cpu


def _count_group(worker: Worker, group: Group) -> int:
    return sum(
        run.task.job == group.job
        and run.task.step == group.step
        and run.task.occurrence == group.occurrence
        for run in worker.runs.values()
    )


def _weigh_place(worker: Worker, step: Step, rack: str, now: Now) -> float:
    """Return what a worker's state and its distance from data and siblings cost."""
    cost = 0.0
    if worker.suspect_until > now.steady:
        cost += SUSPECT + worker.failures
    if step.rack and step.rack != worker.rack:
        cost += FAR
    if rack and rack != worker.rack:
        cost += FAR
    return cost


def _weigh(worker: Worker, group: Group, step: Step) -> float:
    """Return the cost of a place for a task that takes room: the fullest worker comes first."""
    whole = max(1, worker.entry.cpu)
    # Wide tasks find whole workers later if narrow ones fill up what is begun.
    left = 1 - (worker.cpu + step.cpu) / whole
    cost = 0.0
    if step.lasting and not _leaves_reserve(worker, step):
        cost += NO_RESERVE + 2 * (1 - left)
    if step.target:
        beside = BESIDE_FILLING * worker.filling_cpu / whole
        return cost + left + beside + _weigh_strangers(worker, group, step.image)
    return cost + left + 0.2 * worker.fillers


def _weigh_filling(worker: Worker, step: Step, sharing: Sharing) -> float | None:
    """Return the cost of a place for a task that fills, None if it would do harm there."""
    whole = max(1, worker.entry.cpu)
    asked = (use_cores(sharing, worker, planned=True) + step.cpu) / whole
    if asked > FULL:
        return None
    cost = asked if asked <= 1.0 else 1.0 + CROWDED * (asked - 1.0)
    if not worker.servers:
        return cost
    pressure = predict_utilization(sharing, worker, step.image, step.cpu, planned=True)
    if pressure > TOO_HOT:
        return None
    rise = predict_rise(sharing, worker, step.image, step.cpu)
    return cost + HARM * max(0.0, pressure + rise - SAFE)


def _weigh_strangers(worker: Worker, group: Group, image: str) -> float:
    """
    Return the cost of serving beside other jobs and images.

    What fills beside a serving task must be harmless to its image, or its load low.  Loads of jobs
    swing out of step, so on a worker with many jobs one is always high.
    """
    serving = [run for run in worker.runs.values() if run.step.target]
    jobs = {run.task.job for run in serving} - {group.job}
    images = {run.step.image for run in serving} - {image}
    return OTHER_JOB * len(jobs) + OTHER_IMAGE * len(images)
