"""
Cost of a host's mix
====================

Weighs, for one host, the rise of its services' tails against the work that its batch tasks do.

The cost, by the minute, is the load-weighted square of each service's relative rise, times the
weight of latency, less the share of the host that batch work uses, times the weight of throughput.
The square makes one host with a long tail dearer than two with half of it, as the p99 over all
hosts does.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from toucanpin.bundles.schema import Weights
from toucanpin.interference.estimator import Effects
from toucanpin.interference.view import Candidate, HostView, Resident, ServiceLoad

__all__ = ["SHARES", "HostCost", "Summary", "score"]

SHARES = (0.05, 0.1, 0.25, 0.5, 0.75, 1.0)
MAX_PASSES = 3


@dataclass(frozen=True, slots=True)
class Summary:
    """Sum up a host for scores: its services and the relative rise of each as it stands."""

    processors: int
    services: tuple[ServiceLoad, ...]
    rises: tuple[float, ...]


class HostCost:
    """Price the shares of the residents of one host; shares stand in the order of residents."""

    def __init__(self, effects: Effects, weights: Weights, view: HostView) -> None:
        self._weights = weights
        self._view = view
        self._rises = [list_latency_rises(effects, view, it) for it in view.residents]
        self._work = [it.processors / view.processors if it.batch else 0.0 for it in view.residents]

    def total_cost(self, shares: Sequence[float]) -> float:
        """Return the cost of the host if the residents had these shares."""
        return self.latency_cost(shares) - self.work_value(shares)

    def latency_cost(self, shares: Sequence[float]) -> float:
        """Return the cost of the services' tails alone."""
        return self._weights.latency * self._sum_weighted_squares(self.sum_rises(shares))

    def work_value(self, shares: Sequence[float]) -> float:
        """Return the value of the batch work alone."""
        work = sum(share * work for share, work in zip(shares, self._work, strict=True))
        return self._weights.throughput * work

    def sum_rises(self, shares: Sequence[float]) -> list[float]:
        """Return the relative rise of each service."""
        totals = [0.0] * len(self._view.services)
        for share, rises in zip(shares, self._rises, strict=True):
            for service, rise in enumerate(rises):
                totals[service] += share * rise
        return totals

    def is_worthwhile(
        self, current: Sequence[float], chosen: Sequence[float], margin: float
    ) -> bool:
        """Tell whether a change gains more than a part, the margin, of what it trades."""
        latency = self.latency_cost(current) - self.latency_cost(chosen)
        work = self.work_value(chosen) - self.work_value(current)
        # Relative to what is traded: a fixed margin would leave small tasks throttled for good.
        return latency + work > margin * (abs(latency) + abs(work))

    def lower_shares(self) -> list[float]:
        """Choose the shares of the batch tasks that cost least, none above its present one."""
        return self._choose_shares(lambda share, present: share <= present)

    def raise_shares(self) -> list[float]:
        """Choose the shares of the batch tasks that cost least, none below its present one."""
        return self._choose_shares(lambda share, present: share >= present)

    def _choose_shares(self, allows: Callable[[float, float], bool]) -> list[float]:
        """Choose allowed shares, one task after the other, until none changes."""
        residents = self._view.residents
        shares = [it.share for it in residents]
        steps = [[step for step in SHARES if allows(step, it.share)] for it in residents]
        totals = self.sum_rises(shares)
        for _ in range(MAX_PASSES):
            before = list(shares)
            for index, it in enumerate(residents):
                if it.batch and steps[index]:
                    shares[index] = self._choose_share(index, shares[index], steps[index], totals)
            if shares == before:
                break
        return shares

    def _choose_share(
        self, index: int, share: float, steps: Sequence[float], totals: list[float]
    ) -> float:
        """Choose the share of one task while the others keep theirs, and correct the totals."""
        rises = self._rises[index]
        square = 0.0
        slope = 0.0
        for it, total, rise in zip(self._view.services, totals, rises, strict=True):
            square += it.load * rise * rise
            slope += 2.0 * it.load * rise * (total - share * rise)
        square *= self._weights.latency
        slope = self._weights.latency * slope - self._weights.throughput * self._work[index]
        chosen = min(steps, key=lambda it: (square * it + slope) * it)
        for service, rise in enumerate(rises):
            totals[service] += (chosen - share) * rise
        return chosen

    def _sum_weighted_squares(self, rises: Sequence[float]) -> float:
        """Return the load-weighted sum of squares."""
        services = self._view.services
        return sum(it.load * rise * rise for it, rise in zip(services, rises, strict=True))


def score(effects: Effects, weights: Weights, summary: Summary, task: Candidate) -> float:
    """Return what a task at full share would add to the cost of a host."""
    amount = task.processors / summary.processors
    latency = 0.0
    for it, rise in zip(summary.services, summary.rises, strict=True):
        added = amount * effects.latency_rise(it.service, task.kind, it.load)
        latency += it.load * added * (2.0 * rise + added)
    return weights.latency * latency - weights.throughput * amount


def list_latency_rises(effects: Effects, view: HostView, resident: Resident) -> list[float]:
    """Return the rise that a resident at full share causes to each service of its host."""
    amount = resident.processors / view.processors
    return [
        amount * effects.latency_rise(it.service, resident.kind, it.load) for it in view.services
    ]
