"""The time of day that due times are compared with."""

from __future__ import annotations

import time
import unittest
from unittest.mock import Mock

from toucanpin.entry.clocks import Clocks, measure_wall_offset, steady_time
from toucanpin.platform.store import Store
from toucanpin.platform.tests.test_store_and_workers import ScriptedTransport
from toucanpin.scheduling.remote_clock import ClockEstimate


class ClocksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store(ScriptedTransport())
        self._set_table_clock(50_000)
        self.clocks = Clocks(self.store)

    def _set_table_clock(self, clock: int) -> None:
        """Let the table answer at once, with this clock."""
        now = steady_time()
        self.store.clock_estimate.record(clock, now, now)

    def test_jumps_of_some_hosts_do_not_move_the_time_of_day(self) -> None:
        """
        A job is due at a time of day.  When the time of day of two hosts of five jumps by an hour,
        its runs must not start an hour early: the median of all offsets stays the same.
        """
        self.clocks.offsets = lambda: (1_000, 1_002, 3_600_000, 3_600_001, 999)
        now = self.clocks.now()
        self.assertEqual(now.table + 1_002, now.wall)

    def test_the_own_clock_is_used_with_few_hosts(self) -> None:
        self.clocks.offsets = lambda: (5,)
        self.assertAlmostEqual(time.time() * 1_000, self.clocks.now().wall, delta=60_000)

    def test_the_offsets_are_not_sorted_at_each_read_of_the_clocks(self) -> None:
        """
        An owner reads the clocks for each answer of a worker.  Sorting the offsets of a hundred
        hosts each time took most of the time that an answer costs.
        """
        offsets = Mock(return_value=(1_000, 1_002, 999))
        self.clocks.offsets = offsets
        for _ in range(100):
            now = self.clocks.now()
            self.assertEqual(now.table + 1_000, now.wall)
        self.assertLessEqual(offsets.call_count, 2)

    def test_the_table_clock_advances_between_answers(self) -> None:
        first = self.clocks.now()
        second = self.clocks.now()
        self.assertGreaterEqual(second.table, first.table)
        self._set_table_clock(90_000)
        self.assertGreaterEqual(self.clocks.now().table, 90_000)

    def test_an_announced_offset_does_not_depend_on_the_age_of_the_last_answer(self) -> None:
        """
        Guards against offsets that are computed from the clock in the table's last answer: it is up
        to 0.6 s old, so the offsets of all hosts were too large and runs started 260 to 350 ms
        early.
        """
        began = steady_time() - 0.6
        true = time.time() * 1_000 - 0.6 * 1_000 - 40_000
        estimate = ClockEstimate()
        estimate.record(40_000, began, began)
        wall, error = measure_wall_offset(estimate)
        self.assertAlmostEqual(true, wall, delta=error + 2)
        self.assertLess(error, 20)


if __name__ == "__main__":
    unittest.main()
