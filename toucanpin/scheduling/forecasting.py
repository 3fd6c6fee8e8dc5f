"""
Forecasting
===========

Estimate how long new jobs of each class of queues will wait for room.

Notes
-----
The load it answers: more short work arrives than a fleet can serve, or a fleet loses part of its
room.  Waiting jobs that can still be on time come first, so late ones wait until less arrives than
is served.  All work is counted in thousandths of cores times seconds, as predicted from callers'
estimates.  Work that was done is counted in the same way, so an error of the estimates cancels out.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable, Iterator

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.evacuating import list_not_evacuated
from toucanpin.scheduling.forecast import NEVER_MS, Forecast, QueueForecast
from toucanpin.scheduling.load_history import (
    LoadHistory,
    QueueClass,
    get_lasting_rate,
    update_lasting_rate,
    update_rates,
)
from toucanpin.scheduling.queue_demand import Demand, sum_demands
from toucanpin.scheduling.worker import Worker

__all__ = ["make_forecast"]

MAX_GAP_S = 2.0  # between two forecasts, after which rates are observed anew
MIN_OBSERVATION_S = 3.0  # before rates of a new owner are reliable
MAX_CONFIRMATION_AGE_S = 1.0  # without a confirmed write an owner starts nothing
MAX_CLASSES = 24  # in a forecast, the most urgent ones


def make_forecast(cell: Cell, history: LoadHistory, now: Now) -> Forecast | None:
    """Return a forecast, None until rates have been observed for a while without a gap."""
    elapsed = now.steady - history.made_at
    stalled = now.steady - cell.confirmed_at > MAX_CONFIRMATION_AGE_S
    first = elapsed > MAX_GAP_S or stalled
    if first:
        # What happened in the gap isn't known, and rates would be too low after a standstill.
        history.began = now.steady
        history.jobs.clear()
        history.rates.clear()
    demands = sum_demands(cell, history, now, first)
    history.made_at = now.steady
    if first:
        return None
    for key, demand in demands.items():
        update_rates(history.rates[key], demand.arrived, demand.done, elapsed)
    for key in history.rates.keys() - demands.keys():
        update_rates(history.rates[key], 0.0, 0.0, elapsed)
    if now.steady < history.began + MIN_OBSERVATION_S:
        return None
    return Forecast(now.table, tuple(_list_forecasts(cell, history, demands, now))[:MAX_CLASSES])


def _list_forecasts(
    cell: Cell, history: LoadHistory, demands: dict[QueueClass, Demand], now: Now
) -> Iterator[QueueForecast]:
    """Yield the forecast of each class in which work waits, the most urgent first."""
    workers = list_not_evacuated(cell)
    waiting = (key for key, demand in demands.items() if demand.waiting)
    for key in sorted(waiting, key=lambda key: (key.priority, key.best_effort)):
        rates = history.rates[key]
        before = [other for other in demands if _precedes(other, key)]
        room = max(
            sum(history.rates[other].serving.mean for other in before),
            sum(demands[other].running for other in before) + _sum_takeable(key, workers),
        )
        on_time = sum(demands[other].on_time for other in before)
        late = sum(demands[other].late for other in before)
        wait = _to_wait(on_time, room)
        slack, limit = _find_times(demands[key])
        lasting = sum(get_lasting_rate(history.rates[other], limit) for other in before)
        update_lasting_rate(rates, wait / slack, lasting, now)
        late_wait = _to_wait(on_time + late, room - rates.lasting)
        yield QueueForecast(key.priority, key.best_effort, wait, late_wait)


def _precedes(other: QueueClass, key: QueueClass) -> bool:
    """Return whether work of a class is served before or with that of another."""
    return other.best_effort == key.best_effort and other.priority <= key.priority


def _find_times(demand: Demand) -> tuple[float, float]:
    """Return the times in ms that a typical job of a class may wait and may take in all."""
    if not demand.limits:
        return math.inf, math.inf
    return max(1.0, statistics.median(demand.slacks)), statistics.median(demand.limits)


def _sum_takeable(key: QueueClass, workers: Iterable[Worker]) -> float:
    """
    Return the cores that a class could take now, beside those that it uses.

    Best-effort tasks that wait can't use the idle cores, or they would run there.
    """
    if key.best_effort:
        return 0.0
    total = 0.0
    for worker in workers:
        if worker.reached and not worker.silent:
            total += max(0, worker.entry.cpu - worker.cpu)
            total += sum(cpu for prio, cpu in worker.preemptible_cpu.items() if prio > key.priority)
    return total


def _to_wait(work: float, rate: float) -> int:
    """Return the time in ms in which work is done at a rate."""
    if work <= 0:
        return 0
    return min(NEVER_MS, int(work / rate * 1_000)) if rate > 0 else NEVER_MS
