"""Jobs from their acceptance to their end, with nothing failing."""

from __future__ import annotations

import unittest
from dataclasses import replace

from toucanpin.scheduling.intake import cancel_job, forget_ended
from toucanpin.scheduling.job import Step, TaskKey, find_job_fault
from toucanpin.scheduling.pending_counts import count_pending
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.starting import MAX_ENTRY_AGE_S
from toucanpin.scheduling.tests.fleet import Fleet, make_job


class JobLifeTest(unittest.TestCase):
    def test_a_step_waits_for_all_tasks_of_the_steps_before_it(self) -> None:
        fleet = Fleet()
        steps = (Step(count=3, cpu=1_000), Step(count=2, cpu=1_000, after=(0,)))
        fleet.submit(make_job(steps=steps))
        fleet.run(0.8)
        started = {task.step for worker in fleet.workers.values() for task, _ in worker.starts}
        self.assertEqual({0}, started)
        fleet.run(2.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_no_worker_gets_more_than_it_has(self) -> None:
        fleet = Fleet(workers=1, cpu=2_000)
        fleet.submit(make_job(steps=(Step(count=5, cpu=1_000),)))
        for _ in range(40):
            fleet.run(0.05)
            self.assertLessEqual(len(fleet.workers["w0"].runs), 2)
        fleet.run(3.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_no_worker_gets_more_memory_than_it_has(self) -> None:
        """
        Processors are left over, memory is not.  A worker that doesn't guard its room starts what
        it is told to, so only the owner keeps tasks from taking the memory of each other.
        """
        fleet = Fleet(workers=1)
        fleet.submit(make_job(steps=(Step(count=5, cpu=100, memory=3_000),)))
        for _ in range(40):
            fleet.run(0.05)
            self.assertLessEqual(len(fleet.workers["w0"].runs), 2)
        fleet.run(3.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_what_needs_an_accelerator_does_not_start_without_one(self) -> None:
        """
        No worker has an accelerator.  One that doesn't guard its room would start the task all the
        same, and the task would fail there until its attempts are used up.
        """
        fleet = Fleet()
        fleet.submit(make_job(steps=(Step(cpu=100, accelerators=1),)))
        fleet.run(2.0)
        self.assertFalse([start for worker in fleet.workers.values() for start in worker.starts])

    def test_nothing_starts_on_a_worker_whose_room_has_shrunk(self) -> None:
        """Guards against starts that were planned before a worker said that it has less room."""
        fleet = Fleet(workers=1)
        worker = fleet.workers["w0"]
        worker.lasts = 3.0
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

    def test_nothing_starts_where_an_unguarded_worker_was_not_heard_of_lately(self) -> None:
        """Guards against starts by an old view of a worker that takes whatever it is given."""
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

    def test_a_job_fails_once_a_task_has_used_its_attempts(self) -> None:
        fleet = Fleet()
        for worker in fleet.workers.values():
            worker.failing = True
        fleet.submit(make_job(max_failures=2))
        fleet.run(2.0)
        self.assertEqual(JobState.FAILED, fleet.state("j1"))
        starts = [start for worker in fleet.workers.values() for start in worker.starts]
        self.assertEqual(2, len(starts))

    def test_attempts_of_a_task_rise_from_one(self) -> None:
        fleet = Fleet(workers=1)
        fleet.workers["w0"].failing = True
        fleet.submit(make_job(max_failures=3))
        fleet.run(1.0)
        self.assertEqual([1, 2, 3], [attempt for _, attempt in fleet.workers["w0"].starts])

    def test_a_lasting_task_is_started_again_however_it_ends(self) -> None:
        fleet = Fleet(workers=1)
        fleet.submit(make_job(steps=(Step(cpu=1_000, long_running=True),)))
        fleet.run(6.0)
        self.assertGreater(len(fleet.workers["w0"].starts), 3)
        self.assertEqual(JobState.ACTIVE, fleet.state("j1"))

    def test_a_cancelled_job_is_stopped_and_starts_no_more(self) -> None:
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

    def test_labels_and_limits_by_worker_hold(self) -> None:
        fleet = Fleet(workers=1)
        fleet.add_worker("ssd", labels=("fast", "r1"))
        fleet.submit(make_job("j1", (Step(cpu=100, label="fast"),)))
        fleet.submit(make_job("j2", (Step(count=4, cpu=100, per_worker=1),)))
        fleet.run(0.5)
        self.assertIn(TaskKey("j1", 0, 0, 0), fleet.workers["ssd"].runs)
        for worker in fleet.workers.values():
            self.assertEqual(1, sum(task.job == "j2" for task in worker.runs))

    def test_lasting_tasks_leave_room_for_brief_ones(self) -> None:
        """
        Operators wait for a verification.  Watches that last had taken the last cores of every
        worker, and each verification waited until one of them ended.
        """
        fleet = Fleet(workers=2, cpu=10_000)
        for worker in fleet.workers.values():
            worker.lasts = 100.0
        fleet.submit(make_job("j1", (Step(count=5, cpu=4_700, long_running=True),)))
        fleet.run(0.5)
        # Two tasks on each worker would leave a tenth of its cores; the last such place stays.
        self.assertEqual(3, sum(len(worker.runs) for worker in fleet.workers.values()))
        fleet.submit(make_job("j2", (Step(cpu=1_500),)))
        fleet.run(0.5)
        self.assertTrue(any(t.job == "j2" for w in fleet.workers.values() for t in w.runs))

    def test_a_worker_that_drains_gets_nothing_and_loses_lasting_tasks(self) -> None:
        fleet = Fleet(workers=1)
        fleet.submit(make_job(steps=(Step(cpu=1_000, long_running=True),)))
        fleet.workers["w0"].lasts = 100.0
        fleet.run(0.5)
        other = fleet.add_worker("w1")
        other.lasts = 100.0
        fleet.workers["w0"].entry = replace(fleet.workers["w0"].entry, ready=False)
        fleet.run(0.5)
        self.assertFalse(fleet.workers["w0"].runs)
        self.assertTrue(other.runs)
        self.assertFalse(fleet.duplicate_runs)

    def test_jobs_that_wait_are_counted_until_a_task_starts(self) -> None:
        fleet = Fleet(workers=0)
        fleet.submit(make_job("j1"))
        fleet.submit(make_job("j2"))
        self.assertEqual({"q": 2}, count_pending(fleet.cell))
        fleet.add_worker("w0")
        fleet.run(0.2)
        self.assertEqual({"q": 0}, count_pending(fleet.cell))

    def test_ended_jobs_are_forgotten_when_nobody_may_ask_any_more(self) -> None:
        fleet = Fleet()
        fleet.submit(make_job())
        fleet.run(2.0)
        forget_ended(fleet.cell, fleet.now(), 10.0)
        self.assertIn("j1", fleet.cell.jobs)
        fleet.run(12.0)
        forget_ended(fleet.cell, fleet.now(), 10.0)
        self.assertEqual(["j1"], fleet.cell.job_rows_to_delete)

    def test_malformed_jobs_are_told_what_is_wrong(self) -> None:
        cases = (
            (make_job(steps=()), "steps"),
            (make_job(steps=(Step(after=(0,)),)), "earlier"),
            (make_job(steps=(Step(count=0),)), "positive"),
            (make_job(steps=(Step(count=10_000),)), "tasks"),
        )
        for job, word in cases:
            with self.subTest(word):
                self.assertIn(word, find_job_fault(job))
        self.assertEqual("", find_job_fault(make_job()))


if __name__ == "__main__":
    unittest.main()
