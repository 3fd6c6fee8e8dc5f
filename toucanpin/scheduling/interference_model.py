"""
Sharing of workers
==================

What is known of the loads of tasks that serve and of the effects of tasks that fill beside them.

Notes
-----
A serving task's tail follows a queue: ``tail = quiet / (1 - utilization)``.  What fills beside it
multiplies its utilization by ``1 + sum(effect * share of the worker's cores in use)``, where the
effect depends on the two images.  Measured pairs either cost 4 to 5 or next to nothing.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from toucanpin.interference.regression import Regression
from toucanpin.scheduling.durations import Durations, Fit
from toucanpin.scheduling.worker import Run

__all__ = ["LearnedModel", "Load", "InterferenceModel"]

MEMORY = 200.0  # s after which an effect is mostly forgotten
PRIOR_EFFECT = 1.0  # of a pair never seen
PRIOR_DEVIATION = 3.0
CAUTION = 0.2  # deviations that are added to an estimate: what isn't known counts as harmful
HEAVIEST = 6.0  # effect beyond which estimates are noise; also lets wrong ones be tried again
LEAST_DEVIATION = 0.5  # of an effect that an earlier owner has learned
LEAST_LOAD = 0.775  # of the quiet tail's share in the lowest tail seen: load is never quite 0
SETTLED = 10.0  # s of measurements until the lowest tail shows low load
SATURATED = 50.0  # quiet tails at which a queue counts as full; beyond, tails grow with load
SATURATION = 0.98  # utilization there
FIRST_QUIET = 0.2  # of a target, for an image whose tail was never seen
FIRST_LOAD = 0.6  # of the limit, for a job that was never measured
UNSURE_RISE = 0.03  # of utilization by which a load may rise beyond its trend
AHEAD = 0.8  # s from a change of load to the moment at which a place or a pace answers it
MOST_RISE = 0.15  # of utilization that a trend is believed
TREND_MEMORY = 1.5  # s over which a trend is seen
HIGH_TIDE = 0.85  # of the limit: a job that reached its target by itself would need no care


class Effect(msgspec.Struct, frozen=True, array_like=True):
    """Hold what was learned of one pair of images."""

    serving: str
    filling: str
    mean: float
    deviation: float


class LearnedModel(msgspec.Struct, frozen=True, array_like=True):
    """
    Hold what the next owner of a cell should know: effects, each image's lowest tail, and how long
    the steps of each queue take.
    """

    effects: list[Effect]
    lowest: dict[str, float]
    durations: dict[str, Fit] = {}


@dataclass(slots=True)
class Load:
    """
    Hold a job's utilization without neighbours, and when it was measured.

    ``clean`` says that tasks with harmless neighbours showed it; ``trend`` is by how much it has
    changed a second.
    """

    value: float
    at: float
    clean: bool
    trend: float = 0.0


@dataclass(slots=True)
class _Lowest:
    """Hold the lowest tail of an image, since when it is measured, and if that is long."""

    tail: float
    since: float
    settled: bool = False


class InterferenceModel:
    """Hold what is known of loads and of the effects between images."""

    __slots__ = ("_cautious", "_effects", "_lowest", "_quiet", "_regressions", "loads")

    def __init__(self) -> None:
        self.loads: dict[str, Load] = {}
        self._regressions: dict[str, Regression] = {}
        self._effects: dict[tuple[str, str], Effect] = {}
        self._lowest: dict[str, _Lowest] = {}
        # Both are asked for some hundred thousand times a second on a few hundred workers.
        self._cautious: dict[tuple[str, str], float] = {}
        self._quiet: dict[tuple[str, int], float] = {}

    def effect(self, serving: str, filling: str) -> float:
        """Return the growth of utilization beside a worker full of an image, with caution."""
        return self._cautious.get((serving, filling), PRIOR_EFFECT + CAUTION * PRIOR_DEVIATION)

    def expected_effect(self, serving: str, filling: str) -> float:
        """Return the same without caution."""
        known = self._effects.get((serving, filling))
        return PRIOR_EFFECT if known is None else min(HEAVIEST, max(0.0, known.mean))

    def quiet(self, image: str, target: int) -> float:
        """Return the tail of an idle serving task, in ms."""
        known = self._quiet.get((image, target))
        if known is None:
            known = self._quiet[image, target] = self._find_quiet(image, target)
        return known

    def _find_quiet(self, image: str, target: int) -> float:
        lowest = self._lowest.get(image)
        guess = target * FIRST_QUIET
        if lowest is None:
            return guess
        shown = lowest.tail * LEAST_LOAD
        # Early tails are those of loaded tasks, and taking them for quiet ones hides the load.
        return shown if lowest.settled else min(guess, shown)

    def utilization(self, run: Run) -> float:
        """Return the utilization that a serving task's tail shows."""
        quiet = self.quiet(run.step.image, run.step.target)
        if run.measure <= quiet:
            return 0.0
        if run.measure > SATURATED * quiet:
            return SATURATION * run.measure / (SATURATED * quiet)
        return 1 - quiet / run.measure

    def limit(self, run: Run) -> float:
        """Return the utilization at which a serving task reaches its target."""
        return max(0.05, 1 - self.quiet(run.step.image, run.step.target) / run.step.target)

    def load(self, run: Run) -> float:
        """Return the utilization that a serving task would have without neighbours."""
        known = self.loads.get(run.task.job)
        return known.value if known else FIRST_LOAD * self.limit(run)

    def planned_load(self, run: Run) -> float:
        """Return the utilization without neighbours that a serving task may soon reach."""
        known = self.loads.get(run.task.job)
        if known is None:
            return FIRST_LOAD * self.limit(run)
        rise = min(MOST_RISE, max(0.0, UNSURE_RISE + AHEAD * known.trend))
        return max(known.value, min(known.value + rise, HIGH_TIDE * self.limit(run)))

    def note_tail(self, image: str, tail: float, now: float) -> None:
        """Take note of a tail, which may be the lowest of its image."""
        lowest = self._lowest.get(image)
        if lowest is None:
            self._lowest[image] = _Lowest(tail, now)
            self._quiet.clear()
            return
        settled = lowest.settled or now > lowest.since + SETTLED
        if tail < lowest.tail or settled != lowest.settled:
            lowest.tail = min(lowest.tail, tail)
            lowest.settled = settled
            self._quiet.clear()

    def note_load(self, job: str, value: float, clean: bool, now: float) -> None:
        """Take note of a job's load."""
        self.loads[job] = Load(value, now, clean, self._find_trend(job, value, now))

    def _find_trend(self, job: str, value: float, now: float) -> float:
        """
        Return by how much a job's load changes a second, as seen over the last seconds.

        Whoever fills up to what a load is now disturbs one that rises, and leaves cores idle beside
        one that falls.
        """
        known = self.loads.get(job)
        if known is None or now <= known.at:
            return 0.0
        passed = now - known.at
        weight = 1 - math.exp(-passed / TREND_MEMORY)
        return known.trend + weight * ((value - known.value) / passed - known.trend)

    def learn(
        self, now: float, serving: str, factor: float, noise: float, amounts: dict[str, float]
    ) -> None:
        """Learn from a utilization that is ``factor`` times the one without neighbours."""
        model = self._regressions.get(serving)
        if model is None:
            model = self._regressions[serving] = Regression(MEMORY)
        for image in amounts:
            if image not in model:
                model.add(now, image, PRIOR_EFFECT, PRIOR_DEVIATION)
        model.learn(now, amounts, factor - 1, noise)
        for image in amounts:
            self._note_effect(serving, image, model)

    def export(self, durations: Durations) -> LearnedModel:
        """Return what was learned, with the durations, for the next owner."""
        lowest = {image: known.tail for image, known in self._lowest.items() if known.settled}
        return LearnedModel(list(self._effects.values()), lowest, durations.fits)

    def restore(self, learned: LearnedModel, now: float) -> None:
        """Begin with what an earlier owner has learned."""
        self._lowest = {image: _Lowest(tail, now, True) for image, tail in learned.lowest.items()}
        self._quiet.clear()
        for effect in learned.effects:
            model = self._regressions.setdefault(effect.serving, Regression(MEMORY))
            if effect.filling not in model:
                deviation = max(LEAST_DEVIATION, effect.deviation)
                model.add(now, effect.filling, effect.mean, deviation)
                self._note_effect(effect.serving, effect.filling, model)

    def _note_effect(self, serving: str, image: str, model: Regression) -> None:
        self._keep_effect(Effect(serving, image, model.mean(image), model.deviation(image)))

    def _keep_effect(self, effect: Effect) -> None:
        pair = effect.serving, effect.filling
        self._effects[pair] = effect
        self._cautious[pair] = min(HEAVIEST, max(0.0, effect.mean + CAUTION * effect.deviation))
