"""Estimate of a remote clock from delayed answers."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from toucanpin.scheduling.remote_clock import MAX_DRIFT_RATE, ClockEstimate

OFFSET_S = 5_000.0  # seconds by which the remote clock is ahead in these tests
delays = st.tuples(st.floats(0.0, 6.0), st.floats(0.0, 6.0))


class ClockEstimateTest(unittest.TestCase):
    def test_unknown_before_the_first_answer(self) -> None:
        estimate = ClockEstimate()
        self.assertFalse(estimate.known)
        self.assertEqual(0.0, estimate.read(10.0))

    def test_late_answer_does_not_change_the_estimate(self) -> None:
        """
        A host is suspended for four seconds while an answer waits. Guards against using its time,
        which is four seconds old by then, so that work would begin that much late.
        """
        estimate = ClockEstimate()
        estimate.record((10.0 + OFFSET_S) * 1_000, 9.999, 10.001)
        before = estimate.read(14.0)
        estimate.record((10.1 + OFFSET_S) * 1_000, 10.099, 14.0)
        self.assertEqual(before, estimate.read(14.0))

    def test_old_answer_is_replaced_by_a_slower_one(self) -> None:
        estimate = ClockEstimate()
        estimate.record((10.0 + OFFSET_S) * 1_000, 10.0, 10.0)
        estimate.record((500.0 + OFFSET_S) * 1_000, 499.9, 500.1)
        self.assertAlmostEqual(100.0, estimate.error(500.1), delta=1.0)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.floats(0.0, 60.0), delays), min_size=1, max_size=30))
    def test_error_bound_holds(self, answers: list) -> None:
        """The true time is within the error, whatever the delays in both directions are."""
        estimate = ClockEstimate()
        now = 100.0
        for pause, (there, back) in answers:
            sent = now + pause
            now = sent + there + back
            estimate.record((sent + there + OFFSET_S) * 1_000, sent, now)
            deviation = abs(estimate.read(now) - (now + OFFSET_S) * 1_000)
            self.assertLessEqual(deviation, estimate.error(now) + 0.01)
        self.assertLess(
            estimate.error(now + 10.0) - estimate.error(now), 10.0 * MAX_DRIFT_RATE * 1_000 + 1
        )


if __name__ == "__main__":
    unittest.main()
