"""Deletion of the rows of ended jobs, without delay for the owner's commits."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Sequence

from toucanpin.entry.cell_rows import CellRows
from toucanpin.entry.row_reader import RowReader
from toucanpin.platform.store import Committed, ExpectedVersion, Put, Store
from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.ownership import OwnerRecord
from toucanpin.scheduling.write_batches import WriteBatch

TEST_TIMEOUT_S = 5.0  # s after which a test that would hang fails


class DroppingJobsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = _GatedStore()
        record = OwnerRecord("h", "l", 1, 0)
        cell = Cell("c", 1, 0.0, 0.0)
        self.rows = CellRows(self.store, cell, InterferenceModel(), record, 1, 0.0, RowReader())

    async def test_an_owner_commits_while_rows_of_ended_jobs_are_deleted(self) -> None:
        """
        Guards against deleting the rows of five ended jobs in sequence before each commit.  With a
        table that takes 0.6 s per call, each commit would be 3 s late, and the owner be replaced.
        """
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await self.rows.write(WriteBatch({}, ("a1", "a2"), (), ()), False)
        self.assertEqual(["c"], self.store.parts)

    async def test_rows_of_ended_jobs_are_deleted_concurrently(self) -> None:
        dropping = asyncio.ensure_future(self.rows.drop_jobs(["a1", "a2", "a3"]))
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(3, len(self.store.parts))
        self.store.answering.set()
        await dropping


class _GatedStore(Store):
    """Store that answers for the owner's part at once, and for others when released."""

    def __init__(self) -> None:
        self.parts: list[str] = []
        self.answering = asyncio.Event()

    async def transact(
        self,
        part: str,
        expected: Sequence[ExpectedVersion],
        puts: Sequence[Put],
        timeout: float = 1.0,
    ) -> Committed:
        self.parts.append(part)
        if part != "c":
            await self.answering.wait()
        return Committed(2, 0)


if __name__ == "__main__":
    unittest.main()
