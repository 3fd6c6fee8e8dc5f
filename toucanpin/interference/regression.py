"""
Regression with forgetting
==========================

Linear regression on a stream of samples in which each coefficient varies around a prior: a Kalman
filter over Ornstein-Uhlenbeck processes.  A coefficient with few samples stays near its prior, and
old samples lose their weight.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["Coefficient", "Regression"]


@dataclass(slots=True)
class Coefficient:
    """Coefficient: its prior mean and variance, its mean and the time of its last update."""

    prior: float
    variance: float
    mean: float
    updated_at: float


class Regression:
    """
    Recursive estimator of named coefficients.

    Parameters
    ----------
    time_constant
        Seconds after which a deviation from the prior has lost 63% of its weight.
    """

    def __init__(self, time_constant: float) -> None:
        self._time_constant = time_constant
        self._names: dict[str, int] = {}
        self._coefficients: list[Coefficient] = []
        self._covariance: list[list[float]] = []

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def add(self, now: float, name: str, prior: float, deviation: float) -> None:
        """Add a coefficient with the mean and the standard deviation of its prior."""
        variance = deviation * deviation
        self._names[name] = len(self._coefficients)
        self._coefficients.append(Coefficient(prior, variance, prior, now))
        for row in self._covariance:
            row.append(0.0)
        self._covariance.append([0.0] * len(self._coefficients))
        self._covariance[-1][-1] = variance

    def mean(self, name: str) -> float:
        """Return the estimate of a coefficient."""
        return self._coefficients[self._names[name]].mean

    def names(self) -> tuple[str, ...]:
        """Return the names of the coefficients."""
        return tuple(self._names)

    def deviation(self, name: str) -> float:
        """Return the standard deviation of an estimate."""
        index = self._names[name]
        return math.sqrt(max(0.0, self._covariance[index][index]))

    def means(self, prefix: str) -> list[float]:
        """Return the estimates of the coefficients whose names start with a prefix."""
        return [self.mean(name) for name in self._names if name.startswith(prefix)]

    def predict(self, features: Mapping[str, float]) -> float:
        """Return the predicted value of a sample."""
        return sum(self.mean(name) * value for name, value in features.items())

    def learn(self, now: float, features: Mapping[str, float], value: float, noise: float) -> None:
        """Update the estimates with a sample whose noise has this standard deviation."""
        for name in features:
            self._decay(self._names[name], now)
        present = [(self._names[name], x) for name, x in features.items() if x]
        gains = [sum(row[index] * x for index, x in present) for row in self._covariance]
        innovation_variance = noise * noise + sum(gains[index] * x for index, x in present)
        error = value - self.predict(features)
        for index, gain in enumerate(gains):
            if gain:
                self._coefficients[index].mean += gain / innovation_variance * error
                row = self._covariance[index]
                pairs = zip(row, gains, strict=True)
                self._covariance[index] = [
                    old - gain * other / innovation_variance for old, other in pairs
                ]

    def _decay(self, index: int, now: float) -> None:
        """Decay a coefficient towards its prior for the time since its last update."""
        it = self._coefficients[index]
        elapsed = now - it.updated_at
        if elapsed <= 0:
            return
        factor = math.exp(-elapsed / self._time_constant)
        it.updated_at = now
        it.mean = it.prior + (it.mean - it.prior) * factor
        row = self._covariance[index]
        for other in range(len(row)):
            if other != index:
                row[other] *= factor
                self._covariance[other][index] = row[other]
        row[index] = it.variance + (row[index] - it.variance) * factor * factor
