"""Tests of incarnations."""

import unittest

from toucanpin.membership.incarnation import begin_incarnation, read_life


class IncarnationTest(unittest.TestCase):
    def test_a_refutation_stays_in_the_same_life(self):
        first = begin_incarnation(1_800_000_000.0)
        self.assertEqual(read_life(first + 1), read_life(first))

    def test_a_restart_a_moment_later_is_a_later_life(self):
        first = begin_incarnation(1_800_000_000.0)
        second = begin_incarnation(1_800_000_000.002)
        self.assertGreater(second, first + 1_000)
        self.assertGreater(read_life(second), read_life(first))


if __name__ == "__main__":
    unittest.main()
