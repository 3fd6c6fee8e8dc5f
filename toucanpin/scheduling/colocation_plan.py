"""
Colocation plan
===============

Which best-effort work could use the idle cores of a worker, by the latency-critical images there.

Notes
-----
The load that this answers: more best-effort work waits than the workers can take, and most pairs of
images harm each other.  Then each placement decides what others can still use, so a best-effort
task goes where little of the other demand could run.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from toucanpin.scheduling.cell import Cell, Now

__all__ = ["ColocationPlan", "PairEffect", "update_plan"]

PairEffect = Callable[[str, str], float]  # of a latency-critical and a best-effort image

PLAN_PERIOD_S = 0.25
RUNNING_WEIGHT = 0.1  # of cores in use: what runs already needs no place, but shows what comes
DEMAND_MEMORY_S = 4.0  # about as long as a best-effort task runs and a new one arrives
MIN_DEMAND = 0.01  # cores, below which an image is forgotten
# A service at two thirds of its limit bears best-effort tasks of this effect on half of a worker.
HARMLESS_EFFECT = 1.0


@dataclass(slots=True)
class ColocationPlan:
    """Recent demand of best-effort images in cores, and the share that fits beside services."""

    demand: dict[str, float] = field(default_factory=dict)
    updated_at: float = float("-inf")
    _usable_shares: dict[frozenset[str], float] = field(default_factory=dict)

    def usable_share(self, effect: PairEffect, services: frozenset[str]) -> float:
        """Return the share of the demand that may run beside latency-critical images."""
        known = self._usable_shares.get(services)
        if known is None:
            known = self._usable_shares[services] = self._sum_usable(effect, services)
        return known

    def _sum_usable(self, effect: PairEffect, services: frozenset[str]) -> float:
        total = sum(self.demand.values())
        if not total:
            return 1.0
        usable = sum(
            cores * _weigh_pairing(effect, services, image) for image, cores in self.demand.items()
        )
        return usable / total

    def record_demand(self, cores: Mapping[str, float], now: float) -> None:
        """Update the demand with the cores that waiting and running tasks request now."""
        weight = 1 - math.exp(-(now - self.updated_at) / DEMAND_MEMORY_S)
        smoothed = {
            image: known + weight * (cores.get(image, 0.0) - known)
            for image in self.demand.keys() | cores.keys()
            for known in (self.demand.get(image, 0.0),)
        }
        self.demand = {image: value for image, value in smoothed.items() if value > MIN_DEMAND}
        self.updated_at = now
        self._usable_shares.clear()


def update_plan(cell: Cell, plan: ColocationPlan, now: Now) -> None:
    """Update a plan with the best-effort demand of a cell."""
    if now.steady < plan.updated_at + PLAN_PERIOD_S:
        return
    cores: defaultdict[str, float] = defaultdict(float)
    for group, waiting in cell.waiting.items():
        step = cell.jobs[group.job].job.steps[group.step]
        if step.best_effort:
            cores[step.image] += step.cpu * len(waiting) / 1_000
    for worker in cell.workers.values():
        if worker.best_effort_count:
            for run in worker.runs.values():
                if run.step.best_effort:
                    cores[run.step.image] += RUNNING_WEIGHT * run.step.cpu / 1_000
    plan.record_demand(cores, now.steady)


def _weigh_pairing(effect: PairEffect, services: Iterable[str], image: str) -> float:
    """Return the share of idle cores that a best-effort image may use beside services."""
    worst = max((effect(service, image) for service in services), default=0.0)
    return min(1.0, HARMLESS_EFFECT / worst) if worst > 0 else 1.0
