"""
Tracking of hosts and attempts
==============================

Data that the interference-aware policy collects from the reports of a worker: the running tasks
with their shares, their usage relative to the declared size, and the delayed samples of services.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from toucanpin.interference import HostView, KindUsage, Resident, Sample, ServiceLoad
from toucanpin.placement.policy import PolicyEvent
from toucanpin.placement.records import TaskRecord
from toucanpin.platform.ports import Report, TaskReport, TaskState

__all__ = ["AttemptTracker", "HostTracker"]

MS_PER_S = 1_000
SERVICE_SAMPLE_MAX_AGE_S = 120.0
SETTLING_TIME_S = 2.0  # after a change of the share
UNSAVED_STEP_S = 60.0
OVERUSE_RATIO = 1.5
OVERUSE_SAMPLES = 3  # consecutive
MAX_OVERUSE_SHARE = 0.5
MIN_SHARE = 0.05


@dataclass(slots=True)
class AttemptTracker:
    """
    Orders and measurements of one attempt; times are on the owner's clock unless stated otherwise.

    ``share`` is in force, ``requested`` is the share that the policy set.  ``sampled_at`` is on the
    worker's clock.  ``excess`` counts consecutive samples far above the declared size; ``ceiling``
    is the highest share allowed meanwhile.
    """

    attempt: int
    saved_at: float
    share: float = 1.0
    requested: float = 1.0
    changed_at: float = float("-inf")
    checkpoint: str = ""
    sampled_at: int = -1
    excess: int = 0
    ceiling: float = 1.0


@dataclass(slots=True)
class HostTracker:
    """
    Reported state of one worker.

    ``changed`` and ``measured`` are set by a report and a service sample until the policy has acted
    on them.  ``residents`` are the batch and standing tasks that run according to the last report;
    ``expected`` also has those that are committed but not yet running.
    """

    name: str
    incarnation: str = ""
    processors: int = 1
    avoided_until: float = float("-inf")
    changed: bool = False
    measured: bool = False
    residents: tuple[Resident, ...] = ()
    expected: list[Resident] = field(default_factory=list)
    attempts: dict[str, AttemptTracker] = field(default_factory=dict)
    pending_events: list[PolicyEvent] = field(default_factory=list)
    to_unthrottle: list[str] = field(default_factory=list)
    _sampled: dict[str, int] = field(default_factory=dict)
    _loads: dict[str, tuple[float, float]] = field(default_factory=dict)

    def services(self) -> tuple[ServiceLoad, ...]:
        """Return the services with a recent sample on this worker."""
        return tuple(ServiceLoad(name, load) for name, (load, _) in self._loads.items())

    def view(self) -> HostView:
        """Return the worker as last reported."""
        return HostView(self.name, self.processors, self.services(), self.residents)

    def expected_view(self) -> HostView:
        """Return the worker as it will be once all committed tasks have started."""
        return HostView(self.name, self.processors, self.services(), tuple(self.expected))

    def update_from_report(
        self, now: float, report: Report, tasks: Sequence[TaskRecord], usage: KindUsage
    ) -> None:
        """Update the running tasks and their usage from a report."""
        self._reset_if_new(report, tasks)
        self.processors = max(1, report.size.processors)
        self.changed = True
        reported = {(it.task, it.attempt): it for it in report.tasks}
        attempts: dict[str, AttemptTracker] = {}
        residents = []
        self.expected = []
        for record in tasks:
            it = reported.get((record.task, record.attempt))
            if it is not None and it.state is not TaskState.RUNNING:
                continue
            known = self.attempts.get(record.task)
            if known is None or known.attempt != record.attempt:
                known = AttemptTracker(record.attempt, saved_at=now)
            tracker = attempts[record.task] = known
            if it is not None:
                self._measure_task(now, report, record, it, tracker, usage)
            resident = make_resident(now, record, tracker, usage)
            self.expected.append(resident)
            if it is not None:
                residents.append(resident)
        self.attempts = attempts
        self.residents = tuple(residents)

    def _reset_if_new(self, report: Report, tasks: Sequence[TaskRecord]) -> None:
        """
        Reset the state if the worker or its incarnation is new.

        An earlier owner may have throttled tasks here by an unknown share.  They are returned to
        their full share, as they would otherwise stay throttled.
        """
        if report.incarnation == self.incarnation:
            return
        self.incarnation = report.incarnation
        self.attempts = {}
        self._sampled = {}
        running = {it.task for it in report.tasks if it.state is TaskState.RUNNING}
        self.to_unthrottle = [it.task for it in tasks if it.task in running and not it.standing]

    def take_new_samples(self, now: float, report: Report) -> Iterator[Sample]:
        """Yield the new samples, with their times on the owner's clock."""
        for it in sorted(report.samples, key=lambda sample: sample.sampled_at):
            # Compared on the worker's clock, as the converted time varies with the report's delay
            # and a repeated sample would count as a newer one.
            if it.sampled_at <= self._sampled.get(it.service, -1):
                continue
            self._sampled[it.service] = it.sampled_at
            self._loads[it.service] = (it.load, now)
            at = convert_to_owner_clock(now, report, it.sampled_at)
            yield Sample(self.name, it.service, at, it.latency_p99, it.load)
        self._loads = {
            name: (load, at)
            for name, (load, at) in self._loads.items()
            if now - at <= SERVICE_SAMPLE_MAX_AGE_S
        }

    def _measure_task(
        self,
        now: float,
        report: Report,
        record: TaskRecord,
        it: TaskReport,
        tracker: AttemptTracker,
        usage: KindUsage,
    ) -> None:
        """Learn from the usage of an attempt, unless it is known or precedes the share in force."""
        if it.checkpoint != tracker.checkpoint:
            tracker.checkpoint, tracker.saved_at = it.checkpoint, now
        if it.sampled_at <= tracker.sampled_at:
            return
        tracker.sampled_at = it.sampled_at
        if (
            convert_to_owner_clock(now, report, it.sampled_at)
            < tracker.changed_at + SETTLING_TIME_S
        ):
            return
        usage.learn(record.kind, record.size.processors, tracker.share, it.processors)
        self._detect_overuse(record, it, tracker)

    def _detect_overuse(self, record: TaskRecord, it: TaskReport, tracker: AttemptTracker) -> None:
        """Bound the share of a task that uses far more than declared, and record an event."""
        # Usage is scaled to the full share, since a throttled task uses less.
        processors = it.processors / tracker.share / max(1, record.size.processors)
        memory = it.memory / max(1, record.size.memory)
        excess = max(processors, memory)
        tracker.excess = tracker.excess + 1 if excess > OVERUSE_RATIO else 0
        if tracker.excess == 0:
            tracker.ceiling = 1.0
        if tracker.excess != OVERUSE_SAMPLES:
            return
        tracker.ceiling = max(MIN_SHARE, min(MAX_OVERUSE_SHARE, 1.0 / excess))
        detail = f"uses {it.processors:.1f} processors and {it.memory} MiB of memory"
        declared = f"declared {record.size.processors} and {record.size.memory}"
        self.pending_events.append(
            PolicyEvent("task.outgrown", record.task, f"{detail}, {declared}")
        )


def convert_to_owner_clock(now: float, report: Report, instant: int) -> float:
    """Convert an instant from the worker's clock (ms) to the owner's (s)."""
    return now - (report.clock - instant) / MS_PER_S


def make_resident(
    now: float, record: TaskRecord, tracker: AttemptTracker, usage: KindUsage
) -> Resident:
    """Return a task as the policy sees it, rounded so that small changes start no new history."""
    unsaved = (now - tracker.saved_at) // UNSAVED_STEP_S * UNSAVED_STEP_S
    processors = round(usage.estimate(record.kind, record.size.processors), 1)
    return Resident(
        record.task,
        record.task,
        record.kind,
        processors,
        tracker.share,
        batch=not record.standing,
        unsaved=0.0 if record.standing else unsaved,
    )
