"""
Choosers that the benchmark of the policy compares
==================================================

Rules that know nothing of interference, the policy under test, and the same policy with the true
table in place of its estimates.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from benchmarks.pair_tables import (
    BATCH,
    MILLISECONDS,
    PROCESSORS,
    FakeWorker,
    Job,
    PairTable,
    quiet_factor,
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

__all__ = ["CHOOSERS", "LAG", "Chooser", "Place"]

LAG = 10
EVICT_ABOVE = 1.0
HASTY = float("-inf")


@dataclass(slots=True)
class Place:
    """Hold what the owner knows of one worker."""

    worker: FakeWorker
    index: int
    residents: dict[str, Resident] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    loads: dict[str, float] = field(default_factory=dict)
    latencies: dict[str, float] = field(default_factory=dict)
    unread: tuple[UsageSample, ...] = ()
    avoided_until: float = 0.0
    free: int = BATCH.processors

    def view(self) -> HostView:
        """Return the view that decisions get."""
        loads = tuple(ServiceLoad(it, self.loads.get(it, 0.5)) for it in self.worker.services)
        return HostView(self.worker.name, PROCESSORS, loads, tuple(self.residents.values()))


class Chooser(Protocol):
    """Choose places for jobs and act on hosts."""

    def choose(self, now: int, places: list[Place], job: Job, waited: float) -> Place | None:
        """Return the place for a job that waited so many seconds, None to let it wait."""
        ...

    def use(self, job: Job) -> float:
        """Return the processors that a job is thought to use."""
        ...

    def take(self, now: int, place: Place, report: Report) -> Iterator[Action]:
        """Take a report and yield actions."""
        ...

    def note(self, now: int, place: Place) -> None:
        """Take note of changed residents."""
        ...


class Plain:
    """Place by a rule that knows nothing of interference."""

    def __init__(self, key: Callable[[Place], float], pause: int | None = None) -> None:
        self._key = key
        self._pause = pause
        self._evicted_at: dict[str, int] = {}

    def choose(self, now: int, places: list[Place], job: Job, waited: float) -> Place | None:
        """Return the fitting place with the lowest key."""
        fitting = (it for it in places if it.free >= job.processors)
        return min(fitting, key=self._key, default=None)

    def use(self, job: Job) -> float:
        """Believe the declaration."""
        return job.processors

    def take(self, now: int, place: Place, report: Report) -> Iterator[Action]:
        """Evict the largest task when a measured tail is over the limit, if it evicts at all."""
        table = place.worker.table
        if self._pause is None or not place.residents:
            return
        last = self._evicted_at.get(place.worker.name)
        if last is not None and now < last + self._pause:
            return
        for service, latency in place.latencies.items():
            quiet = table.quiet[service] * quiet_factor(place.loads[service])
            if latency / quiet - 1.0 > EVICT_ABOVE:
                self._evicted_at[place.worker.name] = now
                yield Evict(max(place.residents.values(), key=lambda it: it.processors).task)
                return

    def note(self, now: int, place: Place) -> None:
        """Take no note."""


class Learning:
    """Place and act by the policy under test, or by the same policy with the true table."""

    def __init__(
        self,
        table: PairTable,
        weights: Weights,
        settle: float = Tuning().settling_time,
        knows: bool = False,
    ) -> None:
        self._table = table
        self._knows = knows
        self._usage = KindUsage()
        self._summaries: dict[str, Summary] = {}
        self._summed_at = -1
        tuning = Tuning(settling_time=settle)
        self.policy = InterferencePolicy(
            weights, TrueEffects(table) if knows else None, Budget(), tuning
        )

    def choose(self, now: int, places: list[Place], job: Job, waited: float) -> Place | None:
        """Return the place to whose cost the job adds least, unless it harms everywhere."""
        task = Candidate(job.kind, self.use(job))
        best, lowest = None, float("inf")
        for place in places:
            if place.free < job.processors or now < place.avoided_until:
                continue
            score = self.policy.score_summary(self._summarize(now, place), task)
            if score < lowest:
                best, lowest = place, score
        return best if self.policy.accepts(lowest, waited) else None

    def use(self, job: Job) -> float:
        """Return the true or the learned use."""
        if self._knows:
            return job.processors * self._table.use[job.kind]
        return self._usage.estimate(job.kind, job.processors)

    def take(self, now: int, place: Place, report: Report) -> Iterator[Action]:
        """Learn from a report and decide."""
        for task in report.tasks:
            resident = place.residents.get(task.task)
            if resident is not None:
                job = place.jobs[task.task]
                self._usage.learn(job.kind, job.processors, resident.share, task.processors)
        if self._knows:
            place.loads = {it: place.worker.load(it) for it in place.worker.services}
        view = place.view()
        samples = [
            Sample(view.host, it.service, it.sampled_at / MILLISECONDS, it.latency_p99, it.load)
            for it in report.samples
        ]
        self.policy.observe(now, view)
        self.policy.measure(now, view, samples)
        yield from self.policy.decide(now, view)

    def _summarize(self, now: int, place: Place) -> Summary:
        """Sum up a place once in a second and after each change."""
        if self._summed_at != now:
            self._summed_at = now
            self._summaries.clear()
        name = place.worker.name
        if name not in self._summaries:
            self._summaries[name] = self.policy.summarize(place.view())
        return self._summaries[name]

    def note(self, now: int, place: Place) -> None:
        """Record the residents."""
        self._summaries.pop(place.worker.name, None)
        self.policy.observe(now, place.view())


@dataclass(frozen=True, slots=True)
class TrueEffects:
    """Know the true table at every instant."""

    table: PairTable

    def latency_rise(self, service: str, kind: str, load: float) -> float:
        """Return the true rise."""
        return self.table.true_rise(service, kind, load)

    def baseline_latency(self, service: str, load: float) -> float | None:
        """Return the true quiet p99."""
        return self.table.quiet[service] * quiet_factor(load)


CHOOSERS: dict[str, Callable[[PairTable, Weights], Chooser]] = {
    "first-fit": lambda table, weights: Plain(lambda place: place.index),
    "spreading": lambda table, weights: Plain(lambda place: -place.free),
    "best-fit": lambda table, weights: Plain(lambda place: place.free),
    "evict-only": lambda table, weights: Plain(lambda place: -place.free, pause=0),
    "evict-pausing": lambda table, weights: Plain(lambda place: -place.free, pause=2 * LAG),
    "toucanpin": lambda table, weights: Learning(table, weights),
    "hasty": lambda table, weights: Learning(table, weights, settle=HASTY),
    "knowing": lambda table, weights: Learning(table, weights, settle=0.0, knows=True),
}
