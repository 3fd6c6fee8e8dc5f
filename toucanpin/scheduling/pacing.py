"""
Pacing of best-effort tasks
===========================

Slow down, speed up or stop best-effort tasks, so that latency-critical tasks on the same worker
meet their targets.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.choosing import list_eligible
from toucanpin.scheduling.colocation_plan import update_plan
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
from toucanpin.scheduling.standing_jobs import MIN_KEPT_PACE_PERCENT
from toucanpin.scheduling.stopping import stop_run
from toucanpin.scheduling.worker import Phase, Run, Worker, has_room

__all__ = ["control_pace"]

CONTROL_PERIOD_S = 0.2  # workers measure every 0.4 s
EFFECT_LAG_S = 0.7  # from an order until the tail, a mean over half a second, shows its effect
# Shares of the utilization at which a latency-critical task reaches its target.
MAX_TARGET_SHARE = 0.95  # best-effort tasks are slowed down above it
AIMED_TARGET_SHARE = 0.9  # aim of slowing down
SPEED_UP_SHARE = 0.9  # best-effort tasks are sped up below it
# A target may not be exceeded for four seconds.  Harmful tasks are stopped after the first time and
# all best-effort tasks after the second, whatever the model estimates.
EVICT_HARMFUL_AFTER_S = 0.9
EVICT_ALL_AFTER_S = 1.8
MIN_PACE_PERCENT = 30  # a task that would have to run slower is moved if another worker has room
PACE_STEP_PERCENT = 10
NEGLIGIBLE_RISE = 0.04  # of utilization: slowing down a task that adds less only costs work
MAX_DESTINATION_SHARE = 0.92  # of the limit that another worker may reach with a moved task
MAX_DESTINATION_CORES = 1.3  # of the other worker's cores that may be requested


def control_pace(cell: Cell, model: InterferenceModel, now: Now) -> None:
    """Adjust the pace of the best-effort tasks on each worker."""
    if now.steady < cell.paced_at + CONTROL_PERIOD_S:
        return
    cell.paced_at = now.steady
    measure_loads(cell, model, now)
    if model.plan is not None:
        update_plan(cell, model.plan, now)
    for worker in cell.workers.values():
        # An owner process that was suspended holds old measurements and hasn't marked its workers
        # as silent yet.
        fresh = now.steady - worker.answered_at <= MEASUREMENT_MAX_AGE_S
        if worker.best_effort_count and worker.reached and not worker.silent and fresh:
            _control_worker(cell, model, worker, now)


def _control_worker(cell: Cell, model: InterferenceModel, worker: Worker, now: Now) -> None:
    best_effort = [
        run for run in worker.runs.values() if run.step.best_effort and run.phase is Phase.RUNNING
    ]
    if not best_effort:
        return
    violation = _find_longest_violation(worker, now)
    if violation > EVICT_HARMFUL_AFTER_S:
        # The estimates are wrong for this worker: neighbours that seem harmless could make a task
        # miss its target for seconds.
        _evict(cell, best_effort, violation > EVICT_ALL_AFTER_S, model, worker, now)
        return
    most_loaded = _find_most_loaded(model, worker)
    if most_loaded is None:
        for run in best_effort:
            _set_pace(cell, run, 100, now)
        return
    target_share = model.utilization(most_loaded) / model.limit(most_loaded)
    if target_share > MAX_TARGET_SHARE:
        _slow_down(cell, model, worker, most_loaded, best_effort, now)
    elif target_share < SPEED_UP_SHARE:
        _speed_up(cell, model, worker, best_effort, now)


def _find_longest_violation(worker: Worker, now: Now) -> float:
    """Return for how long a latency-critical task has exceeded its target, in s."""
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


def _evict(
    cell: Cell,
    best_effort: list[Run],
    evict_all: bool,
    model: InterferenceModel,
    worker: Worker,
    now: Now,
) -> None:
    """Stop best-effort tasks on a worker, or pause those that can't resume elsewhere."""
    utilization = estimate_utilization(model, worker, planned=True)
    is_own_load = _is_loaded_by_itself(model, worker)
    for run in best_effort:
        rise = predict_rise(model, utilization, run.step.image, run.step.cpu)
        if not evict_all and rise < NEGLIGIBLE_RISE / 2:
            continue
        if run.kept and _is_at_lowest_pace(run) and is_own_load:
            continue
        if run.step.checkpoints:
            stop_run(cell, run, "serving task over its target")
        elif run.pace > 0:
            run.paced_at = 0.0
            _set_pace(cell, run, 0, now)


def _is_at_lowest_pace(run: Run) -> bool:
    return run.pace <= MIN_KEPT_PACE_PERCENT


def _is_loaded_by_itself(model: InterferenceModel, worker: Worker) -> bool:
    """Return whether all services over their target would be so without their neighbours."""
    return all(
        model.load(run) >= model.limit(run)
        for run in worker.runs.values()
        if run.step.target and run.phase is Phase.RUNNING and run.measure > run.step.target
    )


def _find_most_loaded(model: InterferenceModel, worker: Worker) -> Run | None:
    service_runs = (
        run
        for run in worker.runs.values()
        if run.step.target and run.phase is Phase.RUNNING and run.measure > 0
    )
    return max(
        service_runs,
        key=lambda run: model.utilization(run) / max(0.05, model.limit(run)),
        default=None,
    )


def _slow_down(
    cell: Cell,
    model: InterferenceModel,
    worker: Worker,
    most_loaded: Run,
    best_effort: list[Run],
    now: Now,
) -> None:
    """Slow down best-effort tasks until the most loaded task is below its target."""
    if now.steady < worker.slowed_down_at + EFFECT_LAG_S:
        return
    worker.slowed_down_at = now.steady
    excess = model.utilization(most_loaded) - AIMED_TARGET_SHARE * model.limit(most_loaded)
    costs = [
        (
            predict_rise_for_run(
                model, worker, most_loaded, run.step.image, estimate_used_cpu(run)
            ),
            run,
        )
        for run in best_effort
    ]
    for cost, run in sorted(costs, key=lambda pair: -pair[0]):
        if excess <= 0 or cost < NEGLIGIBLE_RISE:
            return
        current = max(0, run.pace)
        share = min(current / 100, excess / cost) if cost > 0.01 else 0.0
        new_pace = int((current - 100 * share) // PACE_STEP_PERCENT) * PACE_STEP_PERCENT
        if new_pace >= current:
            continue
        excess -= cost * (current - max(0, new_pace)) / 100
        if run.kept and not _is_at_lowest_pace(run):
            _set_pace(cell, run, max(MIN_KEPT_PACE_PERCENT, new_pace), now)
        elif _is_resumable(run) or (
            new_pace < MIN_PACE_PERCENT
            and run.percent < 30
            and _has_better_worker(cell, model, worker, run, now)
        ):
            stop_run(cell, run, "harms what serves")
        else:
            _set_pace(cell, run, max(0, new_pace), now)


def _speed_up(
    cell: Cell, model: InterferenceModel, worker: Worker, best_effort: list[Run], now: Now
) -> None:
    """Speed up best-effort tasks as far as possible, the least recently paced first."""
    if any(run.paced_at > now.steady - EFFECT_LAG_S for run in best_effort):
        return
    for run in sorted(best_effort, key=lambda run: run.paced_at):
        if run.pace >= 100:
            continue
        for new_pace in (100, 60, 30):
            extra_cpu = run.step.cpu * (new_pace - max(0, run.pace)) // 100
            if extra_cpu <= 0:
                break
            if (
                predict_share(model, estimate_utilization(model, worker), run.step.image, extra_cpu)
                < AIMED_TARGET_SHARE
            ):
                _set_pace(cell, run, new_pace, now)
                break


def _has_better_worker(
    cell: Cell, model: InterferenceModel, worker: Worker, run: Run, now: Now
) -> bool:
    """
    Return whether another worker could take a task without interference.

    Suspect workers don't count: one on which all tasks fail is empty and would always look best.
    """
    for other in list_eligible(cell, now):
        if other is worker or other.suspect_until > now.steady:
            continue
        if not has_room(other, run.step):
            continue
        utilization = estimate_utilization(model, other, planned=True)
        if utilization.used + run.step.cpu >= MAX_DESTINATION_CORES * utilization.capacity:
            continue
        if predict_share(model, utilization, run.step.image, run.step.cpu) < MAX_DESTINATION_SHARE:
            return True
    return False


def _is_resumable(run: Run) -> bool:
    """Return whether a task saves its progress when it is stopped."""
    return run.step.checkpoints


def _set_pace(cell: Cell, run: Run, percent: int, now: Now) -> None:
    if percent == run.pace or now.steady - run.paced_at < EFFECT_LAG_S:
        return
    run.pace = percent
    run.paced_at = now.steady
    run.progressed_at = now.steady
    cell.orders.append(PaceOrder(run.worker, run.task, run.attempt, percent))
