"""Starts that a worker leaves unanswered and carries out seconds later, of jobs that have ended."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.intake import cancel_job, forget_ended
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.tests.fleet import TIME_STEP_S, Fleet, make_job

START_DELAY_S = 3.0  # less than a lease, after which a worker refuses the start
LASTING = Step(cpu=1_000, long_running=True)


class LateStartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=1)
        self.core = self.fleet.workers["w0"]
        self.fleet.start_delay = START_DELAY_S
        self.core.duration = 60.0
        self.core.delays_orders = True
        self.fleet.submit(make_job(steps=(LASTING,)))
        self.fleet.run(0.5)

    def _assert_stopped_in_time(self) -> None:
        """Check that nothing runs once a poll has listed it and a stop was carried out."""
        self.fleet.run(self.fleet.cell.stop_time + 2 * TIME_STEP_S)
        self.assertFalse(self.core.runs)
        self.fleet.run(2 * START_DELAY_S)
        self.assertFalse(self.core.runs)

    def test_start_during_unanswered_stops_is_stopped(self) -> None:
        """
        A job is cancelled while its start is late, and the stop is left unanswered too.  Guards
        against forgetting the stop once the task runs.
        """
        cancel_job(self.fleet.cell, "j1", self.fleet.now())
        self.fleet.run(START_DELAY_S)
        self.assertTrue(self.core.runs)
        self.core.delays_orders = False
        self._assert_stopped_in_time()

    def test_start_of_a_removed_owner_is_stopped_by_the_next(self) -> None:
        """
        The host that sent the start is gone, its job is cancelled, and the worker is cut off from
        the next owner as the start is carried out.  Guards against a task that nobody knows of.
        """
        self.core.silent = True
        self.fleet.replace_owner()
        cancel_job(self.fleet.cell, "j1", self.fleet.now())
        self.fleet.run(START_DELAY_S)
        self.assertTrue(self.core.starts)
        self.core.silent = self.core.delays_orders = False
        self._assert_stopped_in_time()

    def test_start_of_a_removed_owner_is_refused_after_the_next_owners_poll(self) -> None:
        """Guards against a start of an owner that is gone, seconds after the job was cancelled."""
        self.fleet.replace_owner()
        cancel_job(self.fleet.cell, "j1", self.fleet.now())
        self.core.delays_orders = False
        self.fleet.run(2 * START_DELAY_S)
        self.assertFalse(self.core.starts)

    def test_start_of_a_forgotten_job_is_stopped(self) -> None:
        """Guards against a task of which no row is left, so that no cancel names it."""
        self.core.silent = True
        self.fleet.replace_owner()
        cancel_job(self.fleet.cell, "j1", self.fleet.now())
        self.fleet.run(START_DELAY_S)
        self.assertTrue(self.core.runs)
        forget_ended(self.fleet.cell, self.fleet.now(), 0.0)
        self.core.silent = self.core.delays_orders = False
        self._assert_stopped_in_time()


if __name__ == "__main__":
    unittest.main()
