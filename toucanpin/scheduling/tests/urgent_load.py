"""
Load of urgent work
===================

Waves and bursts of urgent jobs on a fleet that long-running tasks nearly fill.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import replace

from standins.site.worker_core import Run, WorkerCore
from toucanpin.scheduling.features import Features
from toucanpin.scheduling.job import Job, Step
from toucanpin.scheduling.tests.fleet import TIME_STEP_S, Fleet, make_job
from toucanpin.scheduling.worker import Worker

__all__ = ["LONG_DURATION_S", "ServingWorker", "UrgentLoad"]

DATA_CENTRES = 4
LONG_RUNNING_SHARE = 0.83  # of all cores
URGENT_SHARE = 0.055  # of all cores, on average
WAVE_PERIOD_S = 11.0
WAVE_SWING = 0.15
URGENT_DURATION_S = 0.8
LONG_DURATION_S = 70.0
CORES_PER_NEW_SERVICE = 40_000_000  # of the fleet for one a second
WARM_UP_S = 1.0  # of a long-running task until it serves


class ServingWorker(WorkerCore):
    """Worker whose long tasks serve after a short time."""

    def percent(self, run: Run, now: float) -> int:
        """Return the progress of a run in percent."""
        if run.duration < LONG_DURATION_S:
            return super().percent(run, now)
        return 100 if now > run.started + WARM_UP_S else 50


class UrgentLoad:
    """
    Replay urgent jobs beside long-running ones, with a burst and an evacuated data centre.

    ``waited`` sums the time that urgent tasks waited, ``worked`` the core-seconds that long-running
    ones had, both in s.  ``failures_per_s`` is the rate at which each long-running task fails.
    """

    def __init__(
        self, features: Features, workers: int, seed: int, failures_per_s: float = 0.0
    ) -> None:
        self.random = random.Random(seed)
        self.failures_per_s = failures_per_s
        self.fleet = Fleet(workers=0)
        self.fleet.cell.features = features
        self.waited = self.worked = 0.0
        self.jobs: dict[str, Job] = {}
        for number in range(workers):
            cpu = self.random.choice((64_000, 64_000, 96_000))
            worker = self.fleet.add_worker(f"w{number:03}", cpu, f"dc{number % DATA_CENTRES}")
            entry = replace(worker.entry, memory=4 * cpu)
            self.fleet.workers[entry.id] = ServingWorker(entry)
        self.cores = sum(worker.entry.cpu for worker in self.fleet.workers.values())
        requested = 0
        while requested < LONG_RUNNING_SHARE * self.cores:
            step = self._submit(True).steps[0]
            requested += step.count * step.cpu
        self.fleet.run(0.5)

    def run(
        self,
        seconds: float,
        burst: float = 1.0,
        burst_at: tuple[float, float] = (0.0, 0.0),
        evacuated_at: float = math.inf,
    ) -> None:
        """Replay a load that is ``burst`` times higher between two times."""
        begun = self.fleet.time
        while self.fleet.time < begun + seconds:
            time = self.fleet.time - begun
            if time >= evacuated_at:
                self.fleet.cell.evacuated = frozenset(["dc0"])
            factor = 1 + WAVE_SWING * math.sin(2 * math.pi * time / WAVE_PERIOD_S)
            factor *= burst if burst_at[0] <= time < burst_at[1] else 1.0
            self._submit_urgent(URGENT_SHARE * self.cores * factor)
            if self.random.random() < TIME_STEP_S * self.cores / CORES_PER_NEW_SERVICE:
                self._submit(True)
            self.fleet.run(TIME_STEP_S)
            self._set_durations()
            self._measure()

    def _submit_urgent(self, cores: float) -> None:
        """Submit urgent jobs at a rate with which they use these cores on average."""
        mean = 10 * 11_000 * URGENT_DURATION_S
        expected = cores * TIME_STEP_S / mean
        for _ in range(8):
            if self.random.random() < expected / 8:
                self._submit(False)

    def _submit(self, long_running: bool) -> Job:
        if long_running:
            count, cpu = self.random.randint(8, 20), self.random.randint(9_000, 17_000)
            step = Step(count, cpu, 2 * cpu, long_running=True, image="s", target=50)
        else:
            count, cpu = self.random.randint(1, 19), self.random.randint(4_000, 18_000)
            step = Step(count, cpu, 2 * cpu, estimate=int(1_000 * URGENT_DURATION_S))
        identifier = f"{'long' if long_running else 'urgent'}{len(self.jobs):05}"
        accepted = int(self.fleet.time * 1_000)
        job = make_job(identifier, (step,), accepted=accepted, aim=250, stretch=1.5)
        self.jobs[identifier] = job
        self.fleet.submit(job)
        return job

    def _set_durations(self) -> None:
        for worker in self.fleet.workers.values():
            for task, run in worker.runs.items():
                is_long = self.jobs[task.job].steps[0].long_running
                is_new = run.duration not in (LONG_DURATION_S, URGENT_DURATION_S)
                run.duration = LONG_DURATION_S if is_long else URGENT_DURATION_S
                if is_long and is_new and self.failures_per_s:
                    run.fails_after = self.random.expovariate(self.failures_per_s)

    def _measure(self) -> None:
        for group, waiting in self.fleet.cell.waiting.items():
            if not self.jobs[group.job].steps[0].long_running:
                self.waited += TIME_STEP_S * len(waiting)
        used = sum(worker.long_running_cpu for worker in self._list_workers())
        self.worked += TIME_STEP_S * used / 1_000

    def _list_workers(self) -> Iterator[Worker]:
        yield from self.fleet.cell.workers.values()
