"""Run every scenario twice on the virtual clock and compare it with its golden file."""

import unittest

from scenarios.language import read
from scenarios.runner import find_scenarios, run
from scenarios.world import VirtualWorld
from tools.golden import name_golden


class ScenariosTest(unittest.TestCase):
    def test_there_are_scenarios(self):
        self.assertTrue(find_scenarios())


def add_test(path):
    """Add the test of one scenario file."""

    def test(self):
        scenario = read(path)
        first, second = (run(scenario, VirtualWorld) for _ in range(2))
        self.assertEqual([str(failure) for failure in first.failures], [])
        self.assertEqual(first.session, second.session)
        self.maxDiff = None
        self.assertEqual(name_golden(path).read_text(encoding="utf-8"), first.session)

    test.__doc__ = f"Run {path.name}."
    setattr(ScenariosTest, f"test_{path.stem.replace('-', '_')}", test)


for scenario_file in find_scenarios():
    add_test(scenario_file)


if __name__ == "__main__":
    unittest.main()
