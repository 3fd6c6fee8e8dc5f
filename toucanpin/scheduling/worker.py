"""
Workers as their owner sees them
================================

Room, runs and lease of one life of a worker.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.orders import WorkerEntry
from toucanpin.scheduling.progress import CrashSuspicion
from toucanpin.scheduling.utilization import WorkerUtilization

__all__ = [
    "Phase",
    "Run",
    "Worker",
    "count_fitting_tasks",
    "count_fitting_when_idle",
    "fits_when_idle",
    "grant_lease",
    "has_room",
    "is_overcommitted",
    "bound_freeable_cpu",
    "mark_stopping",
    "release_run",
    "reserve_run",
]

MIN_CLOCK_RATE = 0.98  # a worker's clock may be 2% slow, by the platform's page
LEASE_EXPIRY_MARGIN_S = (
    0.25  # s: time that a worker may take to kill what its lease no longer covers
)


class Phase(enum.Enum):
    """Say how far one run has come."""

    PLACED = "placed"  # not written yet: nothing was sent
    ORDERED = "ordered"  # a start was or is being sent
    RUNNING = "running"  # the worker has said so
    STOPPING = "stopping"  # it must end; room is taken until the worker lists the end
    ENDED = "ended"  # nothing is left of it, and no order for it may be sent any more
    UNKNOWN = "unknown"  # found in a row at takeover; the worker hasn't been asked


@dataclass(slots=True)
class Run:
    """Follow one attempt of a task on one worker; times are on the local steady clock."""

    task: TaskKey
    attempt: int
    worker: str
    step: Step
    phase: Phase
    ordered_at: float = 0.0
    started_at: float = 0.0
    percent: int = 0
    last_listed_at: float = 0.0  # when the percentage was last listed
    progressed_at: float = 0.0
    checkpoint: str = ""
    ticket: str = ""
    measure: float = 0.0
    pace: int = 100
    paced_at: float = 0.0
    over_target_since: float = 0.0
    # A start without an answer may be carried out seconds later, so another worker may get the
    # task only once a stop was acknowledged or the lease has ended.
    start_unconfirmed: bool = False
    stop_acknowledged_at: float = 0.0  # when a stop was acknowledged, 0 if it wasn't
    stop_sent_at: float = 0.0
    waiting_time: float = 0.0  # s without a place before this one
    wait_reason: str = ""  # what kept it waiting at last
    # It began from a checkpoint, or before it was heard of, so its progress tells no time.
    untimed: bool = False
    priority: int = 0  # that of its job
    suspicion: CrashSuspicion = CrashSuspicion.NONE


@dataclass(slots=True)
class Worker:
    """Hold what the owner of a cell knows of a worker; times are on the local steady clock."""

    entry: WorkerEntry
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    cpu: int = 0
    memory: int = 0
    accelerators: int = 0
    best_effort_count: int = 0
    best_effort_cpu: int = 0
    serving_count: int = 0
    long_running_cpu: int = 0
    reserved_cpu: int = 0  # cores that lasting tasks leave to brief ones
    reached: bool = False
    first_listed_at: float = 0.0  # when this life was first listed
    listed_at: float = 0.0
    answered_at: float = 0.0
    silent: bool = False
    unsound: bool = False  # its entry can't be read any more, though it may still answer
    clock: int = 0
    clock_read_at: float = 0.0
    lease_expires_at: float = 0.0
    seen: int = 0
    acknowledged: int = 0
    suspect_until: float = 0.0
    full_until: float = 0.0  # it had less room than its owner thought
    reserved_until: float = (
        0.0  # room was made for tasks of priority ``kept_for``, others stay away
    )
    reserved_priority: int = 0
    draining_since: float = 0.0  # it is being emptied for the upkeep of its machine
    throttled_at: float = 0.0  # when what fills was last slowed or moved
    learned_at: float = 0.0  # when effects were last learned from its measurements
    failed_jobs: set[str] = field(default_factory=set)  # whose tasks failed since it did one
    failed_at: float = 0.0
    retries_blocked_until: float = 0.0  # no task that has failed is tried there
    unknown_tasks: frozenset[TaskKey] = frozenset()
    # Sums of cores tell in one look that no stop helps an urgent task; without them each turn would
    # go through all runs of all workers.
    preemptible_cpu: dict[int, int] = field(
        default_factory=dict
    )  # by priority, of what may be stopped
    stopping_cpu: int = 0  # of what is being stopped
    # How it fares, as summed up at ``heat_at``, until something comes, goes or is measured.
    utilization: WorkerUtilization | None = None
    utilization_at: float = 0.0

    @property
    def rack(self) -> str:
        """Return the label that names the rack, empty if none does."""
        return self.entry.labels[1] if len(self.entry.labels) > 1 else ""


def has_room(worker: Worker, step: Step) -> bool:
    """Tell whether a task of a step fits what the worker has left."""
    entry = worker.entry
    if worker.memory + step.memory > entry.memory:
        return False
    if worker.accelerators + step.accelerators > entry.accelerators:
        return False
    return step.best_effort or worker.cpu + step.cpu <= entry.cpu


def is_overcommitted(worker: Worker) -> bool:
    """Tell whether a worker has less room than what it was given takes: its room may shrink."""
    entry = worker.entry
    return (
        worker.cpu > entry.cpu
        or worker.memory > entry.memory
        or worker.accelerators > entry.accelerators
    )


def count_fitting_tasks(worker: Worker, step: Step) -> int:
    """Return how many tasks of a step fit what a worker has left."""
    entry = worker.entry
    sizes = (
        (entry.cpu - worker.cpu, 0 if step.best_effort else step.cpu),
        (entry.memory - worker.memory, step.memory),
        (entry.accelerators - worker.accelerators, step.accelerators),
    )
    return min((left // part for left, part in sizes if part), default=step.count)


def count_fitting_when_idle(worker: Worker, step: Step) -> int:
    """Return how many tasks of a step fit a worker that runs nothing."""
    entry = worker.entry
    sizes = (
        (entry.cpu, step.cpu),
        (entry.memory, step.memory),
        (entry.accelerators, step.accelerators),
    )
    most = step.per_worker or step.count
    return min([most, *(whole // part for whole, part in sizes if part)])


def fits_when_idle(worker: Worker, step: Step) -> bool:
    """Tell whether a task of a step fits a worker that runs nothing."""
    return count_fitting_when_idle(worker, step) > 0


def reserve_run(worker: Worker, run: Run) -> None:
    """Take the room of a run."""
    worker.runs[run.task] = run
    _adjust_usage(worker, run, 1)


def release_run(worker: Worker, run: Run) -> None:
    """Give the room of a run back, for good."""
    if run.phase is Phase.STOPPING and not run.step.best_effort:
        worker.stopping_cpu -= run.step.cpu
    run.phase = Phase.ENDED
    if worker.runs.get(run.task) is run:
        del worker.runs[run.task]
        _adjust_usage(worker, run, -1)


def mark_stopping(worker: Worker, run: Run) -> None:
    """Take note that a run is being stopped; its room is taken until it has ended."""
    if run.phase is not Phase.STOPPING and not run.step.best_effort:
        worker.stopping_cpu += run.step.cpu
    run.phase = Phase.STOPPING


def bound_freeable_cpu(worker: Worker, priority: int) -> int:
    """Return more cores than stops could free for a task of a priority, or as many."""
    preemptible_cpu = sum(cpu for other, cpu in worker.preemptible_cpu.items() if other > priority)
    return worker.entry.cpu - worker.cpu + worker.stopping_cpu + preemptible_cpu


def grant_lease(worker: Worker, until: float) -> int:
    """
    Return a lease's end on the worker's clock, and remember when it has ended for certain.

    ``until`` is on the local clock.  Orders may arrive late, but the end that they carry is fixed.
    """
    ahead = max(0.0, until - worker.clock_read_at)
    deadline = worker.clock + int(ahead * 1_000)
    lapse = worker.clock_read_at + ahead / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S
    worker.lease_expires_at = max(worker.lease_expires_at, lapse)
    return deadline


def _adjust_usage(worker: Worker, run: Run, sign: int) -> None:
    step = run.step
    worker.utilization = None
    worker.memory += sign * step.memory
    worker.accelerators += sign * step.accelerators
    if step.best_effort:
        worker.best_effort_count += sign
        worker.best_effort_cpu += sign * step.cpu
    else:
        worker.cpu += sign * step.cpu
        if step.long_running:
            worker.long_running_cpu += sign * step.cpu
        if not step.long_running and not step.gang:
            known = worker.preemptible_cpu.get(run.priority, 0)
            worker.preemptible_cpu[run.priority] = known + sign * step.cpu
    if step.target:
        worker.serving_count += sign
