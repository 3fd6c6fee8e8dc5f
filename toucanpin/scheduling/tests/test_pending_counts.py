"""Which jobs are said to wait."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.pending_counts import count_pending
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.tests.fleet import Fleet, make_job


class CountingTest(unittest.TestCase):
    def test_a_job_whose_start_no_worker_has_answered_still_waits(self) -> None:
        """
        A worker leaves orders unanswered.  A job has a place on it, written in the table, and none
        of its tasks runs; counted as begun from its place on, it was missing in what callers were
        told for as long as the start was repeated.
        """
        fleet = Fleet(workers=1)
        fleet.run(0.2)
        fleet.workers["w0"].deaf = True
        fleet.submit(make_job())
        fleet.run(1.0)
        self.assertEqual([], fleet.workers["w0"].starts)
        self.assertEqual({"q": 1}, count_pending(fleet.cell))
        self.assertEqual(JobState.PENDING, fleet.state("j1"))

    def test_a_job_with_a_started_task_does_not_wait(self) -> None:
        fleet = Fleet(workers=1)
        fleet.submit(make_job())
        fleet.run(0.2)
        self.assertEqual(0, count_pending(fleet.cell).get("q", 0))
        self.assertEqual(JobState.ACTIVE, fleet.state("j1"))


if __name__ == "__main__":
    unittest.main()
