"""Jobs from submission to their end, without faults."""

from __future__ import annotations

import unittest
from dataclasses import replace

from toucanpin.scheduling.intake import cancel_job, forget_ended
from toucanpin.scheduling.job import Step, TaskKey, find_job_fault
from toucanpin.scheduling.pending_counts import count_pending
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.starting import MAX_ENTRY_AGE_S
from toucanpin.scheduling.tests.fleet import Fleet, make_job


class JobLifecycleTest(unittest.TestCase):
    def test_step_waits_for_all_tasks_of_earlier_steps(self) -> None:
        fleet = Fleet()
        steps = (Step(count=3, cpu=1_000), Step(count=2, cpu=1_000, after=(0,)))
        fleet.submit(make_job(steps=steps))
        fleet.run(0.8)
        started = {task.step for worker in fleet.workers.values() for task, _ in worker.starts}
        self.assertEqual({0}, started)
        fleet.run(2.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_cpu_is_not_overcommitted(self) -> None:
        fleet = Fleet(workers=1, cpu=2_000)
        fleet.submit(make_job(steps=(Step(count=5, cpu=1_000),)))
        for _ in range(40):
            fleet.run(0.05)
            self.assertLessEqual(len(fleet.workers["w0"].runs), 2)
        fleet.run(3.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_memory_is_not_overcommitted(self) -> None:
        """
        CPU is free, memory isn't. A worker that doesn't check its capacity starts every task it is
        given, so only the owner can prevent overcommitted memory.
        """
        fleet = Fleet(workers=1)
        fleet.submit(make_job(steps=(Step(count=5, cpu=100, memory=3_000),)))
        for _ in range(40):
            fleet.run(0.05)
            self.assertLessEqual(len(fleet.workers["w0"].runs), 2)
        fleet.run(3.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_task_with_accelerator_needs_one(self) -> None:
        """
        A worker that doesn't check its capacity would start the task without an accelerator, and it
        would fail until its attempts are used up.
        """
        fleet = Fleet()
        fleet.submit(make_job(steps=(Step(cpu=100, accelerators=1),)))
        fleet.run(2.0)
        self.assertFalse([start for worker in fleet.workers.values() for start in worker.starts])

    def test_nothing_starts_on_a_worker_whose_capacity_shrank(self) -> None:
        """Guards against starts that were planned before a worker reported less capacity."""
        fleet = Fleet(workers=1)
        worker = fleet.workers["w0"]
        worker.duration = 3.0
        fleet.run(0.2)
        fleet.submit(make_job(steps=(Step(count=4, cpu=1_000),)))
        fleet.store_up = False
        fleet.run(0.3)
        worker.entry = replace(worker.entry, cpu=2_000)
        fleet.run(0.3)
        fleet.store_up = True
        fleet.run(1.0)
        self.assertLessEqual(len(worker.runs), 2)
        worker.entry = replace(worker.entry, cpu=4_000)
        fleet.run(1.0)
        self.assertEqual(4, len(worker.runs))

    def test_nothing_starts_on_an_unguarded_worker_with_an_old_entry(self) -> None:
        """Guards against starts based on an old entry of a worker that accepts any task."""
        for guarded in (False, True):
            with self.subTest(guarded=guarded):
                fleet = Fleet(workers=1)
                fleet.cell.workers_enforce_limits = guarded
                fleet.run(0.2)
                fleet.unlisted = {"w0"}
                fleet.run(MAX_ENTRY_AGE_S + 0.5)
                fleet.submit(make_job())
                fleet.run(0.5)
                self.assertEqual(guarded, bool(fleet.workers["w0"].starts))
                fleet.unlisted.clear()
                fleet.run(0.5)
                self.assertTrue(fleet.workers["w0"].starts)

    def test_job_fails_once_a_task_has_used_its_attempts(self) -> None:
        fleet = Fleet()
        for worker in fleet.workers.values():
            worker.failing = True
        fleet.submit(make_job(max_failures=2))
        fleet.run(2.0)
        self.assertEqual(JobState.FAILED, fleet.state("j1"))
        starts = [start for worker in fleet.workers.values() for start in worker.starts]
        self.assertEqual(2, len(starts))

    def test_attempts_are_numbered_from_one(self) -> None:
        fleet = Fleet(workers=1)
        fleet.workers["w0"].failing = True
        fleet.submit(make_job(max_failures=3))
        fleet.run(1.0)
        self.assertEqual([1, 2, 3], [attempt for _, attempt in fleet.workers["w0"].starts])

    def test_long_running_task_is_always_restarted(self) -> None:
        fleet = Fleet(workers=1)
        fleet.submit(make_job(steps=(Step(cpu=1_000, long_running=True),)))
        fleet.run(6.0)
        self.assertGreater(len(fleet.workers["w0"].starts), 3)
        self.assertEqual(JobState.ACTIVE, fleet.state("j1"))

    def test_cancelled_job_is_stopped(self) -> None:
        fleet = Fleet()
        steps = (Step(count=2, cpu=1_000), Step(cpu=1_000, after=(0,)))
        fleet.submit(make_job(steps=steps))
        fleet.run(0.5)
        cancel_job(fleet.cell, "j1", fleet.now())
        fleet.run(0.1)
        self.assertFalse(any(worker.runs for worker in fleet.workers.values()))
        fleet.run(3.0)
        self.assertEqual(2, sum(len(worker.starts) for worker in fleet.workers.values()))
        self.assertEqual(JobState.CANCELLED, fleet.state("j1"))

    def test_occurrences_start_when_they_are_due(self) -> None:
        fleet = Fleet()
        start_at = int(fleet.time * 1_000) + 1_000
        fleet.submit(make_job(repeats=3, start_at=start_at, interval=1_000))
        fleet.run(0.9)
        self.assertFalse(any(worker.starts for worker in fleet.workers.values()))
        fleet.run(0.3)
        self.assertEqual(1, sum(len(worker.starts) for worker in fleet.workers.values()))
        fleet.run(4.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_gangs_start_whole_or_not_at_all(self) -> None:
        fleet = Fleet(workers=2, cpu=2_000)
        fleet.submit(make_job("j0", (Step(cpu=2_000),)))
        fleet.submit(make_job("j1", (Step(count=3, cpu=1_000, gang=True),)))
        fleet.run(0.8)
        running = [task.job for worker in fleet.workers.values() for task in worker.runs]
        self.assertNotIn("j1", running)
        fleet.run(1.0)
        starts = [s for worker in fleet.workers.values() for s in worker.starts if s[0].job == "j1"]
        self.assertEqual({1}, {attempt for _, attempt in starts})
        self.assertEqual(3, len(starts))

    def test_labels_and_limits_per_worker_are_respected(self) -> None:
        fleet = Fleet(workers=1)
        fleet.add_worker("ssd", labels=("fast", "r1"))
        fleet.submit(make_job("j1", (Step(cpu=100, label="fast"),)))
        fleet.submit(make_job("j2", (Step(count=4, cpu=100, per_worker=1),)))
        fleet.run(0.5)
        self.assertIn(TaskKey("j1", 0, 0, 0), fleet.workers["ssd"].runs)
        for worker in fleet.workers.values():
            self.assertEqual(1, sum(task.job == "j2" for task in worker.runs))

    def test_long_running_tasks_leave_capacity_for_short_ones(self) -> None:
        """
        Guards against long-running tasks that take the last cores of every worker, so that each
        short task waits until one of them ends.
        """
        fleet = Fleet(workers=2, cpu=10_000)
        for worker in fleet.workers.values():
            worker.duration = 100.0
        fleet.submit(make_job("j1", (Step(count=5, cpu=4_700, long_running=True),)))
        fleet.run(0.5)
        # Two tasks on each worker would leave a tenth of its cores; the last such placement isn't
        # used.
        self.assertEqual(3, sum(len(worker.runs) for worker in fleet.workers.values()))
        fleet.submit(make_job("j2", (Step(cpu=1_500),)))
        fleet.run(0.5)
        self.assertTrue(any(t.job == "j2" for w in fleet.workers.values() for t in w.runs))

    def test_draining_worker_gets_no_tasks_and_loses_long_running_ones(self) -> None:
        fleet = Fleet(workers=1)
        fleet.submit(make_job(steps=(Step(cpu=1_000, long_running=True),)))
        fleet.workers["w0"].duration = 100.0
        fleet.run(0.5)
        other = fleet.add_worker("w1")
        other.duration = 100.0
        fleet.workers["w0"].entry = replace(fleet.workers["w0"].entry, ready=False)
        fleet.run(0.5)
        self.assertFalse(fleet.workers["w0"].runs)
        self.assertTrue(other.runs)
        self.assertFalse(fleet.duplicate_runs)

    def test_jobs_are_pending_until_a_task_starts(self) -> None:
        fleet = Fleet(workers=0)
        fleet.submit(make_job("j1"))
        fleet.submit(make_job("j2"))
        self.assertEqual({"q": 2}, count_pending(fleet.cell))
        fleet.add_worker("w0")
        fleet.run(0.2)
        self.assertEqual({"q": 0}, count_pending(fleet.cell))

    def test_ended_jobs_are_forgotten_after_the_retention_period(self) -> None:
        fleet = Fleet()
        fleet.submit(make_job())
        fleet.run(2.0)
        forget_ended(fleet.cell, fleet.now(), 10.0)
        self.assertIn("j1", fleet.cell.jobs)
        fleet.run(12.0)
        forget_ended(fleet.cell, fleet.now(), 10.0)
        self.assertEqual(["j1"], fleet.cell.job_rows_to_delete)

    def test_malformed_jobs_are_explained(self) -> None:
        cases = (
            (make_job(steps=()), "steps"),
            (make_job(steps=(Step(after=(0,)),)), "earlier"),
            (make_job(steps=(Step(count=0),)), "positive"),
            (make_job(steps=(Step(count=10_000),)), "tasks"),
            (make_job(steps=(Step(cpu=2**60),)), "cpu"),
            (make_job(steps=(Step(estimate=-(2**60)),)), "estimate"),
            (make_job(priority=2**60), "priority"),
            (make_job(repeats=10**9), "repeated"),
        )
        for job, word in cases:
            with self.subTest(word):
                self.assertIn(word, find_job_fault(job))
        self.assertEqual("", find_job_fault(make_job()))


if __name__ == "__main__":
    unittest.main()
