"""
Workers
=======

Capacity, runs and lease of one incarnation of a worker, as known to the owner of its cell.
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
    "Silence",
    "Worker",
    "bound_freeable_cpu",
    "count_fitting_tasks",
    "count_fitting_when_idle",
    "fits_when_idle",
    "grant_lease",
    "has_room",
    "is_overcommitted",
    "mark_stopping",
    "release_run",
    "reserve_run",
]

MIN_CLOCK_RATE = 0.98  # the platform allows a worker's clock to run 2% slow
LEASE_EXPIRY_MARGIN_S = 0.25  # time that a worker may take to kill runs whose lease has expired


class Phase(enum.Enum):
    """State of a run."""

    PLACED = "placed"  # the placement isn't written yet, nothing was sent
    ORDERED = "ordered"  # a start was or is being sent
    RUNNING = "running"  # the worker has confirmed the start
    STOPPING = "stopping"  # resources stay reserved until the worker lists the end
    ENDED = "ended"  # no order for it may be sent any more
    UNKNOWN = "unknown"  # read from a row at takeover; the worker hasn't been asked


class Silence(enum.Enum):
    """How a worker left the latest poll without an answer."""

    REFUSED = "connection refused"
    RESET = "connection ended"
    UNANSWERED = "no answer"


@dataclass(slots=True)
class Run:
    """One attempt of a task on one worker; times are on the local steady clock."""

    task: TaskKey
    attempt: int
    worker: str
    step: Step
    phase: Phase
    ordered_at: float = 0.0
    unconfirmed_since: float = 0.0  # when the first start without a definite answer was sent
    started_at: float = 0.0
    percent: int = 0
    last_listed_at: float = 0.0  # when the worker last listed it
    progressed_at: float = 0.0
    checkpoint: str = ""
    ticket: str = ""
    measure: float = 0.0  # tail latency in ms of a latency-critical task, else the CPU in use
    pace: int = 100  # percent of full speed
    paced_at: float = 0.0
    kept: bool = False  # slowed down rather than stopped, since its job would stand still
    over_target_since: float = 0.0
    # A start without an answer may be carried out seconds later, so the task may run elsewhere only
    # once a stop is acknowledged or the lease has expired.
    start_unconfirmed: bool = False
    stop_acknowledged_at: float = 0.0  # 0 if no stop was acknowledged
    stop_sent_at: float = 0.0
    waiting_time: float = 0.0  # seconds in the queue before this placement
    wait_reason: str = ""  # latest reason for the wait
    # It began from a checkpoint, or before this owner knew of it, so its run time isn't known.
    untimed: bool = False
    priority: int = 0  # of its job
    suspicion: CrashSuspicion = CrashSuspicion.NONE
    rate: float = 0.0  # recent progress in percent per s
    max_rate: float = 0.0  # upper bound of the rate, 0 if unknown
    rate_accurate: bool = False  # measured over some percent of progress
    sampled_at: int = 0  # on the worker's clock in ms, when the progress was ``sampled_percent``
    sampled_percent: int = 0
    born: int = 0  # incarnation of the worker on which it was placed, 0 if unknown
    survived: bool = False  # it has run for longer than those that failed on its worker


@dataclass(slots=True)
class Worker:
    """A worker as the owner of its cell knows it; times are on the local steady clock."""

    entry: WorkerEntry
    born: int = 0  # start of this incarnation in Unix ms, 0 if unknown
    token_offset: int = 0  # of orders to it, above the owner's token
    earlier_born: int = 0  # that of the incarnation that it replaced
    sized: bool = True  # its entry is of this incarnation, whose size may differ from the earlier
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    cpu: int = 0
    memory: int = 0
    accelerators: int = 0
    best_effort_count: int = 0
    best_effort_cpu: int = 0
    latency_critical_count: int = 0
    long_running_cpu: int = 0
    reserved_cpu: int = 0  # CPU that long-running tasks leave to short ones
    weighed_for_reserve: bool = False  # it was a candidate when reserved cores were last chosen
    reached: bool = False  # it has answered this owner
    first_listed_at: float = 0.0  # when this incarnation was first listed
    listed_at: float = 0.0
    answered_at: float = 0.0
    silent: bool = False  # it did not answer the latest poll
    silent_since: float = 0.0  # 0 if it answers
    silence: Silence | None = None  # None if it answered the latest poll
    unlisted_since: float = 0.0  # 0 if it has an entry
    # Its entry can't be decoded or is of an earlier incarnation, though it may still answer.
    malformed: bool = False
    clock: int = 0
    clock_read_at: float = 0.0
    lease_expires_at: float = 0.0
    granted_at: float = 0.0  # when the newest order with a lease was sent
    late_orders_end: float = 0.0  # of those to earlier incarnations, with their leases
    renewed: bool = False  # this owner has granted it a lease
    renewal_due: bool = True  # none was granted since it was first listed, or silent
    listed_sequence: int = 0  # of the newest end that it listed
    acknowledged_sequence: int = 0  # of the newest end that is written
    lists_ends: bool = False  # its latest answer listed ends, acknowledged or not
    suspect_until: float = 0.0  # avoided for new tasks after failures
    slow_until: float = 0.0  # avoided for new tasks, as it runs all tasks slowly
    claimed_until: list[float] = field(default_factory=list)  # room, by tasks that move here
    rates_updated_at: float = 0.0  # the time of the answer that the rates of its tasks are from
    full_until: float = 0.0  # it had less capacity than its owner assumed
    reserved_until: float = 0.0  # reserved for tasks of ``reserved_priority`` after preemption
    reserved_priority: int = 0
    draining_since: float = 0.0  # it is drained for the upkeep of its machine
    slowed_down_at: float = 0.0  # when best-effort tasks were last slowed down or moved
    learned_at: float = 0.0  # when interference effects were last learned from its measurements
    failed_jobs: set[str] = field(default_factory=set)  # with failures since its last success
    failed_at: float = 0.0
    distrusted_since: float = 0.0
    failed_after: float = 0.0  # the longest time in s that a task ran before it failed, since then
    retries_blocked_until: float = 0.0  # tasks that have failed before aren't tried there
    unknown_tasks: frozenset[TaskKey] = frozenset()  # listed tasks that its owner didn't start
    # These sums show at once that preemption can't help an urgent task; without them each
    # scheduling turn would visit all runs of all workers.
    preemptible_cpu: dict[int, int] = field(default_factory=dict)  # by priority
    stopping_cpu: int = 0  # CPU of runs that are being stopped
    # Computed at ``utilization_at``; None once a run is added or removed or the worker answers.
    utilization: WorkerUtilization | None = None
    utilization_at: float = 0.0

    @property
    def rack(self) -> str:
        """Return the label that names the rack, or an empty string."""
        return self.entry.labels[1] if len(self.entry.labels) > 1 else ""


def has_room(worker: Worker, step: Step) -> bool:
    """Return whether a task of a step fits the worker's free capacity."""
    entry = worker.entry
    if worker.memory + step.memory > entry.memory:
        return False
    if worker.accelerators + step.accelerators > entry.accelerators:
        return False
    return step.best_effort or worker.cpu + step.cpu <= entry.cpu


def is_overcommitted(worker: Worker) -> bool:
    """Return whether the runs of a worker exceed its capacity, which may shrink."""
    entry = worker.entry
    return (
        worker.cpu > entry.cpu
        or worker.memory > entry.memory
        or worker.accelerators > entry.accelerators
    )


def count_fitting_tasks(worker: Worker, step: Step) -> int:
    """Return how many tasks of a step fit the worker's free capacity."""
    entry = worker.entry
    sizes = (
        (entry.cpu - worker.cpu, 0 if step.best_effort else step.cpu),
        (entry.memory - worker.memory, step.memory),
        (entry.accelerators - worker.accelerators, step.accelerators),
    )
    return min((left // part for left, part in sizes if part), default=step.count)


def count_fitting_when_idle(worker: Worker, step: Step) -> int:
    """Return how many tasks of a step fit the worker if it runs nothing."""
    entry = worker.entry
    sizes = (
        (entry.cpu, step.cpu),
        (entry.memory, step.memory),
        (entry.accelerators, step.accelerators),
    )
    limit = step.per_worker or step.count
    return min([limit, *(total // part for total, part in sizes if part)])


def fits_when_idle(worker: Worker, step: Step) -> bool:
    """Return whether a task of a step fits the worker if it runs nothing."""
    return count_fitting_when_idle(worker, step) > 0


def reserve_run(worker: Worker, run: Run) -> None:
    """Add a run to its worker and reserve its resources."""
    run.born = run.born or worker.born
    worker.runs[run.task] = run
    _adjust_usage(worker, run, 1)


def release_run(worker: Worker, run: Run) -> None:
    """Remove a run from its worker and release its resources."""
    if run.phase is Phase.STOPPING and not run.step.best_effort:
        worker.stopping_cpu -= run.step.cpu
    run.phase = Phase.ENDED
    if worker.runs.get(run.task) is run:
        del worker.runs[run.task]
        _adjust_usage(worker, run, -1)


def mark_stopping(worker: Worker, run: Run) -> None:
    """Mark a run as stopping; its resources stay reserved until it has ended."""
    if run.phase is not Phase.STOPPING and not run.step.best_effort:
        worker.stopping_cpu += run.step.cpu
    run.phase = Phase.STOPPING


def bound_freeable_cpu(worker: Worker, priority: int) -> int:
    """Return an upper bound on the CPU that preemption could free for a task of a priority."""
    preemptible_cpu = sum(cpu for other, cpu in worker.preemptible_cpu.items() if other > priority)
    return worker.entry.cpu - worker.cpu + worker.stopping_cpu + preemptible_cpu


def grant_lease(worker: Worker, until: float, now: float) -> int:
    """
    Return a lease's end on the worker's clock, and record when it has expired for certain.

    ``until`` and ``now`` are on the local clock. Orders may arrive late, but the lease end that
    they carry is fixed.
    """
    ahead = max(0.0, until - worker.clock_read_at)
    deadline = worker.clock + int(ahead * 1_000)
    expires_at = worker.clock_read_at + ahead / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S
    worker.lease_expires_at = max(worker.lease_expires_at, expires_at)
    worker.granted_at = now
    worker.renewed = True
    worker.renewal_due = False
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
        worker.latency_critical_count += sign
