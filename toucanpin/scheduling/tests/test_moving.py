"""Tasks that do better elsewhere, and copies where they are allowed."""

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
        A caller waits for a job of three equal tasks.  One worker has turned six times slower; its
        siblings' times show it, and the task begins anew elsewhere instead of ending last.
        """
        fleet = Fleet(workers=4, cpu=1_000)
        fleet.workers["w0"].lasts = 12.0
        for name in ("w1", "w2", "w3"):
            fleet.workers[name].lasts = 2.0
        fleet.submit(make_job(steps=(Step(count=3, cpu=1_000),)))
        fleet.run(5.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertFalse(fleet.duplicate_runs)

    def test_a_task_stays_on_a_slow_worker_if_no_other_has_room(self) -> None:
        fleet = Fleet(workers=3, cpu=1_000)
        fleet.workers["w0"].lasts = 8.0
        for name in ("w1", "w2"):
            fleet.workers[name].lasts = 2.0
        fleet.submit(make_job("j0", (Step(count=3, cpu=1_000),)))
        fleet.run(1.9)
        self.assertEqual(3, sum(len(worker.starts) for worker in fleet.workers.values()))

    def test_moderately_unequal_siblings_stay(self) -> None:
        fleet = Fleet(workers=2, cpu=1_000)
        fleet.workers["w0"].lasts = 3.0
        fleet.workers["w1"].lasts = 1.6
        fleet.submit(make_job(steps=(Step(count=2, cpu=1_000),)))
        fleet.run(5.0)
        self.assertEqual(2, sum(len(worker.starts) for worker in fleet.workers.values()))


class UnansweredStartTest(unittest.TestCase):
    def test_run_first_seen_in_a_report_gives_no_duration(self) -> None:
        """Guards against an owner that ends as it divides by the time of a task just heard of."""
        fleet = Fleet(workers=2, cpu=3_000)
        fleet.workers["w0"].lasts = 12.0
        fleet.workers["w1"].lasts = 2.0
        fleet.submit(make_job(steps=(Step(count=6, cpu=1_000),)))
        fleet.run(1.9)
        unheard = next(iter(fleet.cell.workers["w0"].runs.values()))
        unheard.phase = Phase.ORDERED
        fleet.run(12.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertFalse(fleet.duplicate_runs)


class MissingReportTest(unittest.TestCase):
    def test_task_is_not_stalled_without_reports(self) -> None:
        """
        The owner's link is full, and for two seconds no worker's list arrives.  The tasks work on,
        but the owner saw no progress since it saw no list, took them to stand still and stopped
        them all.  Progress is missing only if a later list shows none.
        """
        fleet = Fleet()
        for worker in fleet.workers.values():
            worker.lasts = 10.0
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


class CopyTest(unittest.TestCase):
    STEP = Step(cpu=1_000, speculative=True)

    def test_no_copy_on_the_worker_of_the_original(self) -> None:
        """
        A worker is silent for a moment, so a copy of its task is wanted, and no other has room.
        When it answers again, the copy went there, and its run took the place of the first in what
        the owner follows.  The first run's failure was then counted by nobody, so the task had
        three starts of two, and the room of that run was never given back.
        """
        fleet = Fleet(workers=1)
        worker = fleet.workers["w0"]
        worker.lasts = 3.0
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
        The worker of an urgent task is lost.  Its lease ends in seconds only, but copies of this
        task may run side by side, so another one begins at once and its end counts.
        """
        fleet = Fleet(workers=2, cpu=1_000)
        for worker in fleet.workers.values():
            worker.lasts = 1.0
        fleet.submit(make_job(steps=(self.STEP,)))
        fleet.run(0.3)
        first = next(worker for worker in fleet.workers.values() if worker.runs)
        first.silent = True
        fleet.run(2.4)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_first_finished_copy_ends_the_other(self) -> None:
        fleet = Fleet(workers=2, cpu=1_000)
        for worker in fleet.workers.values():
            worker.lasts = 100.0
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
        A worker is silent for a moment while the table is slow, so copies of its two tasks are
        placed and not written yet.  Then it lists one of them as done.  The copy's end put the task
        back to wait: it ran again, was counted twice, and the next step began beside the other.
        """
        fleet = Fleet(workers=2)
        steps = (Step(count=2, cpu=1_000, speculative=True), Step(cpu=1_000, after=(0,)))
        fleet.submit(make_job(steps=steps))
        fleet.run(0.2)
        busy = next(worker for worker in fleet.workers.values() if worker.runs)
        busy.runs[TaskKey("j1", 0, 0, 1)].lasts = 60.0
        for worker in fleet.workers.values():
            worker.lasts = 60.0
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
        Two copies run and the owner is killed.  The next one knows of the newer copy alone; the
        older one is done first, and nothing of the task may start after that end is acknowledged.
        """
        fleet = Fleet(workers=2, cpu=1_000)
        for worker in fleet.workers.values():
            worker.lasts = 100.0
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
        Two copies run, the older one fails, and the owner is killed before it has heard of it.  The
        next one knows of the newer copy alone, so that nobody counts the failure of the older one.
        Then the newer one fails too, and the task, which may fail twice, is started a third time.
        """
        fleet = Fleet(workers=2, cpu=1_000)
        for worker in fleet.workers.values():
            worker.lasts = 100.0
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
        A copy fails, its owner writes that down and is killed before it acknowledges the end.  The
        worker lists the end again to the next owner; counted twice, the job would be told as failed
        though its task had another try.
        """
        fleet = Fleet(workers=2, cpu=1_000)
        for worker in fleet.workers.values():
            worker.lasts = 100.0
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
