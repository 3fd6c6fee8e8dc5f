"""Test that decisions don't depend on the scale of the workload."""

from __future__ import annotations

import random
import unittest

from toucanpin.scheduling.job import Job, Step, TaskKey
from toucanpin.scheduling.tests.fleet import Fleet, make_job

Starts = dict[str, list[tuple[TaskKey, int]]]
WORKERS = 8
CORES = 16_000  # thousandths, of a worker at a quarter
MEMORY = 300  # MB of each task, at every scale
JOBS = 60


def _draw_jobs(scale: int) -> list[Job]:
    """Draw urgent, best-effort and long-running jobs that request a little more than there is."""
    rng = random.Random(3)
    jobs = []
    for number in range(JOBS):
        cpu = scale * rng.randint(1_000, 4_000)
        count = rng.randint(1, 5)
        match rng.randrange(4):
            case 0:
                step, priority = Step(count, cpu, MEMORY, estimate=1_000), 0
            case 1:
                step, priority = Step(count, cpu, MEMORY, long_running=True, image="s"), 0
            case _:
                step = Step(count, cpu, MEMORY, best_effort=True, image="b", checkpoints=True)
                priority = 2
        jobs.append(make_job(f"j{number:02}", (step,), priority=priority))
    return jobs


def _run_fleet(scale: int) -> Starts:
    fleet = Fleet(workers=0)
    for number in range(WORKERS):
        core = fleet.add_worker(f"w{number}", scale * CORES)
        core.duration = 1.0 + number / 10
    for job in _draw_jobs(scale):
        fleet.submit(job)
        fleet.run(0.2)
    fleet.run(3.0)
    return {name: core.starts for name, core in fleet.workers.items()}


class ScalingTest(unittest.TestCase):
    def test_decisions_are_independent_of_scale(self) -> None:
        """Guards against decisions that fit the sizes of one workload only."""
        full_size, quarter_size = _run_fleet(4), _run_fleet(1)
        self.assertGreater(sum(map(len, quarter_size.values())), JOBS)
        self.assertEqual(full_size, quarter_size)
