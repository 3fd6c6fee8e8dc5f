"""Order of machines in upkeep, and draining of their workers."""

from __future__ import annotations

import dataclasses
import unittest

from toucanpin.scheduling.job import Step
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.upkeep import (
    Machine,
    MachineState,
    UpkeepOrder,
    Wave,
    WaveRecord,
    drain_worker,
    find_returned,
    is_completed,
    list_missing_machines,
    list_next_workers,
)

UP = MachineState.UP


class UpkeepTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=4)
        for worker in self.fleet.workers.values():
            worker.duration = 60.0
        self.fleet.run(0.2)
        self.machines = {f"m{n}": Machine(f"m{n}", "c", UP, f"w{n}") for n in range(4)}
        begun = int(self.fleet.time * 1_000)
        self.record = WaveRecord(begun, {}, [])

    def _list_next(self, wave: Wave) -> list[str]:
        chosen = list_next_workers(
            self.fleet.cell, wave, self.record, self.machines, 2.0, self.fleet.now()
        )
        return [worker.entry.id for worker in chosen]

    def _drain(self, name: str) -> bool:
        return drain_worker(self.fleet.cell, self.fleet.cell.workers[name], self.fleet.now())

    def test_as_few_machines_at_once_as_the_time_allows(self) -> None:
        names = ("m0", "m1", "m2", "m3")
        self.assertEqual(1, len(self._list_next(Wave(1, names, 60.0, 4))))
        self.assertEqual(2, len(self._list_next(Wave(1, names, 12.0, 4))))
        self.assertEqual(4, len(self._list_next(Wave(1, names, 3.0, 4))))

    def test_cap_of_the_wave_is_respected(self) -> None:
        wave = Wave(1, ("m0", "m1", "m2", "m3"), 1.0, 2)
        self.record.down = {"m0": "w0"}
        self.assertEqual(1, len(self._list_next(wave)))
        self.record.down = {"m0": "w0", "m1": "w1"}
        self.assertFalse(self._list_next(wave))

    def test_worker_that_loses_least_is_drained_first(self) -> None:
        self.fleet.submit(make_job(steps=(Step(count=3, cpu=1_000, per_worker=1),)))
        self.fleet.run(2.0)
        idle = [name for name, worker in self.fleet.workers.items() if not worker.runs]
        self.assertEqual(idle, self._list_next(Wave(1, ("m0", "m1", "m2", "m3"), 60.0, 1)))

    def test_tasks_without_checkpoints_get_a_grace_period(self) -> None:
        self.fleet.submit(make_job("resumable", (Step(cpu=4_000, checkpoints=True),)))
        self.fleet.submit(make_job("plain", (Step(cpu=4_000),)))
        self.fleet.run(0.5)
        worker_names = {t.job: n for n, w in self.fleet.workers.items() for t in w.runs}
        for name in worker_names.values():
            self.assertFalse(self._drain(name))
        self.fleet.run(0.5)
        self.assertTrue(self._drain(worker_names["resumable"]))
        self.assertFalse(self._drain(worker_names["plain"]))
        self.fleet.run(2.5)
        self._drain(worker_names["plain"])
        self.fleet.run(0.3)
        self.assertTrue(self._drain(worker_names["plain"]), "the grace period is limited")

    def test_max_unavailable_is_respected(self) -> None:
        """
        One task of a service may be unavailable, and two machines of a wave run one each. The
        second task may be stopped only once the first runs elsewhere.
        """
        step = Step(count=3, cpu=1_000, long_running=True, per_worker=1, max_unavailable=1)
        self.fleet.submit(make_job("s", (step,)))
        self.fleet.run(0.5)
        holders = [name for name, worker in self.fleet.workers.items() if worker.runs]
        for run in self.fleet.cell.runs["s"]:
            run.percent = 100
        self._drain(holders[0])
        self._drain(holders[1])
        stops = [order.worker for order in self.fleet.cell.orders]
        self.assertEqual([holders[0]], stops)

    def test_only_an_acknowledged_order_completes_an_upkeep(self) -> None:
        self.record.down = {"m0": "before", "m1": "before", "m2": "w2", "m3": "w3", "m9": "x"}
        orders = {"m0": UpkeepOrder(5.0), "m1": UpkeepOrder(), "m2": UpkeepOrder(5.0)}
        completed, repeated = find_returned(
            self.fleet.cell, self.record, self.machines, orders, 5.2, 2.0
        )
        self.assertEqual((["m0"], ["m1", "m3"]), (completed, repeated))
        completed, _ = find_returned(self.fleet.cell, self.record, self.machines, orders, 6.0, 2.0)
        self.assertEqual(["m0", "m2"], completed)

    def test_machines_of_another_cell_are_left_to_its_owner(self) -> None:
        """
        A wave has machines of two services, and the owners of both cells write its record. Guards
        against an owner that finds another cell's machine ordered and still up, as it is for a
        moment, and removes it from the record, so that more machines are down than the wave allows.
        """
        self.record.down = {"m0": "other"}
        self.machines["m0"] = Machine("m0", "another service", UP, "other")
        found = find_returned(self.fleet.cell, self.record, self.machines, {}, 5.0, 2.0)
        self.assertEqual(([], []), found)

    def test_unlisted_machine_is_completed_only_if_its_upkeep_began(self) -> None:
        self.record.down = {"m8": "x", "m9": "x"}
        orders = {"m8": UpkeepOrder(5.0), "m9": UpkeepOrder()}
        self.assertEqual(
            ([], []), find_returned(self.fleet.cell, self.record, self.machines, orders, 8.0, 2.0)
        )
        completed, repeated = find_returned(
            self.fleet.cell, self.record, self.machines, orders, 9.0, 2.0
        )
        self.assertEqual((["m8"], []), (completed, repeated))

    def test_machine_is_missing_once_unlisted_for_a_while(self) -> None:
        """
        Some lists in a row may omit a machine while it moves. A machine that a worker reports to
        run on isn't missing at all.
        """
        wave = Wave(1, ("m0", "m8", "m9"), 60.0, 1)
        worker = self.fleet.cell.workers["w0"]
        worker.entry = dataclasses.replace(worker.entry, machine="m8")
        seen: dict[str, float] = {}

        def list_at(at: float) -> list[str]:
            return list_missing_machines(
                self.fleet.cell, wave, self.record, self.machines, seen, at
            )

        self.assertEqual([], list_at(10.0))
        self.assertEqual([], list_at(11.5))
        self.assertEqual(["m9"], list_at(12.5))
        seen["m9"] = 12.0
        self.assertEqual([], list_at(13.0))

    def test_wave_is_completed_when_all_machines_are(self) -> None:
        wave = Wave(1, ("m0", "m1"), 60.0, 1)
        self.record.done = ["m0"]
        self.assertFalse(is_completed(wave, self.record))
        self.record.done = ["m0", "m1"]
        self.assertTrue(is_completed(wave, self.record))


if __name__ == "__main__":
    unittest.main()
