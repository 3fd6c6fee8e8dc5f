"""When an answer counts as lost."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.answer_timeout import MAX_LATENESS_S, MIN_LATENESS_S, AnswerTimeout


class AnswerTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.times = AnswerTimeout()
        self.times.record(0.0, 100.0)

    def test_nothing_is_lost_early_until_answers_have_come_in_time(self) -> None:
        self.assertEqual(MAX_LATENESS_S, self.times.limit(100.0))
        for tenth in range(200):
            self.times.record(0.005, 100.0 + tenth / 10)
        self.assertEqual(MIN_LATENESS_S, self.times.limit(120.0))

    def test_late_answers_make_it_wait_longer_at_once(self) -> None:
        """
        A link is full, and answers come half a second late.  Taken for lost they would be asked for
        again, over the same link.
        """
        for tenth in range(200):
            self.times.record(0.005, 100.0 + tenth / 10)
        self.times.record(0.5, 120.0)
        self.assertEqual(MAX_LATENESS_S, self.times.limit(120.1))

    def test_one_late_answer_is_forgotten(self) -> None:
        self.times.record(0.5, 100.0)
        self.assertEqual(MIN_LATENESS_S, self.times.limit(120.0))


if __name__ == "__main__":
    unittest.main()
