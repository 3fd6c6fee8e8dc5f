"""Measured times in which a cell could place no task."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.standstill import StandstillCause, StandstillMeter


class StandstillTest(unittest.TestCase):
    def test_times_count_by_their_cause(self) -> None:
        meter = StandstillMeter(10.0)
        meter.record_blocked(StandstillCause.TAKEOVER, 11.5)
        meter.record_blocked(StandstillCause.LOADING, 11.75)
        ended = meter.record_placing(11.75)
        assert ended is not None
        self.assertEqual(1.75, ended.total)
        self.assertIs(StandstillCause.TAKEOVER, ended.main_cause)
        self.assertIsNone(meter.record_placing(20.0))

    def test_a_late_write_is_a_standstill_and_a_pause_without_work_is_none(self) -> None:
        meter = StandstillMeter(0.0)
        self.assertIsNone(meter.record_placing(5.0))
        meter.record_write(8.0, 10.0)
        meter.record_blocked(StandstillCause.JOBS, 10.25)
        ended = meter.record_placing(10.5)
        assert ended is not None
        self.assertEqual(
            {StandstillCause.STORE: 2.0, StandstillCause.JOBS: 0.25}, dict(ended.seconds)
        )

    def test_writes_in_time_are_no_standstill(self) -> None:
        meter = StandstillMeter(0.0)
        for number in range(20):
            meter.record_write(float(number), number + 0.1)
        self.assertIsNone(meter.record_placing(20.0))


if __name__ == "__main__":
    unittest.main()
