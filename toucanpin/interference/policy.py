"""
Interference policy
===================

Learn from delayed samples, score the placement of a task on a host and decide on throttling and
evictions.  Times are in seconds of the owner's clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from toucanpin.bundles.schema import Weights
from toucanpin.interference.budget import Budget, EvictionBudget
from toucanpin.interference.cost import SHARES, HostCost, Summary, score
from toucanpin.interference.estimator import Effects, PairEstimator, sum_amounts
from toucanpin.interference.history import CoResidents
from toucanpin.interference.view import Candidate, HostView, Resident

__all__ = ["Action", "Avoid", "Evict", "InterferencePolicy", "Sample", "SetShare", "Tuning"]


@dataclass(frozen=True, slots=True)
class Sample:
    """Past measurement of a service on a host: its p99 in milliseconds, and its load."""

    host: str
    service: str
    sampled_at: float
    latency: float
    load: float


@dataclass(frozen=True, slots=True)
class Avoid:
    """Place no task on a host until a given time."""

    host: str
    until: float


@dataclass(frozen=True, slots=True)
class SetShare:
    """Throttle a task to a share, or raise its share again."""

    task: str
    share: float


@dataclass(frozen=True, slots=True)
class Evict:
    """Checkpoint and stop a task, and return it to the queue."""

    task: str


Action = Avoid | SetShare | Evict


@dataclass(frozen=True, slots=True)
class Tuning:
    """
    Thresholds of the policy.

    Attributes
    ----------
    lower_margin, raise_margin
        Net gain that a change of shares must exceed, as a fraction of the latency cost and work
        that it trades.
    settling_time
        Seconds after an action from which samples show its effect.
    evict_share
        Highest share at which a task may be evicted.
    eviction_delay
        Seconds for which a task must have had such a share before it is evicted, and for which a
        host is avoided after throttling.
    horizon_minutes
        Minutes over which the gain of a move is counted.
    expected_share
        Share that an evicted task is expected to get on its next host.
    max_wait
        Seconds after which a queued task is placed on the best host regardless of its score.
    """

    lower_margin: float = 0.6
    raise_margin: float = 0.2
    settling_time: float = 2.0
    evict_share: float = 0.25
    eviction_delay: float = 60.0
    horizon_minutes: float = 5.0
    expected_share: float = 0.7
    max_wait: float = 300.0


@dataclass(slots=True)
class HostState:
    """Residents, samples and actions of one host."""

    history: CoResidents = field(default_factory=CoResidents)
    newest_sample_at: float = float("-inf")
    last_sampled: dict[str, float] = field(default_factory=dict)
    acted_at: float = float("-inf")
    low_share_since: dict[str, float] = field(default_factory=dict)


class InterferencePolicy:
    """Interference policy for the hosts of one owner."""

    def __init__(
        self,
        weights: Weights,
        effects: Effects | None = None,
        budget: Budget | None = None,
        tuning: Tuning | None = None,
    ) -> None:
        self.weights = weights
        self.estimator = PairEstimator()
        self._effects = effects or self.estimator
        self._budget = EvictionBudget(budget)
        self._tuning = tuning or Tuning()
        self._hosts: dict[str, HostState] = {}

    def observe(self, now: float, view: HostView) -> None:
        """Record the residents of a host; call it for each change and each report."""
        state = self._hosts.setdefault(view.host, HostState())
        state.history.record(now, view.residents)
        low = {it.task for it in view.residents if it.share <= self._tuning.evict_share}
        kept = {task: since for task, since in state.low_share_since.items() if task in low}
        state.low_share_since = {task: kept.get(task, now) for task in low}

    def measure(self, now: float, view: HostView, samples: Iterable[Sample]) -> None:
        """Learn from samples of a host, except duplicates and those older than its history."""
        state = self._hosts.setdefault(view.host, HostState())
        for sample in samples:
            if sample.sampled_at <= state.last_sampled.get(sample.service, float("-inf")):
                continue
            state.last_sampled[sample.service] = sample.sampled_at
            state.newest_sample_at = max(state.newest_sample_at, sample.sampled_at)
            residents = state.history.find(sample.sampled_at)
            if residents is not None:
                amounts = sum_amounts(residents, view.processors)
                self.estimator.learn(now, sample.service, sample.latency, sample.load, amounts)

    def score(self, view: HostView, task: Candidate) -> float:
        """
        Return the increase of a host's cost per minute by a task.

        The host with the lowest score is best; at a positive score the latency cost exceeds the
        value of the work.
        """
        return self.score_summary(self.summarize(view), task)

    def summarize(self, view: HostView) -> Summary:
        """Return the summary of a host, for the scores of many tasks."""
        shares = [it.share for it in view.residents]
        rises = self._host_cost(view).sum_rises(shares)
        return Summary(view.processors, view.services, tuple(rises))

    def score_summary(self, summary: Summary, task: Candidate) -> float:
        """Return the score of a task on a host from its summary."""
        return score(self._effects, self.weights, summary, task)

    def accepts(self, score: float, waited: float) -> bool:
        """Return whether a task with this score is placed after waiting ``waited`` seconds."""
        # Without the limit, a kind that interferes on all hosts would never start.  Throttling
        # bounds its effect.
        return score < 0.0 or (waited >= self._tuning.max_wait and score < float("inf"))

    def decide(self, now: float, view: HostView) -> Iterator[Action]:
        """Yield the actions for a host, the mildest first."""
        state = self._hosts.setdefault(view.host, HostState())
        # Samples from before the last action don't show its effect.  Acting on them again would
        # make shares oscillate and evict tasks without need.
        if state.newest_sample_at < state.acted_at + self._tuning.settling_time:
            return
        cost = self._host_cost(view)
        changes = list(self._change_shares(cost, view))
        if changes:
            state.acted_at = now
            if any(lowers_share(change, view) for change in changes):
                yield Avoid(view.host, now + self._tuning.eviction_delay)
            yield from changes
            return
        evicted = self._choose_eviction(now, cost, view, state)
        if evicted is not None:
            state.acted_at = now
            self._budget.spend(now, evicted.job)
            yield Evict(evicted.task)

    def forget_host(self, host: str) -> None:
        """Drop the state of a host that was removed or has another owner."""
        self._hosts.pop(host, None)

    def _host_cost(self, view: HostView) -> HostCost:
        """Return the cost model of a host."""
        return HostCost(self._effects, self.weights, view)

    def _change_shares(self, cost: HostCost, view: HostView) -> Iterator[SetShare]:
        """Yield the worthwhile changes of shares; shares are raised one step at a time."""
        current = [it.share for it in view.residents]
        lower = cost.lower_shares()
        if cost.is_worthwhile(current, lower, self._tuning.lower_margin):
            yield from list_share_changes(view, lower)
            return
        higher = cost.raise_shares()
        if cost.is_worthwhile(current, higher, self._tuning.raise_margin):
            steps = [next_step(now, then) for now, then in zip(current, higher, strict=True)]
            yield from list_share_changes(view, steps)

    def _choose_eviction(
        self, now: float, cost: HostCost, view: HostView, state: HostState
    ) -> Resident | None:
        """Return the task whose move gains most, None if no move is worth its cost."""
        best = None
        best_gain = 0.0
        for index, it in enumerate(view.residents):
            since = state.low_share_since.get(it.task, now)
            if not it.batch or now - since < self._tuning.eviction_delay:
                continue
            gain = self._move_gain(cost, view, index)
            if gain > best_gain and self._budget.allows(now, it.job):
                best, best_gain = it, gain
        return best

    def _move_gain(self, cost: HostCost, view: HostView, index: int) -> float:
        """Return the gain of moving one task over the horizon, less the cost of the eviction."""
        it = view.residents[index]
        shares = [other.share for other in view.residents]
        without = [*shares[:index], 0.0, *shares[index + 1 :]]
        own_cost = cost.total_cost(shares) - cost.total_cost(without)
        work = self._tuning.expected_share * it.processors / view.processors
        gain = (own_cost + self.weights.throughput * work) * self._tuning.horizon_minutes
        return gain - self.weights.evictions * (1.0 + it.unsaved / 60.0)


def lowers_share(change: SetShare, view: HostView) -> bool:
    """Return whether a change lowers the share of a task."""
    return any(it.task == change.task and change.share < it.share for it in view.residents)


def next_step(present: float, chosen: float) -> float:
    """Return the next step from the present share towards the chosen one."""
    return present if chosen == present else next(step for step in SHARES if step > present)


def list_share_changes(view: HostView, shares: Iterable[float]) -> Iterator[SetShare]:
    """Yield a change for each share that differs from the present one."""
    for it, share in zip(view.residents, shares, strict=True):
        if share != it.share:
            yield SetShare(it.task, share)
