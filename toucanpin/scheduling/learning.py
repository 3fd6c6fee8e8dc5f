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

__all__ = ["FRESH", "MOST_SAMPLES", "learn_effects", "measure_loads"]

WARM_UP = 3.0  # s after its start in which a serving task's tail may look lower than any later
FRESH = 1.5  # s for which a measurement counts
FORGET = 15.0  # s after which a job's load that nobody measures is forgotten
CLEAN = 0.1  # growth by neighbours up to which a task shows its job's load
TAIL_NOISE = 0.06  # of a tail, a mean of half a second
MODEL_NOISE = 0.08  # of a factor, that more measurements don't take away
UNCLEAN_NOISE = 0.4  # more of it where all tasks of a job have harmful neighbours
LEARN_PERIOD = 0.4  # s: workers measure over half a second, so earlier answers repeat the last one
MOST_SAMPLES = 250.0  # a second, of all workers: more of them measure the same pairs at once
LEAST_LOAD = 0.05  # below which a factor says nothing


def measure_loads(cell: Cell, model: InterferenceModel, now: Now) -> None:
    """Find the load of each serving job from its tasks' tails."""
    found: dict[str, list[tuple[float, float]]] = {}
    for worker in cell.workers.values():
        if not worker.serving_count or now.steady - worker.answered_at > FRESH:
            continue
        amounts = _list_amounts(worker)
        for run in worker.runs.values():
            if _is_measured(run):
                if now.steady - run.started_at > WARM_UP:
                    model.note_tail(run.step.image, run.measure, now.steady)
                growth = _sum_growth(model, run.step.image, amounts)
                value = model.utilization(run) / (1 + growth)
                found.setdefault(run.task.job, []).append((growth, value))
    for job, values in found.items():
        value, clean = _estimate_load(values)
        model.note_load(job, value, clean, now.steady)
    for job in [job for job, load in model.loads.items() if now.steady - load.at > FORGET]:
        del model.loads[job]


def learn_effects(model: InterferenceModel, worker: Worker, workers: int, now: Now) -> None:
    """
    Learn from the newest measurements of one of so many workers.

    A sample costs as much as an answer, and on hundreds of workers learning from each of them would
    be a large part of an owner's work, though a pair of images is measured on many of them.
    """
    period = max(LEARN_PERIOD, workers / MOST_SAMPLES)
    if (
        not worker.serving_count
        or not worker.best_effort_count
        or now.steady < worker.learned_at + period
    ):
        return
    amounts = _list_amounts(worker)
    if not amounts:
        return
    worker.learned_at = now.steady
    samples: dict[str, list[tuple[float, float]]] = {}
    for run in worker.runs.values():
        if not _is_measured(run) or run.task.job not in model.loads:
            continue
        load = model.load(run)
        if load > LEAST_LOAD:
            used = model.utilization(run)
            noise = TAIL_NOISE * max(0.0, 1 - used) / load
            if not model.loads[run.task.job].clean:
                noise += UNCLEAN_NOISE
            samples.setdefault(run.step.image, []).append((used / load, noise))
    for image, values in samples.items():
        count = len(values)
        factor = sum(value for value, _ in values) / count
        noise = sum(noise for _, noise in values) / count / count**0.5
        model.learn(now.steady, image, factor, MODEL_NOISE * max(1.0, factor) + noise, amounts)


def _list_amounts(worker: Worker) -> dict[str, float]:
    """Return the share of a worker's cores that each filling image uses."""
    amounts: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.best_effort and run.phase is Phase.RUNNING and run.measure > 0:
            share = run.measure / max(1, worker.entry.cpu)
            amounts[run.step.image] = amounts.get(run.step.image, 0.0) + share
    return amounts


def _sum_growth(model: InterferenceModel, image: str, amounts: dict[str, float]) -> float:
    return sum(share * model.expected_effect(image, filling) for filling, share in amounts.items())


def _estimate_load(values: list[tuple[float, float]]) -> tuple[float, bool]:
    """
    Return a job's load from pairs of the neighbours' growth and the load without it.

    The flag says that some of its tasks have harmless neighbours.
    Where all tasks have harmful neighbours the least is taken: estimates of growth that are too
    low would otherwise pass for load.
    """
    clean = [value for growth, value in values if growth <= CLEAN]
    if clean:
        return sum(clean) / len(clean), True
    return min(value for _, value in values), False


def _is_measured(run: Run) -> bool:
    return (
        run.step.target > 0
        and run.phase is Phase.RUNNING
        and run.measure > 0
        and run.percent >= 100
    )
