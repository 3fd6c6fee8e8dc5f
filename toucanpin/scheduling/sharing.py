"""
Sharing of workers
==================

Learn which tasks that fill harm which tasks that serve, and slow or move them when they do.
"""

from __future__ import annotations

from toucanpin.interference.estimator import PairEstimator, Prior
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.ending import stop_run
from toucanpin.scheduling.orders import PaceOrder
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = ["Sharing", "control_sharing", "learn_sharing", "predict_pressure"]

NEAR = 0.85  # of a target: above it what fills is slowed
CALM = 0.65  # of a target: below it what fills may work more
LAG = 0.7  # s after an order until the tail, a mean of half a second, shows it
FASTER = 34  # percent that are given back at a time
BLAME = 0.25  # share of the estimated rise from which a task counts as a cause of it
SERIOUS = 0.25  # rise by one task, in targets, from which slowing it isn't enough
SLOWED = 1.5  # s that a task is left slowed before it is moved, if it can resume
# The effects shift within seconds and differ a hundredfold by pair, so what was learned fades in
# half a minute and the first samples of a pair count almost alone.
PRIOR = Prior(rise=2.0, rise_deviation=25.0, load_rise=0.0, load_deviation=0.01, memory=30.0)
LOAD = 1.0  # the platform tells no load of a serving task; its effect counts as a quiet tail


class Sharing:
    """Hold what is known of the effects between images."""

    __slots__ = ("_cache", "estimator")

    def __init__(self) -> None:
        self.estimator = PairEstimator(PRIOR)
        self._cache: dict[tuple[str, str], float] = {}

    def rise(self, serving: str, filling: str) -> float:
        """Return the rise of a tail, in quiet tails, beside a worker full of an image."""
        key = (serving, filling)
        value = self._cache.get(key)
        if value is None:
            value = self.estimator.rise(serving, filling, LOAD)
            self._cache[key] = value
        return value

    def quiet(self, serving: str) -> float:
        """Return the tail without anything beside, in ms; 0 if it isn't known."""
        return self.estimator.quiet(serving, LOAD) or 0.0

    def forget_cache(self) -> None:
        """Have estimates computed anew."""
        self._cache.clear()


def learn_sharing(sharing: Sharing, worker: Worker, now: Now) -> None:
    """Learn from the newest measurements of a worker."""
    tails: dict[str, list[float]] = {}
    amounts: dict[str, float] = {}
    for run in worker.runs.values():
        if run.phase is not Phase.RUNNING or run.measure <= 0:
            continue
        if run.step.target and run.percent >= 100:
            tails.setdefault(run.step.image, []).append(run.measure)
        elif run.step.fills:
            share = run.measure / max(1, worker.entry.cpu)
            amounts[run.step.image] = amounts.get(run.step.image, 0.0) + share
    for image, values in tails.items():
        mean = sum(values) / len(values)
        sharing.estimator.learn(now.steady, image, mean, LOAD, amounts)
    if tails and amounts:
        sharing.forget_cache()


def predict_pressure(sharing: Sharing, worker: Worker, image: str, cpu: int) -> float:
    """Return the highest tail on a worker, in targets, once it also runs ``cpu`` of an image."""
    if not worker.servers:
        return 0.0
    whole = max(1, worker.entry.cpu)
    fillers = [run for run in worker.runs.values() if run.step.fills]
    highest = 0.0
    for run in worker.runs.values():
        if not run.step.target:
            continue
        serving = run.step.image
        quiet = sharing.quiet(serving)
        beside = sum(
            sharing.rise(serving, other.step.image) * other.step.cpu / whole for other in fillers
        )
        expected = max(run.measure, quiet * (1 + beside))
        more = quiet * sharing.rise(serving, image) * cpu / whole
        highest = max(highest, (expected + more) / run.step.target)
    return highest


def control_sharing(cell: Cell, sharing: Sharing, now: Now) -> None:
    """Slow, quicken or move what fills, on each worker that also serves."""
    for worker in cell.workers.values():
        if worker.fillers and worker.reached and not worker.silent:
            _control(cell, sharing, worker, now)


def _control(cell: Cell, sharing: Sharing, worker: Worker, now: Now) -> None:
    serving = (
        run for run in worker.runs.values() if run.step.target and run.phase is Phase.RUNNING
    )
    hottest = max(serving, key=_press, default=None)
    pressure = _press(hottest) if hottest else 0.0
    fillers = [run for run in worker.runs.values() if run.step.fills and run.phase is Phase.RUNNING]
    if hottest is None or pressure < CALM:
        for run in fillers:
            _set_pace(cell, run, min(100, max(0, run.pace) + FASTER), now)
        return
    if pressure < NEAR:
        return
    whole = max(1, worker.entry.cpu)
    quiet = sharing.quiet(hottest.step.image)
    rises = {
        run.task: sharing.rise(hottest.step.image, run.step.image)
        * run.step.cpu
        * max(0, run.pace)
        / 100
        / whole
        for run in fillers
    }
    total = sum(rises.values())
    for run in fillers:
        if rises[run.task] < BLAME * total:
            continue
        serious = rises[run.task] * quiet / hottest.step.target > SERIOUS
        if pressure > 1.0 and serious and _may_move(run, now):
            stop_run(cell, run)
        elif run.pace <= 50 and run.paced_at and now.steady - run.paced_at > SLOWED:
            if _may_move(run, now):
                stop_run(cell, run)
        else:
            _set_pace(cell, run, 0 if pressure > 1.0 else max(0, run.pace) // 2, now)


def _press(run: Run) -> float:
    """Return a serving task's tail in targets."""
    return run.measure / run.step.target


def _may_move(run: Run, now: Now) -> bool:
    """Tell whether moving a task loses little: it can resume, or has hardly begun."""
    return run.step.checkpoints or run.percent < 50


def _set_pace(cell: Cell, run: Run, percent: int, now: Now) -> None:
    if percent == run.pace or now.steady - run.paced_at < LAG:
        return
    run.pace = percent
    run.paced_at = now.steady
    run.moved_at = now.steady
    cell.orders.append(PaceOrder(run.worker, run.task, run.attempt, percent))
