"""
Placing
=======

Choose a worker for each task that waits, the most urgent first.
"""

from __future__ import annotations

from collections.abc import Iterable

from toucanpin.scheduling.advising import find_ticket
from toucanpin.scheduling.cell import Cell, Group, LiveJob, Now, mark_dirty
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.progress import JobState, TaskState
from toucanpin.scheduling.sharing import Sharing, predict_rise, predict_utilization, use_cores
from toucanpin.scheduling.worker import Phase, Run, Worker, has_room, release_run, reserve_run

__all__ = ["list_able", "place_tasks"]

CONTACT = 2.5  # s without an answer after which a worker gets nothing new
FAR = 4.0  # weight of a place away from a step's data against a wholly idle worker's 1
SUSPECT = 100.0  # weight that leaves failing workers for the case that no other has room
SAFE = 0.85  # of the utilization that a target allows: below it nothing counts as disturbed
CROWDED = 3.0  # weight of cores that are asked for and not there: tasks take that much longer
HARM = 6.0  # weight of a whole such utilization more
TOO_HOT = 1.05  # of it: a task that fills waits rather than bring a serving one above
# Each image that serves on a worker keeps some that fill away, so images are best kept apart.
OTHER_IMAGE = 1.5
RESERVE = 0.1  # of a worker's cores that lasting tasks leave to brief ones: one urgent task
NO_RESERVE = 20.0  # weight of a place that leaves less
BESIDE_FILLING = 1.0  # weight against serving beside a worker full of what fills


def place_tasks(cell: Cell, sharing: Sharing, now: Now) -> None:
    """Place what waits; the places count only once they are written."""
    if not cell.waiting:
        return
    able = list_able(cell, now)
    for group in sorted(cell.waiting, key=lambda group: _rank(cell, group)):
        live = cell.jobs[group.job]
        step = live.job.steps[group.step]
        allowed = able
        if live.job.advised:
            allowed = [w for w in able if find_ticket(cell, group, w.entry.id, now)]
        if step.gang:
            _place_gang(cell, live, group, step, allowed, sharing, now)
        else:
            _place_group(cell, live, group, step, allowed, sharing, now)
        if not cell.waiting[group]:
            del cell.waiting[group]


def list_able(cell: Cell, now: Now) -> list[Worker]:
    """Return the workers that may get something new."""
    return [worker for worker in cell.workers.values() if _is_able(worker, now)]


def _rank(cell: Cell, group: Group) -> tuple[int, bool, int, Group]:
    live = cell.jobs[group.job]
    lasting = live.job.steps[group.step].lasting
    return live.job.priority, lasting, live.objective, group


def _is_able(worker: Worker, now: Now) -> bool:
    return (
        worker.reached
        and not worker.silent
        and worker.entry.ready
        and not worker.strangers
        and now.steady >= worker.full_until
        and now.steady - worker.answered_at < CONTACT
    )


def _place_group(
    cell: Cell,
    live: LiveJob,
    group: Group,
    step: Step,
    able: list[Worker],
    sharing: Sharing,
    now: Now,
) -> None:
    waiting = cell.waiting[group]
    for index in sorted(waiting):
        if step.lasting and not _may_last(able, group, step):
            return
        task = TaskKey(group.job, group.occurrence, group.step, index)
        if cell.delayed.get(task, 0.0) > now.steady:
            continue
        worker = _choose(live, group, step, able, sharing, now)
        if worker is None:
            return
        cell.delayed.pop(task, None)
        waiting.discard(index)
        _place(cell, live, task, step, worker, now)


def _place_gang(
    cell: Cell,
    live: LiveJob,
    group: Group,
    step: Step,
    able: list[Worker],
    sharing: Sharing,
    now: Now,
) -> None:
    """Place all tasks of a gang or none; a part of one would only wait."""
    waiting = cell.waiting[group]
    if len(waiting) < step.count:
        return
    start = live.offsets[group.step]
    records = live.progress.tasks[group.occurrence][start : start + step.count]
    attempt = max(record.attempt for record in records)
    checkpoint = max((record.checkpoint for record in records), default="")
    for record in records:
        record.attempt = attempt
        record.checkpoint = checkpoint
    chosen: list[tuple[TaskKey, Worker]] = []
    placed: list[Run] = []
    for index in sorted(waiting):
        worker = _choose(live, group, step, able, sharing, now)
        if worker is None:
            break
        task = TaskKey(group.job, group.occurrence, group.step, index)
        chosen.append((task, worker))
        run = Run(task, 0, worker.entry.id, step, Phase.PLACED)
        reserve_run(worker, run)
        placed.append(run)
    for run, (_, worker) in zip(placed, chosen, strict=True):
        release_run(worker, run)
    if len(chosen) < step.count:
        live.racks.pop(group, None)
        return
    for task, worker in chosen:
        waiting.discard(task.index)
        _place(cell, live, task, step, worker, now)


def _place(cell: Cell, live: LiveJob, task: TaskKey, step: Step, worker: Worker, now: Now) -> None:
    record = live.progress.tasks[task.occurrence][live.offsets[task.step] + task.index]
    record.state = TaskState.PLACED
    record.attempt += 1
    record.worker = worker.entry.id
    run = Run(task, record.attempt, worker.entry.id, step, Phase.PLACED)
    run.checkpoint = record.checkpoint
    group = Group(task.job, task.occurrence, task.step)
    run.ticket = find_ticket(cell, group, worker.entry.id, now)
    reserve_run(worker, run)
    cell.placed.append(run)
    if live.progress.state == JobState.PENDING:
        live.progress.state = JobState.ACTIVE
    mark_dirty(cell, live)


def _choose(
    live: LiveJob, group: Group, step: Step, able: Iterable[Worker], sharing: Sharing, now: Now
) -> Worker | None:
    best: Worker | None = None
    best_cost = 0.0
    rack = live.racks.get(group, "")
    for worker in able:
        if not _may_run(worker, group, step):
            continue
        pressure = 0.0
        if step.fills and worker.servers:
            pressure = predict_utilization(sharing, worker, step.image, step.cpu)
            if pressure > TOO_HOT:
                continue
            pressure = predict_utilization(sharing, worker, step.image, step.cpu, planned=True)
            if pressure > TOO_HOT:
                continue
            pressure += predict_rise(sharing, worker, step.image, step.cpu)
        cost = _weigh(worker, step, rack, pressure, sharing, now)
        if best is None or cost < best_cost:
            best, best_cost = worker, cost
    if best is not None and step.same_rack:
        live.racks.setdefault(group, best.rack)
    return best


def _may_run(worker: Worker, group: Group, step: Step) -> bool:
    if not has_room(worker, step):
        return False
    if step.label and step.label not in worker.entry.labels:
        return False
    return not step.per_worker or _count_group(worker, group) < step.per_worker


def _may_last(able: list[Worker], group: Group, step: Step) -> bool:
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


def _leaves_reserve(worker: Worker, step: Step) -> bool:
    return worker.cpu + step.cpu <= (1 - RESERVE) * worker.entry.cpu


def _count_group(worker: Worker, group: Group) -> int:
    return sum(
        run.task.job == group.job
        and run.task.step == group.step
        and run.task.occurrence == group.occurrence
        for run in worker.runs.values()
    )


def _weigh(
    worker: Worker, step: Step, rack: str, pressure: float, sharing: Sharing, now: Now
) -> float:
    """Return the cost of a place: lower is better."""
    entry = worker.entry
    cost = 0.0
    if worker.suspect_until > now.steady:
        cost += SUSPECT + worker.failures
    if step.rack and step.rack != worker.rack:
        cost += FAR
    if rack and rack != worker.rack:
        cost += FAR
    if step.fills:
        # What fills shares the cores that the others leave, so it goes where most are left.
        asked = use_cores(sharing, worker) + step.cpu
        return cost + HARM * max(0.0, pressure - SAFE) + _weigh_crowd(asked / max(1, entry.cpu))
    # The fullest worker that still has room: wide tasks find whole workers later.
    left = 1 - (worker.cpu + step.cpu) / max(1, entry.cpu)
    if step.lasting and not _leaves_reserve(worker, step):
        cost += NO_RESERVE + 2 * (1 - left)
    if step.target:
        beside = BESIDE_FILLING * worker.filling_cpu / max(1, entry.cpu)
        return cost + left + beside + OTHER_IMAGE * _count_others(worker, step.image)
    return cost + left + 0.2 * worker.fillers


def _count_others(worker: Worker, image: str) -> int:
    """Return how many images other than this one serve on a worker."""
    images = {run.step.image for run in worker.runs.values() if run.step.target}
    return len(images - {image})


def _weigh_crowd(asked: float) -> float:
    """Return the cost of a share of a worker's cores that is asked for."""
    return asked if asked <= 1.0 else 1.0 + CROWDED * (asked - 1.0)
