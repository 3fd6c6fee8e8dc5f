"""Tasks that want a rack: that of their data, or one for all of a step."""

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

    def _racks(self, job: str) -> list[str]:
        return [
            worker.entry.labels[1]
            for worker in self.fleet.workers.values()
            for task, _ in worker.starts
            if task.job == job
        ]

    def test_a_task_goes_where_its_data_is(self) -> None:
        """Away from its data a task takes several times as long, and its caller's job is late."""
        self.fleet.submit(make_job("j", (Step(count=3, cpu=1_000, rack="r2"),)))
        self.fleet.run(0.5)
        self.assertEqual(["r2"] * 3, self._racks("j"))

    def test_a_task_goes_elsewhere_rather_than_wait_for_its_rack(self) -> None:
        self.fleet.submit(make_job("full", (Step(count=2, cpu=4_000, rack="r2"),)))
        self.fleet.run(0.2)
        self.fleet.submit(make_job("j", (Step(cpu=1_000, rack="r2"),)))
        self.fleet.run(0.5)
        self.assertEqual(1, len(self._racks("j")))

    def test_tasks_that_want_one_rack_share_one(self) -> None:
        """On two racks all of them take several times as long, not only the one that strayed."""
        self.fleet.submit(make_job("full", (Step(cpu=2_000, rack="r0"),)))
        self.fleet.run(0.2)
        self.fleet.submit(make_job("j", (Step(count=6, cpu=1_000, same_rack=True),)))
        self.fleet.run(0.5)
        self.assertEqual(1, len(set(self._racks("j"))))
        self.assertEqual(6, len(self._racks("j")))

    def test_tasks_that_want_one_rack_leave_fuller_workers_elsewhere_alone(self) -> None:
        """
        One worker of each rack is half full, and a fuller worker is the better place by itself.
        Once the first tasks have filled one of them, the next would go to the half full worker of
        another rack, and then all tasks of the step take several times as long.
        """
        for number in (0, 2, 4):
            entry = self.fleet.workers[f"w{number}"].entry
            self.fleet.workers.pop(entry.id)
            self.fleet.add_worker(entry.id, labels=("half", entry.labels[1]))
        half = Step(count=3, cpu=2_000, label="half", per_worker=1)
        self.fleet.submit(make_job("full", (half,)))
        self.fleet.run(0.2)
        self.fleet.submit(make_job("j", (Step(count=4, cpu=1_000, same_rack=True),)))
        self.fleet.run(0.5)
        self.assertEqual(4, len(self._racks("j")))
        self.assertEqual(1, len(set(self._racks("j"))))


if __name__ == "__main__":
    unittest.main()
