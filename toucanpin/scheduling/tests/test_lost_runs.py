"""Time until long-running tasks of lost workers run again where much is free."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.features import Features
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.tests.fleet import TIME_STEP_S, Fleet, make_job

# A task that could run is lost if it doesn't for 3 s, from 6 s after its last run.
MAX_IDLE_S = 6.0 + 3.0
LONG_RUNNING = Step(cpu=1_000, long_running=True)
TASK = TaskKey("long", 0, 0, 0)


class LostRunTest(unittest.TestCase):
    def _make_fleet(self, priority: int = 0) -> Fleet:
        """Return a fleet of which one worker runs a long-running task, and the others nothing."""
        fleet = Fleet(workers=40, cpu=64_000)
        for worker in fleet.workers.values():
            worker.duration = 600.0
        fleet.submit(make_job("long", (LONG_RUNNING,), priority=priority))
        fleet.run(1.0)
        for worker in fleet.workers.values():
            worker.duration = 0.3
        return fleet

    def _find_holder(self, fleet: Fleet) -> str:
        return next((name for name, it in fleet.workers.items() if TASK in it.runs), "")

    def test_short_tasks_do_not_take_all_starts(self) -> None:
        """
        An owner that is behind starts fewer tasks than arrive.  Guards against a long-running task
        that is never started again, since each turn has more urgent short ones.
        """
        for priority in (0, 1):
            fleet = self._make_fleet(priority)
            fleet.max_starts = 2
            fleet.workers.pop(self._find_holder(fleet))
            lost_at = fleet.time
            while not self._find_holder(fleet) and fleet.time < lost_at + MAX_IDLE_S:
                number = round((fleet.time - lost_at) / TIME_STEP_S)
                accepted = int(fleet.time * 1_000)
                step = Step(count=3, cpu=100)
                fleet.submit(make_job(f"s{number}", (step,), accepted=accepted, aim=250))
                fleet.run(TIME_STEP_S)
            self.assertTrue(self._find_holder(fleet), f"priority {priority}")

    def test_scarce_cores_do_not_prolong_the_wait_for_a_lease(self) -> None:
        """
        Urgent tasks that fit no worker wait all the time, and the owner dies with a worker.  Guards
        against a long-running task that waits for the lease first, and then for scarce cores.
        """
        features = Features(urgent_headroom=True)
        fleet = Fleet(workers=10, cpu=64_000)
        fleet.cell.features = features
        for worker in fleet.workers.values():
            worker.duration = 600.0
        fleet.submit(make_job("long", (Step(10, 16_000, long_running=True, per_worker=1),)))
        fleet.run(1.0)
        fleet.submit(make_job("urgent", (Step(count=9, cpu=64_000),)))
        fleet.run(2.0)
        fleet.workers.pop(self._find_holder(fleet))
        fleet.replace_owner()
        fleet.cell.features = features
        for name in ("spare0", "spare1"):
            fleet.add_worker(name, 48_000)
        fleet.run(MAX_IDLE_S)
        self.assertTrue(self._find_holder(fleet))


if __name__ == "__main__":
    unittest.main()
