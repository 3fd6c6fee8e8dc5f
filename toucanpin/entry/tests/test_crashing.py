"""A task that crashes its workers, over real connections."""

from __future__ import annotations

import asyncio
import unittest

from standins.site.site import JOB, Site
from standins.site.worker import SiteWorker

WORKERS = 3
MOST_STARTS = 5  # two more after three workers have crashed
OTHER = "00000000000000a2"
BACK = 0.3  # s until another life answers at a worker's address


class CrashingTaskTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_job_that_crashes_its_workers_is_shown_as_failed(self) -> None:
        """Guards against a crash loop that callers see as a job that never ends."""
        site = Site()
        site.configure()
        self.addAsyncCleanup(site.close)
        await site.add_host()
        lives = [asyncio.ensure_future(_live(site)) for _ in range(WORKERS)]
        self.addCleanup(lambda: [life.cancel() for life in lives])
        self.assertTrue(await site.until_ready())
        await site.submit()
        await site.submit(OTHER)
        self.assertTrue(await site.until_state("failed"))
        self.assertTrue(await site.until_state("completed", OTHER))
        crashes = sum(worker.crashed.is_set() for worker in site.workers)
        self.assertLessEqual(crashes, MOST_STARTS)


async def _live(site: Site) -> None:
    """Let one life of a worker follow the other."""
    address = ""
    while True:
        worker: SiteWorker = await site.add_worker(address=address)
        worker.crashing = frozenset({JOB})
        address = worker.core.entry.address
        await worker.crashed.wait()
        await worker.stop()
        await asyncio.sleep(BACK)
