"""Waves of upkeep through an entry host, the published calls and stand-ins."""

from __future__ import annotations

import unittest

import msgspec

from standins.site.machines import SiteMachines
from standins.site.site import JOB, PREFIX, Site, free_port


class WavesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        address = f"127.0.0.1:{free_port()}"
        self.site = Site(machines=address)
        self.site.configure()
        self.addAsyncCleanup(self.site.close)
        self.machines = SiteMachines(self.site)
        self.addAsyncCleanup(self.machines.close)
        await self.machines.listen(address)
        await self.site.add_host()
        for number in range(3):
            self.machines.add(f"m{number}", await self.site.add_worker(lasts=60.0))
        self.assertTrue(await self.site.until_ready())
        self.assertTrue(await self.site.until(self.site.hosts[0].owned_cells))

    def _ask(self, *machines: str, cap: int = 1) -> None:
        wave = {"wave": 1, "machines": machines, "durationS": 20, "cap": cap}
        self.site.store.put("op", "wave/1", msgspec.json.encode(wave))

    def _state(self) -> str:
        row = self.site.store.rows.get(("status", "", "wave/1"))
        return msgspec.json.decode(row.value)["state"] if row else ""

    async def test_each_machine_goes_through_its_upkeep_and_nothing_runs_there(self) -> None:
        """
        Operators ask for the upkeep of all machines, one at a time, while a service runs.  Its task
        leaves each worker before the machine goes down, and the wave is over when all are back.
        """
        await self.site.submit(longRunning=True)
        self.assertTrue(
            await self.site.until(lambda: any(worker.core.runs for worker in self.site.workers))
        )
        self._ask("m0", "m1", "m2")
        self.assertTrue(await self.site.until(lambda: self._state() == "active"))
        self.assertTrue(await self.site.until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m0": 0, "m1": 0, "m2": 0}, self.machines.through)
        self.assertEqual(1, self.machines.most_down)
        self.assertTrue(
            await self.site.until(lambda: any(worker.core.runs for worker in self.site.workers))
        )

    async def test_an_order_without_an_answer_is_repeated(self) -> None:
        self.machines.lose_answers = 1
        self._ask("m1")
        self.assertTrue(await self.site.until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m1": 0}, self.machines.through)

    async def test_a_machine_that_is_gone_does_not_hold_up_its_wave(self) -> None:
        self._ask("m1", "m9")
        self.assertTrue(await self.site.until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m1": 0}, self.machines.through)

    async def test_a_worker_gets_nothing_while_an_order_to_its_machine_may_come(self) -> None:
        """
        The machines' platform turns orders away for a while.  A worker was emptied and its machine
        written down as ordered, and from the next turn on it got tasks again.  The order that came
        through at last ended them.
        """
        self.machines.refuse_orders = 4
        self._ask("m1")
        self.assertTrue(await self.site.until(lambda: self.machines.refused))
        await self.site.submit(count=3, antiAffinity=1)
        self.assertTrue(await self.site.until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m1": 0}, self.machines.through)

    async def test_a_machine_that_is_down_by_itself_is_not_ordered_beside_another(self) -> None:
        """
        A machine of the record is down after a crash, and another one of the wave is ready to go.
        Orders went to both: the one that comes back just then has new tasks, which nobody emptied.
        """
        self.machines.states["m1"] = "down"
        record = msgspec.msgpack.encode([0, {"m1": "a worker before"}, [], False])
        self.site.store.put("waves", "1", record)
        self._ask("m1", "m2", cap=2)
        self.assertTrue(await self.site.until(lambda: "m2" in self.machines.through))
        self.assertEqual({"m2"}, {machine for machine, _, _ in self.machines.holders})

    async def test_a_wave_that_is_withdrawn_leaves_no_worker_closed(self) -> None:
        """
        Operators withdraw a wave while a worker is being emptied for it.  The worker was kept from
        new tasks for as long as its owner lived.
        """
        await self.site.submit(count=3, antiAffinity=1)
        runs = [worker.core.runs for worker in self.site.workers]
        self.assertTrue(await self.site.until(lambda: all(runs)))
        self._ask("m1")
        self.assertTrue(await self.site.until(lambda: self._state() == "active"))
        self.site.store.drop("op", "wave/1")
        await self.site.call("DELETE", PREFIX + JOB)
        self.assertTrue(await self.site.until(lambda: not any(runs)))
        other = "00000000000000a2"
        await self.site.submit(other, count=3, antiAffinity=1)
        self.assertTrue(await self.site.until(lambda: all(runs)))

    async def test_a_wave_that_the_platform_does_not_know_yet_is_not_completed(self) -> None:
        """
        Operators have just written a wave, and the platform of the machines answers the first
        orders as if a machine weren't of it.  The machine counted as through, and the wave as
        completed without any upkeep.
        """
        self.machines.unknown["m1"] = 2
        self._ask("m1")
        self.assertTrue(await self.site.until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m1": 0}, self.machines.through)

    async def test_a_machine_that_is_taken_out_of_its_wave_makes_room_for_others(self) -> None:
        """
        Operators take a machine out of a wave after it was written down as ordered.  It counted as
        through; now it must not hold the place of those that are still to go.
        """
        self.machines.unknown = {"m1": 1_000, "m2": 1_000}
        self._ask("m1", "m2")
        self.assertTrue(await self.site.until(lambda: self.machines.holders))
        (other,) = {"m1", "m2"} - {self.machines.holders[0][0]}
        self.machines.unknown[other] = 0
        self._ask(other)
        self.assertTrue(await self.site.until(lambda: self._state() == "completed", turns=600))
        self.assertIn(other, self.machines.through)

    async def test_a_wave_that_names_more_machines_is_not_completed_any_more(self) -> None:
        """
        Operators add a machine to a wave that was completed.  By its record it stayed completed,
        though a machine of it had no upkeep.
        """
        self._ask("m1")
        self.assertTrue(await self.site.until(lambda: self._state() == "completed", turns=600))
        self._ask("m1", "m2")
        self.assertTrue(await self.site.until(lambda: self._state() == "active"))
        self.assertTrue(await self.site.until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m1": 0, "m2": 0}, self.machines.through)

    async def test_a_machine_that_one_list_misses_is_not_taken_for_gone(self) -> None:
        """
        Operators read that a wave is completed while a machine of it runs on as it was.  A list of
        machines has several pages, each of another moment: a machine that changed its place between
        two of them stands in neither, and was counted as gone for good.
        """
        self.machines.missed["m1"] = 1
        self._ask("m1", "m2")
        self.assertTrue(await self.site.until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m1": 0, "m2": 0}, self.machines.through)

    async def test_a_machine_that_crashed_before_its_order_is_ordered_again(self) -> None:
        """
        An owner writes down that a machine goes, and is killed with the order unsent.  The machine
        crashes and comes back as another worker, as it would after its upkeep.  To call the wave
        completed would be wrong: that machine has not been through.
        """
        record = msgspec.msgpack.encode([0, {"m1": "a worker before"}, [], False])
        self.site.store.put("waves", "1", record)
        self._ask("m1")
        self.assertTrue(await self.site.until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m1": 0}, self.machines.through)

    async def test_a_new_owner_goes_on_with_a_wave(self) -> None:
        await self.site.add_host()
        self.assertTrue(await self.site.until_ready(1))
        self._ask("m0", "m1", "m2")
        self.assertTrue(await self.site.until(lambda: self.machines.through))
        await self.site.hosts[0].abort()
        self.assertTrue(await self.site.until(lambda: self._state() == "completed", turns=900))
        self.assertEqual(3, len(self.machines.through))
        holders = {(holder, token) for _, holder, token in self.machines.holders}
        self.assertEqual({("h0", 1), ("h1", 2)}, holders)


if __name__ == "__main__":
    unittest.main()
