"""Takeovers by a host whose link is slow for the rows that it has to read."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from unittest.mock import patch

from standins.site.site import Site
from standins.site.virtual import run_virtual
from toucanpin.entry.cell_jobs import CellJobs
from toucanpin.entry.cell_rows import CellRows
from toucanpin.entry.clocks import Clocks
from toucanpin.entry.row_reader import RowReader
from toucanpin.platform.store import Page, Store
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.leases import LEASE_S
from toucanpin.scheduling.ownership import OwnerRecord

LOAD_TIME_S = LEASE_S + 1.0  # s that a new owner takes to read the cell's rows
MAX_READ_SHARE = 0.05  # of the time, for periodic full reads
PAGE_TIME_S = 0.01  # s per page


class SlowTakeoverTest(unittest.IsolatedAsyncioTestCase):
    async def test_tasks_keep_running_while_a_new_owner_reads_its_rows(self) -> None:
        """Guards against leases that expire on all workers during a takeover."""
        site = Site()
        site.configure()
        self.addAsyncCleanup(site.close)
        await site.add_host()
        await site.add_host()
        worker = await site.add_worker(duration=60.0)
        self.assertTrue(await site.wait_until_ready(0))
        self.assertTrue(await site.wait_until_ready(1))
        owner = next(number for number, host in enumerate(site.hosts) if host.owned_cells())
        await site.submit(host=owner, count=3, longRunning=True)
        self.assertTrue(await site.wait_until(lambda: len(worker.core.runs) == 3))
        load = CellRows.load

        async def load_late(rows: CellRows, now: Callable[[], Now]) -> int:
            await asyncio.sleep(LOAD_TIME_S)
            return await load(rows, now)

        with patch.object(CellRows, "load", load_late):
            await site.hosts[owner].abort()
            await asyncio.sleep(LOAD_TIME_S + LEASE_S)
        self.assertEqual(3, len(worker.core.runs))
        self.assertEqual(3, len(worker.core.starts))


class _EmptyPages:
    """Store that answers each read with an empty page."""

    def __init__(self) -> None:
        self.read_at: list[float] = []

    async def read(self, *args: object, **fields: object) -> Page:
        self.read_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(PAGE_TIME_S)
        return Page((), len(self.read_at) % 3 != 0, 1, 1)


class RelistTest(unittest.TestCase):
    def test_periodic_reads_of_jobs_are_throttled(self) -> None:
        """Guards against an owner that is replaced because its reads saturate its link."""
        pages = _EmptyPages()

        async def relist() -> None:
            store = Store(None)  # type: ignore[arg-type]
            cell, reader = Cell("c", 1, 0.0, 0.0), RowReader()
            record = OwnerRecord("h", "life", 1, 0)
            rows = CellRows(store, cell, InterferenceModel(), record, 1, 0.0, reader)
            jobs = CellJobs(store, Clocks(store), cell, rows, reader, 1.0, lambda: None)
            relisting = asyncio.ensure_future(jobs.relist())
            await asyncio.sleep(30 * PAGE_TIME_S / MAX_READ_SHARE / 10)
            relisting.cancel()

        with (
            patch.object(Store, "read", pages.read),
            patch("toucanpin.entry.cell_jobs.FULL_READ_PERIOD_S", 0.0),
        ):
            run_virtual(relist)
        gaps = [
            after - before for before, after in zip(pages.read_at, pages.read_at[1:], strict=False)
        ]
        self.assertGreater(len(gaps), 1)
        self.assertGreaterEqual(min(gaps), PAGE_TIME_S / MAX_READ_SHARE * 0.9)
