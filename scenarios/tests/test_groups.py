"""Tests that every scenario file is run."""

import unittest

from scenarios.runner import find_scenarios
from scenarios.tests.golden_case import GROUPS, list_group


class GroupsTest(unittest.TestCase):
    def test_every_scenario_is_in_one_group(self):
        found = [path for group in GROUPS for path in list_group(group)]
        self.assertTrue(found)
        self.assertEqual(sorted(found), find_scenarios())


if __name__ == "__main__":
    unittest.main()
