"""Tests of tasks that should run on the rack of their data or on the same rack."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.job import Step
from toucanpin.scheduling.tests.fleet import Fleet, make_job


class RackTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=0)
        for number in range(6):
            rack = f"r{number // 2}"
            self.fleet.add_worker(f"w{number}", labels=("a", rack))

    def _fill_halves(self) -> None:
        """Fill half of one worker of each rack, which makes it the better place by itself."""
        for number in (0, 2, 4):
            entry = self.fleet.workers[f"w{number}"].entry
            self.fleet.workers.pop(entry.id)
            self.fleet.add_worker(entry.id, labels=("half", entry.labels[1]))
        for worker in self.fleet.workers.values():
            worker.duration = 60.0
        half = Step(count=3, cpu=2_000, label="half", per_worker=1)
        self.fleet.submit(make_job("full", (half,)))
        self.fleet.run(0.2)

    def _running(self, job: str) -> list[str]:
        return [
            worker.entry.labels[1]
            for worker in self.fleet.workers.values()
            for task in worker.runs
            if task.job == job
        ]

    def _racks(self, job: str) -> list[str]:
        return [
            worker.entry.labels[1]
            for worker in self.fleet.workers.values()
            for task, _ in worker.starts
            if task.job == job
        ]

    def test_task_is_placed_near_its_data(self) -> None:
        """Guards against tasks that take several times as long away from their data."""
        self.fleet.submit(make_job("j", (Step(count=3, cpu=1_000, rack="r2"),)))
        self.fleet.run(0.5)
        self.assertEqual(["r2"] * 3, self._racks("j"))

    def test_task_is_placed_elsewhere_if_its_rack_is_full(self) -> None:
        self.fleet.submit(make_job("full", (Step(count=2, cpu=4_000, rack="r2"),)))
        self.fleet.run(0.2)
        self.fleet.submit(make_job("j", (Step(cpu=1_000, rack="r2"),)))
        self.fleet.run(0.5)
        self.assertEqual(1, len(self._racks("j")))

    def test_same_rack_tasks_share_a_rack(self) -> None:
        """
        Guards against a step that is spread over two racks, which slows down all of its tasks.
        """
        self.fleet.submit(make_job("full", (Step(cpu=2_000, rack="r0"),)))
        self.fleet.run(0.2)
        self.fleet.submit(make_job("j", (Step(count=6, cpu=1_000, same_rack=True),)))
        self.fleet.run(0.5)
        self.assertEqual(1, len(set(self._racks("j"))))
        self.assertEqual(6, len(self._racks("j")))

    def test_same_rack_outweighs_fuller_workers(self) -> None:
        """
        Guards against a step that is spread over two racks once its first tasks have filled a
        worker: a half full worker of another rack is the cheaper one by its free cores alone.
        """
        self._fill_halves()
        self.fleet.submit(make_job("j", (Step(count=4, cpu=1_000, same_rack=True),)))
        self.fleet.run(0.5)
        self.assertEqual(4, len(self._racks("j")))
        self.assertEqual(1, len(set(self._racks("j"))))

    def test_tasks_of_a_lost_rack_share_another(self) -> None:
        """
        Guards against a step that is spread over two racks after all workers of its rack are lost.
        While the lost rack stayed the step's rack, all other racks were equally remote.
        """
        self._fill_halves()
        self.fleet.submit(make_job("j", (Step(count=4, cpu=1_000, same_rack=True),)))
        self.fleet.run(0.5)
        lost = self._running("j")[0]
        for worker in list(self.fleet.workers.values()):
            if worker.entry.labels[1] == lost:
                self.fleet.workers.pop(worker.entry.id)
        self.fleet.run(20.0)
        self.assertEqual(4, len(self._running("j")))
        self.assertEqual(1, len(set(self._running("j"))))

    def test_a_new_owner_keeps_the_rack_of_a_step(self) -> None:
        """
        Guards against a task that restarts away from its siblings: a new owner didn't know the rack
        of a step, so that after the loss of a worker its task went to a fuller worker on another
        rack.
        """
        self._fill_halves()
        self.fleet.submit(make_job("j", (Step(count=4, cpu=1_000, same_rack=True),)))
        self.fleet.run(0.5)
        rack = self._running("j")[0]
        self.fleet.replace_owner()
        self.fleet.run(1.0)
        for worker in list(self.fleet.workers.values()):
            if worker.entry.labels == ("half", rack):
                self.fleet.workers.pop(worker.entry.id)
        self.fleet.run(20.0)
        self.assertEqual([rack] * 4, self._running("j"))


if __name__ == "__main__":
    unittest.main()
