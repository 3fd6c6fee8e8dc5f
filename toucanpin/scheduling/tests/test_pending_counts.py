"""Jobs that count as pending."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.pending_counts import count_pending
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.tests.fleet import Fleet, make_job


class PendingCountsTest(unittest.TestCase):
    def test_job_is_pending_until_a_start_is_answered(self) -> None:
        """
        A worker leaves start orders unanswered. Guards against a job that counts as begun from its
        placement on, and is missing in the counts for as long as the start is repeated.
        """
        fleet = Fleet(workers=1)
        fleet.run(0.2)
        fleet.workers["w0"].delays_orders = True
        fleet.submit(make_job())
        fleet.run(1.0)
        self.assertEqual([], fleet.workers["w0"].starts)
        self.assertEqual({"q": 1}, count_pending(fleet.cell))
        self.assertEqual(JobState.PENDING, fleet.state("j1"))

    def test_job_with_a_started_task_is_not_pending(self) -> None:
        fleet = Fleet(workers=1)
        fleet.submit(make_job())
        fleet.run(0.2)
        self.assertEqual(0, count_pending(fleet.cell).get("q", 0))
        self.assertEqual(JobState.ACTIVE, fleet.state("j1"))


if __name__ == "__main__":
    unittest.main()
