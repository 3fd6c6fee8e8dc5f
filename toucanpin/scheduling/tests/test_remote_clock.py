"""What is known of a remote clock from answers that take their time."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from toucanpin.scheduling.remote_clock import MAX_DRIFT_RATE, ClockEstimate

AHEAD = 5_000.0  # s: the remote clock's distance in these tests
delays = st.tuples(st.floats(0.0, 6.0), st.floats(0.0, 6.0))


class ClockEstimateTest(unittest.TestCase):
    def test_nothing_is_known_before_an_answer(self) -> None:
        estimate = ClockEstimate()
        self.assertFalse(estimate.known)
        self.assertEqual(0.0, estimate.read(10.0))

    def test_a_late_answer_moves_nothing(self) -> None:
        """
        A host is suspended for four seconds while an answer waits.  The time in it is four seconds
        old by then, and work would begin that much late.
        """
        estimate = ClockEstimate()
        estimate.record((10.0 + AHEAD) * 1_000, 9.999, 10.001)
        before = estimate.read(14.0)
        estimate.record((10.1 + AHEAD) * 1_000, 10.099, 14.0)
        self.assertEqual(before, estimate.read(14.0))

    def test_an_old_answer_gives_way_to_one_that_took_longer(self) -> None:
        estimate = ClockEstimate()
        estimate.record((10.0 + AHEAD) * 1_000, 10.0, 10.0)
        estimate.record((500.0 + AHEAD) * 1_000, 499.9, 500.1)
        self.assertAlmostEqual(100.0, estimate.error(500.1), delta=1.0)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.floats(0.0, 60.0), delays), min_size=1, max_size=30))
    def test_the_stated_error_is_never_exceeded(self, answers: list) -> None:
        """Whatever the delays are on the way there and back, the truth lies within the error."""
        estimate = ClockEstimate()
        now = 100.0
        for pause, (there, back) in answers:
            sent = now + pause
            now = sent + there + back
            estimate.record((sent + there + AHEAD) * 1_000, sent, now)
            off = abs(estimate.read(now) - (now + AHEAD) * 1_000)
            self.assertLessEqual(off, estimate.error(now) + 0.01)
        self.assertLess(
            estimate.error(now + 10.0) - estimate.error(now), 10.0 * MAX_DRIFT_RATE * 1_000 + 1
        )


if __name__ == "__main__":
    unittest.main()
