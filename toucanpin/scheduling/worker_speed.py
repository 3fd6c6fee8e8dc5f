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
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.worker import Phase, Run, Worker
from toucanpin.scheduling.worker_faults import SlowWorker

__all__ = ["StepRates", "find_slow_worker", "update_rates"]

SAMPLE_TIME_S = 0.35  # over which progress is measured at least
MIN_SAMPLE_PERCENT = 5  # of progress; workers report it in whole percent
MAX_SIBLINGS = 40  # of one step, that are looked at
MIN_SIBLINGS = 2  # on other workers; otherwise the queue's earlier tasks are the reference
SIBLING_DEVIATION = 0.25  # of the logarithm of the times of one step's tasks
SLOW_LOG_ODDS = math.log(0.01 / 0.99)  # of any worker, before its tasks are looked at
SLOW_LOG_RATIO = math.log(5.0)  # typical slowdown of a slow worker
SLOW_DEVIATION = 0.5  # of its logarithm
TAIL_LOG_RATIO = math.log(6.0)  # typical time of a tail task
TAIL_DEVIATION = 0.5  # of its logarithm
MIN_CORE_SHARE = 0.1  # a task with fewer cores hardly makes progress to measure
SIBLING_TAIL_SHARE = 0.03  # of a step's tasks

Step = tuple[str, int]  # job and index of the step


@dataclass(frozen=True, slots=True)
class _Sample:
    """A task's time compared with the usual one, as a logarithm, and its distribution."""

    log_ratio: float
    deviation: float
    tail_share: float


class StepRates:
    """Rates of the tasks of each step, read once in a turn."""

    __slots__ = ("_cell", "_rates")

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self._rates: dict[Step, list[tuple[str, float]]] = {}

    def list_others(self, run: Run) -> list[float]:
        """Return the rates of a task's siblings on other workers."""
        if len(self._cell.runs.get(run.task.job, ())) <= MIN_SIBLINGS:
            return []
        step = (run.task.job, run.task.step)
        if step not in self._rates:
            self._rates[step] = list(islice(self._list_rates(step), MAX_SIBLINGS))
        return [rate for worker, rate in self._rates[step] if worker != run.worker]

    def _list_rates(self, step: Step) -> Iterator[tuple[str, float]]:
        for run in self._cell.runs.get(step[0], ()):
            if run.task.step == step[1] and run.max_rate and run.phase is Phase.RUNNING:
                yield run.worker, run.rate


def update_rates(worker: Worker) -> bool:
    """Update the rates of a worker's tasks from its latest report; return whether any changed."""
    if worker.rates_updated_at == worker.answered_at:
        return False
    worker.rates_updated_at = worker.answered_at
    changed = [run for run in worker.runs.values() if _update_rate(worker, run)]
    return bool(changed)


def find_slow_worker(cell: Cell, rates: StepRates, worker: Worker) -> SlowWorker | None:
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


def _update_rate(worker: Worker, run: Run) -> bool:
    """
    Update the rate of a task from its worker's latest report; return whether it changed.

    The worker's clock tells when it measured the progress: an owner that stood still reads reports
    late, and all its workers would look slow.  Progress is in whole percent: a long task makes none
    in this time, so a task is judged by the most that it may have made.
    """
    measured = run.phase is Phase.RUNNING and not run.step.long_running
    if not measured or run.last_listed_at < worker.answered_at:
        return False
    if run.pace < 100 or not run.sampled_at or run.percent < run.sampled_percent:
        run.rate = run.max_rate = 0.0
        run.rate_accurate = False
        _begin_sample(worker, run)
        return False
    passed = (worker.clock - run.sampled_at) / 1_000
    if passed < SAMPLE_TIME_S:
        return False
    progress = run.percent - run.sampled_percent
    scale = passed * _share_of_cores(run)
    max_rate = (progress + 1) / scale
    if progress >= MIN_SAMPLE_PERCENT:
        run.rate = run.max_rate = progress / scale
        run.rate_accurate = True
        _begin_sample(worker, run)
    elif not run.rate_accurate:
        run.rate = progress / scale
        run.max_rate = max_rate
    elif max_rate < run.rate:
        run.rate = run.max_rate = max_rate
    return True


def _begin_sample(worker: Worker, run: Run) -> None:
    run.sampled_at = worker.clock
    run.sampled_percent = run.percent


def _share_of_cores(run: Run) -> float:
    """Return the share of its cores that a task gets; a crowded worker isn't a slow one."""
    if not run.step.best_effort or run.measure <= 0:
        return 1.0
    return min(1.0, max(MIN_CORE_SHARE, run.measure / max(1, run.step.cpu)))


def _list_measured(worker: Worker) -> Iterable[Run]:
    return (
        run
        for run in worker.runs.values()
        if run.max_rate and run.phase is Phase.RUNNING and not run.step.gang
    )


def _compare(cell: Cell, rates: StepRates, run: Run) -> _Sample | None:
    """Compare a task's time with its siblings' on other workers or with its queue's."""
    siblings = rates.list_others(run)
    typical = statistics.median(siblings) if len(siblings) >= MIN_SIBLINGS else 0.0
    if typical:
        log_ratio = math.log(typical / run.max_rate)
        return _Sample(log_ratio, SIBLING_DEVIATION, SIBLING_TAIL_SHARE)
    live = cell.jobs.get(run.task.job)
    times = cell.task_times.get(live.job.queue) if live is not None else None
    if times is None or not times.known or run.step.estimate <= 0:
        return None
    log_ratio = math.log(100_000 / run.max_rate / run.step.estimate) - times.mean
    return _Sample(log_ratio, times.deviation, times.tail_share)


def _weigh(sample: _Sample) -> float:
    """Return how much more likely a slow worker explains a task's time, as a logarithm."""
    # The distribution of slow workers is wider, so it would also explain very short times.
    log_ratio = max(0.0, sample.log_ratio)
    slow = _density(log_ratio, SLOW_LOG_RATIO, math.hypot(sample.deviation, SLOW_DEVIATION))
    usual = _density(log_ratio, 0.0, sample.deviation)
    tail = _density(log_ratio, TAIL_LOG_RATIO, math.hypot(sample.deviation, TAIL_DEVIATION))
    share = _share_of_running(sample.tail_share)
    return math.log((1 - share) * slow + share * tail + 1e-12) - math.log(
        (1 - share) * usual + share * tail + 1e-12
    )


def _share_of_running(tail_share: float) -> float:
    """Return the share of tail tasks among those that run, where they stay longer than others."""
    weight = tail_share * math.exp(TAIL_LOG_RATIO)
    return weight / (1 - tail_share + weight)


def _density(value: float, mean: float, deviation: float) -> float:
    return math.exp(-(((value - mean) / deviation) ** 2) / 2) / deviation
