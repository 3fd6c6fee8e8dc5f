"""
Cell state
==========

The jobs, workers and orders of one cell, which has one owner at a time.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field

from toucanpin.scheduling.durations import Durations
from toucanpin.scheduling.features import Features
from toucanpin.scheduling.headroom import Headroom
from toucanpin.scheduling.job import Job, TaskKey
from toucanpin.scheduling.orders import PaceOrder, StopOrder
from toucanpin.scheduling.progress import JobState, Progress, TaskRecord, TaskState
from toucanpin.scheduling.shortage import Shortage
from toucanpin.scheduling.task_times import TaskTimes
from toucanpin.scheduling.worker import Phase, Run, Worker, release_run, reserve_run

__all__ = [
    "Cell",
    "Group",
    "Lateness",
    "LiveJob",
    "Loss",
    "LossCause",
    "Now",
    "SlowWorker",
    "StepTickets",
    "Wait",
    "WaitReason",
    "add_run",
    "begin_occurrence",
    "compute_task_offsets",
    "compute_time_limit",
    "drop_run",
    "estimate_lateness",
    "find_record",
    "list_runs",
    "mark_dirty",
    "mark_started",
    "queue_ready_steps",
    "rank_group",
    "sum_remaining_times",
]


# A result that is later than this multiple of the job's time limit is of no use to its caller.
EXPIRY_FACTOR = 3


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


class Lateness(enum.IntEnum):
    """Expected end of a job relative to its objective."""

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


class WaitReason(enum.Enum):
    """Reason why tasks of a step were not placed."""

    NO_ROOM = "no room"
    RESERVED = "room is kept for brief tasks"
    INTERFERENCE = "would disturb what serves"
    BACKOFF = "pauses after a failure"
    INCOMPLETE_GANG = "not all of a gang find room"
    NO_TICKET = "no ticket"
    FAILING_WORKERS = "room only where tasks fail"
    CRASHING = "workers were lost under it"
    EVACUATED = "no room outside evacuated data centres"


@dataclass(slots=True)
class Wait:
    """
    Start of a step's wait for workers, and the latest reason for it.

    Before ``retry_at`` placement isn't tried again.
    """

    since: float
    reason: WaitReason = WaitReason.NO_ROOM
    logged_at: float = 0.0
    retry_at: float = 0.0


class LossCause(enum.Enum):
    """
    Cause of a run's end that its worker did not report.

    The names of the members are values of a metric's label.
    """

    REPLACED = "another life answers at its worker's address"
    LAPSED = "its worker's lease has ended"


@dataclass(frozen=True, slots=True)
class Loss:
    """
    Run that was lost with its worker.

    ``age`` is the time in s since its start was sent; ``crashes`` counts the workers that were lost
    while they ran its task.
    """

    task: TaskKey
    attempt: int
    worker: str
    phase: Phase
    cause: LossCause
    age: float
    crashes: int


@dataclass(frozen=True, slots=True)
class SlowWorker:
    """A worker that runs all tasks ``factor`` times slower than usual; ``runs`` show it."""

    worker: Worker
    factor: float
    runs: tuple[Run, ...]


@dataclass(slots=True)
class StepTickets:
    """Tickets that are known for one step; times are on the local steady clock."""

    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    request_pending: bool = False
    restarted: set[str] = field(default_factory=set)  # workers, since the request was sent
    retry_at: float = 0.0


@dataclass(slots=True)
class LiveJob:
    """
    Job in memory, with its progress and estimates.

    ``tasks_left`` counts the unfinished tasks of each step by occurrence; ``remaining_ms`` is the
    estimated time from the start of each step to the end of the job; ``task_durations`` holds the
    durations of finished tasks by step, in s.
    """

    job: Job
    progress: Progress
    objective: int = 0
    offsets: tuple[int, ...] = ()
    remaining_ms: tuple[int, ...] = ()
    tasks_left: dict[int, list[int]] = field(default_factory=dict)
    racks: dict[Group, str] = field(default_factory=dict)
    task_durations: dict[int, list[float]] = field(default_factory=dict)
    end_logged: bool = False


@dataclass(slots=True)
class Cell:
    """
    State of a cell as its owner knows it.

    ``token`` fences earlier owners at the workers; ``earlier_leases_end`` is the local time by
    which every lease that an earlier owner may have granted has ended, and ``earlier_lease_ends``
    has earlier times for some workers.  Workers in ``withheld`` get no lease.  ``confirmed_at`` is
    when the newest write that the table accepted was sent, ``taken_over_from`` when that of the
    earlier owner was seen.  ``interrupted`` tells when long-running tasks that wait again last ran.
    ``evacuated`` names the data centres
    that get no new tasks; this list is valid until ``evacuated_until``.  ``unplaceable`` holds by
    image the demands of best-effort tasks for which no worker was found; they are not tried again
    until ``unplaceable_until``.  ``stop_time`` and ``restore_time`` are the times in s that workers
    may take to stop and to resume a task, and ``max_lease`` is the longest lease that they accept.
    ``features`` are the optional decisions that the deployment calls for.
    """

    name: str
    token: int
    earlier_leases_end: float
    confirmed_at: float
    earlier_lease_ends: dict[str, float] = field(default_factory=dict)
    withheld: set[str] = field(default_factory=set)
    taken_over_from: float = 0.0
    workers_enforce_limits: bool = True  # workers refuse tasks that don't fit
    stop_time: float = 0.2
    restore_time: float = 0.25
    max_lease: float = 10.0
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
    unlogged_slow_workers: list[SlowWorker] = field(default_factory=list)
    # When the newest start without an answer was sent, by worker, task and attempt.
    unanswered_starts: dict[tuple[str, TaskKey, int], float] = field(default_factory=dict)
    suspects: dict[str, set[TaskKey]] = field(default_factory=dict)  # by the worker lost
    crashing: set[TaskKey] = field(default_factory=set)  # not to be started again
    job_rows_to_delete: list[str] = field(default_factory=list)
    progress_rows_to_delete: list[str] = field(default_factory=list)  # job rows already deleted
    step_tickets: dict[Group, StepTickets] = field(default_factory=dict)
    next_due: float = 0.0
    headroom: Headroom = field(default_factory=Headroom)
    short_task_peak: float | None = None  # recent peak of the cores that short tasks requested
    reserved_at: float = float("-inf")  # when cores were last reserved for short tasks
    paced_at: float = 0.0
    unplaceable: dict[str, Shortage] = field(default_factory=dict)
    unplaceable_until: float = 0.0
    consolidated_at: float = 0.0
    consolidated: dict[TaskKey, float] = field(default_factory=dict)  # when tasks were moved
    durations: Durations = field(default_factory=lambda: Durations({}))
    task_times: dict[str, TaskTimes] = field(default_factory=dict)  # by queue
    interrupted: dict[TaskKey, float] = field(default_factory=dict)
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


def begin_occurrence(cell: Cell, live: LiveJob, occurrence: int) -> None:
    """Create the records of an occurrence and queue the steps without predecessors."""
    total = live.offsets[-1]
    live.progress.tasks[occurrence] = [TaskRecord() for _ in range(total)]
    live.tasks_left[occurrence] = [step.count for step in live.job.steps]
    queue_ready_steps(cell, live, occurrence)


def queue_ready_steps(cell: Cell, live: LiveJob, occurrence: int) -> None:
    """Queue the unplaced tasks of all steps whose predecessors are done."""
    if live.progress.state >= JobState.COMPLETED:
        return
    left = live.tasks_left[occurrence]
    records = live.progress.tasks[occurrence]
    for number, step in enumerate(live.job.steps):
        if not left[number] or any(left[earlier] for earlier in step.after):
            continue
        group = Group(live.job.id, occurrence, number)
        start = live.offsets[number]
        idle = {
            index
            for index in range(step.count)
            if records[start + index].state == TaskState.WAITING
        }
        if idle:
            cell.waiting[group] = idle


def rank_group(cell: Cell, group: Group, now: Now) -> tuple[int, bool, int, int, Group]:
    """
    Return the key that sorts waiting steps, the most urgent first.

    Jobs that will miss their objective come after the others of their priority.  In an overload the
    oldest jobs would otherwise go first, and all jobs would be late.
    """
    live = cell.jobs[group.job]
    if live.job.steps[group.step].long_running:
        return (
            live.job.priority,
            True,
            not _has_run_before(cell, live, group),
            live.objective,
            group,
        )
    return live.job.priority, False, estimate_lateness(live, group.step, now), live.objective, group


def _has_run_before(cell: Cell, live: LiveJob, group: Group) -> bool:
    """
    Return whether a waiting task of a step has run before.

    Such steps come first: on a full fleet new long-running jobs would take all freed capacity, and
    a failed task of a service that is in use would not run again.
    """
    records = live.progress.tasks[group.occurrence]
    start = live.offsets[group.step]
    return any(records[start + index].attempt for index in cell.waiting.get(group, ()))


def estimate_lateness(live: LiveJob, step: int, now: Now) -> Lateness:
    """Return how late a job will end if the given step of it starts now."""
    end = now.table + live.remaining_ms[step]
    if end <= live.objective:
        return Lateness.ON_TIME
    allowed = live.objective - live.job.accepted
    limit = live.job.accepted + EXPIRY_FACTOR * allowed
    return Lateness.LATE if end <= limit else Lateness.EXPIRED


def compute_time_limit(job: Job) -> int:
    """Return the time within which a job should end, in ms."""
    return job.aim + int(job.stretch * max(sum_remaining_times(job, list_estimates(job))))


def list_estimates(job: Job) -> tuple[int, ...]:
    """Return the caller's estimates of the duration of each step, in ms."""
    return tuple(step.estimate for step in job.steps)


def sum_remaining_times(job: Job, times: Sequence[int]) -> tuple[int, ...]:
    """Return the time from the start of each step to the job's end, for given step times in ms."""
    remaining = list(times)
    for number in range(len(job.steps) - 1, -1, -1):
        for earlier in job.steps[number].after:
            path_time = times[earlier] + remaining[number]
            remaining[earlier] = max(remaining[earlier], path_time)
    return tuple(remaining)


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
