"""
Ends of runs
============

What an end means for its task, its step and its job.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import (
    Cell,
    Group,
    LiveJob,
    Now,
    find_record,
    list_runs,
    mark_dirty,
    open_steps,
)
from toucanpin.scheduling.orders import End, Ended, StopOrder
from toucanpin.scheduling.progress import JobState, TaskRecord, TaskState
from toucanpin.scheduling.worker import Phase, Run, Worker, release_run

__all__ = ["apply_end", "end_job", "end_run", "finish_run", "stop_run", "wait_again"]

SUSPICION = 3.0  # s that a worker is avoided after failures; a day's failing workers last 4 to 7 s
RETRY_DELAY = 0.25  # s before a lasting task that failed is placed again, so a loop can't spin


def apply_end(cell: Cell, worker: Worker, ended: Ended, now: Now) -> None:
    """Take note of an end that a worker lists."""
    cell.ends[worker.entry.id] = max(cell.ends.get(worker.entry.id, 0), ended.sequence)
    _judge_worker(worker, ended.end, now)
    run = worker.runs.get(ended.task)
    if run is None or run.attempt != ended.attempt:
        return
    finish_run(cell, worker, run, ended.end, ended.checkpoint, now)


def finish_run(cell: Cell, worker: Worker, run: Run, end: End, checkpoint: str, now: Now) -> None:
    """Give the room of a run back and decide what becomes of its task."""
    release_run(worker, run)
    live = cell.jobs.get(run.task.job)
    record = find_record(live, run.task) if live else None
    if live is None or record is None or record.attempt != run.attempt:
        return
    mark_dirty(cell, live)
    if checkpoint:
        record.checkpoint = checkpoint
    record.worker = ""
    record.state = TaskState.WAITING
    if JobState(live.progress.state).ended:
        if end is End.DONE:
            record.state = TaskState.DONE
        return
    match end:
        case End.DONE if not run.step.lasting:
            _finish_task(cell, live, run, record, now)
        case End.FAILED if not run.step.lasting:
            record.failures += 1
            if record.failures >= live.job.max_failures:
                end_job(cell, live, JobState.FAILED, now)
                return
            wait_again(cell, run)
        case End.FAILED | End.DONE:
            cell.delayed[run.task] = now.steady + RETRY_DELAY
            wait_again(cell, run)
        case _:
            wait_again(cell, run)


def end_run(cell: Cell, worker: Worker, run: Run, now: Now) -> None:
    """Treat a run as ended that certainly doesn't run any more and of which no end is known."""
    finish_run(cell, worker, run, End.LAPSED, run.checkpoint, now)


def end_job(cell: Cell, live: LiveJob, state: JobState, now: Now) -> None:
    """Give a job its final state, and stop what runs of it."""
    live.progress.state = state
    live.progress.ended = now.table
    mark_dirty(cell, live)
    for group in [group for group in cell.waiting if group.job == live.job.id]:
        del cell.waiting[group]
    for asked in [group for group in cell.advised if group.job == live.job.id]:
        del cell.advised[asked]
    for run in list_runs(cell, live):
        stop_run(cell, run, "job ended")


def stop_run(cell: Cell, run: Run, reason: str) -> None:
    """Have a run end; one that was never sent ends at once."""
    worker = cell.workers[run.worker]
    if run.phase is Phase.PLACED:
        release_run(worker, run)
        cell.placed = [other for other in cell.placed if other is not run]
        live = cell.jobs.get(run.task.job)
        record = find_record(live, run.task) if live else None
        if record is not None and record.attempt == run.attempt:
            record.state = TaskState.WAITING
            record.worker = ""
        return
    run.phase = Phase.STOPPING
    run.stopped_at = 0.0
    cell.orders.append(StopOrder(run.worker, run.task, run.attempt, reason))


def wait_again(cell: Cell, run: Run) -> None:
    """Let the task of a run wait for another place."""
    group = Group(run.task.job, run.task.occurrence, run.task.step)
    cell.waiting.setdefault(group, set()).add(run.task.index)


def _finish_task(cell: Cell, live: LiveJob, run: Run, record: TaskRecord, now: Now) -> None:
    record.state = TaskState.DONE
    record.checkpoint = ""
    occurrence = run.task.occurrence
    left = live.left[occurrence]
    left[run.task.step] -= 1
    if left[run.task.step]:
        return
    if any(left):
        open_steps(cell, live, occurrence)
        return
    live.progress.over.append(occurrence)
    del live.progress.tasks[occurrence]
    del live.left[occurrence]
    if len(live.progress.over) == live.job.occurrences:
        live.progress.state = JobState.COMPLETED
        live.progress.ended = now.table


def _judge_worker(worker: Worker, end: End, now: Now) -> None:
    """Avoid a worker that fails tasks: failing fast frees its room, which attracts more of them."""
    match end:
        case End.DONE:
            worker.failures = 0
            worker.suspect_until = 0.0
        case End.FAILED:
            worker.failures += 1
            worker.suspect_until = now.steady + SUSPICION
