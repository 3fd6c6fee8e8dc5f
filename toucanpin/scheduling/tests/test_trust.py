"""Workers that fail every task, and jobs that fail on every worker."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.job import Step
from toucanpin.scheduling.orders import RunEnd
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.trust import MIN_FAILED_JOBS, is_distrusted

RECOVERY_S = 10.0  # longer than any pause after a failure


class FailingWorkerTest(unittest.TestCase):
    def test_jobs_survive_a_failing_worker_with_the_only_capacity(self) -> None:
        """
        The fleet is full except for one worker, which fails every task within milliseconds and so
        has free capacity again at once. Guards against using up a task's three attempts there
        within a fifth of a second, although other workers soon have free capacity.
        """
        fleet = Fleet(workers=3, cpu=2_000)
        for worker in fleet.workers.values():
            worker.duration = 2.0
        fleet.submit(make_job("full", (Step(count=6, cpu=1_000),)))
        fleet.run(1.0)
        fleet.add_worker("bad", 2_000).failing = True
        names = [f"j{number}" for number in range(4)]
        for name in names:
            fleet.submit(make_job(name, max_failures=3))
        fleet.run(8.0)
        self.assertEqual([JobState.COMPLETED] * 4, [fleet.state(name) for name in names])
        self.assertLessEqual(len(fleet.workers["bad"].starts), 6)

    def test_gang_is_not_retried_where_tasks_fail(self) -> None:
        """
        A gang fails on the only worker with free capacity, which fails every task. No other job
        runs there that could show it. Guards against using up the gang's attempts there although
        healthy workers soon have free capacity.
        """
        fleet = Fleet(workers=2, cpu=2_000)
        for worker in fleet.workers.values():
            worker.duration = 1.0
        fleet.submit(make_job("full", (Step(count=4, cpu=1_000),)))
        fleet.run(0.5)
        fleet.add_worker("bad", 2_000).failing = True
        gang = Step(count=2, cpu=1_000, gang=True)
        fleet.submit(make_job("gang", (gang,), max_failures=3))
        fleet.run(4.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("gang"))

    def test_recovered_worker_is_tried_with_one_task(self) -> None:
        """
        A worker fails the tasks of three jobs and recovers a moment later. It must get one task
        first, and as many as fit once that is done.
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

    def test_successes_of_earlier_tasks_do_not_restore_trust(self) -> None:
        """
        A worker starts to fail while it runs several tasks, which complete one by one. Guards
        against trusting it after each of them, so that it fails the next tasks.
        """
        fleet = Fleet(workers=1)
        worker = fleet.workers["w0"]
        worker.duration = 1.0
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


class LastAttemptTest(unittest.TestCase):
    def test_last_attempt_is_made_on_a_sound_worker_beside_a_distrusted_one(self) -> None:
        """
        A task has one attempt left, and a worker that fails every task is idle and ranks first.
        Guards against a wait without an end: nothing else runs that could restore trust, and the
        sound worker isn't tried.
        """
        fleet = Fleet(workers=1)
        _fail_jobs(fleet)
        failing = fleet.workers["w0"]
        failing.failing = True
        sound = fleet.add_worker("w1")
        sound.failing = True
        fleet.run(0.2)
        fleet.cell.workers["w0"].suspect_until = fleet.time + 0.5
        fleet.submit(make_job("j1", max_failures=2))
        fleet.run(0.2)
        self.assertEqual(1, len(sound.starts))
        sound.failing = False
        fleet.run(RECOVERY_S)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertNotIn("j1", {task.job for task, _ in failing.starts})

    def test_last_attempt_is_made_though_all_sound_workers_stay_full(self) -> None:
        """
        The only worker that is trusted is full of a service.  Guards against a task that has one
        attempt left and waits for that worker without an end, beside an idle one that has recovered
        and that nothing else can clear.
        """
        fleet = Fleet(workers=1)
        _fail_jobs(fleet)
        fleet.add_worker("w1").duration = 600.0
        fleet.run(0.2)
        fleet.cell.workers["w0"].suspect_until = fleet.time + 1.0
        fleet.submit(make_job("service", (Step(cpu=4_000, long_running=True),)))
        fleet.run(2.0)
        worker = fleet.workers["w0"]
        worker.failing = True
        fleet.submit(make_job("j1", max_failures=2))
        fleet.run(0.2)
        self.assertEqual("j1", worker.starts[-1][0].job)
        worker.failing = False
        fleet.run(RECOVERY_S)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_last_attempt_is_made_where_no_worker_is_trusted(self) -> None:
        """
        Tasks of three jobs failed on every worker, all of which have recovered. Guards against a
        task that has one attempt left and waits for ever, each distrusted worker in favour of
        another distrusted one or of itself.
        """
        fleet = Fleet(workers=2)
        _fail_jobs(fleet)
        worker = fleet.workers["w0"]
        worker.failing = True
        fleet.submit(make_job("j1", max_failures=2))
        fleet.run(0.2)
        self.assertEqual("j1", worker.starts[-1][0].job)
        worker.failing = False
        fleet.run(RECOVERY_S)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))


def _fail_jobs(fleet: Fleet) -> None:
    """Fail enough jobs on all workers of a fleet for these to be distrusted, and recover."""
    for worker in fleet.workers.values():
        worker.failing = True
    for number in range(MIN_FAILED_JOBS):
        step = Step(count=len(fleet.workers), cpu=1_000, per_worker=1)
        fleet.submit(make_job(f"bad{number}", (step,), max_failures=1))
        fleet.run(RECOVERY_S)
    assert all(is_distrusted(worker) for worker in fleet.cell.workers.values())
    for worker in fleet.workers.values():
        worker.failing = False


class FailingJobTest(unittest.TestCase):
    def test_job_that_always_fails_blocks_no_worker(self) -> None:
        """
        The tasks of a job fail on every worker. Other jobs must be able to use these workers at
        once.
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

    def test_two_jobs_that_always_fail_block_no_worker(self) -> None:
        """
        The tasks of two jobs fail on every worker. Guards against distrusting all workers, so that
        each gets nothing for 3 s and then a task per second while other jobs wait.
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
            worker.duration = 20.0
        fleet.submit(make_job("good", (Step(count=16, cpu=1_000),)))
        fleet.run(1.0)
        self.assertEqual(16, sum(len(worker.runs) for worker in fleet.workers.values()))

    def test_late_failures_of_long_running_tasks_block_no_worker(self) -> None:
        fleet = Fleet(workers=1)
        worker = fleet.workers["w0"]
        worker.duration = 60.0
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
