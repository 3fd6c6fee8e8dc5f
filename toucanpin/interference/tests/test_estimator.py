"""Tests of the estimator: attribution to kinds, shrinkage, forgetting, outliers and usage."""

import random
import unittest

from toucanpin.interference.estimator import PairEstimator, Prior, sum_amounts
from toucanpin.interference.usage import KindUsage
from toucanpin.interference.view import Resident

EFFECTS = {"noisy": 4.0, "mild": 0.2}
BASELINE_MS = 20.0


def true_latency(load, amounts, effects=EFFECTS):
    rise = sum(effects[kind] * amount for kind, amount in amounts.items())
    return BASELINE_MS * (1 + 0.5 * load + load * rise)


class PairEstimatorTest(unittest.TestCase):
    def setUp(self):
        self.random = random.Random(7)
        self.estimator = PairEstimator()

    def teach(self, start, count, effects=EFFECTS):
        for step in range(count):
            load = self.random.uniform(0.2, 0.9)
            amounts = {kind: self.random.uniform(0, 0.4) for kind in effects}
            latency = true_latency(load, amounts, effects) * self.random.gauss(1, 0.1)
            self.estimator.learn(start + 5.0 * step, "s", latency, load, amounts)

    def rise(self, kind, load=0.5):
        return self.estimator.latency_rise("s", kind, load)

    def test_estimates_effects_and_baseline(self):
        self.teach(0, 200)
        self.assertAlmostEqual(self.rise("noisy"), 4.0 * 0.5 / 1.25, delta=0.25)
        self.assertAlmostEqual(self.rise("mild"), 0.2 * 0.5 / 1.25, delta=0.25)
        quiet = self.estimator.baseline_latency("s", 0.5)
        assert quiet is not None
        self.assertAlmostEqual(quiet, BASELINE_MS * 1.25, delta=2.0)

    def test_load_is_a_factor(self):
        self.teach(0, 200)
        self.assertGreater(self.rise("noisy", 0.8), 1.8 * self.rise("noisy", 0.3))

    def test_few_samples_stay_near_the_prior(self):
        """One sample changes an estimate less than a hundred samples of the same effect."""
        before = self.rise("noisy")
        self.estimator.learn(0, "s", true_latency(0.5, {"noisy": 0.2}), 0.5, {"noisy": 0.2})
        moved = abs(self.rise("noisy") - before)
        self.teach(5, 100)
        self.assertLess(moved, 0.5 * abs(self.rise("noisy") - before))

    def test_unknown_service_and_kind_get_a_guess(self):
        self.assertEqual(self.rise("new"), Prior().latency_rise * 0.5)
        self.teach(0, 50)
        self.assertTrue(self.rise("mild") < self.rise("new") < self.rise("noisy"))

    def test_follows_changed_effects(self):
        """
        The noisy kind becomes mild, as after a new release of its program.  If old samples had the
        weight of new ones, the policy would keep throttling it without need.
        """
        self.teach(0, 300)
        self.teach(1_500, 150, {"noisy": 0.2, "mild": 4.0})
        self.assertGreater(self.rise("mild"), 3 * self.rise("noisy"))

    def test_unobserved_pair_returns_to_its_prior(self):
        self.teach(0, 200)
        learnt = self.rise("noisy")
        day = 86_400.0
        self.estimator.learn(day, "s", true_latency(0.5, {}), 0.5, {"noisy": 0.0})
        self.assertLess(abs(self.rise("noisy") - 0.5 / 1.25), 0.5 * abs(learnt - 0.5 / 1.25))

    def test_outlier_moves_estimate_little(self):
        self.teach(0, 100)
        before = self.rise("mild")
        self.estimator.learn(600, "s", 50 * BASELINE_MS, 0.5, {"mild": 0.3})
        self.assertLess(self.rise("mild") - before, 0.6)
        self.estimator.learn(601, "s", 0.0, 0.5, {"mild": 0.3})

    def test_amounts_add_up_by_kind(self):
        residents = (
            Resident("a", "a", "k", 8.0, share=0.5),
            Resident("b", "b", "k", 4.0),
            Resident("c", "c", "m", 16.0),
        )
        self.assertEqual(sum_amounts(residents, 64), {"k": 0.125, "m": 0.25})


class KindUsageTest(unittest.TestCase):
    def test_declared_size_is_used_until_usage_is_known(self):
        usage = KindUsage()
        self.assertEqual(usage.estimate("k", 16), 16.0)
        for _ in range(10):
            usage.learn("k", 8, 0.5, 2.0)
        self.assertAlmostEqual(usage.estimate("k", 16), 8.0)
        usage.learn("k", 0, 1.0, 5.0)


if __name__ == "__main__":
    unittest.main()
