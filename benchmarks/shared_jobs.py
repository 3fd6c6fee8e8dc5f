"""
Jobs for workers that share
===========================

Streams of urgent, long-running and patient jobs, modelled on the users' sites.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from toucanpin.scheduling.job import Job, Step

__all__ = ["SITES", "Arrival", "SiteLoad", "draw_jobs"]


@dataclass(frozen=True, slots=True)
class SiteLoad:
    """
    Load of a site; rates are in jobs per second, times in seconds.

    ``urgent_worth``, ``patient_worth`` and ``long_running_worth`` weigh the value of a job, or of
    two seconds of a long-running one.
    """

    workers: int
    urgent_rate: float
    urgent_time: float
    urgent_cpu: float
    patient_rate: float
    long_running_share: float
    target: int
    period: float
    heavy: float
    urgent_worth: float
    patient_worth: float
    long_running_worth: float
    serving_images: int = 5
    best_effort_images: int = 9
    stop_time: float = 0.2
    restore_time: float = 0.25
    planned: bool = False
    resources: int = 0  # that images compete for, 0 if each pair of images differs


SITES = {
    "cooperative": SiteLoad(34, 1.75, 1.0, 6_300, 2.0, 0.78, 50, 14.0, 0.4, 0.385, 1.41, 0.246),
    "stillwater": SiteLoad(24, 2.7, 0.64, 4_600, 2.05, 0.83, 125, 20.0, 0.4, 0.367, 2.89, 0.503),
    "cooling": SiteLoad(24, 2.54, 0.8, 4_600, 2.69, 0.8, 150, 20.0, 0.55, 0.38, 1.79, 0.417),
    "contended": SiteLoad(
        60,
        2.8,
        0.8,
        11_000,
        7.0,
        0.83,
        50,
        14.0,
        0.6,
        0.349,
        1.18,
        0.234,
        10,
        18,
        0.9,
        0.6,
        True,
        3,
    ),
}
LEAD_TIME_S = 8.0  # before the traffic, in which long-running jobs begin
TRAFFIC_TIME_S = 34.0
PATIENT_BURST = (12.0, 18.0, 1.4)  # begin in s, end in s, factor of the rate


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job with its time of arrival, its true durations and usages, and its value."""

    at: float
    job: Job
    durations: tuple[tuple[float, ...], ...]
    usages: tuple[tuple[float, ...], ...]
    objective: float
    worth: float


def draw_jobs(rng: random.Random, site: SiteLoad, capacity: int) -> list[Arrival]:
    """Draw a day's jobs for workers with ``capacity`` thousandths of a core."""
    arrivals = list(_draw_long_running(rng, site, capacity))
    arrivals += _draw_stream(rng, site, site.urgent_rate, False)
    arrivals += _draw_stream(rng, site, site.patient_rate, True)
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _draw_long_running(rng: random.Random, site: SiteLoad, capacity: int):  # noqa: ANN202
    taken = 0.0
    number = 0
    popular = [rng.random() ** 2 for _ in range(site.serving_images)]
    while taken < site.long_running_share * capacity:
        count = max(1, min(12, round(rng.lognormvariate(math.log(5.5), 0.4))))
        cpu = int(min(20_000, max(5_000, rng.gauss(13_000, 3_300))) / 50) * 50
        image = rng.choices(range(site.serving_images), popular)[0]
        step = Step(
            count=count,
            cpu=cpu,
            memory=4_000,
            long_running=True,
            image=f"s{image}",
            target=site.target,
            per_worker=rng.choice((0, 0, 1, 2)),
        )
        at = (
            -LEAD_TIME_S + rng.uniform(0, 1.0)
            if taken < 0.9 * site.long_running_share * capacity
            else 4.0
        )
        job = Job(f"l{number:03}", "lasting", "c", "spec", (step,), priority=0)
        durations = (tuple(1e9 for _ in range(count)),)
        yield Arrival(at, job, durations, durations, 0.0, site.long_running_worth)
        taken += count * cpu
        number += 1


def _draw_stream(rng: random.Random, site: SiteLoad, rate: float, patient: bool) -> list[Arrival]:
    arrivals = []
    at = -4.0 if patient else 0.0
    number = 0
    popular = [rng.random() ** 2 for _ in range(site.best_effort_images)]
    while True:
        burst = PATIENT_BURST[2] if patient and PATIENT_BURST[0] < at < PATIENT_BURST[1] else 1.0
        warm_up_factor = 0.3 if at < 0 else 1.0
        at += rng.expovariate(rate * burst * warm_up_factor)
        if at >= TRAFFIC_TIME_S:
            return arrivals
        image = f"f{rng.choices(range(site.best_effort_images), popular)[0]}" if patient else ""
        arrivals.append(_draw_job(rng, site, at, number, image))
        number += 1


def _draw_job(rng: random.Random, site: SiteLoad, at: float, number: int, image: str) -> Arrival:
    patient = bool(image)
    steps = max(1, min(5, round(rng.lognormvariate(math.log(1.9 if patient else 1.5), 0.4))))
    step_specs: list[Step] = []
    durations = []
    usages = []
    for index in range(steps):
        width = rng.lognormvariate(math.log(7.0 if patient else 4.4), 0.6 if patient else 0.8)
        count = max(1, min(32, round(width)))
        mean = 2.7 if patient else site.urgent_time
        typical_cpu = 6_700 if patient else 0.9 * site.urgent_cpu
        drawn = rng.lognormvariate(math.log(typical_cpu), 0.3 if patient else 0.45)
        cpu = int(min(drawn, 2 * typical_cpu if patient else 3 * typical_cpu) / 50)
        cpu = max(20, cpu) * 50
        true_time = min(2.5 * mean, rng.lognormvariate(math.log(0.88 * mean), 0.5))
        estimate_error = rng.uniform(0.1, 1.9) if patient else rng.uniform(0.8, 1.2)
        step_specs.append(
            Step(
                count=count,
                cpu=cpu,
                memory=6_000,
                estimate=int(1_000 * true_time * estimate_error),
                after=(index - 1,) if index else (),
                checkpoints=patient and rng.random() < 0.85,
                image=image,
                best_effort=patient,
            )
        )
        durations.append(tuple(true_time * rng.uniform(0.85, 1.15) for _ in range(count)))
        usages.append(tuple(cpu * rng.uniform(0.65, 1.05) for _ in range(count)))
    chain = sum(max(step) for step in durations)
    objective = (2.0 if patient else 1.5) * chain + (1.0 if patient else 0.25)
    size = sum(
        u * w for us, ws in zip(usages, durations, strict=True) for u, w in zip(us, ws, strict=True)
    )
    mean_size = 2 * 8 * 2.7 * 6_000 if patient else 1.6 * 6 * site.urgent_time * site.urgent_cpu
    worth = (site.patient_worth if patient else site.urgent_worth) * min(
        4.0, 0.3 + 0.7 * size / mean_size
    )
    name = f"{'p' if patient else 'u'}{number:03}"
    job = Job(
        name,
        "patient" if patient else "urgent",
        "c",
        "spec",
        tuple(step_specs),
        priority=2 if patient else 0,
        max_failures=3,
        stretch=2.0 if patient else 1.5,
        aim=1_000 if patient else 250,
        accepted=int((at + 100) * 1_000),
    )
    return Arrival(at, job, tuple(durations), tuple(usages), objective, worth)
