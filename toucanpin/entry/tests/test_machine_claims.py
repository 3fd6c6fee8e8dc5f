"""Upkeep waves on a site with two cells, whose owners may order the same machine."""

from __future__ import annotations

import unittest
from collections import defaultdict
from collections.abc import Callable, Coroutine
from itertools import pairwise
from typing import Any

import msgspec

from standins.site.machines import MachineOrder, SiteMachines
from standins.site.site import Site
from standins.site.virtual import run_virtual
from toucanpin.entry.tables import OWNER_KEY, OWNERS_TABLE
from toucanpin.scheduling.ownership import decode_owner

ADDRESS = "127.0.0.1:19999"
CELLS = ("c", "e")  # of which two hosts are the preferred owners
MACHINE_LEASE_S = 3.0
HOSTS = 4
TURNS_PER_S = 20  # of the site


class _TwoCells:
    """A site with two cells, each of which has two machines and an owner on a host of its own."""

    def __init__(self) -> None:
        self.site = Site(machines=ADDRESS)
        self.machines = SiteMachines(self.site)

    async def begin(self) -> None:
        await self.machines.listen(ADDRESS)
        for _ in range(HOSTS):
            await self.site.add_host()
        # Hosts that know each other divide the cells among them.
        assert await self.site.wait_until(lambda: all(it.has_peers() for it in self.site.hosts))
        await self.wait(6.0)
        self.site.configure(services=CELLS)
        for number in range(4):
            worker = await self.site.add_worker(duration=60.0, service=CELLS[number % 2])
            self.machines.add(f"m{number}", worker)
        assert await self.site.wait_until(lambda: all(self.owner(cell) for cell in CELLS))
        assert self.owner("c") != self.owner("e")
        await self.wait(4.0)

    async def wait(self, seconds: float) -> None:
        await self.site.wait_until(lambda: False, int(seconds * TURNS_PER_S))

    def owner(self, cell: str) -> str:
        """Return the name of the host that owns a cell, empty if none does."""
        row = self.site.store.rows.get((OWNERS_TABLE, cell, OWNER_KEY))
        return decode_owner(row.value).host if row else ""

    async def kill_owner(self, cell: str) -> None:
        """Kill the process of a cell's owner."""
        await self.site.hosts[int(self.owner(cell)[1:])].abort()

    def request_wave(self, number: int, *machines: str) -> None:
        wave = {"wave": number, "machines": machines, "durationS": 40, "cap": 2}
        self.site.store.put("op", f"wave/{number}", msgspec.json.encode(wave))

    async def wait_completed(self, number: int) -> bool:
        def is_completed() -> bool:
            row = self.site.store.rows.get(("status", "", f"wave/{number}"))
            return row is not None and msgspec.json.decode(row.value)["state"] == "completed"

        return await self.site.wait_until(is_completed, 60 * TURNS_PER_S)

    def find_breaks(self) -> list[str]:
        """Return the orders for one machine that break the rule of one holder at a time."""
        by_machine: dict[str, list[tuple[MachineOrder, float]]] = defaultdict(list)
        for order, sent in zip(self.machines.orders, self.machines.order_times, strict=True):
            by_machine[order.machine].append((order, sent))
        broken = []
        for orders in by_machine.values():
            for (earlier, before), (later, after) in pairwise(orders):
                if later.token < earlier.token:
                    broken.append(f"{later} after {earlier}")
                elif later.holder != earlier.holder and later.token == earlier.token:
                    broken.append(f"{later} and {earlier} with one token")
                elif later.holder != earlier.holder and after < before + MACHINE_LEASE_S:
                    broken.append(f"{later} {after - before:.1f} s after {earlier}")
        return broken


class MachineClaimsTest(unittest.TestCase):
    def _run(self, play: Callable[[_TwoCells], Coroutine[Any, Any, None]], seed: int = 0) -> None:
        async def main() -> None:
            cells = _TwoCells()
            try:
                await cells.begin()
                await play(cells)
                self.assertEqual([], cells.find_breaks())
            finally:
                await cells.site.close()
                await cells.machines.close()

        run_virtual(main, seed)

    def test_machines_that_are_gone_have_one_holder(self) -> None:
        """
        Guards against two holders with one token: a wave names machines that were taken away, and
        the owners of both cells order them in turn.
        """

        async def play(cells: _TwoCells) -> None:
            cells.request_wave(1, "m8", "m9", "m0", "m1")
            self.assertTrue(await cells.wait_completed(1))
            ordered = {order.machine for order in cells.machines.orders}
            self.assertEqual({"m0", "m1", "m8", "m9"}, ordered)

        for seed in range(4):
            with self.subTest(seed=seed):
                self._run(play, seed)

    def test_the_holder_of_a_missing_machine_is_replaced(self) -> None:
        """
        Guards against holders that alternate, and against a wave that waits for a dead one: the
        platform refuses all orders for a machine that is gone, and its holder is killed.
        """

        async def play(cells: _TwoCells) -> None:
            cells.machines.unknown_orders["m9"] = 1_000
            cells.request_wave(1, "m9", "m0")
            self.assertTrue(await cells.site.wait_until(lambda: cells.machines.orders))
            await cells.wait(3.0)
            for cell in CELLS:
                await cells.kill_owner(cell)
                await cells.wait(8.0)
            cells.machines.unknown_orders["m9"] = 0
            self.assertTrue(await cells.wait_completed(1))
            self.assertLess(1, len({it.holder for it in cells.machines.orders}))

        for seed in range(4):
            with self.subTest(seed=seed):
                self._run(play, seed)

    def test_a_machine_that_changes_its_cell_keeps_one_holder_at_a_time(self) -> None:
        """
        Guards against a token that goes back: the owner of a cell whose token is low orders a
        machine that the other cell's owner ordered with a high one, since it joined that cell.
        """

        async def play(cells: _TwoCells) -> None:
            await cells.kill_owner("e")
            await cells.wait(8.0)
            cells.request_wave(1, "m1")
            self.assertTrue(await cells.wait_completed(1))
            cells.machines.workers["m1"] = await cells.site.add_worker(service="c")
            await cells.wait(2.0)
            cells.request_wave(2, "m1")
            self.assertTrue(await cells.wait_completed(2))
            self.assertLess(1, len({it.holder for it in cells.machines.orders}))

        self._run(play)


if __name__ == "__main__":
    unittest.main()
