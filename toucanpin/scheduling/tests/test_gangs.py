"""Gangs: tasks that work only together, and fail or end as one."""

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
            worker.lasts = 100.0

    def _end(self, index: int, end: RunEnd) -> None:
        self.fleet.workers[_find(self.fleet, index)].end(TaskKey("j1", 0, 0, index), end)

    def _count_starts(self) -> int:
        return sum(len(worker.starts) for worker in self.fleet.workers.values())

    def test_end_of_one_member_ends_the_gang(self) -> None:
        """
        A gang ends done, and the worker of one member is lost before it lists its end.  The other
        ends stand for it: a second run of that member alone would wait for the others for ever.
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
        One member fails the first run, another one the second.  Counted by member the gang would
        get a third run, though two are all that its queue allows.
        """
        self.fleet.submit(make_job(steps=(GANG,), max_failures=2))
        self.fleet.run(0.5)
        for failing in (0, 1):
            self._end(failing, RunEnd.FAILED)
            for index in {0, 1, 2} - {failing}:
                self._end(index, RunEnd.BROKEN)
            self.fleet.run(0.5)
        self.fleet.run(2.0)
        self.assertEqual(JobState.FAILED, self.fleet.state("j1"))
        self.assertEqual(6, self._count_starts())

    def test_two_members_failing_in_one_run_count_once(self) -> None:
        self.fleet.submit(make_job(steps=(GANG,), max_failures=2))
        self.fleet.run(0.5)
        self._end(0, RunEnd.FAILED)
        self._end(1, RunEnd.FAILED)
        self._end(2, RunEnd.BROKEN)
        self.fleet.run(0.5)
        self.assertEqual(JobState.ACTIVE, self.fleet.state("j1"))
        self.assertEqual(6, self._count_starts())

    def test_a_new_owner_knows_which_failures_are_counted(self) -> None:
        """
        Two members fail the same run.  The owner writes down the first failure and is killed; the
        next one hears of the second.  It mustn't count as another run that failed.
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
        A worker refuses one member.  The others would wait for it until they end alone, and hold
        their room for nothing; they are stopped, and all start again together.
        """
        self.fleet.workers["w0"].refusing = 1
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
        A worker doesn't answer the start of one member.  The others wait in vain, so they are
        stopped before their workers end them.
        """
        self.fleet.workers["w0"].deaf = True
        self.fleet.submit(make_job(steps=(GANG,)))
        self.fleet.run(2.5)
        ends = [e.end for worker in self.fleet.workers.values() for e in worker.ended]
        self.assertNotIn(RunEnd.ALONE, ends)
        self.assertFalse(any(worker.runs for worker in self.fleet.workers.values()))


if __name__ == "__main__":
    unittest.main()
