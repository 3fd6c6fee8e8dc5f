"""
Crashes
=======

Which tasks a lost worker tells against, and when a task is given up for its crashes.

Notes
-----
A worker that crashes lists no end, so what ran there is only known to be lost.  Each lost life
counts against the tasks that it may have been lost under, until that life answers again.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Cell, LiveJob, Now, find_record, mark_dirty
from toucanpin.scheduling.ending import end_job
from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.progress import JobState, TaskRecord, TaskState
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = [
    "LAST_TRY",
    "MOST_CRASHES",
    "YOUNG_LIFE",
    "count_crashes",
    "count_trials",
    "forget_crashes",
    "give_up_crashing",
    "is_held",
    "is_on_last_try",
    "is_young",
    "note_alive",
    "note_lost",
    "note_survived",
    "restore_crashes",
]

MOST_CRASHES = 3  # workers lost under a task after which it isn't started any more
LAST_TRY = MOST_CRASHES - 1  # workers lost under a task of which one more gives it up
SURE_CRASHES = 2  # of them whose lives are surely over: others may only be cut off
SURVIVAL = 5.0  # s at work after which a lasting task didn't crash its worker
YOUNG_LIFE = 10.0  # s for which a worker's life is young
TRIAL = 2.0  # s that a task is watched which workers were lost under


def note_lost(cell: Cell, worker: Worker, run: Run) -> int:
    """Count the loss of a worker against a run's task; return how many lives are counted."""
    live = cell.jobs.get(run.task.job)
    record = find_record(live, run.task) if live else None
    if live is None or record is None or JobState(live.progress.state).ended:
        return 0
    if record.state == TaskState.DONE:
        return 0
    if worker.entry.id not in record.crashed and _may_have_crashed(worker, run):
        record.crashed.append(worker.entry.id)
        mark_dirty(cell, live)
        _remember(cell, run.task, record)
    return len(record.crashed)


def note_alive(cell: Cell, worker: Worker) -> None:
    """Take note that a worker's life goes on: nothing that was lost there crashed it."""
    for task in cell.suspects.pop(worker.entry.id, ()):
        live = cell.jobs.get(task.job)
        record = find_record(live, task) if live else None
        if live is None or record is None or worker.entry.id not in record.crashed:
            continue
        record.crashed.remove(worker.entry.id)
        mark_dirty(cell, live)


def note_survived(run: Run, record: TaskRecord) -> None:
    """Clear a lasting task that has been at work for long."""
    if run.step.lasting and run.shown_at > run.started_at + SURVIVAL:
        record.crashed = []
        run.crashes = 0


def restore_crashes(cell: Cell, task: TaskKey, record: TaskRecord) -> None:
    """Take up what an earlier owner counted against a task."""
    if record.crashed:
        _remember(cell, task, record)


def forget_crashes(cell: Cell) -> None:
    """Drop what was counted against tasks of jobs that are forgotten."""
    for worker, tasks in list(cell.suspects.items()):
        tasks -= {task for task in tasks if task.job not in cell.jobs}
        if not tasks:
            del cell.suspects[worker]


def is_held(cell: Cell, live: LiveJob, task: TaskKey) -> bool:
    """
    Tell whether a task may not be started until more is known of the workers lost under it.

    A copy is begun as soon as a worker falls silent, so silent workers count, too.
    """
    record = _find_record(live, task)
    lives = set(record.crashed)
    if live.job.steps[task.step].speculative and record.attempt:
        runs = cell.runs.get(task.job, ())
        lives |= {run.worker for run in runs if run.task == task and _is_silent(cell, run)}
    return len(lives) >= MOST_CRASHES


def count_crashes(live: LiveJob, task: TaskKey) -> int:
    """Return how many workers were lost under a task."""
    return len(_find_record(live, task).crashed)


def count_trials(worker: Worker, now: Now) -> int:
    """Return how many tasks are watched on a worker."""
    return sum(_is_on_trial(run, now) for run in worker.runs.values())


def is_on_last_try(worker: Worker, now: Now) -> bool:
    """Tell whether a worker runs a task that is given up if it is lost once more."""
    return any(run.crashes >= LAST_TRY and _is_on_trial(run, now) for run in worker.runs.values())


def is_young(worker: Worker, now: Now) -> bool:
    """Tell whether a worker's life is new: it may be one of many that end soon."""
    return now.steady < worker.known_at + YOUNG_LIFE


def give_up_crashing(cell: Cell, now: Now) -> list[TaskKey]:
    """
    Fail the jobs of tasks under which enough workers have surely crashed; return the tasks.

    An owner that hasn't read the list of workers yet knows of no life whether it is over.
    """
    given_up: list[TaskKey] = []
    if not any(worker.entry.address for worker in cell.workers.values()):
        return given_up
    for task in list(cell.crashing):
        live = cell.jobs.get(task.job)
        record = find_record(live, task) if live else None
        if live is None or record is None or JobState(live.progress.state).ended:
            cell.crashing.discard(task)
            continue
        if record.state == TaskState.DONE or len(record.crashed) < MOST_CRASHES:
            cell.crashing.discard(task)
            continue
        if sum(worker not in cell.workers for worker in record.crashed) < SURE_CRASHES:
            continue
        cell.crashing.discard(task)
        end_job(cell, live, JobState.FAILED, now)
        given_up.append(task)
    return given_up


def _may_have_crashed(worker: Worker, run: Run) -> bool:
    """Tell whether a run may be what ended its worker."""
    if run.phase is Phase.ORDERED and not run.ordered_at:
        return False
    if run.step.lasting and run.shown_at > run.started_at + SURVIVAL:
        return False
    # One that no list names any more, as its address tells, may have crashed before this owner
    # heard of it.
    announced = bool(worker.entry.address) and not worker.entry.ready
    return not announced and not worker.closing_since


def _remember(cell: Cell, task: TaskKey, record: TaskRecord) -> None:
    for worker in record.crashed:
        cell.suspects.setdefault(worker, set()).add(task)
    if len(record.crashed) >= MOST_CRASHES:
        cell.crashing.add(task)


def _find_record(live: LiveJob, task: TaskKey) -> TaskRecord:
    records = live.progress.tasks[task.occurrence]
    return records[live.offsets[task.step] + task.index]


def _is_silent(cell: Cell, run: Run) -> bool:
    worker = cell.workers.get(run.worker)
    return worker is not None and worker.silent


def _is_on_trial(run: Run, now: Now) -> bool:
    if not run.crashes:
        return False
    return not run.ordered_at or now.steady < run.ordered_at + TRIAL
