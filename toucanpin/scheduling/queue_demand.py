"""
Demand of queues
================

Sum up the work of a cell's jobs that arrived, was done and is left, by class of queues.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from toucanpin.scheduling.cell import Cell, LiveJob, Now
from toucanpin.scheduling.job_order import Lateness, estimate_lateness
from toucanpin.scheduling.load_history import JobWork, LoadHistory, QueueClass
from toucanpin.scheduling.progress import JobState

__all__ = ["Demand", "sum_demands"]

RUNNING_SHARE_LEFT = 0.5  # of the work of a running task, on average


@dataclass(slots=True)
class Demand:
    """
    Work of one class, and the cores that its running tasks use, in thousandths.

    ``limits`` are the time limits in ms of jobs on time, ``slacks`` the times that they may wait.
    """

    on_time: float = 0.0
    late: float = 0.0
    arrived: float = 0.0
    done: float = 0.0
    running: float = 0.0
    waiting: bool = False
    slacks: list[int] = field(default_factory=list)
    limits: list[int] = field(default_factory=list)


def sum_demands(
    cell: Cell, history: LoadHistory, now: Now, first: bool
) -> dict[QueueClass, Demand]:
    """Return the demands of all classes, and remember the work of each job."""
    demands: dict[QueueClass, Demand] = defaultdict(Demand)
    waiting_steps = _find_waiting_steps(cell)
    before, history.jobs = history.jobs, {}
    for identifier in waiting_steps.keys() | cell.runs.keys():
        live = cell.jobs.get(identifier)
        if live is None or JobState(live.progress.state).ended or _lasts(live):
            continue
        known = before.pop(identifier, None)
        work = known or JobWork(_list_step_work(cell, live))
        history.jobs[identifier] = work
        for key, amount in _sum_total_work(live, work).items() if known is None else ():
            work.left[key] = amount
            demands[key].arrived += 0.0 if first else amount
        left = _sum_work_left(cell, live, work, demands)
        for key, amount in work.left.items():
            demands[key].done += 0.0 if first else max(0.0, amount - left.get(key, 0.0))
        work.left = left
        _add_waiting(live, left, waiting_steps.get(identifier), demands, now)
    _add_completed(cell, before, demands)
    return demands


def _find_waiting_steps(cell: Cell) -> dict[str, int]:
    """Return the first step with a waiting task of each job that has one."""
    steps: dict[str, int] = {}
    for group in cell.waiting:
        steps[group.job] = min(group.step, steps.get(group.job, group.step))
    return steps


def _add_waiting(
    live: LiveJob,
    left: dict[QueueClass, float],
    step: int | None,
    demands: dict[QueueClass, Demand],
    now: Now,
) -> None:
    """Add a job's work left to demands; ``step`` is the first step with a waiting task, if any."""
    lateness = Lateness.ON_TIME if step is None else estimate_lateness(live, step, now)
    for key, amount in left.items():
        demand = demands[key]
        demand.waiting |= step is not None and lateness is not Lateness.EXPIRED
        match lateness:
            case Lateness.ON_TIME:
                demand.on_time += amount
                limit = live.objective - live.job.accepted
                demand.limits.append(limit)
                demand.slacks.append(limit - live.remaining_ms[0])
            case Lateness.LATE:
                demand.late += amount


def _add_completed(cell: Cell, jobs: dict[str, JobWork], demands: dict[QueueClass, Demand]) -> None:
    """Add the work of those jobs that have been completed to the work done."""
    for identifier, work in jobs.items():
        live = cell.jobs.get(identifier)
        if live is not None and live.progress.state == JobState.COMPLETED:
            for key, amount in work.left.items():
                demands[key].done += amount


def _list_step_work(cell: Cell, live: LiveJob) -> tuple[tuple[QueueClass, float], ...]:
    """Return the class and the work of one task of each step."""
    job = live.job
    return tuple(
        (
            QueueClass(step.best_effort, job.priority),
            step.cpu * max(1, cell.durations.predict(job.queue, step.estimate)) / 1_000,
        )
        for step in job.steps
    )


def _sum_total_work(live: LiveJob, work: JobWork) -> dict[QueueClass, float]:
    """Return the work of all steps of a job by class."""
    total: dict[QueueClass, float] = defaultdict(float)
    for step, (key, amount) in zip(live.job.steps, work.steps, strict=True):
        total[key] += step.count * amount
    return total


def _sum_work_left(
    cell: Cell, live: LiveJob, work: JobWork, demands: dict[QueueClass, Demand]
) -> dict[QueueClass, float]:
    """Return a job's work left by class, and add the cores of its running tasks to demands."""
    running = [0.0] * len(work.steps)
    paces = [0] * len(work.steps)
    for run in cell.runs.get(live.job.id, ()):
        running[run.task.step] += 1 - RUNNING_SHARE_LEFT
        paces[run.task.step] += run.pace
    left: dict[QueueClass, float] = defaultdict(float)
    for counts in live.tasks_left.values():
        for number, count in enumerate(counts):
            if count:
                key, amount = work.steps[number]
                left[key] += max(0.0, count - running[number]) * amount
    for number, pace in enumerate(paces):
        if pace:
            demands[work.steps[number][0]].running += live.job.steps[number].cpu * pace / 100
    return left


def _lasts(live: LiveJob) -> bool:
    return any(step.long_running for step in live.job.steps)
