"""Tests of moved tasks and of copies of speculative ones."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.moving import move_tasks
from toucanpin.scheduling.orders import EndedRun, RunEnd
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.worker import Phase


class SlowWorkerTest(unittest.TestCase):
    def test_task_is_moved_off_slow_worker(self) -> None:
        """
        Guards against a job that ends late because one of its three equal tasks runs on a worker
        that is six times slower than the others.
        """
        fleet = Fleet(workers=4, cpu=1_000)
        fleet.workers["w0"].duration = 12.0
        for name in ("w1", "w2", "w3"):
            fleet.workers[name].duration = 2.0
        fleet.submit(make_job(steps=(Step(count=3, cpu=1_000),)))
        fleet.run(5.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertFalse(fleet.duplicate_runs)

    def test_a_task_stays_on_a_slow_worker_if_no_other_has_room(self) -> None:
        fleet = Fleet(workers=3, cpu=1_000)
        fleet.workers["w0"].duration = 8.0
        for name in ("w1", "w2"):
            fleet.workers[name].duration = 2.0
        fleet.submit(make_job("j0", (Step(count=3, cpu=1_000),)))
        fleet.run(1.9)
        self.assertEqual(3, sum(len(worker.starts) for worker in fleet.workers.values()))

    def test_moderately_unequal_siblings_stay(self) -> None:
        fleet = Fleet(workers=2, cpu=1_000)
        fleet.workers["w0"].duration = 3.0
        fleet.workers["w1"].duration = 1.6
        fleet.submit(make_job(steps=(Step(count=2, cpu=1_000),)))
        fleet.run(5.0)
        self.assertEqual(2, sum(len(worker.starts) for worker in fleet.workers.values()))

    def test_task_listed_before_its_start_was_answered_gives_no_duration(self) -> None:
        """
        Guards against slow tasks that stay where they are, because the decision ends by a division
        by zero: a worker lists a task with some progress before it answers the task's start.
        """
        fleet = Fleet(workers=2, cpu=3_000)
        fleet.workers["w0"].duration = 30.0
        fleet.workers["w1"].duration = 1.0
        fleet.submit(make_job(steps=(Step(count=6, cpu=1_000),)))
        fleet.run(1.4)
        runs = list(fleet.cell.workers["w0"].runs.values())
        for run in runs:
            run.percent, run.started_at = 20, run.last_listed_at - 5.0
        runs[0].started_at = runs[0].last_listed_at
        move_tasks(fleet.cell, fleet.now())
        self.assertIsNot(Phase.STOPPING, runs[0].phase)
        self.assertIs(Phase.STOPPING, runs[1].phase)


class UnansweredStartTest(unittest.TestCase):
    def test_run_first_seen_in_a_report_gives_no_duration(self) -> None:
        """
        Guards against a division by zero in the duration of a task that was started without a known
        answer and is then reported for the first time.
        """
        fleet = Fleet(workers=2, cpu=3_000)
        fleet.workers["w0"].duration = 12.0
        fleet.workers["w1"].duration = 2.0
        fleet.submit(make_job(steps=(Step(count=6, cpu=1_000),)))
        fleet.run(1.9)
        unreported = next(iter(fleet.cell.workers["w0"].runs.values()))
        unreported.phase = Phase.ORDERED
        fleet.run(12.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertFalse(fleet.duplicate_runs)


class MissingReportTest(unittest.TestCase):
    def test_task_is_not_stalled_without_reports(self) -> None:
        """
        Guards against stopping all tasks of an owner whose link is congested, so that no worker's
        report arrives for two seconds.  A task is stalled only if a later report shows no progress.
        """
        fleet = Fleet()
        for worker in fleet.workers.values():
            worker.duration = 10.0
        fleet.submit(make_job(steps=(Step(count=4, cpu=1_000),)))
        fleet.run(0.5)
        fleet.time += 2.0
        move_tasks(fleet.cell, fleet.now())
        self.assertFalse(fleet.cell.orders)

    def test_stalled_task_is_stopped(self) -> None:
        fleet = Fleet()
        for worker in fleet.workers.values():
            worker.stuck = True
        fleet.submit(make_job())
        fleet.run(0.5)
        fleet.time += 2.0
        fleet.run(0.05)
        self.assertFalse(any(worker.runs for worker in fleet.workers.values()))


class LongTaskTest(unittest.TestCase):
    """Tasks that take several seconds for one percent, the unit in which progress is told."""

    DURATION_S = 400.0

    def _count_starts(self, step: Step, seconds: float) -> int:
        fleet = Fleet(workers=8)
        for worker in fleet.workers.values():
            worker.duration = self.DURATION_S
        for number in range(6):
            fleet.submit(make_job(f"j{number}", (step,)))
        fleet.run(seconds)
        self.assertEqual(12, sum(len(core.runs) for core in fleet.workers.values()))
        return sum(len(core.starts) for core in fleet.workers.values())

    def test_long_tasks_are_not_stopped(self) -> None:
        """Guards against tasks that are never done, as none of them is left alone."""
        estimate = int(1_000 * self.DURATION_S)
        self.assertEqual(12, self._count_starts(Step(count=2, cpu=1_000, estimate=estimate), 60.0))

    def test_long_tasks_without_an_estimate_are_stopped_a_few_times(self) -> None:
        """Guards against the same where callers tell no duration, or one that is far too short."""
        starts = self._count_starts(Step(count=2, cpu=1_000, estimate=500), 60.0)
        self.assertLessEqual(starts, 12 * 5)

    def test_task_that_is_slowed_down_is_not_stopped(self) -> None:
        """Guards against stopping best-effort tasks that their owner keeps at a low pace."""
        fleet = Fleet(workers=2)
        for worker in fleet.workers.values():
            worker.duration = self.DURATION_S
        fleet.submit(make_job(steps=(Step(cpu=1_000, estimate=20_000),)))
        fleet.run(0.2)
        (run,) = fleet.cell.runs["j1"]
        run.pace = 5
        fleet.run(3.5)
        self.assertEqual(1, sum(len(core.starts) for core in fleet.workers.values()))


class CopyTest(unittest.TestCase):
    STEP = Step(cpu=1_000, speculative=True)

    def test_no_copy_on_the_worker_of_the_original(self) -> None:
        """
        Guards against a copy that replaces the original run in the owner's records.  The only
        worker is silent for a moment, answers again and gets the copy; the original's failure was
        not counted, so the task had three starts of two, and its resources were never released.
        """
        fleet = Fleet(workers=1)
        worker = fleet.workers["w0"]
        worker.duration = 3.0
        fleet.submit(make_job(steps=(self.STEP,)))
        fleet.run(0.3)
        worker.silent = True
        fleet.run(1.0)
        worker.silent = False
        fleet.run(1.0)
        self.assertEqual(1, len(worker.starts))
        self.assertEqual(1_000, fleet.cell.workers["w0"].cpu)
        fleet.run(4.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertEqual(0, fleet.cell.workers["w0"].cpu)

    def test_copy_starts_before_lease_of_silent_worker_ends(self) -> None:
        """
        Guards against an urgent speculative task that waits for seconds until the lease of its lost
        worker ends, though a copy may run at the same time.
        """
        fleet = Fleet(workers=2, cpu=1_000)
        for worker in fleet.workers.values():
            worker.duration = 1.0
        fleet.submit(make_job(steps=(self.STEP,)))
        fleet.run(0.3)
        first = next(worker for worker in fleet.workers.values() if worker.runs)
        first.silent = True
        fleet.run(2.4)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_first_finished_copy_ends_the_other(self) -> None:
        fleet = Fleet(workers=2, cpu=1_000)
        for worker in fleet.workers.values():
            worker.duration = 100.0
        fleet.submit(make_job(steps=(self.STEP,)))
        fleet.run(0.3)
        first = next(worker for worker in fleet.workers.values() if worker.runs)
        first.stuck = True
        fleet.run(2.5)
        self.assertEqual(2, sum(len(worker.runs) for worker in fleet.workers.values()))
        first.end(TaskKey("j1", 0, 0, 0), RunEnd.DONE)
        fleet.run(0.5)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertFalse(any(worker.runs for worker in fleet.workers.values()))

    def test_unwritten_copy_does_not_reset_finished_task(self) -> None:
        """
        Guards against a finished task that runs again and is counted twice, so that the next step
        starts too early.  A worker is silent for a moment while the table is slow, so copies of its
        two tasks are assigned but not written when it reports one of them as done.
        """
        fleet = Fleet(workers=2)
        steps = (Step(count=2, cpu=1_000, speculative=True), Step(cpu=1_000, after=(0,)))
        fleet.submit(make_job(steps=steps))
        fleet.run(0.2)
        busy = next(worker for worker in fleet.workers.values() if worker.runs)
        busy.runs[TaskKey("j1", 0, 0, 1)].duration = 60.0
        for worker in fleet.workers.values():
            worker.duration = 60.0
        busy.silent = True
        fleet.store_up = False
        fleet.run(1.2)
        busy.silent = False
        fleet.run(0.2)
        fleet.store_up = True
        fleet.run(1.5)
        started = [task for worker in fleet.workers.values() for task, _ in worker.starts]
        self.assertEqual(1, started.count(TaskKey("j1", 0, 0, 0)))
        self.assertNotIn(TaskKey("j1", 0, 1, 0), started)

    def test_success_of_earlier_owners_copy_counts(self) -> None:
        """
        Guards against starts after the success of a run that the owner doesn't know: two copies
        run, the owner is killed, the next one knows only the newer copy, and the older one is done
        first.
        """
        fleet = Fleet(workers=2, cpu=1_000)
        for worker in fleet.workers.values():
            worker.duration = 100.0
        fleet.submit(make_job(steps=(self.STEP,)))
        fleet.run(0.3)
        first = next(worker for worker in fleet.workers.values() if worker.runs)
        first.stuck = True
        fleet.run(2.5)
        first.end(TaskKey("j1", 0, 0, 0), RunEnd.DONE)
        fleet.replace_owner()
        fleet.run(1.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertEqual(2, sum(len(worker.starts) for worker in fleet.workers.values()))

    def test_failure_of_earlier_owners_copy_counts(self) -> None:
        """
        Guards against a third start of a task that may fail twice.  Two copies run, the older one
        fails, and the owner is killed before it learns of it; the next one knows only the newer
        copy, which then fails too.
        """
        fleet = Fleet(workers=2, cpu=1_000)
        for worker in fleet.workers.values():
            worker.duration = 100.0
        fleet.submit(make_job(steps=(self.STEP,), max_failures=2))
        fleet.run(0.3)
        first = next(worker for worker in fleet.workers.values() if worker.runs)
        second = next(worker for worker in fleet.workers.values() if worker is not first)
        first.stuck = True
        fleet.run(2.5)
        self.assertTrue(second.runs)
        first.end(TaskKey("j1", 0, 0, 0), RunEnd.FAILED)
        fleet.replace_owner()
        fleet.run(0.5)
        second.end(TaskKey("j1", 0, 0, 0), RunEnd.FAILED)
        fleet.run(2.0)
        self.assertEqual(2, sum(len(worker.starts) for worker in fleet.workers.values()))
        self.assertEqual(JobState.FAILED, fleet.state("j1"))

    def test_failure_reported_to_two_owners_counts_once(self) -> None:
        """
        Guards against a job that is reported as failed though its task has another attempt: the
        owner records a copy's failure and is killed before it acknowledges the end, which the
        worker then reports to the next owner.
        """
        fleet = Fleet(workers=2, cpu=1_000)
        for worker in fleet.workers.values():
            worker.duration = 100.0
        fleet.submit(make_job(steps=(self.STEP,), max_failures=2))
        fleet.run(0.3)
        first = next(worker for worker in fleet.workers.values() if worker.runs)
        first.stuck = True
        fleet.run(2.5)
        task = TaskKey("j1", 0, 0, 0)
        first.end(task, RunEnd.FAILED)
        sequence = first.ended[-1].sequence
        fleet.run(0.05)
        first.ended.append(EndedRun(sequence + 1, task, 1, RunEnd.FAILED, ""))
        fleet.replace_owner()
        fleet.run(0.5)
        record = fleet.cell.jobs["j1"].progress.tasks[0][0]
        self.assertEqual(1, record.failures)
        self.assertNotEqual(JobState.FAILED, fleet.state("j1"))


if __name__ == "__main__":
    unittest.main()
