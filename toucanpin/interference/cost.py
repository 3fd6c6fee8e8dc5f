"""
Cost of a host's mix
====================

Weighs, for one host, the rise of its services' tails against the work that its batch tasks do.
"""

from __future__ import annotations

from collections.abc import Sequence

from toucanpin.bundles.schema import Weights
from toucanpin.interference.estimator import Effects
from toucanpin.interference.view import HostView, Resident

__all__ = ["HostCost", "SHARES", "choose_shares"]

SHARES = (0.05, 0.1, 0.25, 0.5, 0.75, 1.0)
MAX_PASSES = 3


class HostCost:
    """
    Price the shares of the residents of one host, by the minute.

    The cost is the load-weighted square of each service's relative rise, times the weight of
    latency, less the share of the host that batch work uses, times the weight of throughput.  The
    square makes one host with a long tail dearer than two with half of it, as the p99 over all
    hosts does.
    """

    def __init__(self, effects: Effects, weights: Weights, view: HostView) -> None:
        self._weights = weights
        self._loads = [it.load for it in view.services]
        self._rises = [rate(effects, view, it) for it in view.residents]
        self._work = [it.processors / view.processors if it.batch else 0.0 for it in view.residents]

    def price(self, shares: Sequence[float]) -> float:
        """Return the cost if the residents had these shares, in their order."""
        return self.price_latency(shares) - self.value_work(shares)

    def price_latency(self, shares: Sequence[float]) -> float:
        """Return the cost of the services' tails alone."""
        latency = 0.0
        for service, load in enumerate(self._loads):
            rise = 0.0
            for share, rises in zip(shares, self._rises, strict=True):
                rise += share * rises[service]
            latency += load * rise * rise
        return self._weights.latency * latency

    def value_work(self, shares: Sequence[float]) -> float:
        """Return the value of the batch work alone."""
        work = sum(share * work for share, work in zip(shares, self._work, strict=True))
        return self._weights.throughput * work

    def is_worth(self, current: Sequence[float], chosen: Sequence[float], margin: float) -> bool:
        """Tell whether a change gains more than a part, the margin, of what it trades."""
        latency = self.price_latency(current) - self.price_latency(chosen)
        work = self.value_work(chosen) - self.value_work(current)
        # Relative to what is traded: a fixed margin would leave small tasks throttled for good.
        return latency + work > margin * (abs(latency) + abs(work))


def rate(effects: Effects, view: HostView, resident: Resident) -> list[float]:
    """Return the rise that a resident at full share causes to each service of its host."""
    amount = resident.processors / view.processors
    return [amount * effects.rise(it.service, resident.kind, it.load) for it in view.services]


def choose_shares(cost: HostCost, residents: Sequence[Resident]) -> list[float]:
    """Choose the shares of the batch tasks that cost least, one task after the other."""
    shares = [it.share for it in residents]
    for _ in range(MAX_PASSES):
        before = list(shares)
        for index, it in enumerate(residents):
            if it.batch:
                shares[index] = choose_share(cost, shares, index)
        if shares == before:
            break
    return shares


def choose_share(cost: HostCost, shares: list[float], index: int) -> float:
    """Choose the share of one task while the others keep theirs."""

    def price(share: float) -> float:
        return cost.price([*shares[:index], share, *shares[index + 1 :]])

    return min(SHARES, key=price)
