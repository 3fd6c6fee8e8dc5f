"""Runs that may still execute on workers that don't answer."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.intake import restore_job
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.leases import mark_silent
from toucanpin.scheduling.progress_rows import decode_progress
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.unsettled import Unsettled, describe_unsettled


class UnsettledTest(unittest.TestCase):
    def test_a_wait_for_workers_that_never_answered_differs_from_one_for_silent_workers(
        self,
    ) -> None:
        """
        Tasks wait for seconds after a takeover though most workers are idle.  It must be seen
        whether their workers left, weren't reached yet, or stopped answering.
        """
        fleet = Fleet(workers=1)
        fleet.submit(make_job("j1", (Step(count=2, cpu=1_000, long_running=True),)))
        fleet.run(1.0)
        self.assertIsNone(describe_unsettled(fleet.cell))
        known = fleet.cell.workers["w0"]
        mark_silent(known, fleet.now())
        expected = Unsettled(1, 0, 0, 2, known.lease_expires_at)
        self.assertEqual(expected, describe_unsettled(fleet.cell))
        successor = Cell("c", 2, earlier_leases_end=fleet.time + 9.0, confirmed_at=fleet.time)
        progress = decode_progress(fleet.rows["j1"])
        restore_job(successor, fleet.jobs["j1"], progress, fleet.now())
        self.assertEqual(Unsettled(1, 2, 2, 0, fleet.time + 9.0), describe_unsettled(successor))


if __name__ == "__main__":
    unittest.main()
