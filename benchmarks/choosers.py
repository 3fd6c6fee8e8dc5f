"""
Choosers of the policy benchmark
================================

Rules that ignore interference, the policy under test, and the same policy with the true table in
place of its estimates.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from benchmarks.pair_tables import (
    BATCH_SIZE,
    MS_PER_S,
    PROCESSORS,
    FakeWorker,
    Job,
    PairTable,
    idle_latency_factor,
)
from toucanpin.bundles.schema import Weights
from toucanpin.interference import (
    Action,
    Budget,
    Candidate,
    Evict,
    HostView,
    InterferencePolicy,
    KindUsage,
    Resident,
    Sample,
    ServiceLoad,
    Summary,
    Tuning,
)
from toucanpin.platform.ports import Report, UsageSample

__all__ = ["CHOOSERS", "REPORT_LAG_S", "Chooser", "WorkerState"]

REPORT_LAG_S = 10
MAX_LATENCY_RISE = 1.0  # relative to the latency without neighbours
NO_SETTLING_TIME = float("-inf")


@dataclass(slots=True)
class WorkerState:
    """The owner's state of one worker."""

    worker: FakeWorker
    index: int
    residents: dict[str, Resident] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    loads: dict[str, float] = field(default_factory=dict)
    latencies: dict[str, float] = field(default_factory=dict)
    pending_samples: tuple[UsageSample, ...] = ()
    avoided_until: float = 0.0
    free: int = BATCH_SIZE.processors

    def view(self) -> HostView:
        """Return the view on which decisions are based."""
        loads = tuple(ServiceLoad(it, self.loads.get(it, 0.5)) for it in self.worker.services)
        return HostView(self.worker.name, PROCESSORS, loads, tuple(self.residents.values()))


class Chooser(Protocol):
    """Interface of choosers, which place jobs and act on workers."""

    def choose(
        self, now: int, states: list[WorkerState], job: Job, waited: float
    ) -> WorkerState | None:
        """Return the worker for a job that waited ``waited`` seconds, None to let it wait."""
        ...

    def estimate_use(self, job: Job) -> float:
        """Return the estimated processors that a job uses."""
        ...

    def process_report(self, now: int, state: WorkerState, report: Report) -> Iterator[Action]:
        """Process a report and yield actions."""
        ...

    def record_residents(self, now: int, state: WorkerState) -> None:
        """Record changed residents."""
        ...


class RuleChooser:
    """Chooser by a fixed rule that ignores interference."""

    def __init__(self, key: Callable[[WorkerState], float], pause: int | None = None) -> None:
        self._key = key
        self._pause = pause
        self._evicted_at: dict[str, int] = {}

    def choose(
        self, now: int, states: list[WorkerState], job: Job, waited: float
    ) -> WorkerState | None:
        """Return the fitting worker with the lowest key."""
        fitting = (it for it in states if it.free >= job.processors)
        return min(fitting, key=self._key, default=None)

    def estimate_use(self, job: Job) -> float:
        """Return the declared processors."""
        return job.processors

    def process_report(self, now: int, state: WorkerState, report: Report) -> Iterator[Action]:
        """Evict the largest task if a measured tail exceeds the limit, unless disabled."""
        table = state.worker.table
        if self._pause is None or not state.residents:
            return
        last = self._evicted_at.get(state.worker.name)
        if last is not None and now < last + self._pause:
            return
        for service, latency in state.latencies.items():
            idle_latency = table.idle_latency[service] * idle_latency_factor(state.loads[service])
            if latency / idle_latency - 1.0 > MAX_LATENCY_RISE:
                self._evicted_at[state.worker.name] = now
                yield Evict(max(state.residents.values(), key=lambda it: it.processors).task)
                return

    def record_residents(self, now: int, state: WorkerState) -> None:
        """Do nothing; the rules use no history."""


class PolicyChooser:
    """Chooser by the policy under test, or by the same policy with the true table."""

    def __init__(
        self,
        table: PairTable,
        weights: Weights,
        settling_time: float = Tuning().settling_time,
        is_oracle: bool = False,
    ) -> None:
        self._table = table
        self._is_oracle = is_oracle
        self._usage = KindUsage()
        self._summaries: dict[str, Summary] = {}
        self._summed_at = -1
        tuning = Tuning(settling_time=settling_time)
        self.policy = InterferencePolicy(
            weights, TrueEffects(table) if is_oracle else None, Budget(), tuning
        )

    def choose(
        self, now: int, states: list[WorkerState], job: Job, waited: float
    ) -> WorkerState | None:
        """Return the worker whose cost the job raises least, unless the policy rejects it."""
        task = Candidate(job.kind, self.estimate_use(job))
        best, lowest_score = None, float("inf")
        for state in states:
            if state.free < job.processors or now < state.avoided_until:
                continue
            score = self.policy.score_summary(self._summarize(now, state), task)
            if score < lowest_score:
                best, lowest_score = state, score
        return best if self.policy.accepts(lowest_score, waited) else None

    def estimate_use(self, job: Job) -> float:
        """Return the true or the learned use."""
        if self._is_oracle:
            return job.processors * self._table.use[job.kind]
        return self._usage.estimate(job.kind, job.processors)

    def process_report(self, now: int, state: WorkerState, report: Report) -> Iterator[Action]:
        """Learn from a report and yield the policy's actions."""
        for task in report.tasks:
            resident = state.residents.get(task.task)
            if resident is not None:
                job = state.jobs[task.task]
                self._usage.learn(job.kind, job.processors, resident.share, task.processors)
        if self._is_oracle:
            state.loads = {it: state.worker.load(it) for it in state.worker.services}
        view = state.view()
        samples = [
            Sample(view.host, it.service, it.sampled_at / MS_PER_S, it.latency_p99, it.load)
            for it in report.samples
        ]
        self.policy.observe(now, view)
        self.policy.measure(now, view, samples)
        yield from self.policy.decide(now, view)

    def _summarize(self, now: int, state: WorkerState) -> Summary:
        """Return the summary of a worker, cached for one second unless it changes."""
        if self._summed_at != now:
            self._summed_at = now
            self._summaries.clear()
        name = state.worker.name
        if name not in self._summaries:
            self._summaries[name] = self.policy.summarize(state.view())
        return self._summaries[name]

    def record_residents(self, now: int, state: WorkerState) -> None:
        """Record the residents."""
        self._summaries.pop(state.worker.name, None)
        self.policy.observe(now, state.view())


@dataclass(frozen=True, slots=True)
class TrueEffects:
    """Effects read from the true table."""

    table: PairTable

    def latency_rise(self, service: str, kind: str, load: float) -> float:
        """Return the true rise of latency."""
        return self.table.true_rise(service, kind, load)

    def baseline_latency(self, service: str, load: float) -> float | None:
        """Return the true p99 without neighbours."""
        return self.table.idle_latency[service] * idle_latency_factor(load)


CHOOSERS: dict[str, Callable[[PairTable, Weights], Chooser]] = {
    "first-fit": lambda table, weights: RuleChooser(lambda state: state.index),
    "spreading": lambda table, weights: RuleChooser(lambda state: -state.free),
    "best-fit": lambda table, weights: RuleChooser(lambda state: state.free),
    "evict-only": lambda table, weights: RuleChooser(lambda state: -state.free, pause=0),
    "evict-pausing": lambda table, weights: RuleChooser(
        lambda state: -state.free, pause=2 * REPORT_LAG_S
    ),
    "toucanpin": lambda table, weights: PolicyChooser(table, weights),
    "hasty": lambda table, weights: PolicyChooser(table, weights, settling_time=NO_SETTLING_TIME),
    "knowing": lambda table, weights: PolicyChooser(
        table, weights, settling_time=0.0, is_oracle=True
    ),
}
