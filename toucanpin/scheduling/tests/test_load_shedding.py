"""Load shedding by an owner that can't keep up."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.job import Step
from toucanpin.scheduling.load_shedding import (
    MAX_PAUSE_S,
    MAX_PENDING_STARTS,
    MinAnswerTime,
    ProcessDelay,
    StartBacklog,
    TimeShare,
    would_exceed_time_limit,
)
from toucanpin.scheduling.placing import place_tasks
from toucanpin.scheduling.tests.fleet import Fleet, make_job


class TimeShareTest(unittest.TestCase):
    def test_pause_is_longer_than_the_decision(self) -> None:
        """Guards against decisions that take all processor time of a slow host."""
        share = TimeShare(0.25)
        self.assertEqual(0.0, share.remaining_pause(10.0))
        share.record(10.0, 10.5)
        self.assertAlmostEqual(1.5, share.remaining_pause(10.5))
        self.assertAlmostEqual(0.5, share.remaining_pause(11.5))
        self.assertEqual(0.0, share.remaining_pause(12.0))

    def test_fast_host_hardly_pauses(self) -> None:
        """Guards against pauses that delay a host with time to spare."""
        share = TimeShare(0.25)
        share.record(10.0, 10.002)
        self.assertLess(share.remaining_pause(10.002), 0.01)


class ProcessDelayTest(unittest.TestCase):
    def test_no_pause_without_delay(self) -> None:
        """Guards against late polls by a host with time to spare."""
        delay = ProcessDelay()
        delay.record(0.005, 10.0)
        self.assertEqual(0.0, delay.plan_pause(10.0))
        self.assertEqual(MAX_PENDING_STARTS, delay.limit_starts(10.0))

    def test_pauses_and_starts_follow_the_delay(self) -> None:
        """Guards against polls and starts whose answers can't be read in time."""
        delay = ProcessDelay()
        delay.record(0.2, 10.0)
        self.assertAlmostEqual(0.4, delay.plan_pause(10.0))
        self.assertEqual(MAX_PENDING_STARTS // 2, delay.limit_starts(10.0))
        delay.record(5.0, 10.0)
        self.assertEqual(MAX_PAUSE_S, delay.plan_pause(10.0))
        self.assertGreater(delay.limit_starts(10.0), 0)

    def test_delay_decays(self) -> None:
        """Guards against an owner that stays slow after a single delay."""
        delay = ProcessDelay()
        delay.record(1.0, 10.0)
        delay.record(0.0, 11.0)
        self.assertAlmostEqual(0.5, delay.read(11.0))
        self.assertEqual(0.0, delay.plan_pause(16.0))


class PendingStartsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=10)
        self.fleet.run(0.3)
        for number in range(4):
            patient = make_job(f"patient{number}", (Step(count=4, cpu=1_000),), priority=2)
            self.fleet.submit(patient)
        self.fleet.submit(make_job("urgent", (Step(count=4, cpu=1_000),)))
        self.cell = self.fleet.cell

    def _count(self) -> dict[str, int]:
        return {job: len(runs) for job, runs in self.cell.runs.items()}

    def test_most_urgent_tasks_are_placed_first(self) -> None:
        """Guards against an overloaded owner that starts the least urgent tasks."""
        place_tasks(self.cell, self.fleet.model, self.fleet.now(), 4)
        self.assertEqual({"urgent": 4}, self._count())

    def test_other_tasks_wait_for_a_later_turn(self) -> None:
        """Guards against steps that are never placed."""
        place_tasks(self.cell, self.fleet.model, self.fleet.now(), 0)
        self.assertFalse(self._count())
        self.fleet.run(3.0)
        self.assertTrue(all(self.fleet.state(job) == 2 for job in self.fleet.jobs))


class MinAnswerTimeTest(unittest.TestCase):
    def test_slow_workers_do_not_count_as_a_slow_host(self) -> None:
        """Guards against an owner that limits its starts because some of its workers are slow."""
        fastest = MinAnswerTime()
        found = [fastest.record(0.4 if number % 4 else 0.003) for number in range(40)]
        self.assertLess(max(found), 0.01)

    def test_saturated_link_delays_every_answer(self) -> None:
        """Guards against an owner with time to spare that saturates its link with starts."""
        fastest = MinAnswerTime()
        found = [fastest.record(0.3 + number % 4 / 10) for number in range(40)]
        self.assertEqual(0.0, found[0])
        self.assertAlmostEqual(0.3, found[-1])


class StartBacklogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.backlog = StartBacklog()
        for turn in range(100):
            self.backlog.record_starts(10, turn * 0.1)

    def test_no_estimate_while_the_owner_keeps_up(self) -> None:
        """Guards against refusing jobs that only wait for free capacity."""
        self.assertEqual({}, self.backlog.estimate_waits({0: 10, 2: 5_000}, 0.02, 10.0))
        self.assertEqual({}, self.backlog.estimate_waits({0: 10, 2: 5_000}, 0.02, 15.0))

    def test_lasting_delay_gives_an_estimate_per_priority(self) -> None:
        """Guards against an owner that accepts more jobs than it can ever start."""
        waiting = {0: 100, 2: 900}
        self.assertEqual(
            {}, self.backlog.estimate_waits(waiting, 0.3, 10.0), "the delay may be short"
        )
        self.backlog.record_starts(100, 11.0)
        self.backlog.record_starts(100, 12.0)
        found = self.backlog.estimate_waits(waiting, 0.3, 12.0)
        self.assertAlmostEqual(1_000, found[0], delta=200)
        self.assertAlmostEqual(10_000, found[2], delta=2_000)

    def test_estimate_ends_once_the_owner_keeps_up(self) -> None:
        """Guards against refusals that outlast their cause."""
        self.backlog.estimate_waits({2: 900}, 0.3, 10.0)
        self.assertTrue(self.backlog.estimate_waits({2: 900}, 0.05, 13.0), "delays vary")
        self.assertEqual({}, self.backlog.estimate_waits({2: 900}, 0.05, 14.5))
        self.assertEqual({}, self.backlog.estimate_waits({2: 900}, 0.3, 15.0))

    def test_jobs_are_compared_with_their_own_time_limit(self) -> None:
        """
        Guards against refusing urgent, long-running and scheduled jobs for the wait of others.
        """
        backlog = {0: 500, 2: 9_000}
        short = Step(cpu=1_000, estimate=1_000)
        patient = make_job(steps=(short,), priority=2, aim=1_000, stretch=2.0)
        self.assertTrue(would_exceed_time_limit(patient, backlog))
        long = make_job(steps=(Step(cpu=1_000, estimate=5_000),), priority=2, stretch=2.0)
        self.assertFalse(would_exceed_time_limit(long, backlog))
        self.assertFalse(would_exceed_time_limit(make_job(steps=(short,)), backlog))
        long_running = make_job(steps=(Step(cpu=1_000, long_running=True),), priority=2)
        self.assertFalse(would_exceed_time_limit(long_running, backlog))
        timed = make_job(steps=(short,), priority=2, repeats=2)
        self.assertFalse(would_exceed_time_limit(timed, backlog))
