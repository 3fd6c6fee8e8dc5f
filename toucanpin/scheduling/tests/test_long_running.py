"""Tests of the placement of long-running tasks beside other kinds."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.orders import RunEnd
from toucanpin.scheduling.tests.fleet import Fleet, make_job

LONG_RUNNING = Step(cpu=1_000, memory=1_000, long_running=True)


class LongRunningTaskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=2, cpu=4_000)
        for worker in self.fleet.workers.values():
            worker.duration = 60.0

    _task = TaskKey("long", 0, 0, 0)

    def _is_running(self, job: str) -> bool:
        return any(t.job == job for w in self.fleet.workers.values() for t in w.runs)

    def _fail_task(self) -> None:
        worker = next(w for w in self.fleet.workers.values() if self._task in w.runs)
        worker.end(self._task, RunEnd.FAILED)

    def _fill_up(self, step: Step) -> None:
        self.fleet.submit(make_job("full", (step,), priority=0))
        self.fleet.run(1.0)

    def test_failed_task_takes_reserved_cores_after_wait(self) -> None:
        """
        Guards against a failed long-running task that runs nowhere, for 11 s, because the only
        worker with room for it is reserved for short tasks, of which none come.
        """
        self.fleet.submit(make_job("long", (LONG_RUNNING,), priority=0))
        self.fleet.run(1.0)
        self._fill_up(Step(count=6, cpu=1_000))
        self._fail_task()
        self.fleet.submit(make_job("late", (Step(cpu=1_000),), priority=0))
        self.fleet.run(0.2)
        self.assertFalse(self._is_running("long"))
        self.fleet.run(1.5)
        self.assertTrue(self._is_running("long"))

    def test_task_that_ran_precedes_new_siblings(self) -> None:
        """
        Guards against an outage of a service that requests more tasks than there is room for:
        siblings that never ran would wait in the queue before the one that has failed.
        """
        fleet = Fleet(workers=1, cpu=2_000)
        fleet.workers["w0"].duration = 60.0
        step = Step(count=3, cpu=1_000, long_running=True)
        fleet.submit(make_job("full", (Step(cpu=1_000),), priority=0))
        fleet.submit(make_job("long", (step,), priority=0))
        fleet.cell.jobs["long"].progress.tasks[0][2].attempt = 1
        fleet.run(2.0)
        placed = {task for task in fleet.workers["w0"].runs if task.job == "long"}
        self.assertEqual({TaskKey("long", 0, 0, 2)}, placed)

    def test_failed_task_precedes_new_jobs(self) -> None:
        """
        Guards against a failed long-running task on a full fleet that runs nowhere, for 25 s,
        because new jobs with earlier objectives take each freed worker.
        """
        fleet = Fleet(workers=1, cpu=2_000)
        worker = fleet.workers["w0"]
        worker.duration = 60.0
        step = Step(cpu=900, long_running=True)
        fleet.submit(make_job("long", (step,), accepted=90_000))
        fleet.submit(make_job("other", (step,), accepted=90_000))
        fleet.run(3.0)
        for number in range(4):
            fleet.submit(make_job(f"new{number}", (step,), accepted=number))
        worker.end(self._task, RunEnd.FAILED)
        fleet.run(1.0)
        worker.end(TaskKey("other", 0, 0, 0), RunEnd.FAILED)
        fleet.run(3.0)
        self.assertEqual({"long", "other"}, {task.job for task in worker.runs})

    def test_new_task_leaves_reserve_free(self) -> None:
        self._fill_up(Step(count=7, cpu=1_000))
        self.fleet.submit(make_job("long", (LONG_RUNNING,), priority=0))
        self.fleet.run(3.0)
        self.assertFalse(self._is_running("long"))

    def test_best_effort_memory_is_freed_without_spare_cores(self) -> None:
        """
        Guards against a failed long-running task that waits while best-effort tasks hold all
        memory.  They were preempted only where reserved cores were left besides, which no worker
        had.
        """
        self._fill_up(Step(count=2, cpu=3_000))
        self.fleet.submit(make_job("long", (LONG_RUNNING,), priority=0))
        self.fleet.run(1.0)
        self._fail_task()
        best_effort = Step(count=2, cpu=1_000, memory=8_000, best_effort=True, checkpoints=True)
        self.fleet.submit(make_job("batch", (best_effort,), priority=2))
        self.fleet.run(3.0)
        self.assertTrue(self._is_running("long"))

    def test_worker_reserved_for_large_task_takes_long_running_one(self) -> None:
        """
        Guards against a long-running task that waits because the only worker with room for it is
        reserved for large urgent tasks.
        """
        fleet = Fleet(workers=10, cpu=4_000)
        for worker in fleet.workers.values():
            worker.duration = 60.0
        fleet.submit(make_job("full", (Step(count=38, cpu=1_000),), priority=0))
        fleet.run(1.0)
        fleet.submit(make_job("large", (Step(count=3, cpu=3_900),), priority=0))
        fleet.run(0.5)
        fleet.submit(make_job("long", (LONG_RUNNING,), priority=0))
        fleet.run(2.0)
        placed = {task for worker in fleet.workers.values() for task in worker.runs}
        self.assertIn(TaskKey("long", 0, 0, 0), placed)


if __name__ == "__main__":
    unittest.main()
