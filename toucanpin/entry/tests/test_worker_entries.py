"""What an owner reads to know its workers."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest.mock import patch

from standins.site.site import Site

RARELY = 1_000.0  # s: longer than a test takes
LOOKS = 4


class WorkerListTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # Whole reads, of which there is one each three seconds at most, aren't meant here.
        self.enterContext(patch("toucanpin.entry.row_cache.FULL_READ_PERIOD_S", RARELY))
        self.site = Site()
        self.site.configure()
        self.addAsyncCleanup(self.site.close)
        await self.site.add_host()
        self.worker = await self.site.add_worker(lasts=60.0)
        self.assertTrue(await self.site.until_ready())
        self.assertTrue(await self.site.until(lambda: self.worker.looks))

    async def test_entries_that_have_not_changed_are_not_read_again(self) -> None:
        """
        An owner of 246 workers takes in 387 KB/s on a calm fleet, since it reads all their entries
        twice a second.  On a link of 5 Mbit/s that leaves little for the workers' own answers, so
        leases and ends came late, and jobs expired.
        """
        store = self.site.store
        given = store.given["servers"]
        asked = store.asked["servers"]
        self.assertTrue(await self.site.until(lambda: store.asked["servers"] >= asked + LOOKS))
        self.assertEqual(given, store.given["servers"])

    async def test_changes_are_seen_also_after_history_is_gone(self) -> None:
        """
        The table forgets its changes just as a worker says that it leaves.  It must get nothing
        more, and a worker that comes at that moment is found.
        """
        self.worker.core.entry = replace(self.worker.core.entry, ready=False)
        self.worker.register()
        other = await self.site.add_worker(lasts=60.0)
        store = self.site.store
        store.forget_history()
        asked = store.asked["servers"]
        self.assertTrue(await self.site.until(lambda: store.asked["servers"] >= asked + LOOKS))
        await self.site.submit(count=2)
        self.assertTrue(await self.site.until(lambda: len(other.core.runs) == 2))
        self.assertFalse(self.worker.core.starts)


if __name__ == "__main__":
    unittest.main()
