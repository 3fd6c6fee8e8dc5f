"""A job whose progress is larger than a row of the store, over connections."""

from __future__ import annotations

import unittest

from standins.site.site import Site, free_port
from standins.site.store import SiteStore, StoreFaults
from standins.site.virtual import run_virtual
from toucanpin.entry.cell_rows import CellRows
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.tables import EFFECTS_TABLE, OWNER_KEY, PROGRESS_TABLE
from toucanpin.http import Client
from toucanpin.platform.store import Store
from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.interference_model import InterferenceModel, LearnedModel
from toucanpin.scheduling.ownership import OwnerRecord
from toucanpin.scheduling.write_batches import WriteBatch

OTHER_JOB = "00000000000000a2"
TASKS = 3_000
IMAGES = 2_000


class LargeJobTest(unittest.TestCase):
    def test_owners_go_on_beside_a_job_that_is_larger_than_a_row(self) -> None:
        """Guards against a row that the store refuses, so that each owner of its cell fails."""

        async def main() -> None:
            site = Site()
            site.configure()
            try:
                await site.add_host()
                for _ in range(4):
                    await site.add_worker(cpu=40_000, duration=30.0)
                self.assertTrue(await site.wait_until_ready())
                await site.submit(count=TASKS, cpu=50, checkpointing=True)
                self.assertTrue(await site.wait_until(lambda: _count_running(site) == TASKS))
                await site.submit(OTHER_JOB, cpu=100)
                self.assertTrue(
                    await site.wait_until(lambda: _count_running(site) == TASKS + 1, turns=60)
                )
                self.assertEqual("active", await site.state())
                await site.hosts[0].abort()
                await site.add_host()
                self.assertTrue(await site.wait_for_state("active", OTHER_JOB, 1))
                await site.wait_until(lambda: False, turns=100)
                starts = sum(len(worker.core.starts) for worker in site.workers)
                self.assertEqual(TASKS + 1, starts)
            finally:
                await site.close()

        run_virtual(main)


class LearnedEffectsTest(unittest.IsolatedAsyncioTestCase):
    async def test_effects_that_are_larger_than_a_row_are_not_written(self) -> None:
        """Guards against an owner that ends by a row which the next one writes as well."""
        address = f"127.0.0.1:{free_port()}"
        core = SiteStore()
        server = await core.listen(address, StoreFaults())
        self.addAsyncCleanup(server.drain, 0.0)
        client = Client(address)
        self.addCleanup(client.close)
        model = InterferenceModel()
        tails = {f"image-{number:060}": 20.0 for number in range(IMAGES)}
        model.restore(LearnedModel([], tails), 0.0)
        cell = Cell("c", 1, 0.0, 0.0)
        record = OwnerRecord("h", "l", 1, 0)
        rows = CellRows(Store(client), cell, model, record, 0, 0.0, RowReader())
        await rows.write(WriteBatch({"j1": b"\x90"}, (), (), ()), False)
        self.assertIn((PROGRESS_TABLE, "c", "j1"), core.rows)
        self.assertNotIn((EFFECTS_TABLE, "c", OWNER_KEY), core.rows)


def _count_running(site: Site) -> int:
    return sum(len(worker.core.runs) for worker in site.workers)


if __name__ == "__main__":
    unittest.main()
