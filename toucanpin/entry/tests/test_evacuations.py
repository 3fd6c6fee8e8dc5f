"""Evacuation of data centres by operators, over real connections."""

from __future__ import annotations

import asyncio
import unittest

from standins.site.site import JOB, Site
from standins.site.worker import SiteWorker

READ_TIME_S = 1.5  # s after which every owner has read what operators wrote
OTHER_JOB = "00000000000000b2"
ANOTHER_JOB = "00000000000000c3"


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.site.configure()
        self.addAsyncCleanup(self.site.close)
        await self.site.add_host()
        self.worker_a = await self.site.add_worker(data_centre="dc-a")
        self.worker_b = await self.site.add_worker(data_centre="dc-b")
        self.assertTrue(await self.site.wait_until_ready())

    async def _evacuate(self, data_centre: str) -> None:
        self.site.evacuate(data_centre)
        await asyncio.sleep(READ_TIME_S)

    async def _finish(self, job: str = JOB, count: int = 6, host: int = 0) -> None:
        await self.site.submit(job, host=host, count=count)
        self.assertTrue(await self.site.wait_for_state("completed", job, host))

    async def test_nothing_starts_in_an_evacuated_data_centre(self) -> None:
        """Guards against tasks that are started in an evacuated data centre."""
        await self._evacuate("dc-a")
        await self._finish()
        self.assertEqual((0, 6), (_count(self.worker_a), _count(self.worker_b)))

    async def test_a_new_owner_starts_nothing_in_an_evacuated_data_centre(self) -> None:
        """Guards against a new owner that places tasks before it has read the evacuations."""
        await self.site.add_host()
        self.assertTrue(await self.site.wait_until_ready(1))
        await self._evacuate("dc-a")
        owner = next(number for number, host in enumerate(self.site.hosts) if host.owned_cells())
        await self.site.hosts[owner].abort()
        await self._finish(host=1 - owner)
        self.assertEqual((0, 6), (_count(self.worker_a), _count(self.worker_b)))

    async def test_a_data_centre_gets_tasks_again_after_its_evacuation(self) -> None:
        """Guards against workers that get no tasks after the end of an evacuation."""
        await self._evacuate("dc-a")
        self.worker_b.refuse_next = 1_000
        await self.site.submit()
        await asyncio.sleep(READ_TIME_S)
        self.assertEqual(0, _count(self.worker_a))
        self.site.cancel_evacuation("dc-a")
        self.assertTrue(await self.site.wait_for_state("completed"))

    async def test_all_data_centres_may_be_evacuated_at_once(self) -> None:
        """Guards against jobs that are lost while no worker may get anything."""
        self.site.evacuate("dc-a")
        await self._evacuate("dc-b")
        self.assertEqual(200, (await self.site.submit()).status)
        await asyncio.sleep(READ_TIME_S)
        self.assertEqual("pending", await self.site.state())
        self.assertEqual((0, 0), (_count(self.worker_a), _count(self.worker_b)))
        self.site.cancel_evacuation("dc-b")
        self.assertTrue(await self.site.wait_for_state("completed"))
        self.assertEqual(0, _count(self.worker_a))

    async def test_an_unknown_data_centre_changes_nothing(self) -> None:
        """Guards against tasks that wait because an unknown data centre is evacuated."""
        await self._evacuate("nowhere")
        await self._finish()

    async def test_an_evacuation_with_a_malformed_value_applies(self) -> None:
        """Guards against an evacuation that is ignored because its value can't be decoded."""
        self.site.store.put("op", "evacuate/dc-a", b"\xff{")
        await asyncio.sleep(READ_TIME_S)
        await self._finish()
        self.assertEqual(0, _count(self.worker_a))

    async def test_running_tasks_are_not_stopped(self) -> None:
        """Guards against the loss of work that would finish by itself."""
        self.worker_a.core.duration = self.worker_b.core.duration = 2.5
        await self.site.submit(OTHER_JOB, count=8)
        self.assertTrue(await self.site.wait_until(lambda: _count(self.worker_a) == 4))
        await self._evacuate("dc-a")
        self.assertTrue(await self.site.wait_for_state("completed", OTHER_JOB))
        self.assertEqual((4, 4), (_count(self.worker_a), _count(self.worker_b)))


def _count(worker: SiteWorker) -> int:
    return len(worker.core.starts)
