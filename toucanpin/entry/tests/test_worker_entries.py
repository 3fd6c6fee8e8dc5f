"""Reads of the workers' entries by an owner."""

from __future__ import annotations

import functools
import unittest
from dataclasses import replace
from unittest.mock import patch

import msgspec

from standins.site.site import Site
from standins.site.virtual import run_virtual
from toucanpin.http import Response

DISABLED_PERIOD_S = 1_000.0  # s; longer than a test takes
READS = 4


class WorkerListTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # Exclude full reads, which come every 3 s at most.
        self.enterContext(patch("toucanpin.entry.row_cache.FULL_READ_PERIOD_S", DISABLED_PERIOD_S))
        self.site = Site()
        self.site.configure()
        self.addAsyncCleanup(self.site.close)
        await self.site.add_host()
        self.worker = await self.site.add_worker(duration=60.0)
        self.assertTrue(await self.site.wait_until_ready())
        self.assertTrue(await self.site.wait_until(lambda: self.worker.polls))

    async def test_unchanged_entries_are_not_read_again(self) -> None:
        """
        Guards against reading the entries of all workers twice a second.  For 246 workers that took
        387 KB/s without any change, and left little of a link of 5 Mbit/s for the workers' answers:
        leases were renewed late, ends read late, and jobs expired.
        """
        store = self.site.store
        rows_before = store.row_counts["servers"]
        reads_before = store.read_counts["servers"]
        self.assertTrue(
            await self.site.wait_until(lambda: store.read_counts["servers"] >= reads_before + READS)
        )
        self.assertEqual(rows_before, store.row_counts["servers"])

    async def test_changes_are_read_after_the_history_is_gone(self) -> None:
        """
        The table loses its history just as a worker announces that it stops and another one
        registers.  The first must get no more tasks, and the second must be found.
        """
        self.worker.core.entry = replace(self.worker.core.entry, ready=False)
        self.worker.register()
        other = await self.site.add_worker(duration=60.0)
        store = self.site.store
        store.forget_history()
        reads_before = store.read_counts["servers"]
        self.assertTrue(
            await self.site.wait_until(lambda: store.read_counts["servers"] >= reads_before + READS)
        )
        await self.site.submit(count=2)
        self.assertTrue(await self.site.wait_until(lambda: len(other.core.runs) == 2))
        self.assertFalse(self.worker.core.starts)


class MalformedAnswerTest(unittest.TestCase):
    def test_a_worker_with_malformed_answers_gets_no_tasks_and_keeps_none_from_others(self) -> None:
        """Guards against one worker whose answers end the owner of its cell, on each host."""
        for field, value in (("finished", [[1, "x"]]), ("running", [[7]]), ("clockMs", 2**70)):
            with self.subTest(field):
                run_virtual(functools.partial(self._play, field, value))

    async def _play(self, field: str, value: object) -> None:
        site = Site()
        site.configure()
        await site.add_host()
        malformed = await site.add_worker()
        malformed._reply = lambda status, body: Response(  # type: ignore[method-assign]
            status, msgspec.json.encode({**body, field: value})
        )
        well = await site.add_worker()
        self.assertTrue(await site.wait_until_ready())
        self.assertEqual(200, (await site.submit(count=3)).status)
        self.assertTrue(await site.wait_for_state("completed"))
        self.assertEqual(3, len(well.core.starts))
        self.assertFalse(malformed.core.starts)
        await site.close()


if __name__ == "__main__":
    unittest.main()
