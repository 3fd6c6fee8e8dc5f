"""Short runs of the soak with real processes, by fixed seeds."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from tools.soak.__main__ import read_kept_seeds
from tools.soak.checker import TIMING_CHECKS
from tools.soak.plan import Size, draw_plan
from tools.soak.report import describe
from tools.soak.run import Outcome, play

SIZE = Size(hosts=3, workers=5, callers=5, seconds=8.0, recovery=1.0)
SETTLE_S = 180.0  # reached only by a job that is never completed


class RunTest(unittest.TestCase):
    """
    Entry processes are ended, killed, paused and cut off from the store and the workers, which
    fail, leave and come back, while callers go on.  Only checks that don't depend on the speed of
    the machine count: nothing runs twice, nothing accepted is lost, nothing refused runs.
    """

    def play(self, seed: int, size: Size = SIZE) -> Outcome:
        plan = draw_plan(seed, size)
        with tempfile.TemporaryDirectory() as name:
            outcome = asyncio.run(play(seed, plan, size, Path(name), SETTLE_S))
            violations = [it for it in outcome.violations if it.check not in TIMING_CHECKS]
            self.assertEqual([], violations, "\n".join(describe(outcome, plan, Path(name))))
        return outcome

    def test_seeds(self) -> None:
        for seed in (1, 2):
            with self.subTest(seed=seed):
                self.assertGreater(self.play(seed).starts, 0)

    def test_workers_that_fail_together_fail_no_job(self) -> None:
        """Guards against jobs that end as failed since their workers crash again and again."""
        self.assertGreater(self.play(1, replace(SIZE, workers=10, unstable=True)).starts, 0)


class KeptSeedsTest(unittest.TestCase):
    def test_kept_seeds_are_distinct(self) -> None:
        seeds = read_kept_seeds()
        self.assertEqual(len(set(seeds)), len(seeds))


if __name__ == "__main__":
    unittest.main()
