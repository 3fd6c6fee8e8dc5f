"""
Forecast of queues
==================

Estimate how long new jobs of each queue class will wait for room.

Notes
-----
The load it answers: more short work arrives than a fleet can serve, or a fleet loses part of its
room.  Waiting jobs that can still be on time come first, so late ones wait until less arrives than
is served.  All work is counted in thousandths of cores times seconds, as predicted from callers'
estimates.  Work that was done is counted in the same way, so an error of the estimates cancels out.

The owner computes a forecast and publishes it with its row; entry hosts decide by it which jobs to
refuse.  It holds only what these decisions need.
"""

from __future__ import annotations

import math
import statistics
from collections import defaultdict, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from toucanpin.scheduling.cell import Cell, LiveJob, Now
from toucanpin.scheduling.evacuating import list_not_evacuated
from toucanpin.scheduling.job_order import Lateness, estimate_lateness
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.worker import Worker

__all__ = [
    "FORECAST_PERIOD_S",
    "NEVER_MS",
    "Forecast",
    "KnownForecast",
    "LoadHistory",
    "QueueForecast",
    "make_forecast",
]

FORECAST_PERIOD_S = 0.5  # between two forecasts
MAX_GAP_S = 2.0  # between two forecasts, after which rates are observed anew
MIN_OBSERVATION_S = 3.0  # before rates of a new owner are reliable
ARRIVAL_TIME_CONSTANT_S = 2.0  # of rates of arrival
SERVICE_TIME_CONSTANT_S = 6.0  # tasks that started together end together
# A load that has lasted for as long as jobs may take is expected to last on.
MIN_LASTING_S = 3.0
MAX_LASTING_S = 15.0
MAX_CONFIRMATION_AGE_S = 1.0  # without a confirmed write an owner starts nothing
RUNNING_SHARE_LEFT = 0.5  # of the work of a running task, on average
RECOVERED_SLACK = 0.6  # share of the typical slack, below which new jobs start in time
RECOVERY_S = 2.0  # in which they have to, until an overload counts as over
MAX_ARRIVAL_RATES = round(MAX_LASTING_S / FORECAST_PERIOD_S)
MAX_CLASSES = 24  # in a forecast, the most urgent ones
NEVER_MS = 600_000  # of wait, for work that isn't served at all


class QueueForecast(msgspec.Struct, frozen=True, array_like=True):
    """
    Expected waits of new jobs of one class of queues, in ms.

    ``on_time_wait`` is the time until the work of jobs is done that can still be on time;
    ``late_wait`` the time until all work is done that isn't worthless yet, which a job waits for
    once it can't be on time any more.
    """

    priority: int
    best_effort: bool
    on_time_wait: int
    late_wait: int

    @property
    def name(self) -> str:
        """Return the class as shown in logs and metrics."""
        return f"{self.priority}{' best-effort' if self.best_effort else ''}"


class Forecast(msgspec.Struct, frozen=True, array_like=True):
    """
    Expected waits at ``made_at`` on the table's clock, by class of queues.

    A class without an entry has room.  The version is that of the owner's row, its token and
    sequence.
    """

    made_at: int
    queues: tuple[QueueForecast, ...] = ()


@dataclass(frozen=True, slots=True)
class KnownForecast:
    """A forecast as known to an entry host, and its age in s."""

    forecast: Forecast
    age: float


@dataclass(frozen=True, slots=True, order=True)
class _QueueClass:
    """Tasks that compete for the same kind of room with the same priority."""

    best_effort: bool
    priority: int


@dataclass(slots=True)
class _Demand:
    """
    Work of one class, and the cores that its running tasks use, in thousandths.

    ``limits`` are the time limits in ms of jobs on time, ``slacks`` the times that they may wait.
    """

    on_time: float = 0.0
    late: float = 0.0
    arrived: float = 0.0
    done: float = 0.0
    running: float = 0.0
    waiting: bool = False
    slacks: list[int] = field(default_factory=list)
    limits: list[int] = field(default_factory=list)


@dataclass(slots=True)
class _Rate:
    """Exponentially weighted mean rate of work, corrected for the time before it was observed."""

    time_constant: float
    total: float = 0.0
    weight: float = 0.0

    def add(self, work: float, elapsed: float) -> None:
        """Add the work of the last ``elapsed`` seconds."""
        keep = math.exp(-elapsed / self.time_constant)
        self.total = self.total * keep + work / elapsed * (1 - keep)
        self.weight = self.weight * keep + 1 - keep

    @property
    def mean(self) -> float:
        """Return the mean rate in thousandths of cores."""
        return self.total / self.weight if self.weight else 0.0


@dataclass(slots=True)
class _Rates:
    """Observed rates of one class, and its state of overload."""

    arriving: _Rate = field(default_factory=lambda: _Rate(ARRIVAL_TIME_CONSTANT_S))
    arrivals: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVAL_RATES))
    serving: _Rate = field(default_factory=lambda: _Rate(SERVICE_TIME_CONSTANT_S))
    overloaded_at: float = -math.inf
    lasting: float = 0.0


@dataclass(slots=True)
class _JobWork:
    """Class and work of one task of each step of a job, and the work left by class."""

    steps: tuple[tuple[_QueueClass, float], ...]
    left: dict[_QueueClass, float] = field(default_factory=dict)


@dataclass(slots=True)
class LoadHistory:
    """What an owner remembers between two forecasts."""

    began: float = math.inf
    made_at: float = -math.inf
    jobs: dict[str, _JobWork] = field(default_factory=dict)
    rates: dict[_QueueClass, _Rates] = field(default_factory=lambda: defaultdict(_Rates))


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
    demands = _sum_demands(cell, history, now, first)
    history.made_at = now.steady
    if first:
        return None
    for key, demand in demands.items():
        _update_rates(history.rates[key], demand, elapsed)
    for key in history.rates.keys() - demands.keys():
        _update_rates(history.rates[key], _Demand(), elapsed)
    if now.steady < history.began + MIN_OBSERVATION_S:
        return None
    return Forecast(now.table, tuple(_list_forecasts(cell, history, demands, now))[:MAX_CLASSES])


def _sum_demands(
    cell: Cell, history: LoadHistory, now: Now, first: bool
) -> dict[_QueueClass, _Demand]:
    """Return the demands of all classes, and remember the work of each job."""
    demands: dict[_QueueClass, _Demand] = defaultdict(_Demand)
    waiting_steps: dict[str, int] = {}
    for group in cell.waiting:
        waiting_steps[group.job] = min(group.step, waiting_steps.get(group.job, group.step))
    before, history.jobs = history.jobs, {}
    for identifier in waiting_steps.keys() | cell.runs.keys():
        live = cell.jobs.get(identifier)
        if live is None or JobState(live.progress.state).ended or _lasts(live):
            continue
        known = before.pop(identifier, None)
        work = known or _JobWork(_list_step_work(cell, live))
        history.jobs[identifier] = work
        for key, amount in _sum_total_work(live, work).items() if known is None else ():
            work.left[key] = amount
            demands[key].arrived += 0.0 if first else amount
        left = _sum_work_left(cell, live, work, demands)
        for key, amount in work.left.items():
            demands[key].done += 0.0 if first else max(0.0, amount - left.get(key, 0.0))
        work.left = left
        _add_waiting(live, left, waiting_steps.get(identifier), demands, now)
    for identifier, work in before.items():
        live = cell.jobs.get(identifier)
        if live is not None and live.progress.state == JobState.COMPLETED:
            for key, amount in work.left.items():
                demands[key].done += amount
    return demands


def _add_waiting(
    live: LiveJob,
    left: dict[_QueueClass, float],
    step: int | None,
    demands: dict[_QueueClass, _Demand],
    now: Now,
) -> None:
    """Add a job's work left to demands; ``step`` is the first step with a waiting task, if any."""
    lateness = Lateness.ON_TIME if step is None else estimate_lateness(live, step, now)
    for key, amount in left.items():
        demand = demands[key]
        demand.waiting |= step is not None and lateness is not Lateness.EXPIRED
        match lateness:
            case Lateness.ON_TIME:
                demand.on_time += amount
                limit = live.objective - live.job.accepted
                demand.limits.append(limit)
                demand.slacks.append(limit - live.remaining_ms[0])
            case Lateness.LATE:
                demand.late += amount


def _list_step_work(cell: Cell, live: LiveJob) -> tuple[tuple[_QueueClass, float], ...]:
    """Return the class and the work of one task of each step."""
    job = live.job
    return tuple(
        (
            _QueueClass(step.best_effort, job.priority),
            step.cpu * max(1, cell.durations.predict(job.queue, step.estimate)) / 1_000,
        )
        for step in job.steps
    )


def _sum_total_work(live: LiveJob, work: _JobWork) -> dict[_QueueClass, float]:
    """Return the work of all steps of a job by class."""
    total: dict[_QueueClass, float] = defaultdict(float)
    for step, (key, amount) in zip(live.job.steps, work.steps, strict=True):
        total[key] += step.count * amount
    return total


def _sum_work_left(
    cell: Cell, live: LiveJob, work: _JobWork, demands: dict[_QueueClass, _Demand]
) -> dict[_QueueClass, float]:
    """Return a job's work left by class, and add the cores of its running tasks to demands."""
    running = [0.0] * len(work.steps)
    paces = [0] * len(work.steps)
    for run in cell.runs.get(live.job.id, ()):
        running[run.task.step] += 1 - RUNNING_SHARE_LEFT
        paces[run.task.step] += run.pace
    left: dict[_QueueClass, float] = defaultdict(float)
    for counts in live.tasks_left.values():
        for number, count in enumerate(counts):
            if count:
                key, amount = work.steps[number]
                left[key] += max(0.0, count - running[number]) * amount
    for number, pace in enumerate(paces):
        if pace:
            demands[work.steps[number][0]].running += live.job.steps[number].cpu * pace / 100
    return left


def _lasts(live: LiveJob) -> bool:
    return any(step.long_running for step in live.job.steps)


def _update_rates(rates: _Rates, demand: _Demand, elapsed: float) -> None:
    rates.arriving.add(demand.arrived, elapsed)
    rates.arrivals.append(rates.arriving.mean)
    rates.serving.add(demand.done, elapsed)


def _list_forecasts(
    cell: Cell, history: LoadHistory, demands: dict[_QueueClass, _Demand], now: Now
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
        lasting = sum(_get_lasting_rate(history.rates[other], limit) for other in before)
        _update_lasting_rate(rates, wait / slack, lasting, now)
        late_wait = _to_wait(on_time + late, room - rates.lasting)
        yield QueueForecast(key.priority, key.best_effort, wait, late_wait)


def _precedes(other: _QueueClass, key: _QueueClass) -> bool:
    """Return whether work of a class is served before or with that of another."""
    return other.best_effort == key.best_effort and other.priority <= key.priority


def _find_times(demand: _Demand) -> tuple[float, float]:
    """Return the times in ms that a typical job of a class may wait and may take in all."""
    if not demand.limits:
        return math.inf, math.inf
    return max(1.0, statistics.median(demand.slacks)), statistics.median(demand.limits)


def _get_lasting_rate(rates: _Rates, limit: float) -> float:
    """Return the rate at which work has arrived at least, for as long as a typical job may take."""
    window = min(MAX_LASTING_S, max(MIN_LASTING_S, limit / 1_000))
    count = round(window / FORECAST_PERIOD_S)
    recent = list(rates.arrivals)[-count:]
    return min(recent) if len(recent) == count else 0.0


def _sum_takeable(key: _QueueClass, workers: Iterable[Worker]) -> float:
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


def _update_lasting_rate(rates: _Rates, slack_share: float, lasting: float, now: Now) -> None:
    """
    Set the rate at which callers are expected to hand in work.

    Once jobs are refused, less arrives than callers hand in, so the rate doesn't fall before new
    jobs start in time for a while.
    """
    if slack_share > RECOVERED_SLACK:
        rates.overloaded_at = now.steady
    if now.steady < rates.overloaded_at + RECOVERY_S:
        rates.lasting = max(rates.lasting, lasting)
    else:
        rates.lasting = lasting


def _to_wait(work: float, rate: float) -> int:
    """Return the time in ms in which work is done at a rate."""
    if work <= 0:
        return 0
    return min(NEVER_MS, int(work / rate * 1_000)) if rate > 0 else NEVER_MS
