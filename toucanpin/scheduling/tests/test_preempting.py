"""Tests of preemption of less urgent tasks by urgent ones."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from standins.site.worker_core import WorkerCore
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.orders import RunEnd
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.tests.fleet import Fleet, make_job

STOP_TIME_S = 0.9  # s that workers may take to stop a task


class PreemptionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=2, cpu=4_000)
        for worker in self.fleet.workers.values():
            worker.duration = 60.0

    def _is_running(self, job: str) -> bool:
        return any(t.job == job for w in self.fleet.workers.values() for t in w.runs)

    def test_urgent_task_preempts_less_urgent_one(self) -> None:
        """
        Guards against an urgent task that waits for a minute because less urgent tasks fill all
        workers.  The task that loses least work is stopped, and runs again later.
        """
        steps = (Step(count=4, cpu=2_000),)
        self.fleet.submit(make_job("slow", steps, priority=2))
        self.fleet.run(5.0)
        self.fleet.submit(make_job("resumable", (Step(cpu=100, checkpoints=True),), priority=2))
        self.fleet.run(0.5)
        self.fleet.submit(make_job("urgent", (Step(cpu=2_000),), priority=0))
        self.fleet.run(1.0)
        self.assertTrue(self._is_running("urgent"))
        stops = [e for w in self.fleet.workers.values() for e in w.ended + w.acknowledged_ends]
        self.assertEqual(1, sum(ended.end is RunEnd.STOPPED for ended in stops))

    def test_freed_resources_are_reserved_during_slow_stop(self) -> None:
        """
        Guards against other tasks that take the freed resources while the preempted task is still
        stopping.
        """
        self.fleet.cell.stop_time = STOP_TIME_S
        self.fleet.submit(make_job("slow", (Step(count=4, cpu=2_000),), priority=2))
        self.fleet.run(1.0)
        with patch.object(WorkerCore, "stop", lambda *order: None):
            self.fleet.submit(make_job("urgent", (Step(cpu=2_000),), priority=0))
            self.fleet.run(0.1)
            begun = self.fleet.time
            reserved = [w for w in self.fleet.cell.workers.values() if w.reserved_until > begun]
            self.fleet.run(STOP_TIME_S)
        self.assertEqual(1, len(reserved))
        self.assertGreater(reserved[0].reserved_until, self.fleet.time)

    def test_stop_is_not_repeated_while_task_may_be_stopping(self) -> None:
        """Guards against stop orders that are sent repeatedly where stops are slow."""
        self.fleet.cell.stop_time = STOP_TIME_S
        self.fleet.submit(make_job("slow", (Step(count=4, cpu=2_000),), priority=2))
        self.fleet.run(1.0)
        self.fleet.submit(make_job("urgent", (Step(cpu=2_000),), priority=0))
        with patch.object(WorkerCore, "stop") as stop:
            self.fleet.run(STOP_TIME_S)
        self.assertEqual(1, stop.call_count)

    def test_resumable_tasks_are_preempted_first(self) -> None:
        self.fleet.submit(make_job("plain", (Step(count=2, cpu=2_000),), priority=2))
        self.fleet.submit(
            make_job("resumable", (Step(count=2, cpu=2_000, checkpoints=True),), priority=2)
        )
        self.fleet.run(5.0)
        self.fleet.submit(make_job("urgent", (Step(cpu=2_000),), priority=0))
        self.fleet.run(0.5)
        running = [t for w in self.fleet.workers.values() for t in w.runs]
        self.assertEqual(2, sum(task.job == "plain" for task in running))

    def test_equal_and_long_running_tasks_are_not_preempted(self) -> None:
        self.fleet.submit(make_job("equal", (Step(count=2, cpu=3_000),), priority=0))
        self.fleet.submit(make_job("long", (Step(cpu=900, long_running=True),), priority=2))
        self.fleet.run(1.0)
        self.fleet.submit(make_job("urgent", (Step(cpu=2_000),), priority=0))
        self.fleet.run(1.0)
        self.assertFalse(self._is_running("urgent"))
        self.assertTrue(self._is_running("long"))
        self.assertEqual(JobState.PENDING, self.fleet.state("urgent"))

    def test_best_effort_memory_is_freed(self) -> None:
        best_effort = Step(count=2, cpu=1_000, memory=8_000, best_effort=True, checkpoints=True)
        self.fleet.submit(make_job("batch", (best_effort,), priority=2))
        self.fleet.run(1.0)
        self.fleet.submit(make_job("urgent", (Step(cpu=1_000, memory=4_000),), priority=0))
        self.fleet.run(0.5)
        self.assertTrue(any(TaskKey("urgent", 0, 0, 0) in w.runs for w in self._workers()))

    def test_retry_preempts_on_healthy_worker(self) -> None:
        """
        Guards against an urgent task that waits for seconds because the free cores of a worker on
        which all tasks fail counted as room for it.  It has failed there and isn't tried there
        again, and less urgent tasks fill the other workers.
        """
        slow = make_job("slow", (Step(count=4, cpu=2_000),), priority=2, max_failures=9)
        self.fleet.submit(slow)
        self.fleet.run(1.0)
        bad = self.fleet.add_worker("bad", 2_000)
        bad.failing = True
        urgent = make_job("urgent", (Step(cpu=2_000),), priority=0, max_failures=3)
        self.fleet.submit(urgent)
        self.fleet.run(1.0)
        self.assertEqual(1, sum(task.job == "urgent" for task, _ in bad.starts))
        self.assertTrue(self._is_running("urgent"))

    def _workers(self):  # noqa: ANN202
        return self.fleet.workers.values()


if __name__ == "__main__":
    unittest.main()
