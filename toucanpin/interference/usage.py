"""
Processor usage by kind
=======================

Estimate the fraction of their declared processors that tasks of a kind use.  The estimate may
guide decisions, but not replace declared sizes as limits.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["KindUsage"]

SMOOTHING_FACTOR = 0.05  # weight of a new sample
PLAIN_MEAN_SAMPLES = 20


@dataclass(slots=True)
class UsageRatio:
    """Running mean of the ratio of used to declared processors."""

    mean: float = 1.0
    samples: int = 0


class KindUsage:
    """Estimator of a task's usage from its kind and its declared size."""

    def __init__(self) -> None:
        self._ratios: dict[str, UsageRatio] = {}

    def learn(self, kind: str, declared: int, share: float, measured: float) -> None:
        """Update a kind with the measured processors of a task that was throttled to a share."""
        if declared <= 0 or share <= 0:
            return
        ratio = self._ratios.setdefault(kind, UsageRatio())
        ratio.samples += 1
        # The first samples form a plain mean, so that a wrong declaration loses its weight quickly.
        weight = SMOOTHING_FACTOR if ratio.samples > PLAIN_MEAN_SAMPLES else 1.0 / ratio.samples
        ratio.mean += weight * (measured / (declared * share) - ratio.mean)

    def estimate(self, kind: str, declared: int) -> float:
        """Return the expected number of processors that a task uses at full share."""
        ratio = self._ratios.get(kind)
        return declared * ratio.mean if ratio else float(declared)
