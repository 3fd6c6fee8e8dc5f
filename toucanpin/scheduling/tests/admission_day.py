"""
Day of admission
================

Callers that submit jobs to a scripted fleet on a virtual clock, and an oracle that knows what
became of each job.
"""

from __future__ import annotations

import enum
import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

import msgspec

from standins.site.worker_core import WorkerCore
from toucanpin.scheduling.admission import Refuse, decide_admission
from toucanpin.scheduling.forecast import FORECAST_PERIOD_S, Forecast, KnownForecast
from toucanpin.scheduling.forecasting import make_forecast
from toucanpin.scheduling.job import Job, Step, TaskKey
from toucanpin.scheduling.job_order import EXPIRY_FACTOR
from toucanpin.scheduling.job_times import compute_time_limit
from toucanpin.scheduling.load_history import LoadHistory
from toucanpin.scheduling.orders import StartAnswer, WorkerEntry
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.progress_rows import decode_progress
from toucanpin.scheduling.tests.fleet import TIME_STEP_S, Fleet, make_job

__all__ = ["Day", "Fate", "Load", "make_batch", "make_best_effort", "make_urgent", "play"]

PUBLICATION_DELAY_S = 0.8  # until hosts know a forecast: a write and a read of the owner's row
CALLER_BUDGET_S = 3.0  # for which a caller returns
MAX_ATTEMPTS = 5
BATCH_TIME_MS = 2_000  # that each task takes
URGENT_TIME_MS = 800  # that each task takes
MAX_WIDTH = 24
CORES = 4  # of a worker


class Fate(enum.Enum):
    """What became of a job for its caller."""

    ON_TIME = "on time"
    LATE = "late"
    IN_VAIN = "accepted and served in vain"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Load:
    """Arrivals of one queue: ``rate`` is in cores, as a function of the seconds since the start."""

    make: Callable[[str, int, int], Job]
    rate: Callable[[float], float]


@dataclass(slots=True)
class Day:
    """What became of each job, and how often its caller was refused."""

    jobs: dict[str, Job]
    fates: dict[str, Fate] = field(default_factory=dict)
    refusals: Counter[str] = field(default_factory=Counter)
    attempts: dict[str, list[float]] = field(default_factory=dict)

    def count(self, fate: Fate, wide: bool | None = None) -> int:
        """Return the number of jobs with a fate, of the wide or the narrow ones only if asked."""
        found = [name for name, it in self.fates.items() if it is fate]
        return sum(wide is None or self.is_wide(name) == wide for name in found)

    def is_wide(self, name: str) -> bool:
        """Return whether a job is among the largest tenth of its queue or the fifth below it."""
        queue = self.jobs[name].queue
        sizes = sorted(_size(job) for job in self.jobs.values() if job.queue == queue)
        return _size(self.jobs[name]) >= sizes[int(len(sizes) * 0.7)]

    def share_served(self, wide: bool) -> float:
        """Return the share of the wide or of the narrow jobs that were of use to their callers."""
        names = [name for name in self.fates if self.is_wide(name) == wide]
        served = [name for name in names if self.fates[name] in (Fate.ON_TIME, Fate.LATE)]
        return len(served) / max(1, len(names))

    def describe(self) -> str:
        """Return the counts of all fates."""
        return ", ".join(f"{fate.value} {self.count(fate)}" for fate in Fate)


@dataclass(slots=True)
class _TimedWorker(WorkerCore):
    """Worker on which each task takes the time that its caller estimated."""

    jobs: Mapping[str, Job] = field(default_factory=dict)

    def start(
        self, task: TaskKey, attempt: int, deadline: int, token: int, now: float
    ) -> StartAnswer:
        self.duration = self.jobs[task.job].steps[task.step].estimate / 1_000
        # The inherited class is replaced by its slotted twin, so ``super`` doesn't find it.
        return WorkerCore.start(self, task, attempt, deadline, token, now)


def make_best_effort(name: str, width: int, accepted: int) -> Job:
    """Return a batch job of two steps that uses the cores that others leave idle."""
    return make_batch(name, width, accepted, best_effort=True)


def make_batch(name: str, width: int, accepted: int, best_effort: bool = False) -> Job:
    """Return a batch job of two steps."""
    step = Step(count=width, cpu=1_000, memory=1, estimate=BATCH_TIME_MS, best_effort=best_effort)
    steps = (step, msgspec.structs.replace(step, after=(0,)))
    return make_job(name, steps, priority=2, accepted=accepted, aim=1_000, stretch=2.0)


def make_urgent(name: str, width: int, accepted: int) -> Job:
    """Return an urgent job of two steps."""
    step = Step(count=width, cpu=1_000, memory=1, estimate=URGENT_TIME_MS)
    steps = (step, msgspec.structs.replace(step, after=(0,)))
    return make_job(name, steps, priority=0, accepted=accepted, aim=300, stretch=1.5)


def play(
    loads: list[Load],
    seconds: float,
    admission: bool = True,
    seed: int = 1,
    workers: int = 40,
    change: Callable[[Fleet, float], None] = lambda fleet, elapsed: None,
) -> Day:
    """Play a day; ``change`` is called in each turn with the seconds since the start."""
    arrivals = list(_list_arrivals(loads, seconds, seed))
    day = Day({job.id: job for _, job in arrivals})
    fleet = Fleet(workers=0)
    for number in range(workers):
        entry = WorkerEntry(f"w{number}", "c", f"w{number}:1", "dc", True, CORES * 1_000, 8_000, 0)
        fleet.workers[entry.id] = _TimedWorker(entry, jobs=day.jobs)
    fleet.run(0.3)
    begun = fleet.time
    queue = [(begun + at, 1, job.id) for at, job in arrivals]
    heapq.heapify(queue)
    history, published = LoadHistory(), deque[Forecast | None]()
    first_sent: dict[str, float] = {}
    made_at = 0.0
    while fleet.time < begun + seconds:
        change(fleet, fleet.time - begun)
        if fleet.time >= made_at + FORECAST_PERIOD_S:
            made_at = fleet.time
            published.append(make_forecast(fleet.cell, history, fleet.now()))
        known = _find_known(published, fleet) if admission else None
        while queue and queue[0][0] <= fleet.time:
            at, attempt, name = heapq.heappop(queue)
            day.attempts.setdefault(name, []).append(at - begun)
            first = first_sent.setdefault(name, at)
            job = msgspec.structs.replace(day.jobs[name], accepted=int(fleet.time * 1_000))
            match decide_admission(job, known):
                case Refuse(retry_after=delay):
                    day.refusals[name] += 1
                    day.fates[name] = Fate.REFUSED
                    returns = fleet.time + delay <= first + CALLER_BUDGET_S
                    if attempt < MAX_ATTEMPTS and returns:
                        heapq.heappush(queue, (fleet.time + delay, attempt + 1, name))
                case _:
                    day.fates.pop(name, None)
                    fleet.submit(job)
        fleet.run(TIME_STEP_S)
    _judge(day, fleet, first_sent)
    return day


def _find_known(published: deque[Forecast | None], fleet: Fleet) -> KnownForecast | None:
    now = fleet.time * 1_000
    while len(published) > 1 and _is_visible(published[1], now):
        published.popleft()
    forecast = published[0] if published else None
    if forecast is None or not _is_visible(forecast, now):
        return None
    return KnownForecast(forecast, (now - forecast.made_at) / 1_000)


def _is_visible(forecast: Forecast | None, now: float) -> bool:
    return forecast is None or forecast.made_at + PUBLICATION_DELAY_S * 1_000 <= now


def _list_arrivals(loads: list[Load], seconds: float, seed: int) -> Iterator[tuple[float, Job]]:
    """Yield the arrivals of all queues, by queue."""
    for number, load in enumerate(loads):
        draw = random.Random(f"{seed}/{number}")
        at = 0.0
        for _ in range(100_000):
            width = min(MAX_WIDTH, max(1, round(draw.lognormvariate(1.5, 0.7))))
            job = load.make(f"{draw.getrandbits(64):016x}", width, 0)
            job = msgspec.structs.replace(job, queue=f"q{number}")
            at += _size(job) / load.rate(at) * draw.expovariate(1.0)
            if at >= seconds:
                break
            yield at, job


def _size(job: Job) -> float:
    """Return the work of a job in core-seconds."""
    return sum(step.count * step.cpu * step.estimate for step in job.steps) / 1_000_000


def _judge(day: Day, fleet: Fleet, first_sent: dict[str, float]) -> None:
    """Enter what became of the accepted jobs; those that could still be of use are left out."""
    for name, first in first_sent.items():
        if day.fates.get(name) is Fate.REFUSED:
            continue
        limit = compute_time_limit(day.jobs[name])
        row = fleet.rows.get(name)
        progress = decode_progress(row) if row is not None else None
        ended = progress is not None and progress.state == JobState.COMPLETED
        end = progress.ended if ended and progress is not None else int(fleet.time * 1_000)
        took = end - first * 1_000
        if took > EXPIRY_FACTOR * limit:
            day.fates[name] = Fate.IN_VAIN
        elif ended:
            day.fates[name] = Fate.ON_TIME if took <= limit else Fate.LATE
