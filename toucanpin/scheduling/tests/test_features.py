"""Tests of the selection of optional decisions by a deployment's settings."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.features import Features, select_features
from toucanpin.scheduling.settings import Bounds


class FeaturesTest(unittest.TestCase):
    def test_quick_interruptions_need_no_feature(self) -> None:
        """Guards against changed decisions in a deployment that can correct them in time."""
        bounds = Bounds(stop_time=0.9, restore_time=0.25)
        self.assertEqual(select_features(bounds), Features())

    def test_slow_interruptions_need_all_features(self) -> None:
        found = select_features(Bounds(stop_time=0.9, restore_time=0.6))
        self.assertEqual(found, Features(True, True, True, True))
