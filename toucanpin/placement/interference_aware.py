"""
Interference-aware placement
============================

Adapt the policy of `toucanpin.interference` to the placement policy interface: reports become
views and samples, and its actions become limits and evictions.  It does no input or output.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Sequence

from toucanpin.bundles.schema import Bundle, Weights
from toucanpin.interference import (
    Avoid,
    Budget,
    Candidate,
    InterferencePolicy,
    KindUsage,
    Resident,
    SetShare,
    Summary,
    Tuning,
)
from toucanpin.interference import Evict as InterferenceEvict
from toucanpin.placement.policy import Evict, Limit, PolicyAction
from toucanpin.placement.records import CellRow, TaskRecord
from toucanpin.placement.tracking import HostTracker
from toucanpin.platform.ports import Report

__all__ = ["InterferenceAwarePolicy"]


class InterferenceAwarePolicy:
    """
    Policy that places tasks by their cost to colocated services, and throttles or evicts them.

    Workers without measured services are filled tightest first.
    """

    def __init__(self, budget: Budget | None = None, tuning: Tuning | None = None) -> None:
        self._tuning = tuning or Tuning()
        self._learner = InterferencePolicy(Weights(), budget=budget, tuning=self._tuning)
        self._usage = KindUsage()
        self._hosts: dict[str, HostTracker] = {}
        self._summaries: dict[str, Summary] = {}
        self._now = 0.0

    def prepare(self, now: float, bundle: Bundle | None, workers: Collection[str]) -> None:
        """Adopt the weights in force, and forget hosts that are no longer owned."""
        self._now = now
        if bundle is not None:
            self._learner.weights = bundle.weights
        for host in [it for it in self._hosts if it not in workers]:
            del self._hosts[host]
            self._summaries.pop(host, None)
            self._learner.forget_host(host)

    def choose(
        self, task: TaskRecord, workers: Sequence[str], cell: CellRow, waited: float
    ) -> str | None:
        """Return the worker whose cost the task raises least, None if the task should wait."""
        if not workers:
            return None
        candidate = Candidate(task.kind, self._estimate(task))
        preferred = [it for it in workers if not self._is_avoided(it)]
        # Standing and urgent tasks never wait; the others wait for a limited time.
        waits = not (task.standing or task.urgent or waited >= self._tuning.max_wait)
        if waits and not preferred:
            return None
        allowed = preferred or workers
        if not any(self._is_measured(it) for it in allowed):
            return allowed[0]
        scores = {it: self._score(it, candidate) for it in allowed}
        best = min(scores, key=lambda name: scores[name])
        harmful = self._is_measured(best) and not self._learner.accepts(scores[best], waited)
        if waits and harmful:
            return None
        self._add_expected(best, task, candidate)
        return best

    def observe(self, now: float, report: Report, tasks: Sequence[TaskRecord]) -> None:
        """Learn the running tasks, their usage and the service samples of a report."""
        tracker = self._hosts.get(report.worker)
        if tracker is None:
            tracker = self._hosts[report.worker] = HostTracker(report.worker)
        tracker.update_from_report(now, report, tasks, self._usage)
        samples = list(tracker.take_new_samples(now, report))
        tracker.measured = tracker.measured or bool(samples)
        view = tracker.view()
        self._learner.observe(now, view)
        self._learner.measure(now, view, samples)
        self._summaries.pop(report.worker, None)

    def decide(self, now: float, cell: CellRow) -> tuple[PolicyAction, ...]:
        """Return the actions that follow from the reports since the last call."""
        actions: list[PolicyAction] = []
        for name in cell.workers:
            tracker = self._hosts.get(name)
            if tracker is not None and tracker.changed:
                tracker.changed = False
                actions.extend(self._decide_host(now, tracker))
        return tuple(actions)

    def _decide_host(self, now: float, tracker: HostTracker) -> Iterator[PolicyAction]:
        """Yield the actions for one host."""
        yield from (Limit(task, 1.0) for task in tracker.to_unthrottle)
        yield from tracker.pending_events
        tracker.to_unthrottle, tracker.pending_events = [], []
        # Without a new sample the decision would not change, and it is half of a report's cost.
        actions = list(self._learner.decide(now, tracker.view())) if tracker.measured else []
        tracker.measured = False
        for action in actions:
            match action:
                case Avoid(_, until):
                    tracker.avoided_until = until
                case SetShare(task, share):
                    yield from self._limit(now, tracker, task, share)
                case InterferenceEvict(task):
                    yield Evict(task)
        for it in tracker.residents:
            if it.batch:
                yield from self._limit(now, tracker, it.task)

    def _limit(
        self, now: float, tracker: HostTracker, task: str, share: float | None = None
    ) -> Iterator[Limit]:
        """Yield the limit of a task, bounded by its ceiling, unless it is already in force."""
        known = tracker.attempts.get(task)
        if known is None:
            return
        known.requested = known.requested if share is None else share
        bounded = min(known.requested, known.ceiling)
        if bounded != known.share:
            known.share, known.changed_at = bounded, now
            yield Limit(task, bounded)

    def _estimate(self, task: TaskRecord) -> float:
        """Return how many processors a task is expected to use."""
        return self._usage.estimate(task.kind, task.size.processors)

    def _is_avoided(self, worker: str) -> bool:
        """Return whether placement on a host is suspended at present."""
        tracker = self._hosts.get(worker)
        return tracker is not None and self._now < tracker.avoided_until

    def _is_measured(self, worker: str) -> bool:
        """Return whether a host has recent samples of services."""
        tracker = self._hosts.get(worker)
        return tracker is not None and bool(tracker.services())

    def _score(self, worker: str, candidate: Candidate) -> float:
        """Return the increase of a host's cost by a task."""
        tracker = self._hosts.get(worker)
        if tracker is None or not tracker.services():
            size = tracker.processors if tracker is not None else candidate.processors
            return -self._learner.weights.throughput * candidate.processors / max(1.0, size)
        if worker not in self._summaries:
            self._summaries[worker] = self._learner.summarize(tracker.expected_view())
        return self._learner.score_summary(self._summaries[worker], candidate)

    def _add_expected(self, worker: str, task: TaskRecord, candidate: Candidate) -> None:
        """Add a placed task at once, so that the tasks of a turn spread over the hosts."""
        tracker = self._hosts.get(worker)
        if tracker is None:
            return
        processors = candidate.processors
        batch = not task.standing
        tracker.expected.append(Resident(task.task, task.task, task.kind, processors, batch=batch))
        self._summaries.pop(worker, None)
