"""Which machine goes next, and what leaves its worker before."""

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
            worker.lasts = 60.0
        self.fleet.run(0.2)
        self.machines = {f"m{n}": Machine(f"m{n}", "c", UP, f"w{n}") for n in range(4)}
        begun = int(self.fleet.time * 1_000)
        self.record = WaveRecord(begun, {}, [])

    def _next(self, wave: Wave) -> list[str]:
        chosen = list_next_workers(
            self.fleet.cell, wave, self.record, self.machines, 2.0, self.fleet.now()
        )
        return [worker.entry.id for worker in chosen]

    def _empty(self, name: str) -> bool:
        return drain_worker(self.fleet.cell, self.fleet.cell.workers[name], self.fleet.now())

    def test_as_few_go_at_a_time_as_the_end_allows(self) -> None:
        names = ("m0", "m1", "m2", "m3")
        self.assertEqual(1, len(self._next(Wave(1, names, 60.0, 4))))
        self.assertEqual(2, len(self._next(Wave(1, names, 12.0, 4))))
        self.assertEqual(4, len(self._next(Wave(1, names, 3.0, 4))))

    def test_never_more_are_down_than_the_wave_allows(self) -> None:
        wave = Wave(1, ("m0", "m1", "m2", "m3"), 1.0, 2)
        self.record.down = {"m0": "w0"}
        self.assertEqual(1, len(self._next(wave)))
        self.record.down = {"m0": "w0", "m1": "w1"}
        self.assertFalse(self._next(wave))

    def test_the_worker_that_loses_least_goes_first(self) -> None:
        self.fleet.submit(make_job(steps=(Step(count=3, cpu=1_000, per_worker=1),)))
        self.fleet.run(2.0)
        idle = [name for name, worker in self.fleet.workers.items() if not worker.runs]
        self.assertEqual(idle, self._next(Wave(1, ("m0", "m1", "m2", "m3"), 60.0, 1)))

    def test_what_resumes_leaves_at_once_and_what_would_begin_anew_may_end(self) -> None:
        self.fleet.submit(make_job("saves", (Step(cpu=4_000, checkpoints=True),)))
        self.fleet.submit(make_job("plain", (Step(cpu=4_000),)))
        self.fleet.run(0.5)
        place = {t.job: n for n, w in self.fleet.workers.items() for t in w.runs}
        for name in place.values():
            self.assertFalse(self._empty(name))
        self.fleet.run(0.5)
        self.assertTrue(self._empty(place["saves"]))
        self.assertFalse(self._empty(place["plain"]))
        self.fleet.run(2.5)
        self._empty(place["plain"])
        self.fleet.run(0.3)
        self.assertTrue(self._empty(place["plain"]), "a worker isn't waited for without end")

    def test_no_more_tasks_of_a_service_leave_than_its_users_bear(self) -> None:
        """
        A service bears one of its tasks away at a time.  Two machines of a wave hold one each; the
        second task may leave only once the first is at work elsewhere.
        """
        step = Step(count=3, cpu=1_000, long_running=True, per_worker=1, max_unavailable=1)
        self.fleet.submit(make_job("s", (step,)))
        self.fleet.run(0.5)
        holders = [name for name, worker in self.fleet.workers.items() if worker.runs]
        for run in self.fleet.cell.runs["s"]:
            run.percent = 100
        self._empty(holders[0])
        self._empty(holders[1])
        stops = [order.worker for order in self.fleet.cell.orders]
        self.assertEqual([holders[0]], stops)

    def test_only_an_acknowledged_order_shows_that_a_machine_was_through(self) -> None:
        self.record.down = {"m0": "before", "m1": "before", "m2": "w2", "m3": "w3", "m9": "x"}
        orders = {"m0": UpkeepOrder(5.0), "m1": UpkeepOrder(), "m2": UpkeepOrder(5.0)}
        through, anew = find_returned(self.fleet.cell, self.record, self.machines, orders, 5.2, 2.0)
        self.assertEqual((["m0"], ["m1", "m3"]), (through, anew))
        through, _ = find_returned(self.fleet.cell, self.record, self.machines, orders, 6.0, 2.0)
        self.assertEqual(["m0", "m2"], through)

    def test_the_machines_of_another_cell_are_left_to_its_owner(self) -> None:
        """
        One wave names machines of two services, and the owners of both cells write its record.  One
        of them found the other's machine ordered and still up, as it is for a moment, and took it
        off the record as if an earlier owner of its own had ordered it; more than the wave allows
        were down then.
        """
        self.record.down = {"m0": "other"}
        self.machines["m0"] = Machine("m0", "another service", UP, "other")
        found = find_returned(self.fleet.cell, self.record, self.machines, {}, 5.0, 2.0)
        self.assertEqual(([], []), found)

    def test_a_machine_that_no_list_holds_was_through_only_if_its_upkeep_began(self) -> None:
        self.record.down = {"m8": "x", "m9": "x"}
        orders = {"m8": UpkeepOrder(5.0), "m9": UpkeepOrder()}
        self.assertEqual(
            ([], []), find_returned(self.fleet.cell, self.record, self.machines, orders, 8.0, 2.0)
        )
        through, anew = find_returned(self.fleet.cell, self.record, self.machines, orders, 9.0, 2.0)
        self.assertEqual((["m8"], []), (through, anew))

    def test_a_machine_is_missing_once_no_list_held_it_for_a_while(self) -> None:
        """
        One list lacks a machine that is there, and so do some in a row while it moves.  A machine
        of which a worker says that it is there isn't missing at all.
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

    def test_a_wave_is_over_when_all_are_through(self) -> None:
        wave = Wave(1, ("m0", "m1"), 60.0, 1)
        self.record.done = ["m0"]
        self.assertFalse(is_completed(wave, self.record))
        self.record.done = ["m0", "m1"]
        self.assertTrue(is_completed(wave, self.record))


if __name__ == "__main__":
    unittest.main()
