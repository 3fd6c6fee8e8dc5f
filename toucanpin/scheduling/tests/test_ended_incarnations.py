"""Workers that restart under their ids and end again, while a start may still be carried out."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from standins.site.worker_core import WorkerCore
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.tests.fleet import Fleet, make_job

LONGEST_LEASE_S = 10.0  # that a worker accepts
EARLIER_LEASES_S = 10.0  # until no lease of an earlier owner is in force
DOWN_S = 1.0  # between two incarnations
UP_S = 0.1  # for which a short-lived one is up
# The users' rule: from 6 s after its last run a task may be idle for 3 s, if these and the 4 s
# before them are calm.
MAX_IDLE_S, MAX_CALM_IDLE_S = 9.0, 7.0


class EndedIncarnationTest(unittest.TestCase):
    """A worker left a start unanswered at first; its repetition was answered, and it runs."""

    def setUp(self) -> None:
        self.fleet = Fleet(workers=4)
        self.fleet.run(EARLIER_LEASES_S)

    def _begin(self, count: int = 1, answered: bool = False) -> str:
        """Start long-running tasks, at first without an answer; return the worker of one."""
        for core in self.fleet.workers.values():
            core.duration = 600.0
            core.delays_orders = not answered
        step = Step(count=count, cpu=1_000, long_running=True)
        self.fleet.submit(make_job(steps=(step,)))
        self.fleet.run(0.1)
        for core in self.fleet.workers.values():
            core.delays_orders = False
        self.fleet.run(3.0)
        running = [name for name, core in self.fleet.workers.items() if core.runs]
        self.assertEqual(count, self._count_running())
        return running[0]

    def _count_running(self) -> int:
        return sum(len(core.runs) for core in self.fleet.workers.values())

    def _end(self, name: str) -> WorkerCore:
        core = self.fleet.remove(name)
        self.ended_at = self.fleet.time
        return core

    def _return(self, core: WorkerCore) -> WorkerCore:
        """Start the next incarnation of a worker that has ended."""
        self.fleet.workers[core.entry.id] = core
        return self.fleet.restart(core.entry.id)

    def _end_twice(self, name: str) -> WorkerCore:
        """End a worker, whose next incarnation is listed but ends before it answers; return it."""
        earlier = self._end(name)
        self.first_ended_at = self.fleet.time
        self.fleet.run(DOWN_S)
        self._return(earlier).silent = True
        self.fleet.run(UP_S)
        return self._end(name)

    def _assert_runs_in_time(self, count: int = 1) -> None:
        until = max(self.first_ended_at + MAX_IDLE_S, self.ended_at + MAX_CALM_IDLE_S)
        while self.fleet.time < until and self._count_running() < count:
            self.fleet.run(0.1)
        self.assertEqual(count, self._count_running())
        self.fleet.run(30.0)
        self.assertEqual(count, self._count_running())
        self.assertFalse(self.fleet.duplicate_runs)

    def test_task_is_not_kept_for_an_incarnation_that_is_gone(self) -> None:
        """Guards against a task that waits for the stop of a start that nobody can carry out."""
        self._end_twice(self._begin())
        self._assert_runs_in_time()

    def test_tasks_are_not_kept_for_an_incarnation_that_is_gone(self) -> None:
        """Guards against a worker whose tasks are released one wait after the other."""
        self._end_twice(self._begin(count=12))
        self._assert_runs_in_time(count=12)

    def test_wait_does_not_begin_anew_with_each_incarnation(self) -> None:
        """Guards against a worker that restarts again and again and keeps its task from others."""
        core = self._end_twice(self._begin())
        for _ in range(3):
            self.fleet.run(DOWN_S)
            self._return(core).silent = True
            self.fleet.run(UP_S)
            core = self._end(core.entry.id)
        self._assert_runs_in_time()

    def test_start_that_is_too_old_keeps_no_task(self) -> None:
        """Guards against a start without an answer that counts for as long as its task runs."""
        name = self._begin()
        self.fleet.run(60.0)
        earlier = self._end(name)
        self.first_ended_at = self.fleet.time
        self._return(earlier).silent = True
        self.fleet.run(0.1)
        self.assertFalse(self.fleet.cell.workers[name].runs)

    def test_task_runs_again_on_an_incarnation_that_stays(self) -> None:
        """Guards against waiting although the next incarnation acknowledges the stop."""
        earlier = self._end(self._begin())
        self.first_ended_at = self.fleet.time
        self.fleet.run(DOWN_S)
        self._return(earlier)
        self.fleet.run(1.0)
        self.assertEqual(1, self._count_running())
        self._assert_runs_in_time()

    def test_late_start_on_an_incarnation_after_the_one_that_is_gone(self) -> None:
        """Guards against the late start running beside the task, which was released before."""
        self.fleet.start_delay = 11.5
        core = self._end_twice(self._begin())
        self._assert_released(core.entry.id)
        core = self._return(core)
        self._assert_runs_in_time()
        self.assertFalse(core.delayed_starts)
        self.assertFalse(core.starts)

    def _assert_released(self, name: str) -> None:
        while self.fleet.time < self.ended_at + MAX_CALM_IDLE_S and not self._count_running():
            self.fleet.run(0.1)
        self.assertEqual(1, self._count_running())

    def test_incarnation_that_refuses_no_connection_is_not_gone(self) -> None:
        """
        The next incarnation is cut off from the store and answers nothing, but is there.  Guards
        against starting its task elsewhere while it carries out the late start.
        """
        earlier = self._end(self._begin())
        core = self._return(earlier)
        core.silent = True
        self.fleet.run(0.1)
        self.fleet.unlisted.add(core.entry.id)
        self.fleet.run(30.0)
        self.assertFalse(self.fleet.duplicate_runs)

    def test_lease_that_a_late_renewal_lengthens_on_the_next_incarnation(self) -> None:
        """
        A renewal to a worker that ends is carried out by its next incarnation, whose clock is far
        behind, and which is cut off then.  Guards against its task running on beside another run.
        """
        for replaced in (False, True):
            with self.subTest(owner_replaced=replaced):
                self.fleet = Fleet(workers=4)
                self.fleet.run(EARLIER_LEASES_S)
                name = self._begin(14, answered=True)  # all that long-running tasks get
                earlier = self._end(name)
                self.fleet.run(DOWN_S)
                core = self._return(earlier)
                self.fleet.run(3.0)
                self.assertTrue(core.runs)
                self.fleet.add_worker("spare").duration = 600.0
                core.deadline = self.fleet.clock(name) + LONGEST_LEASE_S
                core.silent = True
                self.fleet.run(1.0)
                self.fleet.unlisted.add(name)
                if replaced:
                    self.fleet.replace_owner()
                self.fleet.run(LONGEST_LEASE_S + 3.0)
                self.assertFalse(self.fleet.duplicate_runs)

    def test_wait_that_an_earlier_owner_lists_outlasts_the_next_restart(self) -> None:
        """
        A start had no answer, its worker restarts, its owner ends, and it restarts once more, cut
        off each time.  Guards against a next owner that forgets the late start at that restart.
        """
        self.fleet.start_delay = 11.5
        for core in self.fleet.workers.values():
            core.duration = 600.0
            core.delays_orders = True
        self.fleet.submit(make_job(steps=(Step(cpu=1_000, long_running=True),)))
        self.fleet.run(0.1)
        for core in self.fleet.workers.values():
            core.delays_orders = False
        (name,) = [name for name, core in self.fleet.workers.items() if core.delayed_starts]
        self.fleet.restart(name).silent = True
        self.fleet.run(0.5)
        self.fleet.replace_owner()
        self.fleet.run(0.5)
        self.fleet.restart(name).silent = True
        self.fleet.run(25.0)
        self.assertFalse(self.fleet.duplicate_runs)

    def test_missing_entry_counts_only_while_the_list_is_sound(self) -> None:
        """
        Entries that expired while the store was unavailable are back within 2 s.  Guards against
        taking a worker for gone before, that answers nothing meanwhile.
        """
        name = self._begin()
        earlier = self._end(name)
        core = self._return(earlier)
        core.silent = True
        self.fleet.run(0.2)
        self.fleet.lists_workers = False
        self.fleet.run(4.0)
        self.fleet.lists_workers = True
        self.fleet.unlisted.add(name)
        self.fleet.run(1.9)
        self.assertTrue(self.fleet.cell.workers[name].runs)

    def test_next_owner_does_not_wait_for_an_incarnation_that_is_gone(self) -> None:
        """Guards against a takeover after which a task waits for a late start once more."""
        self._end_twice(self._begin())
        self.fleet.run(4.2)  # its entry is gone, the owner doesn't rely on it yet
        self.fleet.replace_owner()
        self.ended_at = self.fleet.time
        self._assert_runs_in_time()


class EndedUnderOneTokenTest(EndedIncarnationTest):
    """The same without a token for each incarnation: late orders aren't refused for theirs."""

    def setUp(self) -> None:
        patcher = patch.object(Fleet, "raises_tokens", False)
        patcher.start()
        self.addCleanup(patcher.stop)
        super().setUp()


if __name__ == "__main__":
    unittest.main()
