"""
Pair tables behind the worker port
==================================

Fake of the worker interface for benchmarks of the interference policy: workers that report with a
lag, and whose tasks raise the tail latency of services by a drifting table of pairs.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from toucanpin.platform.ports import (
    Poll,
    Report,
    Size,
    Start,
    Stop,
    TaskReport,
    TaskState,
    Throttle,
    UsageSample,
)

__all__ = ["FakeWorker", "Job", "PairTable", "make_workers"]

MS_PER_S = 1_000
PROCESSORS = 64
SERVICE_PROCESSORS = 24
BATCH_SIZE = Size(PROCESSORS - SERVICE_PROCESSORS, 250_000)
SITES = 4
HOSTS = 35
KINDS = 8
SERVICES = 3
LATENCY_NOISE = 0.10  # relative, of a sample
SAMPLE_PERIOD_S = 5
KIND_INTERACTION = 0.3  # extra rise per unit of use by other kinds
LOAD_STEP = 0.004


@dataclass(frozen=True, slots=True)
class Job:
    """A batch job; ``work`` is in seconds at full share."""

    name: str
    kind: str
    processors: int
    work: float


@dataclass(slots=True)
class Running:
    """A running job; ``done`` is in seconds at full share."""

    job: Job
    attempt: int
    share: float
    done: float


class PairTable:
    """World drawn from a seed: effects, their drift, loads and arrivals of jobs."""

    def __init__(self, seed: int, seconds: int) -> None:
        self.seconds = seconds
        self.kinds = [f"kind{n}" for n in range(KINDS)]
        self.services = [f"service{n}" for n in range(SERVICES)]
        self._random = random.Random(seed)
        self.idle_latency = {it: self._random.uniform(10, 60) for it in self.services}
        self.use = {it: self._random.uniform(0.4, 1.0) for it in self.kinds}
        self.effects = {
            (service, kind): self._draw_effect() for service in self.services for kind in self.kinds
        }
        self.loads = {
            (service, site): self._random.uniform(0.3, 0.8)
            for service in self.services
            for site in range(SITES)
        }
        self.shift_at = seconds // 2
        self._drift_random = random.Random(seed + 1)
        self._load_random = random.Random(seed + 2)
        self._noisiest_kind = max(self.kinds, key=self._sum_effects)

    def step(self, now: int) -> None:
        """Advance the drift of effects and loads by one second."""
        for pair in self.effects:
            self.effects[pair] *= math.exp(self._drift_random.gauss(0, LOAD_STEP))
        if now == self.shift_at:
            self._swap_kinds()
        for service_site in self.loads:
            jump = (
                self._load_random.uniform(-0.4, 0.4) if self._load_random.random() < 0.003 else 0.0
            )
            load = self.loads[service_site] + self._load_random.gauss(0, LOAD_STEP) + jump
            self.loads[service_site] = min(0.95, max(0.2, load))

    def make_jobs(self, rate: float) -> Iterator[list[Job]]:
        """Yield the jobs of each second: a steady stream, and waves of the noisiest kind."""
        draw = random.Random(self._random.random())
        wave_until = 0
        for now in range(self.seconds):
            if draw.random() < 1 / 240:
                wave_until = now + draw.randint(40, 90)
            jobs = [self._draw_job(draw, now, n) for n in range(poisson(draw, rate))]
            if now < wave_until:
                for n in range(poisson(draw, rate)):
                    jobs.append(self._draw_job(draw, now, 100 + n, self._noisiest_kind))
            yield jobs

    def true_rise(self, service: str, kind: str, load: float) -> float:
        """Return the true rise relative to the p99 without neighbours at this load."""
        return load * self.effects[(service, kind)] / idle_latency_factor(load)

    def _draw_effect(self) -> float:
        """Draw the effect of a pair: most are mild, some are severe."""
        sample = self._random.random()
        if sample < 0.5:
            return self._random.uniform(0.1, 0.8)
        if sample < 0.8:
            return self._random.uniform(1.0, 3.0)
        return self._random.uniform(4.0, 10.0)

    def _draw_job(self, draw: random.Random, now: int, number: int, kind: str = "") -> Job:
        """Draw a job."""
        kind = kind or draw.choice(self.kinds)
        return Job(f"j{now}.{number}", kind, draw.choice((4, 8, 16)), draw.uniform(60, 400))

    def _sum_effects(self, kind: str) -> float:
        """Sum the effects of a kind on all services."""
        return sum(self.effects[(service, kind)] for service in self.services)

    def _swap_kinds(self) -> None:
        """Swap the effects of the noisiest and the mildest kind."""
        mildest_kind = min(self.kinds, key=self._sum_effects)
        for service in self.services:
            one, other = (service, self._noisiest_kind), (service, mildest_kind)
            self.effects[one], self.effects[other] = self.effects[other], self.effects[one]


@dataclass(slots=True)
class FakeWorker:
    """Worker that runs jobs and measures services; samples are reported ``lag`` seconds late."""

    name: str
    site: int
    services: tuple[str, ...]
    table: PairTable
    noise: random.Random
    lag: int
    susceptibility: float
    done: float = 0.0
    now: int = 0
    running: dict[str, Running] = field(default_factory=dict)
    ended: list[Running] = field(default_factory=list)
    samples: deque[UsageSample] = field(default_factory=deque)
    saved: dict[str, float] = field(default_factory=dict)

    def poll(self, poll: Poll) -> Report:
        """Execute orders and return a report."""
        for order in poll.orders:
            match order:
                case Start():
                    self._start(order)
                case Stop(task):
                    self.saved[task] = self.running.pop(task).done
                case Throttle(task, _, share):
                    if task in self.running:
                        self.running[task].share = share
        clock = self.now * MS_PER_S
        due = []
        while self.samples and self.samples[0].sampled_at <= clock - self.lag * MS_PER_S:
            due.append(self.samples.popleft())
        tasks = [self._report(it, TaskState.RUNNING) for it in self.running.values()]
        tasks += [self._report(it, TaskState.FINISHED) for it in self.ended]
        self.ended.clear()
        return Report(self.name, "", clock, 1, True, False, BATCH_SIZE, tuple(tasks), tuple(due))

    def step(self, now: int) -> list[tuple[float, float]]:
        """Run for one second; return the relative p99 and the load of each service."""
        self.now = now
        for it in list(self.running.values()):
            it.done += it.share
            self.done += it.share * it.job.processors
            if it.done >= it.job.work:
                self.ended.append(self.running.pop(it.job.name))
        measured = [(it, *self._compute_latency(it)) for it in self.services]
        if now % SAMPLE_PERIOD_S == 0:
            for service, factor, load in measured:
                latency = factor * self.table.idle_latency[service]
                latency *= math.exp(self.noise.gauss(0, LATENCY_NOISE))
                self.samples.append(UsageSample(service, now * MS_PER_S, latency, load))
        return [(factor, load) for _, factor, load in measured]

    def load(self, service: str) -> float:
        """Return the true load of a service at this worker's site."""
        return self.table.loads[(service, self.site)]

    def _compute_latency(self, service: str) -> tuple[float, float]:
        """Return the true p99 relative to the idle one, and the load."""
        load = self.load(service)
        amounts: dict[str, float] = {}
        for it in self.running.values():
            use = it.job.processors * self.table.use[it.job.kind] * it.share / PROCESSORS
            amounts[it.job.kind] = amounts.get(it.job.kind, 0.0) + use
        effects = self.table.effects
        increase = sum(effects[(service, kind)] * amount for kind, amount in amounts.items())
        # Two kinds together cost slightly more than their sum, which a pair table can't express.
        increase *= 1.0 + KIND_INTERACTION * (
            sum(amounts.values()) - max(amounts.values(), default=0.0)
        )
        return idle_latency_factor(load) + self.susceptibility * load * increase, load

    def _start(self, start: Start) -> None:
        """Start an attempt from the job's checkpoint."""
        name = start.task
        work = float(start.payload)
        job = Job(name, start.kind, start.size.processors, work)
        self.running[name] = Running(job, start.attempt, 1.0, float(start.checkpoint or 0))

    def _report(self, it: Running, state: TaskState) -> TaskReport:
        """Return the report of one attempt."""
        use = it.job.processors * self.table.use[it.job.kind] * it.share
        clock = self.now * MS_PER_S
        return TaskReport(it.job.name, it.attempt, state, int(it.done), "", "", use, 0, clock)


def idle_latency_factor(load: float) -> float:
    """Return the p99 without neighbours at a load, relative to the idle one."""
    return 1.0 + 0.5 * load * load


def make_workers(table: PairTable, seed: int, lag: int) -> list[FakeWorker]:
    """Return the workers of a world, with one or two services each."""
    draw = random.Random(seed + 3)
    workers = []
    for n in range(HOSTS):
        services = tuple(draw.sample(table.services, draw.choice((1, 2))))
        factor = draw.uniform(0.8, 1.25)
        noise = random.Random(draw.random())
        workers.append(FakeWorker(f"w{n}", n % SITES, services, table, noise, lag, factor))
    return workers


def poisson(draw: random.Random, mean: float) -> int:
    """Draw a Poisson-distributed number."""
    limit = math.exp(-mean)
    number = 0
    product = draw.random()
    while product > limit:
        number += 1
        product *= draw.random()
    return number
