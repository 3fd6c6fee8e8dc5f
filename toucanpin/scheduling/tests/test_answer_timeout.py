"""Adaptive timeout for answers."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.answer_timeout import MAX_LATENESS_S, MIN_LATENESS_S, AnswerTimeout


class AnswerTimeoutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timeout = AnswerTimeout()
        self.timeout.record(0.0, 100.0)

    def test_timeout_shrinks_only_after_timely_answers(self) -> None:
        self.assertEqual(MAX_LATENESS_S, self.timeout.limit(100.0))
        for tenth in range(200):
            self.timeout.record(0.005, 100.0 + tenth / 10)
        self.assertEqual(MIN_LATENESS_S, self.timeout.limit(120.0))

    def test_late_answer_raises_timeout_at_once(self) -> None:
        """
        Guards against repeated requests over a saturated link, whose answers are half a second late
        and would be considered lost.
        """
        for tenth in range(200):
            self.timeout.record(0.005, 100.0 + tenth / 10)
        self.timeout.record(0.5, 120.0)
        self.assertEqual(MAX_LATENESS_S, self.timeout.limit(120.1))

    def test_single_late_answer_decays(self) -> None:
        self.timeout.record(0.5, 100.0)
        self.assertEqual(MIN_LATENESS_S, self.timeout.limit(120.0))


if __name__ == "__main__":
    unittest.main()
