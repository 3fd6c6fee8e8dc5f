"""
Intake of jobs
==============

Submission, restoration and cancellation of jobs.
"""

from __future__ import annotations

from toucanpin.scheduling.begun_load import add_occurrence_load
from toucanpin.scheduling.cell import (
    Cell,
    LiveJob,
    Now,
    add_run,
    compute_task_offsets,
    find_record,
)
from toucanpin.scheduling.crashing import forget_crashes, restore_crashes
from toucanpin.scheduling.ending import end_job
from toucanpin.scheduling.job import Job, TaskKey
from toucanpin.scheduling.job_times import sum_remaining_times
from toucanpin.scheduling.lease_ends import bound_earlier_leases, bound_earlier_orders
from toucanpin.scheduling.occurrences import await_occurrences, begin_occurrences
from toucanpin.scheduling.orders import WorkerEntry
from toucanpin.scheduling.progress import JobState, Progress, TaskState
from toucanpin.scheduling.step_queue import queue_ready_steps
from toucanpin.scheduling.suspicion import assess_suspicion
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = ["cancel_job", "forget_ended", "restore_job", "submit_job"]


def submit_job(cell: Cell, job: Job, now: Now) -> bool:
    """Add an accepted job; return whether it is new here."""
    if job.id in cell.jobs:
        return False
    live = _make_live_job(cell, job, Progress(JobState.PENDING, 0, [], {}))
    cell.jobs[job.id] = live
    await_occurrences(cell, live)
    begin_occurrences(cell, live, now)
    return True


def restore_job(cell: Cell, job: Job, progress: Progress, now: Now) -> None:
    """Add a job of an earlier owner; its placed tasks are in an unknown phase at first."""
    live = _make_live_job(cell, job, progress)
    cell.jobs[job.id] = live
    for occurrence, records in progress.tasks.items():
        live.tasks_left[occurrence] = _count_left(live, occurrence)
        if not JobState(progress.state).ended:
            add_occurrence_load(cell, live, occurrence)
        for number, step in enumerate(job.steps):
            for index in range(step.count):
                record = records[live.offsets[number] + index]
                task = TaskKey(job.id, occurrence, number, index)
                restore_crashes(cell, task, record)
                if record.state in (TaskState.PLACED, TaskState.GANG_FAILED):
                    worker = _find_worker(cell, record.worker)
                    run = Run(task, record.attempt, worker.entry.id, step, Phase.UNKNOWN)
                    run.checkpoint = record.checkpoint
                    run.born = record.born
                    run.priority = job.priority
                    run.suspicion = assess_suspicion(record)
                    add_run(cell, worker, run)
                elif step.long_running and record.attempt:
                    # It isn't known for how long the task has waited, but it hasn't run since.
                    cell.interrupted[task] = float("-inf")
        if not JobState(progress.state).ended:
            queue_ready_steps(cell, live, occurrence)
    if not JobState(progress.state).ended:
        await_occurrences(cell, live)
        begin_occurrences(cell, live, now)


def cancel_job(cell: Cell, identifier: str, now: Now) -> None:
    """Cancel a job unless it has ended."""
    live = cell.jobs.get(identifier)
    if live is not None and not JobState(live.progress.state).ended:
        end_job(cell, live, JobState.CANCELLED, now)


def forget_ended(cell: Cell, now: Now, retention: float) -> None:
    """Forget jobs that ended over ``retention`` seconds ago, and queue their rows for deletion."""
    limit = now.table - int(retention * 1_000)
    old = [
        identifier
        for identifier, live in cell.jobs.items()
        if JobState(live.progress.state).ended and live.progress.ended < limit
    ]
    for identifier in old:
        del cell.jobs[identifier]
        cell.dirty.pop(identifier, None)
        cell.job_rows_to_delete.append(identifier)
    cell.interrupted = {task: at for task, at in cell.interrupted.items() if task.job in cell.jobs}
    cell.stalls = {task: it for task, it in cell.stalls.items() if _is_unfinished(cell, task)}
    cell.moved_tasks = {task for task in cell.moved_tasks if _is_unfinished(cell, task)}
    forget_crashes(cell)


def _make_live_job(cell: Cell, job: Job, progress: Progress) -> LiveJob:
    times = [cell.durations.predict(job.queue, step.estimate) for step in job.steps]
    remaining = sum_remaining_times(job, times)
    objective = job.accepted + job.aim + int(job.stretch * max(remaining))
    return LiveJob(job, progress, objective, compute_task_offsets(job), remaining)


def _is_unfinished(cell: Cell, task: TaskKey) -> bool:
    """Return whether a task's occurrence has begun and hasn't ended."""
    live = cell.jobs.get(task.job)
    return live is not None and find_record(live, task) is not None


def _count_left(live: LiveJob, occurrence: int) -> list[int]:
    records = live.progress.tasks[occurrence]
    left = []
    for number, step in enumerate(live.job.steps):
        start = live.offsets[number]
        part = records[start : start + step.count]
        left.append(sum(record.state != TaskState.DONE for record in part))
    return left


def _find_worker(cell: Cell, identifier: str) -> Worker:
    """Return a worker, creating an unlisted one: its tasks may still run there."""
    worker = cell.workers.get(identifier)
    if worker is None:
        entry = WorkerEntry(identifier, cell.name, "", "", False, 0, 0, 0)
        worker = Worker(
            entry,
            token_offset=cell.token_offset,
            lease_expires_at=bound_earlier_leases(cell, identifier),
            late_orders_end=bound_earlier_orders(cell, identifier),
        )
        cell.workers[identifier] = worker
    return worker
