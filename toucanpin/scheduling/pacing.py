"""
Pacing of what fills
====================

Slow, quicken or move the tasks that fill beside a serving task, so that it keeps its target.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.choosing import list_eligible
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.learning import MEASUREMENT_MAX_AGE_S, measure_loads
from toucanpin.scheduling.orders import PaceOrder
from toucanpin.scheduling.prediction import (
    estimate_used_cpu,
    estimate_utilization,
    predict_rise,
    predict_rise_for_run,
    predict_share,
)
from toucanpin.scheduling.stopping import stop_run
from toucanpin.scheduling.worker import Phase, Run, Worker, has_room

__all__ = ["control_pace"]

PERIOD = 0.2  # s between looks; measurements come each 0.4 s
LAG = 0.7  # s after an order until a tail, a mean of half a second, shows it
HIGH = 0.95  # of the utilization that a target allows: above it what fills is slowed
AIM = 0.9  # what slowing aims at
LOW = 0.9  # below it what fills may work more
OVER_LONG = 0.9  # s over a target after which the harmful leave, whatever is estimated
OVER_TOO_LONG = 1.8  # s after which all that fills leaves; four seconds are never reached
LOWEST_PACE = 30  # percent below which a task is better moved
STEP = 10  # percent: paces are multiples of it
SLIGHT = 0.04  # utilization: slowing a task that adds less would cost work and gain nothing
BETTER = 0.92  # of the allowed utilization that a better place may reach
CROWD = 1.3  # of its cores that may be asked for there


def control_pace(cell: Cell, model: InterferenceModel, now: Now) -> None:
    """Adjust what fills on each worker that serves."""
    if now.steady < cell.paced_at + PERIOD:
        return
    cell.paced_at = now.steady
    measure_loads(cell, model, now)
    for worker in cell.workers.values():
        # An owner that was suspended hasn't noticed any silence yet, and its measurements are old.
        fresh = now.steady - worker.answered_at <= MEASUREMENT_MAX_AGE_S
        if worker.best_effort_count and worker.reached and not worker.silent and fresh:
            _control(cell, model, worker, now)


def _control(cell: Cell, model: InterferenceModel, worker: Worker, now: Now) -> None:
    fillers = [
        run for run in worker.runs.values() if run.step.best_effort and run.phase is Phase.RUNNING
    ]
    if not fillers:
        return
    over = _find_longest_over(worker, now)
    if over > OVER_LONG:
        # The estimates have failed here: without this a target could be missed for seconds, by
        # neighbours that are thought harmless.
        _clear(cell, fillers, over > OVER_TOO_LONG, model, worker, now)
        return
    hottest = _find_hottest(model, worker)
    if hottest is None:
        for run in fillers:
            _set_pace(cell, run, 100, now)
        return
    reached = model.utilization(hottest) / model.limit(hottest)
    if reached > HIGH:
        _slow(cell, model, worker, hottest, fillers, now)
    elif reached < LOW:
        _quicken(cell, model, worker, fillers, now)


def _find_longest_over(worker: Worker, now: Now) -> float:
    """Return for how long a serving task has been over its target, in seconds."""
    longest = 0.0
    for run in worker.runs.values():
        if not run.step.target or run.phase is not Phase.RUNNING:
            continue
        if run.measure <= run.step.target:
            run.over_target_since = 0.0
        elif not run.over_target_since:
            run.over_target_since = now.steady
        else:
            longest = max(longest, now.steady - run.over_target_since)
    return longest


def _clear(
    cell: Cell, fillers: list[Run], wholly: bool, model: InterferenceModel, worker: Worker, now: Now
) -> None:
    """Have what fills leave a worker, or stand still there."""
    utilization = estimate_utilization(model, worker, planned=True)
    for run in fillers:
        rise = predict_rise(model, utilization, run.step.image, run.step.cpu)
        if not wholly and rise < SLIGHT / 2:
            continue
        if run.step.checkpoints:
            stop_run(cell, run, "serving task over its target")
        elif run.pace > 0:
            run.paced_at = 0.0
            _set_pace(cell, run, 0, now)


def _find_hottest(model: InterferenceModel, worker: Worker) -> Run | None:
    serving = (
        run
        for run in worker.runs.values()
        if run.step.target and run.phase is Phase.RUNNING and run.measure > 0
    )
    return max(
        serving,
        key=lambda run: model.utilization(run) / max(0.05, model.limit(run)),
        default=None,
    )


def _slow(
    cell: Cell, model: InterferenceModel, worker: Worker, hottest: Run, fillers: list[Run], now: Now
) -> None:
    """Take away as much of what fills as brings the hottest task below its target."""
    if now.steady < worker.throttled_at + LAG:
        return
    worker.throttled_at = now.steady
    excess = model.utilization(hottest) - AIM * model.limit(hottest)
    costs = [
        (predict_rise_for_run(model, worker, hottest, run.step.image, estimate_used_cpu(run)), run)
        for run in fillers
    ]
    for cost, run in sorted(costs, key=lambda pair: -pair[0]):
        if excess <= 0 or cost < SLIGHT:
            return
        current = max(0, run.pace)
        share = min(current / 100, excess / cost) if cost > 0.01 else 0.0
        wanted = int((current - 100 * share) // STEP) * STEP
        if wanted >= current:
            continue
        excess -= cost * (current - max(0, wanted)) / 100
        if _moves_freely(run) or (
            wanted < LOWEST_PACE and run.percent < 30 and _has_better(cell, model, worker, run, now)
        ):
            stop_run(cell, run, "harms what serves")
        else:
            _set_pace(cell, run, max(0, wanted), now)


def _quicken(
    cell: Cell, model: InterferenceModel, worker: Worker, fillers: list[Run], now: Now
) -> None:
    """Give back what the worker can take, the task that has waited longest first."""
    if any(run.paced_at > now.steady - LAG for run in fillers):
        return
    for run in sorted(fillers, key=lambda run: run.paced_at):
        if run.pace >= 100:
            continue
        for wanted in (100, 60, 30):
            more = run.step.cpu * (wanted - max(0, run.pace)) // 100
            if more <= 0:
                break
            if (
                predict_share(model, estimate_utilization(model, worker), run.step.image, more)
                < AIM
            ):
                _set_pace(cell, run, wanted, now)
                break


def _has_better(cell: Cell, model: InterferenceModel, worker: Worker, run: Run, now: Now) -> bool:
    """
    Tell whether another worker could take a task without harm.

    One that fails what it starts is empty, and would always be the better place.
    """
    for other in list_eligible(cell, now):
        if other is worker or other.suspect_until > now.steady:
            continue
        if not has_room(other, run.step):
            continue
        utilization = estimate_utilization(model, other, planned=True)
        if utilization.used + run.step.cpu >= CROWD * utilization.capacity:
            continue
        if predict_share(model, utilization, run.step.image, run.step.cpu) < BETTER:
            return True
    return False


def _moves_freely(run: Run) -> bool:
    """Tell whether a task loses nothing by a stop, which saves what it has done."""
    return run.step.checkpoints


def _set_pace(cell: Cell, run: Run, percent: int, now: Now) -> None:
    if percent == run.pace or now.steady - run.paced_at < LAG:
        return
    run.pace = percent
    run.paced_at = now.steady
    run.progressed_at = now.steady
    cell.orders.append(PaceOrder(run.worker, run.task, run.attempt, percent))
