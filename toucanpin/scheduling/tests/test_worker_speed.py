"""Tests of slow workers that the tasks of several jobs and queues reveal."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import msgspec

from toucanpin.scheduling.cell import Now
from toucanpin.scheduling.durations import Fit
from toucanpin.scheduling.features import Features
from toucanpin.scheduling.intake import forget_ended
from toucanpin.scheduling.interference_model import InterferenceModel, LearnedModel
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.moving import move_tasks
from toucanpin.scheduling.orders import RunEnd
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.task_times import TaskTimes, record_task_time
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.worker_speed import StepRates, find_slow_worker, update_rates

TASK_TIME_S = 1.0
SLOWDOWN = 7.0


class SlowWorkerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=4, cpu=4_000)
        self.fleet.cell.features = Features(worker_profiles=True)
        for worker in self.fleet.workers.values():
            worker.duration = TASK_TIME_S
        self._submitted = 0

    def _submit(self, count: int, width: int = 1) -> None:
        for _ in range(count):
            step = Step(count=width, cpu=1_000, estimate=1_000)
            self.fleet.submit(make_job(f"j{self._submitted:03}", (step,)))
            self._submitted += 1

    def _learn(self) -> None:
        self._submit(16)
        self.fleet.run(3.0)

    def _fill_slow_worker(self, slowdown: float) -> set[str]:
        """Fill the fleet with jobs of one task; return those on a worker that is now slow."""
        slow = self.fleet.workers["w0"]
        slow.duration = slowdown * TASK_TIME_S
        self._submit(12)
        self.fleet.run(0.3)
        jobs = {task.job for task in slow.runs}
        self.assertTrue(jobs)
        return jobs

    def test_jobs_of_one_task_leave_slow_worker(self) -> None:
        """
        Guards against jobs without siblings that stay on a slow worker until they are late: the
        tasks of different jobs together show that the worker is slow.
        """
        self._learn()
        jobs = self._fill_slow_worker(SLOWDOWN)
        self.fleet.run(3.5)
        for job in jobs:
            self.assertEqual(JobState.COMPLETED, self.fleet.state(job))
        self.assertFalse(self.fleet.duplicate_runs)

    def test_moves_are_forgotten_with_their_jobs(self) -> None:
        """Guards against memory that grows with each task that is moved."""
        self._learn()
        self._fill_slow_worker(SLOWDOWN)
        self.fleet.run(3.5)
        self.assertTrue(self.fleet.cell.moved_tasks)
        self.fleet.run(60.0)
        forget_ended(self.fleet.cell, self.fleet.now(), 10.0)
        self.assertFalse(self.fleet.cell.moved_tasks)

    def test_slow_worker_gets_no_new_tasks(self) -> None:
        """Guards against new jobs that are placed on a worker known to be slow."""
        self._learn()
        self._fill_slow_worker(SLOWDOWN)
        self.fleet.run(1.0)
        started = len(self.fleet.workers["w0"].starts)
        self._submit(6)
        self.fleet.run(0.5)
        self.assertEqual(started, len(self.fleet.workers["w0"].starts))

    def test_single_slow_task_says_nothing_of_its_worker(self) -> None:
        """Guards against moving a task that takes long anywhere, which would only lose its work."""
        self._learn()
        self._submit(12)
        self.fleet.run(0.1)
        worker = next(it for it in self.fleet.workers.values() if len(it.runs) > 1)
        task = next(iter(worker.runs))
        worker.runs[task].duration = SLOWDOWN * TASK_TIME_S
        self.fleet.run(3.0)
        self.assertIn(task, worker.runs)

    def test_two_long_tasks_left_over_say_nothing_of_their_worker(self) -> None:
        """
        Tasks that take long anywhere stay while their neighbours end.  Guards against avoiding a
        worker, and losing their work, once two of them are left on it.
        """
        self._learn()
        self._submit(12)
        self.fleet.run(0.1)
        worker = next(it for it in self.fleet.workers.values() if len(it.runs) > 2)
        tasks = sorted(worker.runs)[:2]
        for task in tasks:
            worker.runs[task].duration = SLOWDOWN * TASK_TIME_S
        self.fleet.run(4.0)
        self.assertEqual(tasks, sorted(worker.runs))

    def test_last_task_of_a_step_stays(self) -> None:
        """
        All siblings of a task that takes long anywhere have ended.  Guards against comparing it
        with them alone, which would move it and lose its work.
        """
        self._learn()
        self._submit(1, width=10)
        self.fleet.run(0.1)
        worker = next(it for it in self.fleet.workers.values() if it.runs)
        task = next(iter(worker.runs))
        worker.runs[task].duration = 6 * SLOWDOWN * TASK_TIME_S
        self.fleet.run(5.0)
        self.assertIn(task, worker.runs)

    def test_quick_tasks_do_not_make_a_worker_slow(self) -> None:
        """Guards against avoiding a worker whose tasks take a tenth of the usual time."""
        for worker in self.fleet.workers.values():
            worker.duration = 10 * TASK_TIME_S
        self.fleet.workers["w0"].duration = TASK_TIME_S
        self._submit(1, width=16)
        self.fleet.run(0.9)
        self.assertFalse(any(it.slow_until for it in self.fleet.cell.workers.values()))

    def test_crowded_worker_is_not_slow(self) -> None:
        """Guards against moving best-effort tasks that merely share their worker's cores."""
        times = self.fleet.cell.task_times
        for _ in range(20):
            record_task_time(times, "q", 1_000, 1.0)
        for worker in self.fleet.workers.values():
            worker.duration = 5.0
        step = Step(cpu=2_000, estimate=1_000, best_effort=True)
        for number in range(8):
            self.fleet.submit(make_job(f"crowd{number}", (step,)))
        self.fleet.run(0.2)
        cell = self.fleet.cell
        for known in cell.workers.values():
            update_rates(known)
            for run in known.runs.values():
                run.measure = 400.0
                run.percent += 12
                run.last_listed_at += 0.6
            known.clock += 600
            known.answered_at += 0.6
            update_rates(known)
        rates = StepRates(cell)
        found = [find_slow_worker(cell, rates, it) for it in cell.workers.values()]
        rates_known = [
            run.rate_accurate for it in cell.workers.values() for run in it.runs.values()
        ]
        self.assertEqual([True] * 8, rates_known)
        self.assertEqual([None] * len(found), found)

    def test_long_tasks_do_not_make_a_worker_slow(self) -> None:
        """Guards against tasks of minutes that seem to stand still between two reports."""
        self._learn()
        for worker in self.fleet.workers.values():
            worker.duration = 200.0
        for number in range(16):
            step = Step(cpu=1_000, estimate=200_000)
            self.fleet.submit(make_job(f"long{number:02}", (step,)))
        self.fleet.run(15.0)
        self.assertFalse(any(it.slow_until for it in self.fleet.cell.workers.values()))

    def test_report_that_is_read_late_makes_no_worker_slow(self) -> None:
        """Guards against moving all tasks once an owner has stood still for seconds."""
        self._learn()
        for worker in self.fleet.workers.values():
            worker.duration = 10 * TASK_TIME_S
        step = Step(cpu=1_000, estimate=10_000)
        for number in range(12):
            self.fleet.submit(make_job(f"long{number:02}", (step,)))
        self.fleet.run(0.8)
        cell = self.fleet.cell
        for known in cell.workers.values():
            known.clock += 700
            for run in known.runs.values():
                run.percent += 7
                run.last_listed_at = run.progressed_at = self.fleet.time + 5.0
            known.answered_at += 5.0
        move_tasks(cell, Now(self.fleet.time + 5.0, 0, 0))
        self.assertFalse(any(it.slow_until for it in cell.workers.values()))

    def test_no_more_tasks_leave_than_fit_elsewhere(self) -> None:
        """Guards against tasks that lose their work and wait, since room counted for each alone."""
        self._learn()
        for worker in self.fleet.workers.values():
            worker.duration = 10 * TASK_TIME_S
        self.fleet.workers["w0"].duration = 10 * SLOWDOWN * TASK_TIME_S
        step = Step(cpu=1_000, estimate=10_000)
        for number in range(15):
            self.fleet.submit(make_job(f"long{number:02}", (step,)))
        self.fleet.run(0.3)
        if len(self.fleet.workers["w0"].runs) < 4:  # the free slot has to be elsewhere
            self.fleet.submit(make_job("last", (step,)))
            self.fleet.run(0.1)
            other = self.fleet.workers["w1"]
            other.end(next(iter(other.runs)), RunEnd.DONE)
        self.fleet.run(3.0)
        self.assertEqual(1, len(self.fleet.cell.moved_tasks))

    def test_worker_is_judged_by_new_reports_only(self) -> None:
        """Guards against the cost of judging hundreds of workers in each turn."""
        self._learn()
        self._fill_slow_worker(SLOWDOWN)
        self.fleet.run(0.5)
        cell, now = self.fleet.cell, self.fleet.now()
        move_tasks(cell, now)
        with patch("toucanpin.scheduling.moving.find_slow_worker") as judge:
            move_tasks(cell, now)
        judge.assert_not_called()

    def test_few_siblings_of_a_wide_step_are_compared(self) -> None:
        """Guards against a cost that grows with the square of a step's width."""
        fleet = Fleet(workers=30)
        fleet.submit(make_job(steps=(Step(count=120, cpu=1_000),)))
        for core in fleet.workers.values():
            core.duration = 5.0
        fleet.run(1.0)
        for worker in fleet.cell.workers.values():
            update_rates(worker)
            for run in worker.runs.values():
                run.percent += 20
                run.last_listed_at += 1.0
            worker.clock += 1_000
            worker.answered_at += 1.0
            update_rates(worker)
        rates = StepRates(fleet.cell)
        for run in fleet.cell.runs["j1"]:
            self.assertIn(len(rates.list_others(run)), range(30, 41))

    def test_without_the_feature_a_lone_task_stays(self) -> None:
        """Guards against changed decisions in a deployment that calls for no profiles."""
        self.fleet.cell.features = Features()
        self._learn()
        jobs = self._fill_slow_worker(SLOWDOWN)
        self.fleet.run(3.5)
        self.assertTrue(all(self.fleet.state(job) != JobState.COMPLETED for job in jobs))

    def test_unreliable_estimates_judge_no_worker(self) -> None:
        """Guards against moves where a queue's estimates say nothing about its tasks' times."""
        for number in range(60):
            took = TASK_TIME_S * (0.1 if number % 2 else 10.0)
            record_task_time(self.fleet.cell.task_times, "q", 1_000, took)
        self._fill_slow_worker(3.0)
        self.fleet.run(2.0)
        self.assertTrue(self.fleet.workers["w0"].runs)


class TaskTimesTest(unittest.TestCase):
    def test_tail_tasks_do_not_widen_the_distribution(self) -> None:
        """Guards against a few long tasks that hide a slow worker."""
        times: dict[str, TaskTimes] = {}
        for number in range(200):
            record_task_time(times, "q", 1_000, 7.0 if number % 33 == 32 else 1.0)
        self.assertLess(times["q"].deviation, 0.3)
        self.assertAlmostEqual(0.03, times["q"].tail_share, delta=0.01)

    def test_same_work_at_twice_all_times(self) -> None:
        """Guards against a judgement that depends on the unit of the work."""
        times: dict[str, TaskTimes] = {}
        for number in range(50):
            took = 1.0 + number % 5
            record_task_time(times, "a", 1_000, took)
            record_task_time(times, "b", 2_000, 2 * took)
        self.assertAlmostEqual(times["a"].mean, times["b"].mean)
        self.assertAlmostEqual(times["a"].deviation, times["b"].deviation)


class LearnedRowTest(unittest.TestCase):
    def test_row_of_previous_build_is_read(self) -> None:
        """Guards against a takeover that forgets all effects during a rolling update."""
        row = msgspec.msgpack.encode([[], {"web": 2.0}, {"q": Fit(1.0)}])
        learned = msgspec.msgpack.decode(row, type=LearnedModel)
        self.assertEqual({}, learned.task_times)
        self.assertEqual({"web": 2.0}, learned.lowest_tails)

    def test_task_times_are_kept_over_a_takeover(self) -> None:
        """Guards against a new owner that needs to learn each queue's task times again."""
        times = {"q": TaskTimes(10.0, 1.0, 2.0, 0.5)}
        cell = Fleet().cell
        learned = InterferenceModel().export(cell.durations, times)
        row = msgspec.msgpack.encode(learned)
        self.assertEqual(times, msgspec.msgpack.decode(row, type=LearnedModel).task_times)
