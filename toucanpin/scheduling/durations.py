"""
Durations of steps
==================

Predict by queue how long steps take, given the estimates of their callers.

Notes
-----
Callers' estimates are off by a factor that differs by queue: in some they are nearly right, in
others they carry no information.  So the logarithm of the time that a step's longest task takes is
fitted by a line on that of its estimate.  The flatter the line, the less informative the estimates
of a queue are.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

__all__ = ["Durations", "Fit"]

MEMORY_STEPS = 300.0  # time constant of the weights
PRIOR_STEPS = 8.0  # weight of the assumption that estimates are right
MIN_TIME_MS = 10.0  # shorter times aren't informative
MAX_LOG_TIME = 23.0  # logarithm of ms: some 100 days


class Fit(msgspec.Struct, array_like=True):
    """Weighted sums over logarithms of estimates (x) and of times (y) in ms."""

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def add(self, x: float, y: float) -> None:
        """Add a step; earlier ones lose weight."""
        decay = 1 - 1 / MEMORY_STEPS
        self.weight = self.weight * decay + 1
        self.x = self.x * decay + x
        self.y = self.y * decay + y
        self.xx = self.xx * decay + x * x
        self.xy = self.xy * decay + x * y

    def predict(self, x: float) -> float:
        """
        Return the logarithm of the expected time; close to the estimate's while little is known.
        """
        if self.weight < 1:
            return x
        mean = self.x / self.weight
        variance = max(0.0, self.xx / self.weight - mean * mean)
        covariance = self.xy / self.weight - mean * self.y / self.weight
        slope = (covariance * self.weight + variance * PRIOR_STEPS) / (
            variance * (self.weight + PRIOR_STEPS) or math.inf
        )
        shift = (self.y - self.x) / (self.weight + PRIOR_STEPS)
        return mean + shift + min(1.0, max(0.0, slope)) * (x - mean)


@dataclass(slots=True)
class Durations:
    """Observed durations of each queue's steps."""

    fits: dict[str, Fit]

    def record(self, queue: str, estimate: int, took: float) -> None:
        """Record the time of the longest task of a step in s; its estimate is in ms."""
        if estimate >= MIN_TIME_MS and took * 1_000 >= MIN_TIME_MS:
            fit = self.fits.setdefault(queue, Fit())
            fit.add(math.log(estimate), math.log(took * 1_000))

    def predict(self, queue: str, estimate: int) -> int:
        """Return the expected duration of a step in ms."""
        fit = self.fits.get(queue)
        if fit is None or estimate < MIN_TIME_MS:
            return estimate
        log_time = fit.predict(math.log(estimate))
        # Invalid sums in the row, by whichever writer, must not stop the owner that reads them.
        return int(math.exp(log_time)) if abs(log_time) < MAX_LOG_TIME else estimate
