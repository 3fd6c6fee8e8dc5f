"""
Interference model
==================

The loads of latency-critical jobs, and the effects of best-effort tasks on the same worker.

Notes
-----
The tail latency of a latency-critical task follows a queue: ``tail = idle_tail / (1 -
utilization)``.  Best-effort tasks beside it multiply its utilization by ``1 + sum(effect * share of
the worker's cores in use)``, where the effect depends on the two images.  The effects of measured
pairs are either 4 to 5 or close to 0.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from toucanpin.interference.regression import Regression
from toucanpin.scheduling.colocation_plan import ColocationPlan
from toucanpin.scheduling.durations import Durations, Fit
from toucanpin.scheduling.task_times import TaskTimes
from toucanpin.scheduling.worker import Run

__all__ = ["InterferenceModel", "LearnedModel", "LoadEstimate"]

EFFECT_MEMORY_S = 200.0  # time constant with which old samples lose weight
PRIOR_EFFECT = 1.0  # of a pair of images without samples
PRIOR_DEVIATION = 3.0
CAUTION_DEVIATIONS = 0.2  # added to an estimated effect, so that unknown pairs count as harmful
# Larger estimates of an effect are noise.  The bound also lets a wrong one be corrected, since its
# pair is still placed together at times.
MAX_EFFECT = 6.0
HARMFUL_EFFECT = 2.0  # from which an image counts as harmful to another
MIN_RESTORED_DEVIATION = 0.5  # of an effect that an earlier owner has learned
IDLE_TAIL_RATIO = 0.775  # idle tail to the lowest tail seen, at which the load is still above 0
SETTLING_TIME_S = 10.0  # of measurements until the lowest tail counts as one at low load
SATURATED_TAIL_RATIO = 50.0  # to the idle tail; above it the tail grows linearly with the load
SATURATED_UTILIZATION = 0.98  # at the saturated tail
INITIAL_IDLE_TAIL_SHARE = 0.2  # of the target, for an image without measurements
INITIAL_LOAD_SHARE = 0.6  # of the limit, for a job without measurements
LOAD_MARGIN = 0.03  # of utilization, by which a load may rise beyond its trend
LOOKAHEAD_S = 0.8  # from a change of load until a placement or a pace order takes effect
MAX_LOAD_RISE = 0.15  # of utilization, by which a trend is extrapolated at most
TREND_MEMORY_S = 1.5  # time constant of the trend
MAX_PLANNED_SHARE = 0.85  # of the limit: jobs don't reach their target without neighbours


class Effect(msgspec.Struct, frozen=True, array_like=True):
    """Estimated effect of a best-effort image on a latency-critical one."""

    service: str = msgspec.field(name="serving")
    neighbour: str = msgspec.field(name="filling")
    mean: float
    deviation: float


class LearnedModel(msgspec.Struct, frozen=True, array_like=True):
    """
    Part of the model that is stored for the next owner of a cell.

    Holds the effects, the lowest tail of each image in ms, and for each queue the fit of step
    durations and the distribution of task times.
    """

    effects: list[Effect]
    lowest_tails: dict[str, float] = msgspec.field(name="lowest")
    durations: dict[str, Fit] = {}
    task_times: dict[str, TaskTimes] = {}


@dataclass(slots=True)
class LoadEstimate:
    """
    Utilization of a job without neighbours, and when it was measured.

    ``undisturbed`` is true if it was measured on tasks with harmless neighbours; ``trend`` is its
    change per second.
    """

    value: float
    at: float
    undisturbed: bool
    trend: float = 0.0


@dataclass(slots=True)
class _LowestTail:
    """Lowest tail of an image, and whether it was measured for long enough."""

    tail: float
    since: float
    settled: bool = False


class InterferenceModel:
    """
    Loads of latency-critical jobs and effects between pairs of images.

    Latency-critical and best-effort tasks are placed by ``plan``, where the feature is on.
    """

    __slots__ = (
        "_cautious_effects",
        "_effects",
        "_idle_tails",
        "_lowest_tails",
        "_regressions",
        "loads",
        "plan",
    )

    def __init__(self, plan: ColocationPlan | None = None) -> None:
        self.plan = plan
        self.loads: dict[str, LoadEstimate] = {}
        self._regressions: dict[str, Regression] = {}
        self._effects: dict[tuple[str, str], Effect] = {}
        self._lowest_tails: dict[str, _LowestTail] = {}
        # Caches of values that are read some 100,000 times a second on a few hundred workers.
        self._cautious_effects: dict[tuple[str, str], float] = {}
        self._idle_tails: dict[tuple[str, int], float] = {}

    def cautious_effect(self, service: str, neighbour: str) -> float:
        """Return an upper estimate of the effect of the image ``neighbour`` on ``service``."""
        return self._cautious_effects.get(
            (service, neighbour), PRIOR_EFFECT + CAUTION_DEVIATIONS * PRIOR_DEVIATION
        )

    def expected_effect(self, service: str, neighbour: str) -> float:
        """Return the mean estimate of the effect of the image ``neighbour`` on ``service``."""
        known = self._effects.get((service, neighbour))
        return PRIOR_EFFECT if known is None else min(MAX_EFFECT, max(0.0, known.mean))

    def is_harmful(self, service: str, neighbour: str) -> bool:
        """Return whether the image ``neighbour`` is known to be harmful to ``service``."""
        return self.expected_effect(service, neighbour) >= HARMFUL_EFFECT

    def idle_tail(self, image: str, target: int) -> float:
        """Return the tail latency of an idle latency-critical task, in ms."""
        known = self._idle_tails.get((image, target))
        if known is None:
            known = self._idle_tails[image, target] = self._estimate_idle_tail(image, target)
        return known

    def _estimate_idle_tail(self, image: str, target: int) -> float:
        lowest = self._lowest_tails.get(image)
        guess = target * INITIAL_IDLE_TAIL_SHARE
        if lowest is None:
            return guess
        shown = lowest.tail * IDLE_TAIL_RATIO
        # Early tails are those of loaded tasks; taken as idle tails they would hide the load.
        return shown if lowest.settled else min(guess, shown)

    def utilization(self, run: Run) -> float:
        """Return the utilization of a latency-critical task, derived from its tail latency."""
        idle_tail = self.idle_tail(run.step.image, run.step.target)
        if run.measure <= idle_tail:
            return 0.0
        if run.measure > SATURATED_TAIL_RATIO * idle_tail:
            return SATURATED_UTILIZATION * run.measure / (SATURATED_TAIL_RATIO * idle_tail)
        return 1 - idle_tail / run.measure

    def limit(self, run: Run) -> float:
        """Return the utilization at which a latency-critical task reaches its target."""
        return max(0.05, 1 - self.idle_tail(run.step.image, run.step.target) / run.step.target)

    def load(self, run: Run) -> float:
        """Return the utilization that a latency-critical task would have without neighbours."""
        known = self.loads.get(run.task.job)
        return known.value if known else INITIAL_LOAD_SHARE * self.limit(run)

    def planned_load(self, run: Run) -> float:
        """Return the utilization without neighbours that a task may reach within the lookahead."""
        known = self.loads.get(run.task.job)
        if known is None:
            return INITIAL_LOAD_SHARE * self.limit(run)
        rise = min(MAX_LOAD_RISE, max(0.0, LOAD_MARGIN + LOOKAHEAD_S * known.trend))
        return max(known.value, min(known.value + rise, MAX_PLANNED_SHARE * self.limit(run)))

    def record_tail(self, image: str, tail: float, now: float) -> None:
        """Record a measured tail, and whether it is the lowest of its image."""
        lowest = self._lowest_tails.get(image)
        if lowest is None:
            self._lowest_tails[image] = _LowestTail(tail, now)
            self._idle_tails.clear()
            return
        settled = lowest.settled or now > lowest.since + SETTLING_TIME_S
        if tail < lowest.tail or settled != lowest.settled:
            lowest.tail = min(lowest.tail, tail)
            lowest.settled = settled
            self._idle_tails.clear()

    def record_load(self, job: str, value: float, undisturbed: bool, now: float) -> None:
        """Record a job's load and update its trend."""
        self.loads[job] = LoadEstimate(
            value, now, undisturbed, self._compute_trend(job, value, now)
        )

    def _compute_trend(self, job: str, value: float, now: float) -> float:
        """
        Return the smoothed change of a job's load per second.

        Best-effort work sized for the current load would disturb a job whose load rises, and leave
        cores idle beside one whose load falls.
        """
        known = self.loads.get(job)
        if known is None or now <= known.at:
            return 0.0
        passed = now - known.at
        weight = 1 - math.exp(-passed / TREND_MEMORY_S)
        return known.trend + weight * ((value - known.value) / passed - known.trend)

    def learn(
        self, now: float, service: str, factor: float, noise: float, core_shares: dict[str, float]
    ) -> None:
        """Update effects from a utilization of ``factor`` times the one without neighbours."""
        model = self._regressions.get(service)
        if model is None:
            model = self._regressions[service] = Regression(EFFECT_MEMORY_S)
        for image in core_shares:
            if image not in model:
                model.add(now, image, PRIOR_EFFECT, PRIOR_DEVIATION)
        model.learn(now, core_shares, factor - 1, noise)
        for image in core_shares:
            self._update_effect(service, image, model)

    def export(self, durations: Durations, task_times: dict[str, TaskTimes]) -> LearnedModel:
        """Return the learned effects, settled tails and times for the next owner."""
        lowest = {image: known.tail for image, known in self._lowest_tails.items() if known.settled}
        return LearnedModel(list(self._effects.values()), lowest, durations.fits, task_times)

    def restore(self, learned: LearnedModel, now: float) -> None:
        """Initialize the model with what an earlier owner has learned."""
        self._lowest_tails = {
            image: _LowestTail(tail, now, True) for image, tail in learned.lowest_tails.items()
        }
        self._idle_tails.clear()
        for effect in learned.effects:
            model = self._regressions.setdefault(effect.service, Regression(EFFECT_MEMORY_S))
            if effect.neighbour not in model:
                deviation = max(MIN_RESTORED_DEVIATION, effect.deviation)
                model.add(now, effect.neighbour, effect.mean, deviation)
                self._update_effect(effect.service, effect.neighbour, model)

    def _update_effect(self, service: str, image: str, model: Regression) -> None:
        self._store_effect(Effect(service, image, model.mean(image), model.deviation(image)))

    def _store_effect(self, effect: Effect) -> None:
        pair = effect.service, effect.neighbour
        self._effects[pair] = effect
        self._cautious_effects[pair] = min(
            MAX_EFFECT, max(0.0, effect.mean + CAUTION_DEVIATIONS * effect.deviation)
        )
