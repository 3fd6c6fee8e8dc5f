"""
Usage of kinds
==============

How much of their declared processors the tasks of a kind truly use; for soft decisions only.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["KindUsage"]

SMOOTHING_FACTOR = 0.05
PLAIN_MEAN_SAMPLES = 20


@dataclass(slots=True)
class UsageRatio:
    """Hold a running mean of use over declaration."""

    mean: float = 1.0
    samples: int = 0


class KindUsage:
    """Estimate the use of a task from its kind and its declared size."""

    def __init__(self) -> None:
        self._ratios: dict[str, UsageRatio] = {}

    def learn(self, kind: str, declared: int, share: float, measured: float) -> None:
        """Take the measured processors of a task that had a share of its declared ones."""
        if declared <= 0 or share <= 0:
            return
        ratio = self._ratios.setdefault(kind, UsageRatio())
        ratio.samples += 1
        # The first samples count as in a plain mean, so that a wrong declaration is soon forgotten.
        weight = SMOOTHING_FACTOR if ratio.samples > PLAIN_MEAN_SAMPLES else 1.0 / ratio.samples
        ratio.mean += weight * (measured / (declared * share) - ratio.mean)

    def estimate(self, kind: str, declared: int) -> float:
        """Return the processors that a task is expected to use at full share."""
        ratio = self._ratios.get(kind)
        return declared * ratio.mean if ratio else float(declared)
