"""Tasks that crash each worker that starts them, and workers that crash by themselves."""

from __future__ import annotations

import unittest
from collections import Counter

from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.tests.fleet import Fleet, make_job

# A task is started at most twice more after three workers have crashed under it.
MOST_STARTS = 5


class CrashingTaskTest(unittest.TestCase):
    def test_a_task_that_crashes_each_worker_is_given_up(self) -> None:
        """Guards against crash loops: a task took one worker after the other for a whole day."""
        fleet = Fleet(workers=8)
        fleet.crashing = {TaskKey("bad", 0, 0, 1)}
        fleet.submit(make_job("bad", (Step(count=2, cpu=1_000),), max_failures=2))
        fleet.run(60.0)
        self.assertLessEqual(len(fleet.crashes), MOST_STARTS)
        self.assertEqual(JobState.FAILED, fleet.state("bad"))

    def test_a_lasting_task_that_crashes_each_worker_is_given_up(self) -> None:
        """Guards against crash loops of tasks that are started again however they end."""
        fleet = Fleet(workers=8)
        fleet.crashing = {TaskKey("bad", 0, 0, 0)}
        fleet.submit(make_job("bad", (Step(count=2, cpu=1_000, lasting=True),)))
        fleet.run(60.0)
        self.assertLessEqual(len(fleet.crashes), MOST_STARTS)
        self.assertEqual(JobState.FAILED, fleet.state("bad"))

    def test_copies_of_a_task_do_not_crash_a_worker_each(self) -> None:
        """Guards against copies that are begun before it is known what became of the first."""
        fleet = Fleet(workers=12)
        fleet.crashing = {TaskKey("bad", 0, 0, 0)}
        fleet.submit(make_job("bad", (Step(cpu=1_000, speculative=True),), max_failures=2))
        fleet.run(60.0)
        self.assertLessEqual(Counter(fleet.crashes)[TaskKey("bad", 0, 0, 0)], MOST_STARTS)
        self.assertEqual(JobState.FAILED, fleet.state("bad"))
