"""Tests of gangs, whose tasks start, fail and end together."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.orders import RunEnd
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.tests.fleet import Fleet, make_job

GANG = Step(count=3, cpu=1_000, gang=True)


def _find(fleet: Fleet, index: int, job: str = "j1") -> str:
    task = TaskKey(job, 0, 0, index)
    return next(name for name, worker in fleet.workers.items() if task in worker.runs)


class GangTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=3, cpu=2_000)
        for worker in self.fleet.workers.values():
            worker.duration = 100.0

    def _end(self, index: int, end: RunEnd) -> None:
        self.fleet.workers[_find(self.fleet, index)].end(TaskKey("j1", 0, 0, index), end)

    def _count_starts(self) -> int:
        return sum(len(worker.starts) for worker in self.fleet.workers.values())

    def test_end_of_one_member_ends_the_gang(self) -> None:
        """
        Guards against a member that runs again alone and waits for the others for ever.  All
        members are done, but the worker of one is lost before it reports the end.
        """
        self.fleet.submit(make_job(steps=(GANG,)))
        self.fleet.run(0.5)
        lost = _find(self.fleet, 2)
        self._end(0, RunEnd.DONE)
        self._end(1, RunEnd.DONE)
        self.fleet.workers[lost].silent = True
        self.fleet.run(12.0)
        self.assertEqual(JobState.COMPLETED, self.fleet.state("j1"))
        self.assertEqual(3, self._count_starts())

    def test_failures_of_different_members_count_against_the_gang(self) -> None:
        """
        Guards against a third run of a gang whose queue allows two: one member fails in the first
        run and another in the second, and counted by member each has failed once.
        """
        self.fleet.submit(make_job(steps=(GANG,), max_failures=2))
        self.fleet.run(0.5)
        for failing in (0, 1):
            self._end(failing, RunEnd.FAILED)
            for index in {0, 1, 2} - {failing}:
                self._end(index, RunEnd.GANG_BROKEN)
            self.fleet.run(0.5)
        self.fleet.run(2.0)
        self.assertEqual(JobState.FAILED, self.fleet.state("j1"))
        self.assertEqual(6, self._count_starts())

    def test_two_members_failing_in_one_run_count_once(self) -> None:
        self.fleet.submit(make_job(steps=(GANG,), max_failures=2))
        self.fleet.run(0.5)
        self._end(0, RunEnd.FAILED)
        self._end(1, RunEnd.FAILED)
        self._end(2, RunEnd.GANG_BROKEN)
        self.fleet.run(0.5)
        self.assertEqual(JobState.ACTIVE, self.fleet.state("j1"))
        self.assertEqual(6, self._count_starts())

    def test_a_new_owner_knows_which_failures_are_counted(self) -> None:
        """
        Guards against two counted failures for one run.  Two members fail in the same run; the
        owner records the first failure and is killed, and the next owner gets the second.
        """
        self.fleet.submit(make_job(steps=(GANG,), max_failures=2))
        self.fleet.run(0.5)
        other = self.fleet.workers[_find(self.fleet, 1)]
        self._end(0, RunEnd.FAILED)
        other.silent = True
        self.fleet.run(0.2)
        self.fleet.replace_owner()
        other.silent = False
        for index in (1, 2):
            task = TaskKey("j1", 0, 0, index)
            for worker in self.fleet.workers.values():
                if task in worker.runs:
                    worker.end(task, RunEnd.FAILED)
        self.fleet.run(1.0)
        self.assertNotEqual(JobState.FAILED, self.fleet.state("j1"))
        self.assertEqual(6, self._count_starts())

    def test_gang_with_refused_start_is_restarted(self) -> None:
        """
        Guards against an incomplete gang that occupies its workers: one member's start is refused,
        so the others are stopped and all start again together.
        """
        self.fleet.workers["w0"].refusals_left = 1
        self.fleet.submit(make_job(steps=(GANG,)))
        self.fleet.run(1.0)
        running = [task for worker in self.fleet.workers.values() for task in worker.runs]
        attempts = {
            run.attempt for worker in self.fleet.workers.values() for run in worker.runs.values()
        }
        self.assertEqual(3, len(running))
        self.assertEqual({2}, attempts)

    def test_gang_with_unanswered_start_is_stopped(self) -> None:
        """
        Guards against members that wait until their workers end them, because the start of another
        member was not answered.
        """
        self.fleet.workers["w0"].delays_orders = True
        self.fleet.submit(make_job(steps=(GANG,)))
        self.fleet.run(2.5)
        ends = [e.end for worker in self.fleet.workers.values() for e in worker.ended]
        self.assertNotIn(RunEnd.GANG_INCOMPLETE, ends)
        self.assertFalse(any(worker.runs for worker in self.fleet.workers.values()))


if __name__ == "__main__":
    unittest.main()
