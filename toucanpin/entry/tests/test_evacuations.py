"""Evacuation of data centres by operators, over real connections."""

from __future__ import annotations

import asyncio
import unittest

from standins.site.site import JOB, Site
from standins.site.worker import SiteWorker

READ_TIME = 1.5  # s after which every owner has read what operators wrote
OTHER_JOB = "00000000000000b2"
ANOTHER_JOB = "00000000000000c3"


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.site.configure()
        self.addAsyncCleanup(self.site.close)
        await self.site.add_host()
        self.here = await self.site.add_worker(data_centre="here")
        self.there = await self.site.add_worker(data_centre="there")
        self.assertTrue(await self.site.wait_until_ready())

    async def _evacuate(self, data_centre: str) -> None:
        self.site.evacuate(data_centre)
        await asyncio.sleep(READ_TIME)

    async def _finish(self, job: str = JOB, count: int = 6, host: int = 0) -> None:
        await self.site.submit(job, host=host, count=count)
        self.assertTrue(await self.site.wait_for_state("completed", job, host))

    async def test_nothing_starts_in_an_evacuated_data_centre(self) -> None:
        """Guards against tasks that are started in an evacuated data centre."""
        await self._evacuate("here")
        await self._finish()
        self.assertEqual((0, 6), (_count(self.here), _count(self.there)))

    async def test_a_new_owner_starts_nothing_in_an_evacuated_data_centre(self) -> None:
        """Guards against a new owner that places tasks before it has read the evacuations."""
        await self.site.add_host()
        self.assertTrue(await self.site.wait_until_ready(1))
        await self._evacuate("here")
        owner = next(number for number, host in enumerate(self.site.hosts) if host.owned_cells())
        await self.site.hosts[owner].abort()
        await self._finish(host=1 - owner)
        self.assertEqual((0, 6), (_count(self.here), _count(self.there)))

    async def test_a_data_centre_gets_tasks_again_after_its_evacuation(self) -> None:
        """Guards against workers that get no tasks after the end of an evacuation."""
        await self._evacuate("here")
        self.there.refuse_next = 1_000
        await self.site.submit()
        await asyncio.sleep(READ_TIME)
        self.assertEqual(0, _count(self.here))
        self.site.cancel_evacuation("here")
        self.assertTrue(await self.site.wait_for_state("completed"))

    async def test_all_data_centres_may_be_evacuated_at_once(self) -> None:
        """Guards against jobs that are lost while no worker may get anything."""
        self.site.evacuate("here")
        await self._evacuate("there")
        self.assertEqual(200, (await self.site.submit()).status)
        await asyncio.sleep(READ_TIME)
        self.assertEqual("pending", await self.site.state())
        self.assertEqual((0, 0), (_count(self.here), _count(self.there)))
        self.site.cancel_evacuation("there")
        self.assertTrue(await self.site.wait_for_state("completed"))
        self.assertEqual(0, _count(self.here))

    async def test_an_unknown_data_centre_changes_nothing(self) -> None:
        """Guards against tasks that wait because an unknown data centre is evacuated."""
        await self._evacuate("nowhere")
        await self._finish()

    async def test_an_evacuation_with_a_malformed_value_applies(self) -> None:
        """Guards against an evacuation that is ignored because its value can't be decoded."""
        self.site.store.put("op", "evacuate/here", b"\xff{")
        await asyncio.sleep(READ_TIME)
        await self._finish()
        self.assertEqual(0, _count(self.here))

    async def test_running_tasks_are_not_stopped(self) -> None:
        """Guards against the loss of work that would finish by itself."""
        self.here.core.duration = self.there.core.duration = 2.5
        await self.site.submit(OTHER_JOB, count=8)
        self.assertTrue(await self.site.wait_until(lambda: _count(self.here) == 4))
        await self._evacuate("here")
        self.assertTrue(await self.site.wait_for_state("completed", OTHER_JOB))
        self.assertEqual((4, 4), (_count(self.here), _count(self.there)))


def _count(worker: SiteWorker) -> int:
    return len(worker.core.starts)
