"""
Worker speed
============

Tell from the progress of all tasks on a worker whether it is slow.

Notes
-----
Load pattern: some workers run everything several times slower for seconds, while a few percent of
the tasks take several times as long as their siblings on any worker.  A single slow task says
little, two on one worker say much, whatever queues they are from.  So the evidence of all tasks is
summed up as the logarithm of the odds that the worker is slow.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell, SlowWorker
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = ["find_slow_worker", "group_rates", "update_rates"]

SAMPLE_TIME_S = 0.35  # over which progress is measured; workers report it in whole percent
MIN_SIBLINGS = 2  # on other workers; otherwise the queue's earlier tasks are the reference
SIBLING_DEVIATION = 0.25  # of the logarithm of the times of one step's tasks
SLOW_LOG_ODDS = math.log(0.01 / 0.99)  # of any worker, before its tasks are looked at
SLOW_LOG_RATIO = math.log(5.0)  # typical slowdown of a slow worker
SLOW_DEVIATION = 0.5  # of its logarithm
TAIL_LOG_RATIO = math.log(6.0)  # typical time of a tail task
TAIL_DEVIATION = 0.5  # of its logarithm
MIN_RATE = 0.2  # percent per s; a task without progress counts as one with this rate
MIN_CORE_SHARE = 0.1  # a task with fewer cores hardly makes progress to measure
SIBLING_TAIL_SHARE = 0.03  # of a step's tasks

Step = tuple[str, int]  # job and index of the step


@dataclass(frozen=True, slots=True)
class _Sample:
    """A task's time compared with the usual one, as a logarithm, and its distribution."""

    log_ratio: float
    deviation: float
    tail_share: float


def update_rates(worker: Worker) -> None:
    """Update the rates of progress of a worker's tasks from its latest report."""
    for run in worker.runs.values():
        if run.phase is not Phase.RUNNING or run.step.long_running:
            continue
        if run.pace < 100 or not run.sampled_at or run.percent < run.sampled_percent:
            _restart_sample(run)
            continue
        passed = run.last_listed_at - run.sampled_at
        if passed >= SAMPLE_TIME_S:
            progress = (run.percent - run.sampled_percent) / _share_of_cores(run)
            run.rate = max(MIN_RATE, progress / passed)
            run.sampled_at = run.last_listed_at
            run.sampled_percent = run.percent


def group_rates(workers: Iterable[Worker]) -> dict[Step, list[tuple[str, float]]]:
    """Return the worker and the rate of all tasks with a known rate, by step."""
    rates: dict[Step, list[tuple[str, float]]] = {}
    for worker in workers:
        for run in _list_measured(worker):
            key = (run.task.job, run.task.step)
            rates.setdefault(key, []).append((worker.entry.id, run.rate))
    return rates


def find_slow_worker(
    cell: Cell, rates: Mapping[Step, list[tuple[str, float]]], worker: Worker
) -> SlowWorker | None:
    """Return how slow a worker is, None if it is more likely as fast as others."""
    measured = [
        (run, sample) for run in _list_measured(worker) if (sample := _compare(cell, rates, run))
    ]
    if not measured:
        return None
    log_odds = SLOW_LOG_ODDS + sum(_weigh(sample) for _, sample in measured)
    if log_odds <= 0:
        return None
    factor = math.exp(statistics.median(sample.log_ratio for _, sample in measured))
    return SlowWorker(worker, factor, tuple(run for run, _ in measured))


def _share_of_cores(run: Run) -> float:
    """Return the share of its cores that a task gets; a crowded worker isn't a slow one."""
    if not run.step.best_effort or run.measure <= 0:
        return 1.0
    return min(1.0, max(MIN_CORE_SHARE, run.measure / max(1, run.step.cpu)))


def _restart_sample(run: Run) -> None:
    run.rate = 0.0
    run.sampled_at = run.last_listed_at
    run.sampled_percent = run.percent


def _list_measured(worker: Worker) -> Iterable[Run]:
    return (
        run
        for run in worker.runs.values()
        if run.rate and run.phase is Phase.RUNNING and not run.step.gang
    )


def _compare(cell: Cell, rates: Mapping[Step, list[tuple[str, float]]], run: Run) -> _Sample | None:
    """Compare a task's time with its siblings' on other workers or with its queue's."""
    siblings = [
        rate
        for worker, rate in rates.get((run.task.job, run.task.step), ())
        if worker != run.worker
    ]
    if len(siblings) >= MIN_SIBLINGS:
        ratio = statistics.median(siblings) / run.rate
        return _Sample(math.log(ratio), SIBLING_DEVIATION, SIBLING_TAIL_SHARE)
    live = cell.jobs.get(run.task.job)
    times = cell.task_times.get(live.job.queue) if live is not None else None
    if times is None or not times.known or run.step.estimate <= 0:
        return None
    log_ratio = math.log(100_000 / run.rate / run.step.estimate) - times.mean
    return _Sample(log_ratio, times.deviation, times.tail_share)


def _weigh(sample: _Sample) -> float:
    """Return how much more likely a slow worker explains a task's time, as a logarithm."""
    # The distribution of slow workers is wider, so it would also explain very short times.
    log_ratio = max(0.0, sample.log_ratio)
    slow = _density(log_ratio, SLOW_LOG_RATIO, math.hypot(sample.deviation, SLOW_DEVIATION))
    usual = _density(log_ratio, 0.0, sample.deviation)
    tail = _density(log_ratio, TAIL_LOG_RATIO, math.hypot(sample.deviation, TAIL_DEVIATION))
    share = sample.tail_share
    return math.log((1 - share) * slow + share * tail + 1e-12) - math.log(
        (1 - share) * usual + share * tail + 1e-12
    )


def _density(value: float, mean: float, deviation: float) -> float:
    return math.exp(-(((value - mean) / deviation) ** 2) / 2) / deviation
