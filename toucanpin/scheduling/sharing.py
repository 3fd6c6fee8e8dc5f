"""
Sharing of workers
==================

Learn which tasks that fill harm which tasks that serve, and slow or move them when they do.

Notes
-----
A serving task's tail follows a queue: ``tail = quiet / (1 - utilization)``.  What fills beside it
multiplies its utilization by ``1 + sum(effect * share of the worker's cores in use)``, where the
effect depends on the two images.  Tasks of one job carry the same load, so the least utilized of
them shows what the job's load is without neighbours, and the others show what neighbours cost.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from toucanpin.interference.regression import Regression
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = [
    "Learned",
    "Sharing",
    "learn_effects",
    "measure_loads",
    "predict_rise",
    "predict_utilization",
    "use_cores",
]

MEMORY = 200.0  # s after which an effect is mostly forgotten; measured ones held for a minute
PRIOR_EFFECT = 1.0  # of a pair never seen; measured pairs lie near 0.3 or between 2 and 7
PRIOR_DEVIATION = 3.0
# Deviations that are added to an estimate, so that few tasks at a time try what isn't known.
CAUTION = 0.3
UNKNOWN_EFFECT = PRIOR_EFFECT + CAUTION * PRIOR_DEVIATION
LEAST_DEVIATION = 0.5  # of an effect that an earlier owner has learned
NOISE = 0.25  # of a measured factor, as a share of it
LEAST_LOAD = 0.775  # of the quiet tail's share in the lowest tail seen: load is never quite 0
SATURATED = 50.0  # quiet tails at which a queue counts as full; beyond, tails grow with load
SATURATION = 0.98  # utilization there
FIRST_QUIET = 0.2  # of a target, for an image whose tail was never seen
WARM_UP = 3.0  # s after its start in which a serving task's tail may look lower than any later
SETTLED = 0.0  # s after a change of what fills until a tail, a mean of half a second, shows it
PEAK_KEPT = 0.98  # of a load's peak each second: loads swing within 10 to 20 s
PLANNED = 0.85  # of the peak that a place is judged by: what fills stays for a part of a swing
FRESH = 1.5  # s for which a measurement counts


class Effect(msgspec.Struct, frozen=True, array_like=True):
    """Hold what was learned of one pair of images."""

    serving: str
    filling: str
    mean: float
    deviation: float


class Learned(msgspec.Struct, frozen=True, array_like=True):
    """Hold what the next owner of a cell should know: effects, and each image's lowest tail."""

    effects: list[Effect]
    lowest: dict[str, float]


@dataclass(slots=True)
class _Load:
    """Hold a job's utilization without neighbours, its recent peak, and when it was measured."""

    value: float
    peak: float
    at: float


class Sharing:
    """Hold what is known of loads and of the effects between images."""

    __slots__ = ("_effects", "_lowest", "_regressions", "loads")

    def __init__(self) -> None:
        self.loads: dict[str, _Load] = {}
        self._regressions: dict[str, Regression] = {}
        self._effects: dict[tuple[str, str], float] = {}
        self._lowest: dict[str, float] = {}

    def effect(self, serving: str, filling: str) -> float:
        """Return how much utilization grows beside a worker full of an image, relatively."""
        return self._effects.get((serving, filling), UNKNOWN_EFFECT)

    def quiet(self, image: str, target: int) -> float:
        """Return the tail of an idle serving task, in ms."""
        lowest = self._lowest.get(image)
        return lowest * LEAST_LOAD if lowest else target * FIRST_QUIET

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
        return 1 - self.quiet(run.step.image, run.step.target) / run.step.target

    def load(self, run: Run) -> float:
        """Return the utilization that a serving task would have without neighbours."""
        known = self.loads.get(run.task.job)
        return known.value if known else 0.5 * self.limit(run)

    def planned_load(self, run: Run) -> float:
        """Return the utilization without neighbours that a serving task is thought to reach."""
        known = self.loads.get(run.task.job)
        return max(known.value, PLANNED * known.peak) if known else 0.6 * self.limit(run)

    def note_tail(self, image: str, tail: float) -> None:
        """Take note of a tail, which may be the lowest of its image."""
        lowest = self._lowest.get(image)
        if lowest is None or tail < lowest:
            self._lowest[image] = tail

    def export(self) -> Learned:
        """Return what was learned, for the next owner."""
        effects = [
            Effect(serving, image, model.mean(image), model.deviation(image))
            for serving, model in self._regressions.items()
            for image in model.names()
        ]
        return Learned(effects, dict(self._lowest))

    def restore(self, learned: Learned, now: float) -> None:
        """Begin with what an earlier owner has learned."""
        self._lowest.update(learned.lowest)
        for effect in learned.effects:
            model = self._regressions.setdefault(effect.serving, Regression(MEMORY))
            if effect.filling not in model:
                deviation = max(LEAST_DEVIATION, effect.deviation)
                model.add(now, effect.filling, effect.mean, deviation)
                self._set_effect(effect.serving, effect.filling, model)

    def _set_effect(self, serving: str, image: str, model: Regression) -> None:
        doubt = CAUTION * model.deviation(image)
        self._effects[serving, image] = max(0.0, model.mean(image) + doubt)

    def learn(self, now: float, serving: str, factor: float, amounts: dict[str, float]) -> None:
        """Learn from a utilization that is ``factor`` times the one without neighbours."""
        model = self._regressions.get(serving)
        if model is None:
            model = self._regressions[serving] = Regression(MEMORY)
        for image in amounts:
            if image not in model:
                model.add(now, image, PRIOR_EFFECT, PRIOR_DEVIATION)
        model.learn(now, amounts, factor - 1, NOISE * max(1.0, factor))
        for image in amounts:
            self._set_effect(serving, image, model)


def measure_loads(cell: Cell, sharing: Sharing, now: Now) -> None:
    """Find the load of each serving job: the least utilization among its tasks."""
    least: dict[str, float] = {}
    for worker in cell.workers.values():
        if now.steady - worker.answered_at > FRESH:
            continue
        for run in worker.runs.values():
            if _is_measured(run):
                if now.steady - run.started_at > WARM_UP:
                    sharing.note_tail(run.step.image, run.measure)
                found = sharing.utilization(run)
                least[run.task.job] = min(found, least.get(run.task.job, found))
    for job, value in least.items():
        before = sharing.loads.get(job)
        kept = before.peak * PEAK_KEPT ** (now.steady - before.at) if before else 0.0
        sharing.loads[job] = _Load(value, max(value, kept), now.steady)
    for job in [job for job, load in sharing.loads.items() if now.steady - load.at > 10 * FRESH]:
        del sharing.loads[job]


def learn_effects(sharing: Sharing, worker: Worker, now: Now) -> None:
    """Learn from the newest measurements of a worker."""
    if not worker.servers or not worker.fillers or now.steady < worker.changed_at + SETTLED:
        return
    amounts: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.fills and run.phase is Phase.RUNNING and run.measure > 0:
            share = run.measure / max(1, worker.entry.cpu)
            amounts[run.step.image] = amounts.get(run.step.image, 0.0) + share
    if not amounts:
        return
    factors: dict[str, list[float]] = {}
    for run in worker.runs.values():
        if _is_measured(run) and run.task.job in sharing.loads:
            load = max(0.05, sharing.load(run))
            factors.setdefault(run.step.image, []).append(sharing.utilization(run) / load)
    for image, values in factors.items():
        sharing.learn(now.steady, image, sum(values) / len(values), amounts)


def predict_utilization(
    sharing: Sharing, worker: Worker, image: str, cpu: int, planned: bool = False
) -> float:
    """
    Return the highest utilization on a worker, as a share of what a target allows.

    ``cpu`` of an image are thought to run there besides; 0 judges the worker as it is.  With
    ``planned`` the serving tasks are thought to be as loaded as they soon will be.
    """
    whole = max(1, worker.entry.cpu)
    fillers = [run for run in worker.runs.values() if run.step.fills]
    highest = 0.0
    for run in worker.runs.values():
        if not run.step.target:
            continue
        serving = run.step.image
        beside = sum(
            sharing.effect(serving, other.step.image) * other.step.cpu * max(0, other.pace) / 100
            for other in fillers
        )
        more = sharing.effect(serving, image) * cpu
        load = sharing.planned_load(run) if planned else sharing.load(run)
        expected = load * (1 + (beside + more) / whole)
        measured = sharing.utilization(run) + load * more / whole
        highest = max(highest, max(expected, measured) / max(0.05, sharing.limit(run)))
    return highest


def predict_rise(sharing: Sharing, worker: Worker, image: str, cpu: int) -> float:
    """Return the most that ``cpu`` of an image would add to a serving task's utilization."""
    whole = max(1, worker.entry.cpu)
    rises = (
        sharing.planned_load(run) * sharing.effect(run.step.image, image) * cpu / whole
        for run in worker.runs.values()
        if run.step.target
    )
    return max(rises, default=0.0)


def use_cores(sharing: Sharing, worker: Worker) -> float:
    """Return the cores that a worker's tasks use together, in thousandths."""
    return sum(
        run.step.cpu * (sharing.load(run) if run.step.target else 1.0)
        for run in worker.runs.values()
    )


def _is_measured(run: Run) -> bool:
    return (
        run.step.target > 0
        and run.phase is Phase.RUNNING
        and run.measure > 0
        and run.percent >= 100
    )
