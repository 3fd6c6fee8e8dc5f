"""
Policy of interference
======================

Learns from late samples and answers two questions: what would a task cost here, and what has to be
done about a host.  Times are seconds of the owner's clock.
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
    """Give the measured p99 of a service on a host at a past instant, in milliseconds."""

    host: str
    service: str
    sampled_at: float
    latency: float
    load: float


@dataclass(frozen=True, slots=True)
class Avoid:
    """Place nothing more on a host until an instant."""

    host: str
    until: float


@dataclass(frozen=True, slots=True)
class SetShare:
    """Throttle a task to a share, or give it back."""

    task: str
    share: float


@dataclass(frozen=True, slots=True)
class Evict:
    """Checkpoint and stop a task, and queue it again."""

    task: str


Action = Avoid | SetShare | Evict


@dataclass(frozen=True, slots=True)
class Tuning:
    """
    Set how readily the policy acts.

    ``lower_margin`` and ``raise_margin`` are the part of what a change of shares trades that it
    must gain.  ``settle`` is how many seconds after an action a sample has to be taken to show it.
    ``evict_share`` and ``patience`` (seconds) say below which share and after how long a task is
    worth moving, ``horizon`` for how many minutes a move pays, ``elsewhere`` which share the task
    is expected to get there.  After ``max_wait`` seconds a task takes the best host there is.
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
    """Remember of one host who was there, what was measured and what was done."""

    history: CoResidents = field(default_factory=CoResidents)
    newest_sample_at: float = float("-inf")
    last_sampled: dict[str, float] = field(default_factory=dict)
    acted_at: float = float("-inf")
    low_since: dict[str, float] = field(default_factory=dict)


class InterferencePolicy:
    """Decide about interference on the hosts of one owner."""

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
        """Note who is on a host from now on; call it for each change and each report."""
        state = self._hosts.setdefault(view.host, HostState())
        state.history.record(now, view.residents)
        low = {it.task for it in view.residents if it.share <= self._tuning.evict_share}
        kept = {task: since for task, since in state.low_since.items() if task in low}
        state.low_since = {task: kept.get(task, now) for task in low}

    def measure(self, now: float, view: HostView, samples: Iterable[Sample]) -> None:
        """Learn from samples of a host; one that came before, or too late, is left out."""
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
        Return what a task would add to the cost of a host, by the minute.

        The host with the lowest score is best; above zero the task does more harm than good.
        """
        return self.score_summary(self.summarize(view), task)

    def summarize(self, view: HostView) -> Summary:
        """Sum up a host once for the scores of many tasks."""
        shares = [it.share for it in view.residents]
        rises = self._host_cost(view).sum_rises(shares)
        return Summary(view.processors, view.services, tuple(rises))

    def score_summary(self, summary: Summary, task: Candidate) -> float:
        """Return the score of a task on a host that was summed up before."""
        return score(self._effects, self.weights, summary, task)

    def accepts(self, score: float, waited: float) -> bool:
        """Tell whether a task that waited so many seconds is placed at this score."""
        # A kind that harms everywhere would never start; throttling bounds what it does.
        return score < 0.0 or (waited >= self._tuning.max_wait and score < float("inf"))

    def decide(self, now: float, view: HostView) -> Iterator[Action]:
        """Yield what has to be done about a host now, in rising order."""
        state = self._hosts.setdefault(view.host, HostState())
        # The samples at hand are older than the last action.  Acting on them again would answer the
        # same rise twice, then its absence twice: shares swing and tasks are evicted for nothing.
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
        """Forget a host that is gone or has another owner."""
        self._hosts.pop(host, None)

    def _host_cost(self, view: HostView) -> HostCost:
        """Price a host with what is known of it."""
        return HostCost(self._effects, self.weights, view)

    def _change_shares(self, cost: HostCost, view: HostView) -> Iterator[SetShare]:
        """Yield the changes of shares that are worth it; a rise goes one step at a time."""
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
        """Choose the task whose move gains most, None if no move is worth its cost."""
        best = None
        best_gain = 0.0
        for index, it in enumerate(view.residents):
            since = state.low_since.get(it.task, now)
            if not it.batch or now - since < self._tuning.eviction_delay:
                continue
            gain = self._move_gain(cost, view, index)
            if gain > best_gain and self._budget.allows(now, it.job):
                best, best_gain = it, gain
        return best

    def _move_gain(self, cost: HostCost, view: HostView, index: int) -> float:
        """Return what the move of one task gains over the horizon, less its cost."""
        it = view.residents[index]
        shares = [other.share for other in view.residents]
        without = [*shares[:index], 0.0, *shares[index + 1 :]]
        own_cost = cost.total_cost(shares) - cost.total_cost(without)
        work = self._tuning.expected_share * it.processors / view.processors
        gain = (own_cost + self.weights.throughput * work) * self._tuning.horizon_minutes
        return gain - self.weights.evictions * (1.0 + it.unsaved / 60.0)


def lowers_share(change: SetShare, view: HostView) -> bool:
    """Tell whether a change takes share from a task."""
    return any(it.task == change.task and change.share < it.share for it in view.residents)


def next_step(present: float, chosen: float) -> float:
    """Return the next step from a share towards a higher one."""
    return present if chosen == present else next(step for step in SHARES if step > present)


def list_share_changes(view: HostView, shares: Iterable[float]) -> Iterator[SetShare]:
    """Yield the shares that differ from the present ones."""
    for it, share in zip(view.residents, shares, strict=True):
        if share != it.share:
            yield SetShare(it.task, share)
