"""Refusal of jobs by a forecast, on days of too little room and on days of enough."""

from __future__ import annotations

import math
import unittest
from collections import Counter

from toucanpin.scheduling.admission import MAX_FORECAST_AGE_S, Admit, Refuse, decide_admission
from toucanpin.scheduling.forecast import (
    FORECAST_PERIOD_S,
    NEVER_MS,
    Forecast,
    KnownForecast,
    QueueForecast,
)
from toucanpin.scheduling.forecasting import make_forecast
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.load_history import LoadHistory
from toucanpin.scheduling.ownership import OwnerRecord, decode_owner, encode_owner
from toucanpin.scheduling.tests.admission_day import (
    Day,
    Fate,
    Load,
    make_batch,
    make_best_effort,
    make_urgent,
    play,
)
from toucanpin.scheduling.tests.fleet import Fleet, make_job

CORES = 80.0  # of a fleet of 20 workers
FULL = Forecast(0, (QueueForecast(2, False, 60_000, NEVER_MS),))
MAX_WRONG_SHARE = 0.02  # of callers that are refused though their jobs would have been served


def _make_id(number: int) -> str:
    return f"{number:016x}"


class DecisionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.job = make_batch(_make_id(1), 8, 0)

    def test_forecast_without_room_refuses(self) -> None:
        """Guards against jobs that are accepted though nothing is left of their time."""
        found = decide_admission(self.job, KnownForecast(FULL, 1.0))
        assert isinstance(found, Refuse)
        self.assertGreater(found.expected, found.limit)

    def test_missing_or_stale_forecast_refuses_nobody(self) -> None:
        """Guards against refusals by the forecast of an owner that is silent, resigned or new."""
        stale = KnownForecast(FULL, MAX_FORECAST_AGE_S + 0.1)
        from_the_future = KnownForecast(FULL, -MAX_FORECAST_AGE_S - 0.1)
        for known in (None, stale, from_the_future, KnownForecast(Forecast(0), 0.0)):
            self.assertEqual(Admit(), decide_admission(self.job, known))

    def test_jobs_that_may_wait_are_not_refused(self) -> None:
        """Guards against refusing long-running, scheduled and very short jobs."""
        forecast = Forecast(0, (QueueForecast(0, False, 60_000, NEVER_MS),))
        lasting = make_job(steps=(Step(long_running=True, estimate=60_000),))
        scheduled = make_job(steps=(Step(estimate=60_000),), repeats=3)
        for job in (lasting, scheduled, make_urgent(_make_id(1), 8, 0)):
            self.assertEqual(Admit(), decide_admission(job, KnownForecast(forecast, 1.0)))

    def test_other_classes_of_queues_are_not_refused(self) -> None:
        """Guards against urgent jobs that pay for a lack of room for best-effort ones."""
        urgent = make_job(steps=(Step(estimate=10_000),), priority=0)
        self.assertEqual(Admit(), decide_admission(urgent, KnownForecast(FULL, 1.0)))

    def test_job_on_time_or_useful_when_late_is_accepted(self) -> None:
        """Guards against refusing what can still be of use to its caller."""
        for waits in ((1_000, NEVER_MS), (60_000, 20_000)):
            known = KnownForecast(Forecast(0, (QueueForecast(2, False, *waits),)), 1.0)
            self.assertEqual(Admit(), decide_admission(self.job, known))

    def test_share_follows_the_wait_and_ignores_width(self) -> None:
        """Guards against wide jobs that are refused for longer than narrow ones of their queue."""
        shares = []
        for wait in (4_000, 5_000, 6_000):
            known = KnownForecast(Forecast(0, (QueueForecast(2, False, wait, NEVER_MS),)), 1.0)
            for width in (1, 80):
                jobs = (make_batch(_make_id(number), width, 0) for number in range(500))
                admitted = [decide_admission(job, known) == Admit() for job in jobs]
                shares.append(sum(admitted) / len(admitted))
        self.assertEqual(shares[0::2], shares[1::2])
        self.assertEqual([1.0, 0.0], [shares[0], shares[-1]])
        self.assertAlmostEqual(0.5, shares[2], delta=0.1)

    def test_callers_return_in_their_order(self) -> None:
        """
        Guards against a herd: all refused callers come back at one moment, and most are refused
        once more.
        """
        half = KnownForecast(Forecast(0, (QueueForecast(2, False, 5_000, NEVER_MS),)), 1.0)
        nobody = KnownForecast(Forecast(0, (QueueForecast(2, False, 5_900, NEVER_MS),)), 1.0)
        delays: dict[bool, list[int]] = {True: [], False: []}
        for number in range(1_000):
            job = make_batch(_make_id(number), 8, 0)
            match decide_admission(job, nobody):
                case Refuse(retry_after=delay):
                    delays[decide_admission(job, half) == Admit()].append(delay)
        counts = Counter(delays[True] + delays[False])
        self.assertGreaterEqual(len(counts), 3)
        self.assertLess(max(counts.values()), 0.5 * counts.total())
        self.assertLessEqual(max(delays[True]), min(delays[False]))


class ForecastTest(unittest.TestCase):
    def _observe(self, fleet: Fleet, history: LoadHistory, turns: int) -> Forecast | None:
        forecast = None
        for _ in range(turns):
            fleet.run(FORECAST_PERIOD_S)
            forecast = make_forecast(fleet.cell, history, fleet.now())
        return forecast

    def test_full_forecast_fits_the_owners_row(self) -> None:
        """Guards against an owner's row that grows with the number of queues."""
        queues = (QueueForecast(10_000, True, NEVER_MS, NEVER_MS) for _ in range(24))
        row = encode_owner(OwnerRecord("h", "life", 1, 1, {}, Forecast(2**42, tuple(queues))))
        self.assertLess(len(row), 1_024)

    def test_no_forecast_until_rates_are_known(self) -> None:
        """Guards against refusals right after a takeover or an outage, in which nothing ended."""
        fleet, history = Fleet(workers=1), LoadHistory()
        fleet.run(0.3)
        for number in range(60):
            fleet.submit(make_batch(_make_id(number), 4, int(fleet.time * 1_000)))
        self.assertIsNone(self._observe(fleet, history, 4))
        self.assertTrue(self._observe(fleet, history, 6))
        fleet.store_up = False
        self.assertIsNone(self._observe(fleet, history, 6))
        fleet.store_up = True
        self.assertIsNone(self._observe(fleet, history, 2))
        self.assertTrue(self._observe(fleet, history, 8))

    def test_class_that_waits_for_room_is_forecast(self) -> None:
        """Guards against a forecast that doesn't see what waits before a new job."""
        fleet, history = Fleet(workers=1), LoadHistory()
        fleet.run(0.3)
        for number in range(60):
            steps = (Step(count=4, cpu=1_000, estimate=1_000),)
            job = make_job(_make_id(number), steps, accepted=int(fleet.time * 1_000), aim=300_000)
            fleet.submit(job)
        forecast = self._observe(fleet, history, 8)
        assert forecast is not None
        (queue,) = forecast.queues
        # 4 cores finish 4 of 240 tasks of 1 s in each second, and 4 s have passed.
        self.assertAlmostEqual(56_000, queue.on_time_wait, delta=8_000)


class RowTest(unittest.TestCase):
    def test_row_of_the_earlier_version_is_decoded(self) -> None:
        """Guards against cells that lose their owners in a rolling update."""
        self.assertIsNone(decode_owner(b"\x95\xa1h\xa4life\x03\x01\x80").forecast)

    def test_row_with_a_forecast_keeps_it(self) -> None:
        """Guards against an owner that doesn't recognize its own write and gives up its cell."""
        record = OwnerRecord("h", "life", 3, 1, {0: 2}, FULL)
        self.assertEqual(record, decode_owner(encode_owner(record)))


class DayTest(unittest.TestCase):
    """Days of callers on a small fleet; each is played with and without refusals."""

    def _play(self, loads: list[Load], seconds: float, **options) -> tuple[Day, Day]:
        before = play(loads, seconds, admission=False, workers=20, **options)
        after = play(loads, seconds, workers=20, **options)
        self.assertFalse(before.refusals)
        return before, after

    def _assert_few_wrong(self, before: Day, after: Day) -> None:
        served = (Fate.ON_TIME, Fate.LATE)
        refused = [name for name, fate in after.fates.items() if fate is Fate.REFUSED]
        wrong = [name for name in refused if before.fates.get(name) in served]
        message = f"{before.describe()} / {after.describe()}"
        self.assertLessEqual(len(wrong), MAX_WRONG_SHARE * len(before.fates), message)

    def test_sustained_overload_is_refused_at_once(self) -> None:
        """
        Guards against callers that wait in vain while half as much again arrives as there is room
        for, and against refusals that take service from the others.
        """
        before, after = self._play([Load(make_batch, lambda at: 1.5 * CORES)], 60.0)
        message = f"{before.describe()} / {after.describe()}"
        self.assertGreaterEqual(after.count(Fate.ON_TIME), before.count(Fate.ON_TIME), message)
        # The overload has to last for the 9 s that a job may take, and rates need 6 s to show it.
        late = [name for name, times in after.attempts.items() if times[0] > 15.0]
        in_vain = [name for name in late if after.fates.get(name) is Fate.IN_VAIN]
        self.assertLessEqual(len(in_vain), MAX_WRONG_SHARE * len(late), message)
        self.assertGreater(after.share_served(True), 0.8 * after.share_served(False), message)

    def test_few_wait_in_vain_in_a_long_overload(self) -> None:
        """
        Guards against callers that wait in vain, counted from the first one on: the day is so long
        that those who came before rates could show the overload are few.
        """
        before, after = self._play([Load(make_batch, lambda at: 1.5 * CORES)], 90.0)
        message = f"{before.describe()} / {after.describe()}"
        self.assertLess(after.count(Fate.IN_VAIN), 0.2 * before.count(Fate.IN_VAIN), message)
        early = [name for name, times in after.attempts.items() if times[0] <= 15.0]
        before_early, after_early = (
            sum(day.fates.get(name) is Fate.IN_VAIN for name in early) for day in (before, after)
        )
        self.assertLessEqual(after_early, before_early, message)

    def test_best_effort_work_is_not_refused(self) -> None:
        """Guards against refusing best-effort jobs that would start before those that wait."""
        _, after = self._play([Load(make_best_effort, lambda at: 1.5 * CORES)], 40.0)
        self.assertFalse(after.refusals)

    def test_burst_of_batch_is_served(self) -> None:
        """Guards against refusing a burst that ends before its jobs are useless."""

        def rate(at: float) -> float:
            return 0.7 * CORES * (2.6 if 10.0 <= at < 14.0 else 1.0)

        self._assert_few_wrong(*self._play([Load(make_batch, rate)], 40.0))

    def test_burst_of_urgent_work_is_not_refused(self) -> None:
        """Guards against refusing jobs that start or fail before a forecast can show it."""

        def rate(at: float) -> float:
            return 0.7 * CORES * (1.8 if 10.0 <= at < 13.0 else 1.0)

        _, after = self._play([Load(make_urgent, rate)], 25.0)
        self.assertFalse(after.refusals)

    def test_bursts_on_a_fleet_that_lost_a_quarter(self) -> None:
        """Guards against more callers in vain, or fewer served, when room is lost in a burst."""

        def lose_quarter(fleet: Fleet, at: float) -> None:
            for number in range(5):
                fleet.workers[f"w{number}"].silent = at >= 12.0

        urgent = Load(make_urgent, lambda at: 0.15 * CORES * (1.8 if 10.0 <= at < 13.0 else 1.0))
        batch = Load(make_batch, lambda at: 0.6 * CORES * (2.6 if 10.0 <= at < 14.0 else 1.0))
        before, after = self._play([urgent, batch], 45.0, change=lose_quarter)
        message = f"{before.describe()} / {after.describe()}"
        self.assertLessEqual(after.count(Fate.IN_VAIN), before.count(Fate.IN_VAIN), message)
        self._assert_few_wrong(before, after)

    def test_wave_is_served(self) -> None:
        """Guards against refusals at the crest of a wave whose trough has room for all."""

        def rate(at: float) -> float:
            return 0.75 * CORES * (1 + 0.55 * math.sin(2 * math.pi * at / 17.0))

        self._assert_few_wrong(*self._play([Load(make_batch, rate)], 51.0))

    def test_herd_that_returns_is_served_in_its_order(self) -> None:
        """
        Guards against a herd of refused callers that comes back at one moment: they return spread
        over seconds, and none of them is told to return more often than it may.
        """
        _, after = self._play([Load(make_batch, lambda at: 2.2 * CORES)], 40.0)
        returns = Counter(int(at) for times in after.attempts.values() for at in times[1:])
        arrivals = Counter(int(times[0]) for times in after.attempts.values())
        self.assertTrue(returns)
        self.assertLess(max(returns.values()), 2 * max(arrivals.values()))


if __name__ == "__main__":
    unittest.main()
