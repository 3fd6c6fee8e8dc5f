"""Tests of large tasks among many small ones."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.tests.fleet import Fleet, make_job


class LargeTaskTest(unittest.TestCase):
    def test_large_task_is_not_starved_by_small_ones(self) -> None:
        """
        Guards against a large task that waits for as long as small tasks keep coming and take each
        core that becomes free.
        """
        fleet = Fleet(workers=10, cpu=4_000)
        for number in range(60):
            step = Step(count=11, cpu=1_000, per_worker=2)
            fleet.submit(make_job(f"s{number:03}", (step,), accepted=number))
            if number == 8:
                fleet.submit(make_job("large", (Step(cpu=3_500),), accepted=0))
            fleet.run(0.25)
        started = {task for worker in fleet.workers.values() for task, _ in worker.starts}
        self.assertIn(TaskKey("large", 0, 0, 0), started)


if __name__ == "__main__":
    unittest.main()
