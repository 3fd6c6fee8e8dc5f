"""
Estimator of pair effects
=========================

Learn for each service the effect of each kind of colocated task on its tail latency, in proportion
to the load of the service.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from toucanpin.interference.regression import Regression
from toucanpin.interference.view import Resident

__all__ = ["Effects", "PairEstimator", "Prior", "sum_amounts"]

BASELINE_FEATURE = "quiet"
LOAD_FEATURE = "load"
KIND_PREFIX = "kind/"
MIN_BASELINE = 0.05  # in units of the model


class Effects(Protocol):
    """Effects of kinds of tasks on services."""

    def latency_rise(self, service: str, kind: str, load: float) -> float:
        """Return the rise of the p99 on a host full of one kind, relative to the baseline."""
        ...

    def baseline_latency(self, service: str, load: float) -> float | None:
        """Return the p99 without colocated tasks in milliseconds, None if it isn't known."""
        ...


@dataclass(frozen=True, slots=True)
class Prior:
    """
    Prior of the effects on a service.

    ``latency_rise`` is that of a host full of an unknown kind at full load, ``load_rise`` that of
    the load alone.  Deviations are standard deviations.  ``relative_noise`` is relative to the
    sample, ``time_constant`` is in seconds.  In the guess for an unknown kind, ``latency_rise``
    counts as much as ``pseudo_count`` known kinds.
    """

    latency_rise: float = 1.0
    rise_deviation: float = 1.5
    load_rise: float = 0.5
    load_deviation: float = 0.5
    baseline_deviation: float = 0.3
    relative_noise: float = 0.2
    time_constant: float = 2_400.0
    pseudo_count: float = 2.0


class PairEstimator:
    """Estimator of the effects of pairs of a service and a kind of task."""

    def __init__(self, prior: Prior | None = None) -> None:
        self._prior = prior or Prior()
        self._models: dict[str, Regression] = {}
        self._scales: dict[str, float] = {}

    def learn(
        self, now: float, service: str, latency: float, load: float, amounts: Mapping[str, float]
    ) -> None:
        """
        Update the model of a service with a sample of its p99.

        Parameters
        ----------
        latency
            Milliseconds.
        load
            Load of the service when it was measured, between 0 and 1.
        amounts
            Fraction of the host's processors that each kind used at that time.
        """
        if latency <= 0:
            return
        model = self._models.get(service) or self._add_service(now, service, latency, load)
        for kind in amounts:
            if KIND_PREFIX + kind not in model:
                rise = self._guess_rise(model)
                model.add(now, KIND_PREFIX + kind, rise, self._prior.rise_deviation)
        features = make_features(load, amounts)
        value = latency / self._scales[service]
        # The noise is proportional to the sample, so that one outlier can't outweigh many samples.
        scale = max(value, model.predict(features))
        model.learn(now, features, value, self._prior.relative_noise * scale)

    def latency_rise(self, service: str, kind: str, load: float) -> float:
        """Return the rise of the p99 on a host full of one kind, relative to the baseline."""
        model = self._models.get(service)
        if model is None:
            return self._prior.latency_rise * load
        name = KIND_PREFIX + kind
        effect = model.mean(name) if name in model else self._guess_rise(model)
        return max(0.0, effect) * load / self._predict_baseline(model, load)

    def baseline_latency(self, service: str, load: float) -> float | None:
        """Return the p99 without colocated tasks in milliseconds, None if it isn't known."""
        model = self._models.get(service)
        if model is None:
            return None
        return self._predict_baseline(model, load) * self._scales[service]

    def _add_service(self, now: float, service: str, latency: float, load: float) -> Regression:
        """Add the model of a service; its unit of latency follows from the first sample."""
        prior = self._prior
        model = Regression(prior.time_constant)
        self._scales[service] = latency / (1.0 + prior.load_rise * load)
        model.add(now, BASELINE_FEATURE, 1.0, prior.baseline_deviation)
        model.add(now, LOAD_FEATURE, prior.load_rise, prior.load_deviation)
        self._models[service] = model
        return model

    def _guess_rise(self, model: Regression) -> float:
        """Return the expected effect of an unknown kind, from the known ones and the prior."""
        known = model.means(KIND_PREFIX)
        total = self._prior.latency_rise * self._prior.pseudo_count + sum(known)
        return total / (self._prior.pseudo_count + len(known))

    def _predict_baseline(self, model: Regression, load: float) -> float:
        """Return the p99 without colocated tasks in units of the model."""
        return max(MIN_BASELINE, model.predict(make_features(load, {})))


def make_features(load: float, amounts: Mapping[str, float]) -> dict[str, float]:
    """Return the regression features of a sample."""
    features = {BASELINE_FEATURE: 1.0, LOAD_FEATURE: load}
    features.update((KIND_PREFIX + kind, load * amount) for kind, amount in amounts.items())
    return features


def sum_amounts(residents: Iterable[Resident], processors: int) -> dict[str, float]:
    """Return the fraction of a host's processors that each kind uses."""
    amounts: defaultdict[str, float] = defaultdict(float)
    for it in residents:
        amounts[it.kind] += it.processors * it.share / processors
    return dict(amounts)
