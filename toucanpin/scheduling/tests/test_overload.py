"""Tests of the order of jobs in an overload."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.cell import Group, Now
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.job_order import rank_group
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.progress_rows import decode_progress
from toucanpin.scheduling.tests.fleet import Fleet, make_job


class OverloadTest(unittest.TestCase):
    def test_jobs_on_time_precede_late_ones(self) -> None:
        """
        Guards against an overload in which all jobs are late because the oldest ones go first, when
        there are twice as many jobs as can be processed.
        """
        fleet = Fleet(workers=1, cpu=1_000)
        for number in range(40):
            accepted = int(fleet.time * 1_000)
            step = Step(cpu=1_000, estimate=1_000)
            fleet.submit(
                make_job(f"j{number:02}", (step,), accepted=accepted, stretch=2.0, aim=500)
            )
            fleet.run(0.5)
        on_time = 0
        for identifier in fleet.jobs:
            progress = decode_progress(fleet.rows[identifier]) if identifier in fleet.rows else None
            if progress is not None and progress.state == JobState.COMPLETED:
                on_time += progress.ended <= fleet.cell.jobs[identifier].objective + 200
        self.assertGreaterEqual(on_time, 12)

    def test_expired_job_is_last_and_higher_priority_first(self) -> None:
        fleet = Fleet(workers=1, cpu=1_000)
        step = (Step(cpu=1_000, estimate=1_000),)
        fleet.submit(make_job("expired", step, accepted=10_000, priority=2))
        fleet.submit(make_job("late", step, accepted=97_000, priority=2))
        fleet.submit(make_job("fresh", step, accepted=100_000, priority=2))
        fleet.submit(make_job("urgent", step, accepted=10_000, priority=0))
        now = Now(101.0, 101_000, 101_000)
        ranked = sorted(
            (Group(job, 0, 0) for job in fleet.jobs),
            key=lambda group: rank_group(fleet.cell, group, now),
        )
        self.assertEqual(["urgent", "fresh", "late", "expired"], [group.job for group in ranked])


if __name__ == "__main__":
    unittest.main()
