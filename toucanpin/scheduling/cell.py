"""
Cells
=====

The state of one cell, which one owner at a time decides about: its jobs, workers and orders.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field

from toucanpin.scheduling.durations import Durations
from toucanpin.scheduling.job import Job, TaskKey
from toucanpin.scheduling.orders import PaceOrder, StopOrder
from toucanpin.scheduling.progress import JobState, Progress, TaskRecord, TaskState
from toucanpin.scheduling.worker import Phase, Run, Worker, release_run, reserve_run

__all__ = [
    "Advised",
    "Cell",
    "Group",
    "Lateness",
    "LiveJob",
    "Loss",
    "LossCause",
    "Now",
    "Wait",
    "WaitReason",
    "add_run",
    "allow_time",
    "begin_occurrence",
    "drop_run",
    "find_record",
    "judge_lateness",
    "list_runs",
    "mark_dirty",
    "note_begun",
    "open_steps",
    "rank_group",
    "sum_remaining",
    "task_offsets",
]


WORTHLESS = 3  # times its objective after which a job's result is of no use to its caller


@dataclass(frozen=True, slots=True)
class Now:
    """
    Hold the clocks at one moment.

    ``steady`` is in seconds; ``table`` is the table's clock and ``wall`` counts from 1970, in ms.
    """

    steady: float
    table: int
    wall: int


@dataclass(frozen=True, slots=True, order=True)
class Group:
    """Name the tasks of one step of one occurrence."""

    job: str
    occurrence: int
    step: int


class Lateness(enum.IntEnum):
    """Say what a job is still worth to its caller."""

    IN_TIME = 0
    LATE = 1
    WORTHLESS = 2


class WaitReason(enum.Enum):
    """Say why tasks of a step got no place."""

    NO_ROOM = "no room"
    RESERVED = "room is kept for brief tasks"
    HARM = "would disturb what serves"
    PAUSED = "pauses after a failure"
    GANG = "not all of a gang find room"
    NO_ADVICE = "no ticket"
    FAILING = "room only where tasks fail"
    CRASHING = "workers were lost under it"
    EVACUATED = "no room outside evacuated data centres"


@dataclass(slots=True)
class Wait:
    """Tell since when tasks of a step find no place, and why they found none at last."""

    since: float
    reason: WaitReason = WaitReason.NO_ROOM
    told_at: float = 0.0


class LossCause(enum.Enum):
    """Say what ended a run of which its worker listed no end."""

    REPLACED = "another life answers at its worker's address"
    LAPSED = "its worker's lease has ended"


@dataclass(frozen=True, slots=True)
class Loss:
    """
    Tell of a run that was lost with its worker.

    ``age`` is in s since its start was sent; ``crashes`` counts the workers lost under its task.
    """

    task: TaskKey
    attempt: int
    worker: str
    phase: Phase
    cause: LossCause
    age: float
    crashes: int


@dataclass(slots=True)
class Advised:
    """Hold the tickets that are known for one step; times are on the local steady clock."""

    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    asking: bool = False
    again_at: float = 0.0


@dataclass(slots=True)
class LiveJob:
    """
    Follow a job that is known here.

    ``left`` counts the tasks that each step still owes; ``remaining`` is what the job takes from
    each step on, in ms; ``times`` holds what the tasks of each step took, in seconds.
    """

    job: Job
    progress: Progress
    objective: int = 0
    offsets: tuple[int, ...] = ()
    remaining: tuple[int, ...] = ()
    left: dict[int, list[int]] = field(default_factory=dict)
    racks: dict[Group, str] = field(default_factory=dict)
    times: dict[int, list[float]] = field(default_factory=dict)
    told: bool = False  # its end stands in the log


@dataclass(slots=True)
class Cell:
    """
    Hold everything that the owner of a cell knows.

    ``token`` fences earlier owners at the workers; ``horizon`` is the local time by which every
    lease that an earlier owner may have granted has ended; ``confirmed`` is when the newest write
    that the table accepted was sent.  ``evacuated`` are data centres that get nothing more, which
    may be relied on up to ``evacuated_until``.  ``barren`` holds, by filling image, the cores that
    found no place and until when nobody asks again.  ``stop_time`` and ``restore_time`` are the
    seconds that workers may take to stop a task and to resume one.
    """

    name: str
    token: int
    horizon: float
    confirmed: float
    guarded: bool = True  # its workers refuse what doesn't fit
    stop_time: float = 0.2
    restore_time: float = 0.25
    evacuated: frozenset[str] = frozenset()
    evacuated_until: float = float("inf")
    jobs: dict[str, LiveJob] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=dict)  # by job, whatever their phase
    waiting: dict[Group, set[int]] = field(default_factory=dict)
    waits: dict[Group, Wait] = field(default_factory=dict)
    delayed: dict[TaskKey, float] = field(default_factory=dict)
    dirty: dict[str, None] = field(default_factory=dict)
    placed: list[Run] = field(default_factory=list)
    ends: dict[str, int] = field(default_factory=dict)
    orders: list[StopOrder | PaceOrder] = field(default_factory=list)
    losses: list[Loss] = field(default_factory=list)  # not logged yet
    suspects: dict[str, set[TaskKey]] = field(default_factory=dict)  # by worker lost under them
    crashing: set[TaskKey] = field(default_factory=set)  # not to be started again
    forgotten: list[str] = field(default_factory=list)  # jobs whose own rows are to be dropped
    dropped: list[str] = field(default_factory=list)  # jobs of which only the progress is left
    advised: dict[Group, Advised] = field(default_factory=dict)
    next_due: float = 0.0
    brief_peak: float | None = None  # cores that brief tasks asked for at most, lately
    reserved_at: float = float("-inf")  # when room for brief tasks was last chosen
    paced_at: float = 0.0
    barren: dict[str, tuple[int, float]] = field(default_factory=dict)
    consolidated_at: float = 0.0
    consolidated: dict[TaskKey, float] = field(
        default_factory=dict
    )  # when tasks were moved together
    durations: Durations = field(default_factory=lambda: Durations({}))
    moved: set[TaskKey] = field(default_factory=set)  # tasks that have left a slow worker


def task_offsets(job: Job) -> tuple[int, ...]:
    """Return where the records of each step begin."""
    offsets = [0]
    for step in job.steps:
        offsets.append(offsets[-1] + step.count)
    return tuple(offsets)


def find_record(live: LiveJob, task: TaskKey) -> TaskRecord | None:
    """Return the record of a task, None if its occurrence hasn't begun or is over."""
    records = live.progress.tasks.get(task.occurrence)
    if records is None or not 0 <= task.step < len(live.job.steps):
        return None
    if not 0 <= task.index < live.job.steps[task.step].count:
        return None
    return records[live.offsets[task.step] + task.index]


def mark_dirty(cell: Cell, live: LiveJob) -> None:
    """Have a job's progress written with the next commit."""
    cell.dirty[live.job.id] = None


def note_begun(cell: Cell, job: str) -> None:
    """
    Note that a worker has started a task of a job.

    A place alone doesn't begin a job: with a worker that leaves orders unanswered its job waits on,
    and callers who ask how many wait would be told fewer than do.
    """
    live = cell.jobs.get(job)
    if live is not None and live.progress.state == JobState.PENDING:
        live.progress.state = JobState.ACTIVE
        mark_dirty(cell, live)


def begin_occurrence(cell: Cell, live: LiveJob, occurrence: int) -> None:
    """Make the tasks of an occurrence known, and let those wait that follow nothing."""
    total = live.offsets[-1]
    live.progress.tasks[occurrence] = [TaskRecord() for _ in range(total)]
    live.left[occurrence] = [step.count for step in live.job.steps]
    open_steps(cell, live, occurrence)


def open_steps(cell: Cell, live: LiveJob, occurrence: int) -> None:
    """Let all tasks wait for a place whose earlier steps are done."""
    if live.progress.state >= JobState.COMPLETED:
        return
    left = live.left[occurrence]
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
    Return what orders steps that wait, the most urgent first.

    In an overload the oldest jobs would go first, and every job would be as late as they are.  So
    those that have missed their objective anyway come behind the others.
    """
    live = cell.jobs[group.job]
    if live.job.steps[group.step].lasting:
        return live.job.priority, True, not _ran_before(cell, live, group), live.objective, group
    return live.job.priority, False, judge_lateness(live, group.step, now), live.objective, group


def _ran_before(cell: Cell, live: LiveJob, group: Group) -> bool:
    """
    Tell whether a task of a step that waits has run before.

    On a full fleet new lasting jobs would take each place that becomes free, and a task that has
    failed would run nowhere, though its users are there all the while.
    """
    records = live.progress.tasks[group.occurrence]
    start = live.offsets[group.step]
    return any(records[start + index].attempt for index in cell.waiting.get(group, ()))


def judge_lateness(live: LiveJob, step: int, now: Now) -> Lateness:
    """Tell by how much a job will miss its objective if a step of it begins now."""
    end = now.table + live.remaining[step]
    if end <= live.objective:
        return Lateness.IN_TIME
    allowed = live.objective - live.job.accepted
    limit = live.job.accepted + WORTHLESS * allowed
    return Lateness.LATE if end <= limit else Lateness.WORTHLESS


def allow_time(job: Job) -> int:
    """Return the time in which a job should be done, in ms."""
    return job.aim + int(job.stretch * max(sum_remaining(job, list_estimates(job))))


def list_estimates(job: Job) -> tuple[int, ...]:
    """Return how long its caller says that each step of a job takes, in ms."""
    return tuple(step.estimate for step in job.steps)


def sum_remaining(job: Job, times: Sequence[int]) -> tuple[int, ...]:
    """Return how long a job takes from each step on, in ms, if its steps take these times."""
    remaining = list(times)
    for number in range(len(job.steps) - 1, -1, -1):
        for earlier in job.steps[number].after:
            through = times[earlier] + remaining[number]
            remaining[earlier] = max(remaining[earlier], through)
    return tuple(remaining)


def add_run(cell: Cell, worker: Worker, run: Run) -> None:
    """Give a run its room on a worker."""
    reserve_run(worker, run)
    cell.runs.setdefault(run.task.job, []).append(run)


def drop_run(cell: Cell, worker: Worker, run: Run) -> None:
    """Give the room of a run back, for good."""
    release_run(worker, run)
    left = [other for other in cell.runs.get(run.task.job, ()) if other is not run]
    if left:
        cell.runs[run.task.job] = left
    else:
        cell.runs.pop(run.task.job, None)


def list_runs(cell: Cell, live: LiveJob) -> list[Run]:
    """Return the runs of a job that aren't being stopped, wherever they are."""
    runs = cell.runs.get(live.job.id, ())
    return [run for run in runs if run.phase is not Phase.STOPPING]
