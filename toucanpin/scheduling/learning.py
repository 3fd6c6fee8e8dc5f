"""
Learning of interference
========================

Estimate the load of each latency-critical job, and the effects of best-effort images on it.

Notes
-----
Tasks of one job have the same load, so those with harmless neighbours reveal the job's load, and
the others the effects of their neighbours.
"""

from __future__ import annotations

import statistics

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = ["MAX_SAMPLES_PER_S", "MEASUREMENT_MAX_AGE_S", "learn_effects", "measure_loads"]

WARM_UP_S = 3.0  # after a start, in which a task's tail may be lower than later
MEASUREMENT_MAX_AGE_S = 1.5
LOAD_MAX_AGE_S = 15.0  # without measurements, after which a job's load is dropped
MAX_UNDISTURBED_GROWTH = 0.1  # by neighbours, up to which a task reveals its job's load
TAIL_NOISE = 0.06  # relative deviation of a tail, a mean over half a second
MODEL_NOISE = 0.08  # relative error of a factor that more measurements don't reduce
DISTURBED_NOISE = 0.4  # added if all tasks of a job have harmful neighbours
LEARN_PERIOD_S = 0.4  # workers measure over half a second, so answers in between repeat a value
MAX_SAMPLES_PER_S = 250.0  # of all workers, many of which measure the same pairs of images
# Neighbours saturate a service at most this far; a tail beyond it shows a worker that hangs.
MAX_LEARNED_UTILIZATION = 2.0
MIN_LOAD = 0.05  # below which a factor is too inaccurate


def measure_loads(cell: Cell, model: InterferenceModel, now: Now) -> None:
    """Estimate the load of each latency-critical job from its tasks' tails."""
    found: dict[str, list[tuple[float, float]]] = {}
    for worker in cell.workers.values():
        if (
            not worker.latency_critical_count
            or now.steady - worker.answered_at > MEASUREMENT_MAX_AGE_S
        ):
            continue
        core_shares = _compute_core_shares(worker)
        for run in worker.runs.values():
            if _is_measured(run):
                if now.steady - run.started_at > WARM_UP_S:
                    model.record_tail(run.step.image, run.measure, now.steady)
                growth = _sum_growth(model, run.step.image, core_shares)
                value = model.utilization(run) / (1 + growth)
                found.setdefault(run.task.job, []).append((growth, value))
    for job, values in found.items():
        estimate = _estimate_load if model.plan is None else _estimate_robust_load
        value, undisturbed = estimate(values)
        model.record_load(job, value, undisturbed, now.steady)
    for job in [job for job, load in model.loads.items() if now.steady - load.at > LOAD_MAX_AGE_S]:
        del model.loads[job]


def learn_effects(model: InterferenceModel, worker: Worker, workers: int, now: Now) -> None:
    """
    Learn from the newest measurements of one worker; ``workers`` is the number of all workers.

    The rate of samples is limited: processing one takes as long as an answer of a worker, and with
    hundreds of workers it would take a large part of an owner's time, though many of them measure
    the same pairs of images.
    """
    period = max(LEARN_PERIOD_S, workers / MAX_SAMPLES_PER_S)
    if (
        not worker.latency_critical_count
        or not worker.best_effort_count
        or now.steady < worker.learned_at + period
    ):
        return
    core_shares = _compute_core_shares(worker)
    if not core_shares:
        return
    worker.learned_at = now.steady
    samples: dict[str, list[tuple[float, float]]] = {}
    for run in worker.runs.values():
        if not _is_measured(run) or run.task.job not in model.loads:
            continue
        if model.plan is not None and model.utilization(run) > MAX_LEARNED_UTILIZATION:
            continue
        load = model.load(run)
        if load > MIN_LOAD:
            used = model.utilization(run)
            noise = TAIL_NOISE * max(0.0, 1 - used) / load
            if not model.loads[run.task.job].undisturbed:
                noise += DISTURBED_NOISE
            samples.setdefault(run.step.image, []).append((used / load, noise))
    for image, values in samples.items():
        count = len(values)
        factor = sum(value for value, _ in values) / count
        noise = sum(noise for _, noise in values) / count / count**0.5
        model.learn(now.steady, image, factor, MODEL_NOISE * max(1.0, factor) + noise, core_shares)


def _compute_core_shares(worker: Worker) -> dict[str, float]:
    """Return the share of a worker's cores that each best-effort image uses."""
    core_shares: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.best_effort and run.phase is Phase.RUNNING and run.measure > 0:
            share = run.measure / max(1, worker.entry.cpu)
            core_shares[run.step.image] = core_shares.get(run.step.image, 0.0) + share
    return core_shares


def _sum_growth(model: InterferenceModel, image: str, core_shares: dict[str, float]) -> float:
    return sum(
        share * model.expected_effect(image, neighbour) for neighbour, share in core_shares.items()
    )


def _estimate_load(values: list[tuple[float, float]]) -> tuple[float, bool]:
    """
    Return a job's load, and whether some of its tasks have harmless neighbours.

    ``values`` holds for each task the growth by its neighbours and the load without that growth.
    If all tasks have harmful neighbours the lowest load is returned, since underestimated growth
    appears as load.
    """
    undisturbed = [value for growth, value in values if growth <= MAX_UNDISTURBED_GROWTH]
    if undisturbed:
        return sum(undisturbed) / len(undisturbed), True
    return min(value for _, value in values), False


def _estimate_robust_load(values: list[tuple[float, float]]) -> tuple[float, bool]:
    """
    Return a job's load like ``_estimate_load``, but from the median of the undisturbed tasks.

    Tasks on a worker that hangs have tails of seconds: one of them would raise the mean of its job
    far above the limit, and best-effort tasks would leave all workers of the job.
    """
    value, undisturbed = _estimate_load(values)
    if undisturbed:
        value = statistics.median(
            value for growth, value in values if growth <= MAX_UNDISTURBED_GROWTH
        )
    return value, undisturbed


def _is_measured(run: Run) -> bool:
    return (
        run.step.target > 0
        and run.phase is Phase.RUNNING
        and run.measure > 0
        and run.percent >= 100
    )
