"""
Learning what sharing costs
===========================

Find the load of each serving job, and what the images that fill beside it add to it.

Notes
-----
Tasks of one job carry the same load, so those with harmless neighbours show what the job's load is,
and the others show what their neighbours cost.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = ["MAX_SAMPLES_PER_S", "MEASUREMENT_MAX_AGE_S", "learn_effects", "measure_loads"]

WARM_UP_S = 3.0  # s after its start in which a serving task's tail may look lower than any later
MEASUREMENT_MAX_AGE_S = 1.5  # s for which a measurement counts
LOAD_MAX_AGE_S = 15.0  # s after which a job's load that nobody measures is forgotten
MAX_UNDISTURBED_GROWTH = 0.1  # growth by neighbours up to which a task shows its job's load
TAIL_NOISE = 0.06  # of a tail, a mean of half a second
MODEL_NOISE = 0.08  # of a factor, that more measurements don't take away
DISTURBED_NOISE = 0.4  # more of it where all tasks of a job have harmful neighbours
LEARN_PERIOD_S = (
    0.4  # s: workers measure over half a second, so earlier answers repeat the last one
)
MAX_SAMPLES_PER_S = 250.0  # a second, of all workers: more of them measure the same pairs at once
MIN_LOAD = 0.05  # below which a factor says nothing


def measure_loads(cell: Cell, model: InterferenceModel, now: Now) -> None:
    """Find the load of each serving job from its tasks' tails."""
    found: dict[str, list[tuple[float, float]]] = {}
    for worker in cell.workers.values():
        if not worker.serving_count or now.steady - worker.answered_at > MEASUREMENT_MAX_AGE_S:
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
        value, undisturbed = _estimate_load(values)
        model.record_load(job, value, undisturbed, now.steady)
    for job in [job for job, load in model.loads.items() if now.steady - load.at > LOAD_MAX_AGE_S]:
        del model.loads[job]


def learn_effects(model: InterferenceModel, worker: Worker, workers: int, now: Now) -> None:
    """
    Learn from the newest measurements of one of so many workers.

    A sample costs as much as an answer, and on hundreds of workers learning from each of them would
    be a large part of an owner's work, though a pair of images is measured on many of them.
    """
    period = max(LEARN_PERIOD_S, workers / MAX_SAMPLES_PER_S)
    if (
        not worker.serving_count
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
    """Return the share of a worker's cores that each filling image uses."""
    core_shares: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.best_effort and run.phase is Phase.RUNNING and run.measure > 0:
            share = run.measure / max(1, worker.entry.cpu)
            core_shares[run.step.image] = core_shares.get(run.step.image, 0.0) + share
    return core_shares


def _sum_growth(model: InterferenceModel, image: str, core_shares: dict[str, float]) -> float:
    return sum(
        share * model.expected_effect(image, filling) for filling, share in core_shares.items()
    )


def _estimate_load(values: list[tuple[float, float]]) -> tuple[float, bool]:
    """
    Return a job's load from pairs of the neighbours' growth and the load without it.

    The flag says that some of its tasks have harmless neighbours.
    Where all tasks have harmful neighbours the least is taken: estimates of growth that are too
    low would otherwise pass for load.
    """
    undisturbed = [value for growth, value in values if growth <= MAX_UNDISTURBED_GROWTH]
    if undisturbed:
        return sum(undisturbed) / len(undisturbed), True
    return min(value for _, value in values), False


def _is_measured(run: Run) -> bool:
    return (
        run.step.target > 0
        and run.phase is Phase.RUNNING
        and run.measure > 0
        and run.percent >= 100
    )
