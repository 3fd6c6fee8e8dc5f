"""Tests of large tasks among many small ones."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.cell import Group
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.large_tasks import LargeTaskReservation
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.worker import Phase, Run, Worker


class LargeTaskTest(unittest.TestCase):
    def test_large_task_is_not_starved_by_small_ones(self) -> None:
        """
        Guards against a large task that waits for as long as small tasks keep coming and take each
        core that becomes free.
        """
        fleet = Fleet(workers=10, cpu=4_000)
        for number in range(60):
            step = Step(count=11, cpu=1_000, per_worker=2)
            fleet.submit(make_job(f"s{number:03}", (step,), accepted=number))
            if number == 8:
                fleet.submit(make_job("large", (Step(cpu=3_500),), accepted=0))
            fleet.run(0.25)
        started = {task for worker in fleet.workers.values() for task, _ in worker.starts}
        self.assertIn(TaskKey("large", 0, 0, 0), started)

    def test_large_task_gets_a_worker_after_a_wide_step_found_none(self) -> None:
        """
        Guards against a wide step that runs on all workers, still waits for more, and uses up the
        searches of the round: no worker was reserved for a large task of another job.
        """
        fleet = Fleet(workers=0)
        cell = fleet.cell
        wide = Step(count=20, cpu=100, per_worker=1)
        for number in range(10):
            entry = fleet.add_worker(f"w{number}").entry
            worker = cell.workers[entry.id] = Worker(entry, cpu=wide.cpu)
            task = TaskKey("wide", 0, 0, number)
            worker.runs[task] = Run(task, 0, entry.id, wide, Phase.RUNNING)
        reservation = LargeTaskReservation(cell, list(cell.workers.values()))
        for name, step in (("wide", wide), ("large", Step(cpu=4_000))):
            group = Group(name, 0, 0)
            cell.waiting[group] = {step.count - 1}
            reservation.reserve_for(group, step)
        self.assertEqual(9, len(reservation.eligible))


if __name__ == "__main__":
    unittest.main()
