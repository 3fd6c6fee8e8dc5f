"""
Cell state
==========

The jobs, workers and orders of one cell, which has one owner at a time.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from toucanpin.scheduling.authority import OWNER_AUTHORITY_S
from toucanpin.scheduling.durations import Durations
from toucanpin.scheduling.features import Features
from toucanpin.scheduling.headroom import Headroom
from toucanpin.scheduling.job import Job, TaskKey
from toucanpin.scheduling.orders import PaceOrder, StopOrder
from toucanpin.scheduling.progress import JobState, Progress, TaskRecord
from toucanpin.scheduling.shortage import Shortage
from toucanpin.scheduling.task_times import TaskTimes
from toucanpin.scheduling.waits import Wait
from toucanpin.scheduling.worker import Phase, Run, Worker, release_run, reserve_run
from toucanpin.scheduling.worker_faults import Loss, LostWorker, Reappearance, SlowWorker

__all__ = [
    "BegunLoad",
    "Cell",
    "Group",
    "LiveJob",
    "Now",
    "StepAtFault",
    "StepOutcomes",
    "StepTickets",
    "add_run",
    "compute_task_offsets",
    "drop_run",
    "find_record",
    "list_runs",
    "mark_dirty",
    "mark_started",
]


@dataclass(frozen=True, slots=True)
class Now:
    """
    Readings of all clocks at one moment.

    ``steady`` is the local steady clock in s; ``table`` is the table's clock and ``wall`` the time
    since 1970, both in ms.
    """

    steady: float
    table: int
    wall: int


@dataclass(frozen=True, slots=True, order=True)
class Group:
    """Key of the tasks of one step of one occurrence."""

    job: str
    occurrence: int
    step: int


@dataclass(slots=True)
class StepTickets:
    """Tickets that are known for one step; times are on the local steady clock."""

    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    request_pending: bool = False
    restarted: set[str] = field(default_factory=set)  # workers, since the request was sent
    retry_at: float = 0.0


@dataclass(slots=True)
class StepOutcomes:
    """
    Where the tasks of a step failed and did well; of this owner only.

    ``failed`` tells by worker when a task last failed there; ``at_fault`` is whether the step fails
    by itself rather than by its workers.
    """

    failed: dict[str, float] = field(default_factory=dict)
    well: set[str] = field(default_factory=set)
    at_fault: bool = False
    logged: bool = False


@dataclass(frozen=True, slots=True)
class StepAtFault:
    """A step that fails by itself; ``failed`` and ``well`` count the workers where it did."""

    job: str
    step: int
    failed: int
    well: int


@dataclass(slots=True)
class BegunLoad:
    """Unfinished tasks of begun occurrences, and the thousandths of cores that they request."""

    tasks: int = 0
    cpu: int = 0


@dataclass(slots=True)
class LiveJob:
    """
    Job in memory, with its progress and estimates.

    ``next_occurrence`` is the first one that hasn't begun; ``tasks_left`` counts the unfinished
    tasks of each step by begun occurrence; ``remaining_ms`` is the estimated time from the start of
    each step to the end of the job; ``task_durations`` holds the durations in s of the tasks
    finished last by step.
    """

    job: Job
    progress: Progress
    objective: int = 0
    offsets: tuple[int, ...] = ()
    remaining_ms: tuple[int, ...] = ()
    next_occurrence: int = 0
    begun: BegunLoad = field(default_factory=BegunLoad)
    tasks_left: dict[int, list[int]] = field(default_factory=dict)
    racks: dict[Group, str] = field(default_factory=dict)
    task_durations: dict[int, deque[float]] = field(default_factory=dict)
    outcomes: dict[int, StepOutcomes] = field(default_factory=dict)  # by step
    end_logged: bool = False


@dataclass(slots=True)
class Cell:
    """
    State of a cell as its owner knows it.

    ``token`` fences earlier owners at the workers, and with ``token_offset`` added earlier
    incarnations of a worker, see ``fencing``; ``earlier_leases_end`` is the local time by which
    every lease that an earlier owner may have granted has ended, and ``earlier_lease_ends`` has
    earlier times for some workers.  Workers in ``withheld`` get no lease.  ``confirmed_at`` is
    when the newest write that the table accepted was sent, ``taken_over_from`` when that of the
    earlier owner was seen, ``owned_since`` when this one began.  ``interrupted`` tells when
    long-running tasks that wait again last ran.
    ``evacuated`` names the data centres that get no new tasks; this list is valid until
    ``evacuated_until``.  ``unplaceable`` holds by image the demands of best-effort tasks for which
    no worker was found; they are not tried again until ``unplaceable_until``.  ``stop_time`` and
    ``restore_time`` are the times in s that workers may take to stop and to resume a task, and
    ``max_lease`` is the longest lease that they accept.  ``max_row`` is the size of a row of the
    table in bytes.  ``unbegun`` are the jobs with occurrences that haven't begun, ``begun`` the
    load of those that have by priority, ``begun_lately`` the tasks of those that began since the
    latest check.  ``features`` are the optional decisions
    that the deployment calls for.
    """

    name: str
    token: int
    earlier_leases_end: float
    confirmed_at: float
    token_offset: int = 0
    earlier_lease_ends: dict[str, float] = field(default_factory=dict)
    withheld: set[str] = field(default_factory=set)
    taken_over_from: float = 0.0
    owned_since: float = 0.0
    workers_enforce_limits: bool = True  # workers refuse tasks that don't fit
    stop_time: float = 0.2
    restore_time: float = 0.25
    max_lease: float = 10.0
    max_row: int = 65_536
    features: Features = Features()
    evacuated: frozenset[str] = frozenset()
    evacuated_until: float = float("inf")
    jobs: dict[str, LiveJob] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=dict)  # by job, in any phase
    waiting: dict[Group, set[int]] = field(default_factory=dict)
    waits: dict[Group, Wait] = field(default_factory=dict)
    delayed_until: dict[TaskKey, float] = field(default_factory=dict)
    dirty: dict[str, None] = field(default_factory=dict)
    placed: list[Run] = field(default_factory=list)
    end_sequences: dict[str, int] = field(default_factory=dict)
    orders: list[StopOrder | PaceOrder] = field(default_factory=list)
    unlogged_losses: list[Loss] = field(default_factory=list)
    unlogged_reappearances: list[Reappearance] = field(default_factory=list)
    unlogged_slow_workers: list[SlowWorker] = field(default_factory=list)
    unlogged_steps_at_fault: list[StepAtFault] = field(default_factory=list)
    # When the newest start without an answer was sent, by worker, task and attempt.
    unanswered_starts: dict[tuple[str, TaskKey, int], float] = field(default_factory=dict)
    # By worker, task and attempt, in order of their release.
    released_runs: dict[tuple[str, TaskKey, int], Loss] = field(default_factory=dict)
    # Of forgotten workers, which may return under their ids.
    late_orders_ends: dict[str, float] = field(default_factory=dict)
    lost_workers: list[LostWorker] = field(default_factory=list)  # lately
    suspects: dict[str, set[TaskKey]] = field(default_factory=dict)  # by the worker lost
    crashing: set[TaskKey] = field(default_factory=set)  # not to be started again
    job_rows_to_delete: list[str] = field(default_factory=list)
    progress_pieces: dict[str, int] = field(default_factory=dict)  # rows beyond the first, by job
    progress_rows_to_delete: list[str] = field(default_factory=list)  # job rows already deleted
    step_tickets: dict[Group, StepTickets] = field(default_factory=dict)
    unbegun: dict[str, None] = field(default_factory=dict)
    begun: dict[int, BegunLoad] = field(default_factory=dict)
    begun_lately: int = 0
    next_due: float = 0.0  # when occurrences that are due are looked for again
    headroom: Headroom = field(default_factory=Headroom)
    short_task_peak: float | None = None  # recent peak of the cores that short tasks requested
    authority: float = OWNER_AUTHORITY_S  # s after ``confirmed_at``, in which leases may be granted
    entries_read_at: float = float("-inf")  # when the workers' entries were last read
    entries_sound_since: float = float("-inf")  # since when each read of them soon followed another
    introduced: bool = True  # all listed workers are known, or were given the time to answer
    reserved_at: float = float("-inf")  # when cores were last reserved for short tasks
    paced_at: float = 0.0
    unplaceable: dict[str, Shortage] = field(default_factory=dict)
    unplaceable_until: float = 0.0
    consolidated_at: float = 0.0
    consolidated: dict[TaskKey, float] = field(default_factory=dict)  # when tasks were moved
    durations: Durations = field(default_factory=lambda: Durations({}))
    task_times: dict[str, TaskTimes] = field(default_factory=dict)  # by queue
    interrupted: dict[TaskKey, float] = field(default_factory=dict)
    stalls: dict[TaskKey, int] = field(default_factory=dict)  # how often a task was stopped as such
    moved_tasks: set[TaskKey] = field(default_factory=set)  # away from slow workers


def compute_task_offsets(job: Job) -> tuple[int, ...]:
    """Return the index of the first record of each step."""
    offsets = [0]
    for step in job.steps:
        offsets.append(offsets[-1] + step.count)
    return tuple(offsets)


def find_record(live: LiveJob, task: TaskKey) -> TaskRecord | None:
    """Return the record of a task, None if its occurrence hasn't begun or has ended."""
    records = live.progress.tasks.get(task.occurrence)
    if records is None or not 0 <= task.step < len(live.job.steps):
        return None
    if not 0 <= task.index < live.job.steps[task.step].count:
        return None
    return records[live.offsets[task.step] + task.index]


def mark_dirty(cell: Cell, live: LiveJob) -> None:
    """Include a job's progress in the next commit."""
    cell.dirty[live.job.id] = None


def mark_started(cell: Cell, job: str) -> None:
    """
    Mark a job as active once a worker has started one of its tasks.

    An assignment alone doesn't activate a job: a worker may leave the start order unanswered, and
    the number of pending jobs that callers see would be too low.
    """
    live = cell.jobs.get(job)
    if live is not None and live.progress.state == JobState.PENDING:
        live.progress.state = JobState.ACTIVE
        mark_dirty(cell, live)


def add_run(cell: Cell, worker: Worker, run: Run) -> None:
    """Add a run and reserve its resources on a worker."""
    reserve_run(worker, run)
    cell.runs.setdefault(run.task.job, []).append(run)


def drop_run(cell: Cell, worker: Worker, run: Run) -> None:
    """Remove a run and release its resources."""
    release_run(worker, run)
    left = [other for other in cell.runs.get(run.task.job, ()) if other is not run]
    if left:
        cell.runs[run.task.job] = left
    else:
        cell.runs.pop(run.task.job, None)


def list_runs(cell: Cell, live: LiveJob) -> list[Run]:
    """Return the runs of a job that aren't being stopped."""
    runs = cell.runs.get(live.job.id, ())
    return [run for run in runs if run.phase is not Phase.STOPPING]
