"""Tests of the scenario files: run each twice and compare the session with its golden file."""

import unittest
from pathlib import Path

from scenarios.language import read
from scenarios.runner import find_scenarios, run
from scenarios.world import VirtualWorld
from tools.golden import name_golden

__all__ = ["GROUPS", "list_group", "make_case"]

# Each test module runs in its own process, so the slow scenarios are split over several modules.
GROUPS = ("bundle", "request", "a to k", "l to n", "o to z")


def list_group(group: str) -> list[Path]:
    """Return the scenario files of a group."""
    return [path for path in find_scenarios() if name_group(path) == group]


def name_group(path: Path) -> str:
    """Return the group of a scenario file."""
    prefix = path.stem.split("-")[0]
    if prefix in GROUPS:
        return prefix
    if path.stem < "l":
        return "a to k"
    return "l to n" if path.stem < "o" else "o to z"


def make_case(group: str) -> type[unittest.TestCase]:
    """Return a test case with a test of each scenario of a group."""
    tests = {f"test_{path.stem.replace('-', '_')}": make_test(path) for path in list_group(group)}
    return type("ScenariosTest", (unittest.TestCase,), tests)


def make_test(path: Path):
    """Return the test of one scenario file."""

    def test(self):
        scenario = read(path)
        first, second = (run(scenario, VirtualWorld) for _ in range(2))
        self.assertEqual([str(failure) for failure in first.failures], [])
        self.assertEqual(first.session, second.session)
        self.maxDiff = None
        self.assertEqual(name_golden(path).read_text(encoding="utf-8"), first.session)

    test.__doc__ = f"Run {path.name}."
    return test
