"""Recurring jobs that are behind, and many tasks that are accepted at once."""

from __future__ import annotations

import sys
import unittest
from collections import Counter
from collections.abc import Iterator

from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.intake import cancel_job
from toucanpin.scheduling.job import Job, Step
from toucanpin.scheduling.job_order import count_brief_tasks
from toucanpin.scheduling.occurrences import begin_due, count_due, describe_late_jobs
from toucanpin.scheduling.progress import JobState, Progress, TaskRecord, matches_job
from toucanpin.scheduling.progress_rows import decode_progress, encode_progress
from toucanpin.scheduling.tests.fleet import Fleet, make_job

MINUTE_MS = 60_000
ROW_BYTES = 65_536  # of the users' store
# Twice what fits the cores of the fleet, and the first occurrence of each job.
RUNNABLE = 2.0
SMALL = Step(cpu=250)
MAX_TURN_LINES = 2_000  # of code that a check may execute when nothing has changed


class BacklogTest(unittest.TestCase):
    """A fleet of 32 cores; the jobs were due for the first time long ago."""

    def setUp(self) -> None:
        self.fleet = Fleet(workers=8)
        for core in self.fleet.workers.values():
            core.duration = 0.4
        self.fleet.run(0.2)
        self.largest_row = 0

    def _make_backlog(
        self, name: str, count: int = 100, repeats: int = 2_000, priority: int = 0, **step
    ) -> Job:
        steps = (Step(count=count, **{"cpu": 250, **step}),)
        due = self.fleet.now().wall - repeats * MINUTE_MS
        fields = {"repeats": repeats, "start_at": due, "interval": MINUTE_MS}
        return make_job(name, steps, priority=priority, **fields)

    def _run(self, seconds: float) -> None:
        """Advance the clock, and note the size of the largest row that is written."""
        for _ in range(round(seconds / 0.05)):
            self.fleet.run(0.05)
            self.largest_row = max([self.largest_row, *map(len, self.fleet.rows.values())])

    def _count_starts(self, job: str) -> Counter[tuple[int, int]]:
        starts = (it for core in self.fleet.workers.values() for it in core.starts)
        return Counter((task.occurrence, task.index) for task, _ in starts if task.job == job)

    def _assert_completes(self, *jobs: str, seconds: float = 60.0) -> None:
        until = self.fleet.time + seconds
        done = JobState.COMPLETED
        while self.fleet.time < until and any(self.fleet.state(job) != done for job in jobs):
            self._run(0.5)
        self.assertEqual([done] * len(jobs), [self.fleet.state(job) for job in jobs])

    def test_backlog_begins_as_far_as_it_can_run(self) -> None:
        """Guards against an owner that exceeds its memory by one job which is a week behind."""
        self.fleet.submit(self._make_backlog("b1"))
        for _ in range(10):
            self._run(0.1)
            self.assertLessEqual(_count_records(self.fleet.cell), RUNNABLE * 128 + 100)
        self.assertLessEqual(self.largest_row, ROW_BYTES)
        self.assertGreater(len(self._count_starts("b1")), 128)

    def test_many_jobs_that_are_behind_hold_no_more_than_one(self) -> None:
        """Guards against a bound for each job, which twenty jobs exceed together."""
        for number in range(20):
            self.fleet.submit(self._make_backlog(f"b{number}", count=20, repeats=500))
        for _ in range(10):
            self._run(0.1)
            self.assertLessEqual(_count_records(self.fleet.cell), RUNNABLE * 128 + 20 * 20)

    def test_each_of_many_jobs_that_are_behind_has_its_turn(self) -> None:
        """Guards against jobs of which nothing runs until all that another one owes is done."""
        for number in range(20):
            self.fleet.submit(self._make_backlog(f"b{number:02}", count=20, repeats=500))
        self._run(3.0)
        done = [len(self._count_starts(name)) for name in self.fleet.jobs]
        self.assertEqual(20, len(done))
        self.assertLessEqual(max(done) - min(done), 2 * 20)

    def test_occurrence_that_is_due_now_precedes_what_is_owed(self) -> None:
        """Guards against a schedule that is never on time beside one that is behind."""
        self.fleet.submit(self._make_backlog("a1"))
        due = self.fleet.now().wall + 2_000
        job = make_job("b1", (SMALL,), repeats=4, start_at=due, interval=1_000, aim=3_000)
        self.fleet.submit(job)
        self._assert_completes("b1", seconds=2.0 + 4.0 + 0.5)

    def test_new_job_is_not_refused_for_what_comes_after_it(self) -> None:
        """Guards against an owner that is busy with what is owed and refuses what is on time."""
        self.fleet.submit(self._make_backlog("b1", priority=2))
        self.fleet.submit(make_job("j1", (Step(count=200, cpu=4_000),), priority=2, aim=60_000))
        self._run(0.2)
        waiting = count_brief_tasks(self.fleet.cell, self.fleet.now())
        self.assertEqual({2}, set(waiting))
        self.assertLessEqual(waiting[2], 200)

    def test_occurrences_without_an_interval_begin_as_far_as_they_can_run(self) -> None:
        """Guards against thousands of occurrences of thousands of tasks that are due at once."""
        due = self.fleet.now().wall
        self.fleet.submit(make_job("b1", (Step(count=3_000, cpu=250),), repeats=50, start_at=due))
        self._run(1.0)
        self.assertEqual(3_000, _count_records(self.fleet.cell))

    def test_tasks_without_demands_are_bounded_by_the_row(self) -> None:
        """Guards against a row that the store refuses, since such tasks fit any worker."""
        self.fleet.submit(self._make_backlog("b1", count=1, cpu=0))
        self._run(1.0)
        self.assertLessEqual(self.largest_row, ROW_BYTES)
        self.assertGreater(len(self._count_starts("b1")), 100)

    def test_rows_fit_though_workers_are_lost(self) -> None:
        """Guards against a row that outgrows the store by the losses that it tells."""
        self.fleet.keeps_names = True
        self.fleet.submit(self._make_backlog("b1", count=1, cpu=10, checkpoints=True))
        for _ in range(4):
            self._run(0.5)
            for name in list(self.fleet.workers)[:4]:
                self.fleet.crash(name)
            self._run(4.0)
        self.assertLessEqual(self.largest_row, ROW_BYTES)

    def test_all_occurrences_run_once_in_order(self) -> None:
        """Guards against occurrences that are dropped, run twice or overtake earlier ones."""
        self.fleet.submit(self._make_backlog("b1", count=16, repeats=60))
        window = RUNNABLE * 128 / 16
        while self.fleet.state("b1") != JobState.COMPLETED:
            self._run(0.1)
            started = {occurrence for occurrence, _ in self._count_starts("b1")}
            self.assertLessEqual(max(started) + 1 - len(started), window)
        starts = self._count_starts("b1")
        self.assertEqual({(k, i): 1 for k in range(60) for i in range(16)}, starts)

    def test_other_jobs_run_beside_a_backlog(self) -> None:
        """Guards against ordinary jobs that wait until all that is owed is done."""
        self.fleet.submit(self._make_backlog("b1"))
        self._run(1.0)
        for number in range(8):
            job = make_job(f"j{number}", (SMALL,), accepted=self.fleet.now().table, aim=5_000)
            self.fleet.submit(job)
        self._assert_completes(*(f"j{number}" for number in range(8)), seconds=3.0)

    def test_urgent_job_that_is_behind_does_not_wait_for_others(self) -> None:
        """Guards against a backlog of low priority that leaves no room to begin."""
        self.fleet.submit(self._make_backlog("low", priority=5))
        self._run(1.0)
        self.fleet.submit(self._make_backlog("urgent", count=50, repeats=20, priority=1))
        self._assert_completes("urgent", seconds=15.0)

    def test_takeover_in_the_middle_of_a_backlog(self) -> None:
        """Guards against occurrences that the next owner forgets or begins again."""
        self.fleet.submit(self._make_backlog("b1", count=16, repeats=80))
        for _ in range(4):
            self._run(1.0)
            self.fleet.replace_owner()
        self._assert_completes("b1")
        starts = self._count_starts("b1")
        self.assertEqual(80 * 16, len(starts))
        self.assertFalse(self.fleet.duplicate_runs)

    def test_cancel_in_the_middle_of_a_backlog(self) -> None:
        """Guards against occurrences that begin after a cancel."""
        self.fleet.submit(self._make_backlog("b1"))
        self._run(1.0)
        cancel_job(self.fleet.cell, "b1", self.fleet.now())
        self._run(0.5)
        started = len(self._count_starts("b1"))
        self._run(5.0)
        self.assertEqual(started, len(self._count_starts("b1")))
        self.assertEqual(JobState.CANCELLED, self.fleet.state("b1"))
        load = self.fleet.cell.begun[0]
        self.assertEqual((0, 0), (load.tasks, load.cpu))

    def test_no_occurrence_begins_before_its_time(self) -> None:
        """Guards against a job that catches up and runs ahead of its schedule."""
        job = self._make_backlog("b1", count=1, repeats=10)
        start_at = self.fleet.now().wall - 5 * MINUTE_MS + 2_000
        self.fleet.submit(make_job("b1", job.steps, repeats=10, start_at=start_at, interval=60_000))
        self._run(1.5)
        self.assertEqual(set(range(5)), {k for k, _ in self._count_starts("b1")})
        self._run(1.5)
        self.assertEqual(set(range(6)), {k for k, _ in self._count_starts("b1")})

    def test_late_jobs_are_told(self) -> None:
        """Guards against a schedule that is served days late without a sign."""
        self.fleet.submit(self._make_backlog("b1"))
        self._run(1.0)
        (late,) = describe_late_jobs(self.fleet.cell, self.fleet.now())
        live = self.fleet.cell.jobs["b1"]
        begun = live.next_occurrence
        self.assertEqual(("b1", 2_001 - begun), (late.job, late.waiting + 1))
        self.assertGreater(late.lateness, 1_900 * MINUTE_MS / 1_000)
        self.assertEqual(late.waiting, count_due(live, self.fleet.now()))

    def test_loads_return_to_zero(self) -> None:
        """Guards against loads that add up, until no further occurrence may begin."""
        self.fleet.submit(self._make_backlog("b1", count=16, repeats=10))
        self.fleet.submit(make_job("j1", (Step(count=3), Step(count=2, after=(0,)))))
        self._assert_completes("b1", "j1")
        load = self.fleet.cell.begun[0]
        self.assertEqual((0, 0), (load.tasks, load.cpu))


class AcceptedAtOnceTest(unittest.TestCase):
    def test_large_jobs_hold_a_bounded_number_of_tasks(self) -> None:
        """
        Hundreds of jobs of 3,000 tasks are accepted, none of which fits.  Guards against an owner
        that exceeds its memory, and against small jobs that wait for these.
        """
        fleet = Fleet(workers=2)
        fleet.run(0.2)
        for number in range(300):
            step = Step(count=3_000, cpu=60_000)
            fleet.submit(make_job(f"large{number}", (step,), accepted=fleet.now().table))
        fleet.run(2.0)
        self.assertLessEqual(_count_records(fleet.cell), 100_000)
        late = describe_late_jobs(fleet.cell, fleet.now())
        self.assertAlmostEqual(2.0, late[0].lateness, delta=0.2)
        fleet.submit(make_job("small", (Step(count=2, cpu=100),)))
        fleet.run(3.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("small"))


class ProgressRowTest(unittest.TestCase):
    def test_row_of_ended_occurrences_is_short(self) -> None:
        """Guards against a row that grows with each occurrence until the store refuses it."""
        progress = Progress(JobState.ACTIVE, 0, [(0, 4_000), (4_002, 9_998)], {})
        row = encode_progress(progress)
        self.assertLess(len(row), 40)
        self.assertEqual(progress, decode_progress(row))

    def test_few_ended_occurrences_are_listed_as_earlier_builds_read_them(self) -> None:
        """Guards against a host of an earlier build that can't read jobs during an update."""
        row = encode_progress(Progress(JobState.ACTIVE, 0, [(0, 2), (5, 5)], {}))
        self.assertIn(bytes([0x94, 0, 1, 2, 5]), row)
        self.assertEqual([(0, 2), (5, 5)], decode_progress(row).ended_occurrences)

    def test_ended_occurrences_out_of_range_don_t_match_the_job(self) -> None:
        """Guards against a job that counts as complete by a row that isn't its own."""
        job = make_job(repeats=4)
        self.assertTrue(matches_job(Progress(JobState.ACTIVE, 0, [(0, 3)], {}), job))
        for ended in ([(0, 4)], [(-1, 2)]):
            self.assertFalse(matches_job(Progress(JobState.ACTIVE, 0, ended, {}), job))

    def test_occurrence_left_out_by_a_row_begins(self) -> None:
        """Guards against a job that never completes, as one of its occurrences is unknown."""
        fleet = Fleet(workers=1)
        job = make_job(repeats=4)
        fleet.jobs["j1"] = job
        progress = Progress(JobState.ACTIVE, 0, [(0, 0), (2, 2)], {3: [TaskRecord()]})
        fleet.rows["j1"] = encode_progress(progress)
        fleet.replace_owner()
        fleet.run(20.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        starts = [task.occurrence for task, _ in fleet.workers["w0"].starts]
        self.assertEqual([1, 3], sorted(starts))


class CheckCostTest(unittest.TestCase):
    def test_check_does_not_go_through_what_is_over(self) -> None:
        """Guards against a check, fifty times a second, whose price grows with what is over."""
        fleet = Fleet(workers=1)
        fleet.run(0.1)
        now = fleet.now()
        due = now.wall - 9_990 * MINUTE_MS
        job = make_job("b1", (SMALL,), repeats=10_000, start_at=due, interval=MINUTE_MS)
        fleet.jobs["b1"] = job
        fleet.rows["b1"] = encode_progress(Progress(JobState.ACTIVE, 0, [(0, 9_990)], {}))
        fleet.replace_owner()
        fleet.cell.next_due = 0.0
        self.assertLess(_count_lines(lambda: begin_due(fleet.cell, fleet.now())), MAX_TURN_LINES)


def _count_records(cell: Cell) -> int:
    return sum(len(records) for records in _list_records(cell))


def _list_records(cell: Cell) -> Iterator[list[TaskRecord]]:
    for live in cell.jobs.values():
        yield from live.progress.tasks.values()


def _count_lines(work) -> int:
    lines = 0

    def trace(frame, event, argument):
        nonlocal lines
        lines += event == "line"
        return trace

    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(None)
    return lines


if __name__ == "__main__":
    unittest.main()
