"""Workers that fail what they start, and jobs that fail wherever they run."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.job import Step
from toucanpin.scheduling.orders import RunEnd
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.tests.fleet import Fleet, make_job


class FailingWorkerTest(unittest.TestCase):
    def test_jobs_outlast_a_failing_worker_that_has_the_only_room(self) -> None:
        """
        Callers' jobs are shown as failed, one after another.  The fleet is full but for one worker,
        which fails within milliseconds whatever it starts, and so has room again at once.  Each
        task was tried there three times within a fifth of a second, though the others would soon
        have had room.
        """
        fleet = Fleet(workers=3, cpu=2_000)
        for worker in fleet.workers.values():
            worker.lasts = 2.0
        fleet.submit(make_job("full", (Step(count=6, cpu=1_000),)))
        fleet.run(1.0)
        fleet.add_worker("bad", 2_000).failing = True
        names = [f"j{number}" for number in range(4)]
        for name in names:
            fleet.submit(make_job(name, max_failures=3))
        fleet.run(8.0)
        self.assertEqual([JobState.COMPLETED] * 4, [fleet.state(name) for name in names])
        self.assertLessEqual(len(fleet.workers["bad"].starts), 6)

    def test_a_gang_is_not_tried_again_where_tasks_fail(self) -> None:
        """
        A caller's gang fails on the only worker with room, which fails whatever it starts.  No
        other job runs there that could show it, so the gang was tried there until its attempts
        were used up, though sound workers were about to have room.
        """
        fleet = Fleet(workers=2, cpu=2_000)
        for worker in fleet.workers.values():
            worker.lasts = 1.0
        fleet.submit(make_job("full", (Step(count=4, cpu=1_000),)))
        fleet.run(0.5)
        fleet.add_worker("bad", 2_000).failing = True
        gang = Step(count=2, cpu=1_000, gang=True)
        fleet.submit(make_job("gang", (gang,), max_failures=3))
        fleet.run(4.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("gang"))

    def test_a_worker_that_works_again_is_tried_with_one_task(self) -> None:
        """
        A worker fails the tasks of three jobs and is well again a moment later.  It gets one task
        first, and its whole room once that is done.
        """
        fleet = Fleet(workers=1)
        worker = fleet.workers["w0"]
        worker.failing = True
        for name in ("a", "b", "d"):
            fleet.submit(make_job(name, max_failures=9))
        fleet.run(0.5)
        worker.failing = False
        fleet.submit(make_job("c", (Step(count=6, cpu=1_000),)))
        fleet.run(2.0)
        self.assertFalse(worker.runs)
        fleet.run(1.0)
        self.assertEqual(1, len(worker.runs))
        fleet.run(1.0)
        self.assertEqual(4, len(worker.runs))

    def test_tasks_that_began_before_the_failures_prove_nothing(self) -> None:
        """
        A worker turns bad while it runs several tasks.  Those go on and are done one by one; each
        such end made the worker trusted again, and it failed the next tasks that came.
        """
        fleet = Fleet(workers=1)
        worker = fleet.workers["w0"]
        worker.lasts = 1.0
        fleet.submit(make_job("good"))
        fleet.run(0.5)
        worker.failing = True
        for name in ("a", "b", "d"):
            fleet.submit(make_job(name, max_failures=99))
        fleet.run(0.4)
        started = len(worker.starts)
        fleet.run(1.5)
        self.assertEqual(JobState.COMPLETED, fleet.state("good"))
        self.assertEqual(started, len(worker.starts))


class HopelessJobTest(unittest.TestCase):
    def test_a_job_that_fails_everywhere_shuts_no_worker_to_others(self) -> None:
        """
        A caller's job can't be done: its tasks fail wherever they run.  The workers are sound, so
        another caller's job must get their room at once.
        """
        fleet = Fleet(workers=2)
        for worker in fleet.workers.values():
            worker.failing = True
        fleet.submit(make_job("bad", (Step(count=6, cpu=1_000),), max_failures=3))
        fleet.run(0.5)
        self.assertEqual(JobState.FAILED, fleet.state("bad"))
        for worker in fleet.workers.values():
            worker.failing = False
        fleet.submit(make_job("good", (Step(count=8, cpu=1_000),)))
        fleet.run(0.3)
        self.assertEqual(8, sum(len(worker.runs) for worker in fleet.workers.values()))

    def test_two_jobs_that_fail_everywhere_shut_no_worker_to_others(self) -> None:
        """
        Two callers' jobs can't be done, and their tasks fail on each worker.  So each worker counts
        as one that fails whatever it starts: it gets nothing for 3 s and then a task a second,
        though all are sound and other callers' jobs wait beside a free fleet.
        """
        fleet = Fleet(workers=4)
        for worker in fleet.workers.values():
            worker.failing = True
        for name in ("bad", "worse"):
            fleet.submit(make_job(name, (Step(count=6, cpu=1_000),), max_failures=3))
        fleet.run(0.5)
        self.assertEqual(JobState.FAILED, fleet.state("worse"))
        for worker in fleet.workers.values():
            worker.failing = False
            worker.lasts = 20.0
        fleet.submit(make_job("good", (Step(count=16, cpu=1_000),)))
        fleet.run(1.0)
        self.assertEqual(16, sum(len(worker.runs) for worker in fleet.workers.values()))

    def test_a_lasting_task_that_fails_after_a_while_shuts_no_worker(self) -> None:
        fleet = Fleet(workers=1)
        worker = fleet.workers["w0"]
        worker.lasts = 60.0
        step = Step(cpu=1_000, long_running=True)
        for name in ("a", "b", "c"):
            fleet.submit(make_job(name, (step,)))
        fleet.run(3.0)
        for task in list(worker.runs):
            worker.end(task, RunEnd.FAILED)
        fleet.run(0.5)
        self.assertEqual({"a", "b", "c"}, {task.job for task in worker.runs})


if __name__ == "__main__":
    unittest.main()
