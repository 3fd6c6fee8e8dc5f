"""Upkeep waves through an entry host and stand-ins."""

from __future__ import annotations

import unittest

import msgspec

from standins.site.machines import SiteMachines
from standins.site.site import JOB, PREFIX, Site, free_port
from toucanpin.scheduling.fencing import plan_owner_token


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
            self.machines.add(f"m{number}", await self.site.add_worker(duration=60.0))
        self.assertTrue(await self.site.wait_until_ready())
        self.assertTrue(await self.site.wait_until(self.site.hosts[0].owned_cells))

    def _request_wave(self, *machines: str, cap: int = 1) -> None:
        wave = {"wave": 1, "machines": machines, "durationS": 20, "cap": cap}
        self.site.store.put("op", "wave/1", msgspec.json.encode(wave))

    def _state(self) -> str:
        row = self.site.store.rows.get(("status", "", "wave/1"))
        return msgspec.json.decode(row.value)["state"] if row else ""

    async def test_each_machine_is_drained_before_its_upkeep(self) -> None:
        """
        Operators request the upkeep of all machines, one at a time, while a service runs.  Its task
        leaves each worker before the machine goes down, and the wave ends when all are up again.
        """
        await self.site.submit(longRunning=True)
        self.assertTrue(
            await self.site.wait_until(
                lambda: any(worker.core.runs for worker in self.site.workers)
            )
        )
        self._request_wave("m0", "m1", "m2")
        self.assertTrue(await self.site.wait_until(lambda: self._state() == "active"))
        self.assertTrue(await self.site.wait_until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m0": 0, "m1": 0, "m2": 0}, self.machines.runs_at_upkeep)
        self.assertEqual(1, self.machines.max_down)
        self.assertTrue(
            await self.site.wait_until(
                lambda: any(worker.core.runs for worker in self.site.workers)
            )
        )

    async def test_an_order_without_an_answer_is_repeated(self) -> None:
        self.machines.lose_answers = 1
        self._request_wave("m1")
        self.assertTrue(await self.site.wait_until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m1": 0}, self.machines.runs_at_upkeep)

    async def test_a_machine_that_no_longer_exists_does_not_block_its_wave(self) -> None:
        self._request_wave("m1", "m9")
        self.assertTrue(await self.site.wait_until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m1": 0}, self.machines.runs_at_upkeep)

    async def test_a_worker_gets_no_tasks_while_an_order_is_pending(self) -> None:
        """
        The platform of the machines refuses orders for a while.  Guards against a drained worker
        that gets tasks again once the order is recorded: the order succeeds later and ends them.
        """
        self.machines.refuse_orders = 4
        self._request_wave("m1")
        self.assertTrue(await self.site.wait_until(lambda: self.machines.refused))
        await self.site.submit(count=3, antiAffinity=1)
        self.assertTrue(await self.site.wait_until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m1": 0}, self.machines.runs_at_upkeep)

    async def test_a_machine_that_crashed_is_not_ordered_with_another(self) -> None:
        """
        A machine in the record is down after a crash, and another one of the wave is drained.
        Guards against orders for both: the crashed one may be up again, with tasks that weren't
        drained.
        """
        self.machines.states["m1"] = "down"
        record = msgspec.msgpack.encode([0, {"m1": "a worker before"}, [], False])
        self.site.store.put("waves", "1", record)
        self._request_wave("m1", "m2", cap=2)
        self.assertTrue(await self.site.wait_until(lambda: "m2" in self.machines.runs_at_upkeep))
        self.assertEqual({"m2"}, {machine for machine, _, _ in self.machines.orders})

    async def test_workers_of_a_withdrawn_wave_get_tasks_again(self) -> None:
        """
        Operators withdraw a wave while a worker is being drained for it.  Guards against a worker
        that gets no new tasks until the next change of owner.
        """
        await self.site.submit(count=3, antiAffinity=1)
        runs = [worker.core.runs for worker in self.site.workers]
        self.assertTrue(await self.site.wait_until(lambda: all(runs)))
        self._request_wave("m1")
        self.assertTrue(await self.site.wait_until(lambda: self._state() == "active"))
        self.site.store.delete("op", "wave/1")
        await self.site.call("DELETE", PREFIX + JOB)
        self.assertTrue(await self.site.wait_until(lambda: not any(runs)))
        other = "00000000000000a2"
        await self.site.submit(other, count=3, antiAffinity=1)
        self.assertTrue(await self.site.wait_until(lambda: all(runs)))

    async def test_a_wave_that_the_platform_does_not_know_yet_is_not_completed(self) -> None:
        """
        Operators have just written a wave, and the platform of the machines answers the first
        orders that a machine isn't part of it.  Guards against counting the machine as done: the
        wave was reported as completed without any upkeep.
        """
        self.machines.unknown_orders["m1"] = 2
        self._request_wave("m1")
        self.assertTrue(await self.site.wait_until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m1": 0}, self.machines.runs_at_upkeep)

    async def test_a_machine_that_is_removed_from_its_wave_makes_room_for_others(self) -> None:
        """
        Operators remove a machine from a wave after its order was recorded.  It must not count
        against the limit of machines that are down at the same time.
        """
        self.machines.unknown_orders = {"m1": 1_000, "m2": 1_000}
        self._request_wave("m1", "m2")
        self.assertTrue(await self.site.wait_until(lambda: self.machines.orders))
        (other,) = {"m1", "m2"} - {self.machines.orders[0][0]}
        self.machines.unknown_orders[other] = 0
        self._request_wave(other)
        self.assertTrue(await self.site.wait_until(lambda: self._state() == "completed", turns=600))
        self.assertIn(other, self.machines.runs_at_upkeep)

    async def test_a_wave_is_reopened_when_machines_are_added(self) -> None:
        """
        Operators add a machine to a completed wave.  Guards against a wave that stays completed by
        its record though a machine of it had no upkeep.
        """
        self._request_wave("m1")
        self.assertTrue(await self.site.wait_until(lambda: self._state() == "completed", turns=600))
        self._request_wave("m1", "m2")
        self.assertTrue(await self.site.wait_until(lambda: self._state() == "active"))
        self.assertTrue(await self.site.wait_until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m1": 0, "m2": 0}, self.machines.runs_at_upkeep)

    async def test_a_machine_that_is_missing_from_one_list_is_not_skipped(self) -> None:
        """
        A list of machines has several pages from different moments, so a machine whose position
        changes meanwhile may be on none of them.  Guards against taking it for gone: the wave was
        reported as completed though the machine had no upkeep.
        """
        self.machines.omissions["m1"] = 1
        self._request_wave("m1", "m2")
        self.assertTrue(await self.site.wait_until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m1": 0, "m2": 0}, self.machines.runs_at_upkeep)

    async def test_a_machine_that_crashed_before_its_order_is_ordered_again(self) -> None:
        """
        An owner records the order for a machine and is killed before it sends the order.  Then the
        machine crashes and restarts as another worker, as it would after its upkeep.  It had none,
        so the wave isn't completed.
        """
        record = msgspec.msgpack.encode([0, {"m1": "a worker before"}, [], False])
        self.site.store.put("waves", "1", record)
        self._request_wave("m1")
        self.assertTrue(await self.site.wait_until(lambda: self._state() == "completed", turns=600))
        self.assertEqual({"m1": 0}, self.machines.runs_at_upkeep)

    async def test_a_new_owner_continues_a_wave(self) -> None:
        await self.site.add_host()
        self.assertTrue(await self.site.wait_until_ready(1))
        self._request_wave("m0", "m1", "m2")
        self.assertTrue(await self.site.wait_until(lambda: self.machines.runs_at_upkeep))
        await self.site.hosts[0].abort()
        self.assertTrue(await self.site.wait_until(lambda: self._state() == "completed", turns=900))
        self.assertEqual(3, len(self.machines.runs_at_upkeep))
        holders = {(holder, token) for _, holder, token in self.machines.orders}
        self.assertEqual({("h0", 1), ("h1", plan_owner_token(1))}, holders)


if __name__ == "__main__":
    unittest.main()
