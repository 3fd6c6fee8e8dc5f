"""A task that crashes its workers, over real connections."""

from __future__ import annotations

import asyncio
import unittest

from standins.site.site import JOB, Site
from standins.site.worker import SiteWorker

WORKERS = 3
MAX_CRASHES = 5  # two more after three workers have crashed
OTHER_JOB = "00000000000000a2"
RESTART_DELAY_S = 0.3  # s until another worker process answers at the same address


class CrashingTaskTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_job_that_crashes_its_workers_is_shown_as_failed(self) -> None:
        """Guards against a crash loop in which the job never ends."""
        site = Site()
        site.configure()
        self.addAsyncCleanup(site.close)
        await site.add_host()
        restarting = [asyncio.ensure_future(_restart(site)) for _ in range(WORKERS)]
        self.addCleanup(lambda: [task.cancel() for task in restarting])
        self.assertTrue(await site.wait_until_ready())
        await site.submit()
        await site.submit(OTHER_JOB)
        self.assertTrue(await site.wait_for_state("failed"))
        self.assertTrue(await site.wait_for_state("completed", OTHER_JOB))
        crashes = sum(worker.crashed.is_set() for worker in site.workers)
        self.assertLessEqual(crashes, MAX_CRASHES)


async def _restart(site: Site) -> None:
    """Run a worker, and start it again after each crash."""
    address = ""
    while True:
        worker: SiteWorker = await site.add_worker(address=address)
        worker.crashing = frozenset({JOB})
        address = worker.core.entry.address
        await worker.crashed.wait()
        await worker.stop()
        await asyncio.sleep(RESTART_DELAY_S)
