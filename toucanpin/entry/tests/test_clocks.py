"""The time of day that due times are compared with."""

from __future__ import annotations

import time
import unittest

from toucanpin.entry.clocks import Clocks
from toucanpin.platform.store import Store
from toucanpin.platform.tests.test_site_calls import ScriptedCaller


class ClocksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store(ScriptedCaller())
        self.store.clock = 50_000
        self.clocks = Clocks(self.store)

    def test_a_jump_of_some_hosts_moves_nothing(self) -> None:
        """
        A job is due at a time of day.  The time of day of two hosts of five jumps by an hour, and
        their runs would begin an hour early; the median of all hosts' offsets stays.
        """
        self.clocks.offsets = lambda: (1_000, 1_002, 3_600_000, 3_600_001, 999)
        now = self.clocks.now()
        self.assertEqual(now.table + 1_002, now.wall)

    def test_few_hosts_leave_the_own_clock(self) -> None:
        self.clocks.offsets = lambda: (5,)
        self.assertAlmostEqual(time.time() * 1_000, self.clocks.now().wall, delta=60_000)

    def test_the_table_clock_goes_on_between_answers(self) -> None:
        first = self.clocks.now()
        second = self.clocks.now()
        self.assertGreaterEqual(second.table, first.table)
        self.store.clock = 90_000
        self.assertGreaterEqual(self.clocks.now().table, 90_000)


if __name__ == "__main__":
    unittest.main()
