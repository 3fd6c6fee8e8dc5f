"""
Cost of colocation
==================

Weigh the latency rise of a host's services against the work of its batch tasks.

The cost per minute is the load-weighted sum of the squares of the services' relative rises, times
the weight of latency, less the fraction of the host that batch work uses, times the weight of
throughput.  By the square, one host with a long tail costs more than two with half of it, as in the
p99 over all hosts.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from toucanpin.bundles.schema import Weights
from toucanpin.interference.estimator import Effects
from toucanpin.interference.view import Candidate, HostView, Resident, ServiceLoad

__all__ = ["SHARES", "HostCost", "Summary", "score"]

SHARES = (0.05, 0.1, 0.25, 0.5, 0.75, 1.0)  # to which batch tasks may be throttled
MAX_PASSES = 3


@dataclass(frozen=True, slots=True)
class Summary:
    """Services of a host and their present relative rises, for scores."""

    processors: int
    services: tuple[ServiceLoad, ...]
    rises: tuple[float, ...]


class HostCost:
    """Cost of one host as a function of its residents' shares, in the order of the residents."""

    def __init__(self, effects: Effects, weights: Weights, view: HostView) -> None:
        self._weights = weights
        self._view = view
        self._rises = [list_latency_rises(effects, view, it) for it in view.residents]
        self._work = [it.processors / view.processors if it.batch else 0.0 for it in view.residents]

    def total_cost(self, shares: Sequence[float]) -> float:
        """Return the cost of the host at these shares."""
        return self.latency_cost(shares) - self.work_value(shares)

    def latency_cost(self, shares: Sequence[float]) -> float:
        """Return the cost of the services' latency rises alone."""
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
        """Return whether the net gain of a change exceeds a fraction of what it trades."""
        latency = self.latency_cost(current) - self.latency_cost(chosen)
        work = self.work_value(chosen) - self.work_value(current)
        # With an absolute margin, small tasks would stay throttled permanently.
        return latency + work > margin * (abs(latency) + abs(work))

    def lower_shares(self) -> list[float]:
        """Return the shares of least cost at which no batch task gets more than at present."""
        return self._choose_shares(lambda share, present: share <= present)

    def raise_shares(self) -> list[float]:
        """Return the shares of least cost at which no batch task gets less than at present."""
        return self._choose_shares(lambda share, present: share >= present)

    def _choose_shares(self, allows: Callable[[float, float], bool]) -> list[float]:
        """Return the best allowed shares, by coordinate descent over the batch tasks."""
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
        """Return the best share of one task at fixed others, and update the totals."""
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
        """Return the load-weighted sum of squared rises."""
        services = self._view.services
        return sum(it.load * rise * rise for it, rise in zip(services, rises, strict=True))


def score(effects: Effects, weights: Weights, summary: Summary, task: Candidate) -> float:
    """Return the increase of a host's cost by a task at full share."""
    amount = task.processors / summary.processors
    latency = 0.0
    for it, rise in zip(summary.services, summary.rises, strict=True):
        added = amount * effects.latency_rise(it.service, task.kind, it.load)
        latency += it.load * added * (2.0 * rise + added)
    return weights.latency * latency - weights.throughput * amount


def list_latency_rises(effects: Effects, view: HostView, resident: Resident) -> list[float]:
    """Return the rise of each service of a host by a resident at full share."""
    amount = resident.processors / view.processors
    return [
        amount * effects.latency_rise(it.service, resident.kind, it.load) for it in view.services
    ]
