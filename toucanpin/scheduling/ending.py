"""
Ends of runs
============

Effects of the end of a run on its task, its step and its job.
"""

from __future__ import annotations

from collections import deque

from toucanpin.scheduling.begun_load import remove_job_load, remove_task_load
from toucanpin.scheduling.cell import (
    Cell,
    Group,
    LiveJob,
    Now,
    drop_run,
    find_record,
    list_runs,
    mark_dirty,
    mark_started,
)
from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.number_ranges import add_number, count_numbers
from toucanpin.scheduling.orders import EndedRun, RunEnd
from toucanpin.scheduling.progress import JobState, TaskRecord, TaskState, clear_losses
from toucanpin.scheduling.released_runs import record_seen_again
from toucanpin.scheduling.step_queue import queue_ready_steps
from toucanpin.scheduling.stopping import requeue_task, stop_gang, stop_run
from toucanpin.scheduling.task_times import record_task_time
from toucanpin.scheduling.trust import EARLY_FAILURE_S, record_failure, record_success
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = [
    "RETRY_DELAY_S",
    "apply_end",
    "end_job",
    "end_run",
    "finish_run",
]

MIN_KNOWN_DURATIONS = 100  # of a step's tasks
RETRY_DELAY_S = 0.25  # for tasks whose number of attempts isn't limited otherwise


def apply_end(cell: Cell, worker: Worker, ended: EndedRun, sent_at: float, now: Now) -> None:
    """Apply an end that a worker lists; ``sent_at`` is when it was polled."""
    cell.end_sequences[worker.entry.id] = max(
        cell.end_sequences.get(worker.entry.id, 0), ended.sequence
    )
    mark_started(cell, ended.task.job)
    run = worker.runs.get(ended.task)
    if run is not None and run.attempt == ended.attempt:
        _update_trust(cell, worker, run, ended.end, now)
        finish_run(cell, worker, run, ended.end, ended.checkpoint, now)
        return
    record_seen_again(cell, worker.entry.id, ended.task, ended.attempt, ended.end, sent_at)
    match ended.end:
        case RunEnd.DONE:
            _apply_late_success(cell, ended.task, now)
        case RunEnd.FAILED:
            _apply_late_failure(cell, ended, now)


def finish_run(
    cell: Cell, worker: Worker, run: Run, end: RunEnd, checkpoint: str, now: Now
) -> None:
    """Release the resources of a run and update its task."""
    _record_interruption(cell, run)
    drop_run(cell, worker, run)
    live = cell.jobs.get(run.task.job)
    record = find_record(live, run.task) if live else None
    if live is None or record is None or record.state == TaskState.DONE:
        return
    if record.attempt != run.attempt:
        _finish_superseded_copy(cell, live, run, record, end, now)
        return
    mark_dirty(cell, live)
    if end in (RunEnd.DONE, RunEnd.FAILED):
        clear_losses(record)
    if checkpoint:
        record.checkpoint = checkpoint
    counted = record.state == TaskState.GANG_FAILED
    record.worker = ""
    record.born = 0
    record.state = TaskState.WAITING
    if JobState(live.progress.state).ended:
        if end is RunEnd.DONE:
            record.state = TaskState.DONE
        return
    match end:
        case RunEnd.DONE if not run.step.long_running:
            _record_task_time(cell, live, run, now)
            _finish_task(cell, live, run.task, record, now)
            return
        case RunEnd.FAILED if not run.step.long_running:
            if not counted:
                _count_failure(live, run, record)
            if record.failures >= live.job.max_failures:
                end_job(cell, live, JobState.FAILED, now)
                return
        case RunEnd.FAILED | RunEnd.DONE:
            # Tasks that ran for longer can't loop quickly. They are requeued at once: on a full
            # fleet another task would take the free capacity during the delay.
            if now.steady < run.started_at + EARLY_FAILURE_S:
                cell.delayed_until[run.task] = now.steady + RETRY_DELAY_S
    requeue_task(cell, run)
    if run.step.gang:
        stop_gang(cell, live, run, "another member ended")


def end_run(cell: Cell, worker: Worker, run: Run, now: Now) -> None:
    """End a run that certainly doesn't run any more, without a reported end."""
    finish_run(cell, worker, run, RunEnd.LEASE_EXPIRED, run.checkpoint, now)


def end_job(cell: Cell, live: LiveJob, state: JobState, now: Now) -> None:
    """Set a job's final state and stop its runs."""
    live.progress.state = state
    live.progress.ended = now.table
    mark_dirty(cell, live)
    remove_job_load(cell, live)
    for group in [group for group in cell.waiting if group.job == live.job.id]:
        del cell.waiting[group]
    for group in [group for group in cell.step_tickets if group.job == live.job.id]:
        del cell.step_tickets[group]
    for run in list_runs(cell, live):
        stop_run(cell, run, "job ended")


def _record_interruption(cell: Cell, run: Run) -> None:
    """
    Record when a long-running task last ran.

    The wait for the lease of a lost worker is part of the time for which its service is down.
    """
    if run.step.long_running and (run.started_at or run.phase is Phase.UNKNOWN):
        cell.interrupted[run.task] = max(run.started_at, run.last_listed_at, cell.taken_over_from)


def _count_failure(live: LiveJob, run: Run, record: TaskRecord) -> None:
    """
    Count a failure against a task, or once against all members of its gang.

    A gang fails as a whole if any member fails, and several members may fail at the same time.
    """
    if not run.step.gang:
        _add_failure(record, run.attempt)
        return
    for member in _list_records(live, run.task):
        _add_failure(member, run.attempt)
        if member.state == TaskState.PLACED:
            member.state = TaskState.GANG_FAILED


def _apply_late_success(cell: Cell, task: TaskKey, now: Now) -> None:
    """
    Apply the success of a run that isn't tracked: its lease expired, or an earlier owner started
    it.

    The worker forgets the end once it is acknowledged. If it were ignored, the task would run
    again, once after each move, though it is done. So a run that replaced it is stopped.
    """
    live = cell.jobs.get(task.job)
    record = find_record(live, task) if live else None
    if live is None or record is None or record.state == TaskState.DONE:
        return
    step = live.job.steps[task.step]
    if step.long_running or JobState(live.progress.state).ended:
        return
    for run in list_runs(cell, live):
        in_gang = step.gang and (run.task.occurrence, run.task.step) == (
            task.occurrence,
            task.step,
        )
        if run.task == task or in_gang:
            stop_run(cell, run, "done before")
    _finish_task(cell, live, task, record, now)
    mark_dirty(cell, live)


def _apply_late_failure(cell: Cell, ended: EndedRun, now: Now) -> None:
    """
    Count the failure of a run that isn't tracked, unless it is counted already.

    Its owner may have died before it received the end. If it were ignored, the task would be
    retried more often than its queue allows.
    """
    live = cell.jobs.get(ended.task.job)
    record = find_record(live, ended.task) if live else None
    if live is None or record is None or record.state == TaskState.DONE:
        return
    step = live.job.steps[ended.task.step]
    if step.long_running or JobState(live.progress.state).ended or ended.attempt in record.counted:
        return
    for member in _list_records(live, ended.task) if step.gang else [record]:
        _add_failure(member, ended.attempt)
    mark_dirty(cell, live)
    if record.failures >= live.job.max_failures:
        end_job(cell, live, JobState.FAILED, now)


def _add_failure(record: TaskRecord, attempt: int) -> None:
    if attempt not in record.counted:
        record.counted.append(attempt)
        record.failures += 1


def _finish_superseded_copy(
    cell: Cell, live: LiveJob, run: Run, record: TaskRecord, end: RunEnd, now: Now
) -> None:
    """Apply the end of a copy of which a newer one exists: the first copy that succeeds counts."""
    if not run.step.speculative or JobState(live.progress.state).ended:
        return
    match end:
        case RunEnd.DONE:
            _finish_task(cell, live, run.task, record, now)
        case RunEnd.FAILED:
            _add_failure(record, run.attempt)
            if record.failures >= live.job.max_failures:
                end_job(cell, live, JobState.FAILED, now)
        case _:
            return
    mark_dirty(cell, live)


def _finish_task(cell: Cell, live: LiveJob, task: TaskKey, record: TaskRecord, now: Now) -> None:
    """Mark a task as done, and with it its whole gang."""
    step = live.job.steps[task.step]
    done = _list_records(live, task) if step.gang else [record]
    for member in done:
        member.state = TaskState.DONE
        member.checkpoint = ""
        clear_losses(member)
    group = Group(task.job, task.occurrence, task.step)
    if group in cell.waiting:
        cell.waiting[group] -= set(range(step.count)) if step.gang else {task.index}
        if not cell.waiting[group]:
            del cell.waiting[group]
    if step.speculative:
        _stop_copies(cell, live, task)
    occurrence = task.occurrence
    left = live.tasks_left[occurrence]
    left[task.step] -= len(done)
    remove_task_load(cell, live, task.step, len(done))
    if left[task.step]:
        return
    _record_step_duration(cell, live, task.step)
    if any(left):
        queue_ready_steps(cell, live, occurrence)
        return
    _end_occurrence(cell, live, occurrence)
    if count_numbers(live.progress.ended_occurrences) == live.job.occurrences:
        live.progress.state = JobState.COMPLETED
        live.progress.ended = now.table


def _end_occurrence(cell: Cell, live: LiveJob, occurrence: int) -> None:
    """Forget an occurrence that is done: of thousands only that they have ended is kept."""
    add_number(live.progress.ended_occurrences, occurrence)
    del live.progress.tasks[occurrence]
    del live.tasks_left[occurrence]
    for number in range(len(live.job.steps)):
        group = Group(live.job.id, occurrence, number)
        cell.step_tickets.pop(group, None)
        live.racks.pop(group, None)


def _record_task_time(cell: Cell, live: LiveJob, run: Run, now: Now) -> None:
    """Record the run time of a task, by which slow workers are detected."""
    if not run.started_at or run.untimed:
        return
    took = now.steady - run.started_at
    known = live.task_durations.get(run.task.step)
    if known is None:
        known = deque(maxlen=max(MIN_KNOWN_DURATIONS, run.step.count))
        live.task_durations[run.task.step] = known
    known.append(took)
    if run.pace == 100:
        record_task_time(cell.task_times, live.job.queue, run.step.estimate, took)


def _record_step_duration(cell: Cell, live: LiveJob, step: int) -> None:
    """Update the duration estimates with the longest task of a step."""
    times = live.task_durations.get(step)
    if times:
        cell.durations.record(live.job.queue, live.job.steps[step].estimate, max(times))


def _stop_copies(cell: Cell, live: LiveJob, task: TaskKey) -> None:
    for run in list_runs(cell, live):
        if run.task == task:
            stop_run(cell, run, "another copy is done")


def _list_records(live: LiveJob, task: TaskKey) -> list[TaskRecord]:
    """Return the records of all tasks of a task's step."""
    start = live.offsets[task.step]
    count = live.job.steps[task.step].count
    return live.progress.tasks[task.occurrence][start : start + count]


def _update_trust(cell: Cell, worker: Worker, run: Run, end: RunEnd, now: Now) -> None:
    match end:
        case RunEnd.DONE:
            record_success(cell, worker, run)
        case RunEnd.FAILED:
            record_failure(cell, worker, run, now)
