"""Polls that a worker leaves unanswered and that its next incarnation carries out seconds later."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.job import Step
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.tests.fleet import TIME_STEP_S, Fleet, make_job

EARLIER_ENDS = 400  # of the earlier incarnation, more than the next one has as the poll arrives
DOWN_S = 1.5  # between two incarnations
FORGOTTEN_AFTER_S = 7.0
MAX_START_DELAY_S = 3.0  # for a task that has room elsewhere
BRIEF = Step(cpu=1_000)


class LatePollTest(unittest.TestCase):
    """A worker leaves a poll unanswered that acknowledges ends, and restarts under its id."""

    def setUp(self) -> None:
        self.fleet = Fleet(workers=1, cpu=16_000)
        self.fleet.workers["w0"].duration = 0.2
        self.fleet.submit(make_job("earlier", (Step(count=EARLIER_ENDS, cpu=1_000),)))
        self._await_end_of("earlier")

    def _await_end_of(self, *names: str, timeout: float = 20.0) -> None:
        until = self.fleet.time + timeout
        while self.fleet.time < until and any(
            self.fleet.state(name) != JobState.COMPLETED for name in names
        ):
            self.fleet.run(TIME_STEP_S)
        for name in names:
            self.assertEqual(JobState.COMPLETED, self.fleet.state(name))

    def _leave_poll_unanswered(self) -> None:
        """Hold up a poll that acknowledges all ends of the earlier incarnation."""
        known = self.fleet.cell.workers["w0"]
        known.lists_ends = True  # an answer listed them again, as the acknowledgement was late
        self.fleet.delaying_polls.add("w0")
        self.fleet.run(TIME_STEP_S)
        self.fleet.delaying_polls.clear()
        (poll,) = self.fleet.workers["w0"].delayed_polls
        self.assertEqual(EARLIER_ENDS, poll[2])

    def _restart(self, down: float = DOWN_S) -> None:
        earlier = self.fleet.remove("w0")
        self.fleet.run(down)
        self.fleet.workers["w0"] = earlier
        self.fleet.restart("w0")

    def _assert_no_task_runs_twice(self) -> None:
        """Submit jobs until the late poll has been carried out; check that each task runs once."""
        core = self.fleet.workers["w0"]
        names: list[str] = []
        while core.delayed_polls or not names:
            names.append(f"j{len(names)}")
            self.fleet.submit(make_job(names[-1], (BRIEF,)))
            self.fleet.run(TIME_STEP_S)  # so that runs end at all times
        self._await_end_of(*names)
        self.assertEqual(len(names), len(core.starts))

    def test_late_poll_makes_the_next_incarnation_forget_no_end(self) -> None:
        """Guards against a task that was done and runs again, as its end was never told."""
        self._leave_poll_unanswered()
        self._restart()
        self._assert_no_task_runs_twice()

    def test_late_poll_after_the_worker_was_forgotten(self) -> None:
        """Guards against the same on a worker that returns once its owner has forgotten it."""
        self.fleet.poll_delay = 11.0
        self._leave_poll_unanswered()
        earlier = self.fleet.remove("w0")
        self.fleet.run(FORGOTTEN_AFTER_S)
        self.assertNotIn("w0", self.fleet.cell.workers)
        self.fleet.workers["w0"] = earlier
        self.fleet.restart("w0")
        self._assert_no_task_runs_twice()

    def test_late_poll_of_an_earlier_owner(self) -> None:
        """Guards against the same if the owner that sent the poll ends with the worker."""
        for restarts in (0, 3):
            with self.subTest(restarts=restarts):
                self.setUp()
                self.fleet.poll_delay = 9.0
                self._leave_poll_unanswered()
                for _ in range(restarts):
                    self._restart(down=0.5)
                    self.fleet.run(0.2)
                self.fleet.replace_owner()
                self._restart()
                self._assert_no_task_runs_twice()

    def test_late_poll_after_two_restarts(self) -> None:
        """Guards against a poll of the incarnation before the one that the owner knew last."""
        self._leave_poll_unanswered()
        self._restart(down=0.5)
        self.fleet.run(0.2)
        self._restart(down=0.5)
        self._assert_no_task_runs_twice()

    def test_late_poll_leaves_the_next_incarnation_at_work(self) -> None:
        """Guards against a task that waits, though there is room, until no poll can be late."""
        self.fleet.poll_delay = 11.0
        self._leave_poll_unanswered()
        self._restart()
        self.fleet.submit(make_job("next", (BRIEF,)))
        self._await_end_of("next", timeout=MAX_START_DELAY_S)
        self.assertTrue(self.fleet.workers["w0"].delayed_polls)


if __name__ == "__main__":
    unittest.main()
