"""
Occurrences
===========

Begin the occurrences of jobs that are due, as far as their tasks can be at work.

Notes
-----
What an owner holds, writes and looks at follows from the occurrences that have begun.  A job may be
thousands of occurrences behind, as may many jobs at once; those that wait to begin are a number.
The first unfinished occurrence of each job begins as soon as it is due, so none waits for the
backlog of another; further ones as far as the workers can run them.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from toucanpin.scheduling.begun_load import add_occurrence_load, sum_load
from toucanpin.scheduling.cell import Cell, LiveJob, Now
from toucanpin.scheduling.number_ranges import find_first_missing
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.step_queue import begin_occurrence

__all__ = [
    "LateJob",
    "await_occurrences",
    "begin_due",
    "begin_occurrences",
    "count_due",
    "describe_late_jobs",
]

CHECK_INTERVAL_S = 0.02  # between checks for occurrences that are due
JOBS_PER_INTERVAL = 500  # that are looked at in one; with more of them checks are less frequent
MAX_TASKS_PER_CHECK = 3_000  # the largest occurrence
# Of begun occurrences that haven't ended, in a cell, of a priority and more urgent ones.
MAX_BEGUN_TASKS = 100_000  # each takes some 400 bytes
# Of what is left of these, for one occurrence: large jobs that can't run don't keep small ones out.
MAX_OCCURRENCE_SHARE = 0.1
MAX_OVERLAPPING_TASKS = 20_000  # from which on only first occurrences begin
# Of the cell's cores: what runs, and as much again to take its place.
MAX_OVERLAPPING_SHARE = 2.0
MAX_ROW_SHARE = 0.6  # of a row; the rest is for what becomes of the tasks
RECORD_BYTES = 40  # of a task that is placed
CHECKPOINT_BYTES = 24  # beyond these
MIN_LATENESS_S = 1.0  # of a job that is told to be late


@dataclass(frozen=True, slots=True)
class LateJob:
    """
    A job of which due occurrences haven't begun.

    ``waiting`` is their number, ``lateness`` the time in s since the first of them was due.
    """

    job: str
    waiting: int
    lateness: float


def await_occurrences(cell: Cell, live: LiveJob) -> None:
    """Let a job's further occurrences begin when they are due."""
    _skip_begun(live)
    if live.next_occurrence < live.job.occurrences:
        cell.unbegun[live.job.id] = None


def begin_due(cell: Cell, now: Now) -> None:
    """Begin the occurrences that are due and can be at work, the most urgent jobs first."""
    if now.steady < cell.next_due:
        return
    intervals = 1 + len(cell.unbegun) // JOBS_PER_INTERVAL
    cell.next_due = now.steady + intervals * CHECK_INTERVAL_S
    cell.begun_lately = 0
    while cell.begun_lately < MAX_TASKS_PER_CHECK:
        if not _begin_one_each(cell, list(_list_due(cell, now)), now):
            return


def begin_occurrences(cell: Cell, live: LiveJob, now: Now) -> None:
    """Begin occurrences of a job that has just become known, as far as this check has room."""
    while cell.begun_lately < MAX_TASKS_PER_CHECK and _is_due(live, now):
        if not _may_begin(cell, live, _count_cores(cell)):
            return
        _begin(cell, live)


def count_due(live: LiveJob, now: Now) -> int:
    """Return how many occurrences of a job are due and haven't begun."""
    job = live.job
    if not job.repeats or not job.interval:
        last = job.occurrences if _is_due(live, now) else 0
    else:
        last = min(job.occurrences, (now.wall - job.start_at) // job.interval + 1)
    return max(0, last - live.next_occurrence)


def describe_late_jobs(cell: Cell, now: Now) -> list[LateJob]:
    """Return the jobs of which due occurrences wait to begin, the latest first."""
    late = [
        LateJob(live.job.id, count_due(live, now), (now.wall - _due_time(live, now)) / 1_000)
        for live in _list_due(cell, now)
        if now.wall - _due_time(live, now) > MIN_LATENESS_S * 1_000
    ]
    return sorted(late, key=lambda it: (-it.lateness, it.job))


def _begin_one_each(cell: Cell, due: Iterable[LiveJob], now: Now) -> bool:
    """Begin an occurrence of each job that may have one more; return whether any has begun."""
    cores = _count_cores(cell)
    began = False
    for live in sorted(due, key=lambda live: _rank(live, now)):
        if cell.begun_lately >= MAX_TASKS_PER_CHECK:
            break
        if _may_begin(cell, live, cores):
            _begin(cell, live)
            began = True
    return began


def _begin(cell: Cell, live: LiveJob) -> None:
    occurrence = live.next_occurrence
    begin_occurrence(cell, live, occurrence)
    add_occurrence_load(cell, live, occurrence)
    cell.begun_lately += live.offsets[-1]
    live.next_occurrence = occurrence + 1
    _skip_begun(live)
    if live.next_occurrence >= live.job.occurrences:
        cell.unbegun.pop(live.job.id, None)


def _skip_begun(live: LiveJob) -> None:
    """Advance a job to the first occurrence that hasn't begun."""
    ended, begun = live.progress.ended_occurrences, live.progress.tasks
    following = find_first_missing(ended, live.next_occurrence)
    while following in begun:
        following = find_first_missing(ended, following + 1)
    live.next_occurrence = following


def _list_due(cell: Cell, now: Now) -> Iterator[LiveJob]:
    for identifier in list(cell.unbegun):
        live = cell.jobs.get(identifier)
        if live is None or JobState(live.progress.state).ended:
            del cell.unbegun[identifier]
        elif _is_due(live, now):
            yield live


def _is_due(live: LiveJob, now: Now) -> bool:
    if live.next_occurrence >= live.job.occurrences:
        return False
    return _due_time(live, now) <= now.wall


def _due_time(live: LiveJob, now: Now) -> int:
    """Return when the next occurrence of a job is due, in Unix ms."""
    job = live.job
    if not job.repeats:
        return min(now.wall, job.accepted - now.table + now.wall)
    return job.start_at + live.next_occurrence * job.interval


def _rank(live: LiveJob, now: Now) -> tuple[int, bool, int, str]:
    """Return the key that sorts jobs: by priority, those of which nothing has begun first."""
    return live.job.priority, bool(live.progress.tasks), _due_time(live, now), live.job.id


def _may_begin(cell: Cell, live: LiveJob, cores: int) -> bool:
    """Return whether the next occurrence of a job can be at work; ``cores`` are the cell's."""
    tasks = live.offsets[-1]
    load = sum_load(cell, live.job.priority)
    if tasks > MAX_OCCURRENCE_SHARE * (MAX_BEGUN_TASKS - load.tasks):
        return False
    if not live.progress.tasks:
        return True
    if load.tasks + tasks > MAX_OVERLAPPING_TASKS or not _fits_row(cell, live):
        return False
    cpu = sum(step.count * step.cpu for step in live.job.steps)
    return load.cpu + cpu <= MAX_OVERLAPPING_SHARE * cores


def _fits_row(cell: Cell, live: LiveJob) -> bool:
    """Return whether the row of a job's progress has room for one more occurrence."""
    saved = sum(step.count for step in live.job.steps if step.checkpoints)
    size = live.offsets[-1] * RECORD_BYTES + saved * CHECKPOINT_BYTES
    return (len(live.progress.tasks) + 1) * size <= MAX_ROW_SHARE * cell.max_row


def _count_cores(cell: Cell) -> int:
    """Return the cell's capacity in thousandths of cores."""
    return sum(worker.entry.cpu for worker in cell.workers.values())
