"""Tests of incarnation numbers."""

import unittest

from toucanpin.membership.incarnation import begin_incarnation, get_process_incarnation


class IncarnationTest(unittest.TestCase):
    def test_a_refutation_keeps_the_process_incarnation(self):
        first = begin_incarnation(1_800_000_000.0)
        self.assertEqual(get_process_incarnation(first + 1), get_process_incarnation(first))

    def test_a_restart_gives_a_higher_process_incarnation(self):
        first = begin_incarnation(1_800_000_000.0)
        second = begin_incarnation(1_800_000_000.002)
        self.assertGreater(second, first + 1_000)
        self.assertGreater(get_process_incarnation(second), get_process_incarnation(first))


if __name__ == "__main__":
    unittest.main()
