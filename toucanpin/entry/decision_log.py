"""
Log of scheduling decisions
===========================

Log each task that is placed or lost, each job that ends, and tasks that wait for long.
"""

from __future__ import annotations

from collections.abc import Iterable

import logbook

from toucanpin.entry.log_fields import describe_attempt
from toucanpin.entry.metrics import (
    LOST_RUNS,
    REAPPEARED_RUNS,
    SLOW_WORKERS,
    STANDSTILL_TIME,
    START_WAIT,
    STARTS,
)
from toucanpin.scheduling.cell import Cell, Group, Now, find_record
from toucanpin.scheduling.colocation_report import describe_colocation
from toucanpin.scheduling.evacuating import describe_evacuations, list_not_evacuated
from toucanpin.scheduling.exclusions import count_exclusions, describe_step
from toucanpin.scheduling.forecast import Forecast
from toucanpin.scheduling.headroom import describe_headroom, is_scarce
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.job import TaskKey, format_task
from toucanpin.scheduling.orders import RunEnd
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.standstill import Standstill
from toucanpin.scheduling.suspicion import describe_losses
from toucanpin.scheduling.unsettled import describe_unsettled
from toucanpin.scheduling.waits import WaitReason
from toucanpin.scheduling.worker import Run

__all__ = [
    "log_colocation",
    "log_ended",
    "log_evacuations",
    "log_failed_tasks",
    "log_forecast",
    "log_losses",
    "log_placement",
    "log_reappearances",
    "log_slow_workers",
    "log_steps_at_fault",
    "log_standstill",
    "log_unsettled",
    "log_waits",
]

_log = logbook.Logger("decisions")
MIN_LOGGED_WAIT_S = 0.5  # shorter waits for a worker aren't logged
RELOG_PERIOD_S = 2.0  # until the same wait is logged again
MAX_LOGGED_WAITS = 10  # per call, as thousands of steps may wait in an overload
MIN_EXPLAINED_WAIT_S = 2.0  # from which on the line tells what keeps the workers from the step
MAX_EXPLAINED_WAITS = 2  # per call, as each looks at all workers


def log_placement(cell: Cell, run: Run, now: Now) -> None:
    """Log the worker of a task, how long the task waited for it, and why."""
    live = cell.jobs.get(run.task.job)
    age = (now.table - live.job.accepted) / 1_000 if live else 0.0
    STARTS.add(1)
    if live is not None and not live.job.repeats and run.attempt == 1:
        START_WAIT.record(max(0.0, age), {"priority": live.job.priority})
    _log.info(
        "task placed",
        event="task.placed",
        **describe_attempt(run.task, run.attempt, run.worker),
        queue=live.job.queue if live else "",
        image=run.step.image,
        age=round(age, 3),
        waited=round(run.waiting_time, 3),
        why=run.wait_reason,
        pace=run.pace,
    )


def log_forecast(cell: Cell, forecast: Forecast | None) -> None:
    """Log the classes of queues whose new jobs wait for room."""
    for queue in forecast.queues if forecast is not None else ():
        _log.info(
            "new jobs wait for room",
            event="queue.forecast",
            cell=cell.name,
            queues=queue.name,
            on_time_wait=queue.on_time_wait / 1_000,
            late_wait=queue.late_wait / 1_000,
        )


def log_losses(cell: Cell) -> None:
    """Log each run that was lost with its worker, once."""
    losses = cell.unlogged_losses
    cell.unlogged_losses = []
    for loss in losses:
        LOST_RUNS.add(1, {"cause": loss.cause.name.lower()})
        _log.info(
            "task lost with its worker",
            event="task.lost",
            **describe_attempt(loss.task, loss.attempt, loss.worker),
            phase=loss.phase.value,
            cause=loss.cause.value,
            age=round(loss.age, 3),
            crashes=loss.crashes,
            lease_left=round(loss.lease_left, 3),
            silence=loss.silence.value if loss.silence else "",
            silent=round(loss.silent_for, 3),
            unlisted=round(loss.unlisted_for, 3),
        )


def log_reappearances(cell: Cell) -> None:
    """Log each released run that its worker lists again, once."""
    found = cell.unlogged_reappearances
    cell.unlogged_reappearances = []
    for again in found:
        REAPPEARED_RUNS.add(1, {"state": again.end.value if again.end else "running"})
        if again.end is RunEnd.LEASE_EXPIRED:
            continue  # as expected, and logged as an end
        write = _log.info if again.end else _log.warning
        write(
            "a released run is seen again",
            event="task.seen_again",
            **describe_attempt(again.loss.task, again.loss.attempt, again.loss.worker),
            end=again.end.value if again.end else "",
            after=round(again.after, 3),
            cause=again.loss.cause.value,
            lease_left=round(again.loss.lease_left, 3),
        )


def log_slow_workers(cell: Cell) -> None:
    """Log each worker that has begun to run its tasks slowly, once."""
    found = cell.unlogged_slow_workers
    cell.unlogged_slow_workers = []
    for slow in found:
        SLOW_WORKERS.add(1)
        _log.warning(
            "worker runs its tasks slowly",
            event="worker.slow",
            worker=slow.worker.entry.id,
            factor=round(slow.factor, 2),
            tasks=len(slow.runs),
        )


def log_steps_at_fault(cell: Cell) -> None:
    """Log each step whose failures have begun to be laid on its job, once."""
    found = cell.unlogged_steps_at_fault
    cell.unlogged_steps_at_fault = []
    for step in found:
        _log.warning(
            "tasks fail by themselves, not by their workers",
            event="job.at_fault",
            job=step.job,
            step=step.step,
            failed=step.failed,
            well=step.well,
        )


def log_failed_tasks(cell: Cell, tasks: Iterable[TaskKey], now: Now) -> None:
    """Log each task that has crashed too many workers, with those workers."""
    for task in tasks:
        record = find_record(cell.jobs[task.job], task)
        _log.warning(
            "task failed: it crashed too many workers",
            event="task.given_up",
            job=task.job,
            task=format_task(task),
            losses=", ".join(describe_losses(record, now)) if record else "",
        )


def log_standstill(cell: Cell, ended: Standstill | None) -> None:
    """Log and count a time without placements that has ended."""
    if ended is None:
        return
    for cause, seconds in ended.seconds.items():
        STANDSTILL_TIME.add(seconds, {"why": cause.value})
    _log.warning(
        "tasks can be placed again",
        event="cell.resumed",
        cell=cell.name,
        stood=round(ended.total, 3),
        why=ended.main_cause.value,
        parts=", ".join(f"{it.value} {seconds:.2f}" for it, seconds in ended.seconds.items()),
        waiting=sum(map(len, cell.waiting.values())),
    )


def log_unsettled(cell: Cell, now: Now) -> None:
    """Log the runs that may still execute on workers that don't answer, if there are any."""
    found = describe_unsettled(cell)
    if found is None:
        return
    _log.info(
        "tasks wait until their workers answer or the leases have ended",
        event="cell.unsettled",
        cell=cell.name,
        workers=found.workers,
        unreached=found.unreached,
        unlisted=found.unlisted,
        silent=found.silent,
        left=round(max(0.0, found.until - now.steady), 3),
    )


def log_waits(cell: Cell, now: Now) -> None:
    """Log the longest waits for a worker, at most ``MAX_LOGGED_WAITS`` per call."""
    due = [
        (group, wait)
        for group, wait in cell.waits.items()
        if now.steady - wait.since > MIN_LOGGED_WAIT_S
        and now.steady > wait.logged_at + RELOG_PERIOD_S
    ]
    due.sort(key=lambda pair: pair[1].since)
    free_cores = (worker.entry.cpu - worker.cpu for worker in list_not_evacuated(cell))
    free = max(free_cores, default=0) if due else 0
    for group, wait in due[:MAX_LOGGED_WAITS]:
        wait.logged_at = now.steady
        job = cell.jobs[group.job].job
        _log.info(
            "tasks waiting",
            event="task.waiting",
            job=group.job,
            step=group.step,
            queue=job.queue,
            why=wait.reason.value,
            since=round(now.steady - wait.since, 3),
            age=round((now.table - job.accepted) / 1_000, 3),
            cpu=job.steps[group.step].cpu,
            free=free,
            tasks=len(cell.waiting.get(group, ())),
            **_describe_tasks(cell, group),
        )
    long = [group for group, wait in due if now.steady > wait.since + MIN_EXPLAINED_WAIT_S]
    for group in long[:MAX_EXPLAINED_WAITS]:
        _log_exclusions(cell, group, now)


def _describe_tasks(cell: Cell, group: Group) -> dict[str, int]:
    """Return the fields that tell what the waiting tasks of a step have been through."""
    found = describe_step(cell, group)
    return {
        "attempts": found.attempts,
        "failures": found.failures,
        "losses": found.losses,
        "running": found.running,
    }


def _log_exclusions(cell: Cell, group: Group, now: Now) -> None:
    """Log how many workers are kept from a step, and by what."""
    found = count_exclusions(cell, group, now)
    _log.info(
        "workers that don't take the tasks of a step",
        event="task.excluded",
        job=group.job,
        step=group.step,
        owned=round(now.steady - cell.owned_since, 3),
        workers=", ".join(f"{count} {reason.value}" for reason, count in found.most_common()),
    )


def log_headroom(cell: Cell, now: Now) -> None:
    """Log the cores that are kept for short tasks while they have to be shared out."""
    if not cell.features.urgent_headroom or not is_scarce(cell.headroom, now.steady):
        return
    _log.info(
        "cores are scarce for short tasks",
        event="headroom.scarce",
        cell=cell.name,
        evicted=len(cell.headroom.evicted),
        **describe_headroom(cell.headroom),
    )


def log_colocation(cell: Cell, model: InterferenceModel, now: Now) -> None:
    """Log what best-effort and latency-critical tasks cost each other, while any wait for it."""
    if model.plan is None or not any(
        wait.reason is WaitReason.INTERFERENCE for wait in cell.waits.values()
    ):
        return
    report = describe_colocation(cell, model, now)
    _log.info(
        "best-effort tasks wait beside idle cores",
        event="colocation.blocked",
        waiting=round(report.waiting),
        idle=round(report.idle),
        blocked={obstacle.value: round(cores) for obstacle, cores in report.blocked.items()},
        images={str(count): workers for count, workers in sorted(report.images.items())},
        running=report.best_effort_tasks,
        paced=report.paced_tasks,
        services=report.services,
        over_target=report.over_target,
    )


def log_evacuations(cell: Cell) -> None:
    """Log the progress of evacuations, and an error if they leave no usable worker."""
    if not cell.evacuated:
        _log.info("no data centre is evacuated", event="evacuation.over")
    elif cell.workers and not list_not_evacuated(cell):
        _log.error("no task can start: all data centres are evacuated", event="evacuation.all")
    for evacuation in describe_evacuations(cell):
        _log.info(
            (
                "data centre evacuated"
                if evacuation.workers
                else "no worker is in an evacuated data centre"
            ),
            event="evacuation.on" if evacuation.workers else "evacuation.unknown",
            data_centre=evacuation.data_centre,
            workers=evacuation.workers,
            runs=evacuation.runs,
        )


def log_ended(cell: Cell, identifiers: Iterable[str], now: Now) -> None:
    """Log each job that has ended, once, and by how much it missed its objective."""
    for identifier in identifiers:
        live = cell.jobs.get(identifier)
        if live is None or live.end_logged or not JobState(live.progress.state).ended:
            continue
        live.end_logged = True
        _log.info(
            "job ended",
            event="job.ended",
            job=identifier,
            queue=live.job.queue,
            state=JobState(live.progress.state).name.lower(),
            took=round((now.table - live.job.accepted) / 1_000, 3),
            late=round((now.table - live.objective) / 1_000, 3),
        )
