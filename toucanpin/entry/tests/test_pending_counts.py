"""Counts of pending jobs for callers while the owner's view is incomplete."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import patch

import msgspec

from standins.site.site import HOST, PREFIX, Site, free_port
from standins.site.store import StoreFaults
from toucanpin.entry.cell_rows import CellRows
from toucanpin.entry.clocks import Clocks, steady_time
from toucanpin.entry.configuration import ConfigurationWatch
from toucanpin.entry.requests import RequestHandler
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.tables import COUNTS_TABLE
from toucanpin.http import Client, Request, Response
from toucanpin.platform.store import Page, Store
from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.ownership import OwnerRecord
from toucanpin.scheduling.write_batches import take_batch

SILENT_PERIOD_S = 7.0  # s for which the owner hasn't written anything


class OutdatedCountTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.site.configure()
        self.faults = StoreFaults()
        address = f"127.0.0.1:{free_port()}"
        server = await self.site.store.listen(address, self.faults)
        self.addAsyncCleanup(server.drain, 0.0)
        client = Client(address)
        self.addCleanup(client.close)
        self.store = Store(client)
        self.clocks = Clocks(self.store)
        self.requests = RequestHandler(self.store, ConfigurationWatch(self.store), self.clocks)

    async def test_jobs_that_an_owner_has_not_read_are_counted(self) -> None:
        """
        An owner that is starved or lost hasn't read jobs for seven seconds.  Guards against an
        answer of 0 from the counts that it wrote last; two hosts gave it, at once and after 2.1 s,
        while 8 and 14 jobs had waited for 5 to 7 s.
        """
        await self._write_counts()
        await self._submit_jobs(3)
        self.site.store.started_at -= SILENT_PERIOD_S
        self.assertEqual(3, await self._count())

    async def test_a_count_is_refused_before_the_cell_has_an_owner(self) -> None:
        """
        Jobs are submitted before the cell has its first owner, so there is no row of counts.  The
        count is unknown then, and the answer must not be 0.
        """
        await self._submit_jobs(2)
        self.assertEqual(503, (await self._call("GET", PREFIX)).status)

    async def test_a_count_is_refused_if_the_history_is_gone(self) -> None:
        """
        The owner has written nothing for seven seconds, and the table no longer has the history of
        changes.  The jobs submitted since are unknown, and the answer must not be 0.
        """
        await self._write_counts()
        await self._submit_jobs(3)
        self.site.store.started_at -= SILENT_PERIOD_S
        self.site.store.forget_history()
        self.assertEqual(503, (await self._call("GET", PREFIX)).status)

    async def test_cancelled_jobs_and_other_queues_are_not_counted(self) -> None:
        await self._write_counts()
        await self._submit_jobs(3)
        self.assertEqual(200, (await self._call("DELETE", f"{PREFIX}{1:016x}")).status)
        self.site.store.started_at -= SILENT_PERIOD_S
        self.assertEqual(2, await self._count())

    async def test_a_count_ends_while_jobs_are_submitted(self) -> None:
        """
        The owner is silent, so a host counts the jobs submitted since its last write.  Guards
        against reading changes until there are none: with jobs submitted faster than the table
        answers, the caller got no answer.  Jobs submitted after the request needn't be counted.
        """
        await self._write_counts()
        await self._submit_jobs(3)
        self.site.store.started_at -= SILENT_PERIOD_S
        follow, reads = self.store.follow, self.site.store.read_counts

        async def follow_busy(table: str, after: int, wait: float) -> Page | None:
            self.assertLess(reads["jobs"], 100)
            page = await follow(table, after, wait)
            await self._submit_jobs(1, reads["jobs"] + 100)
            return page

        with patch.object(Store, "follow", lambda _, *rest: follow_busy(*rest)):
            self.assertEqual(3, await self._count())

    async def test_a_delayed_count_is_not_recent(self) -> None:
        """
        The answer with the owner's counts is delayed by 5 s behind a large one on a saturated link.
        Guards against judging its age by the clock that it contains: it passed as recent, and the
        count was 0 though three jobs had waited as long.
        """
        await self._write_counts()
        await self._submit_jobs(3)
        read = self.store.read

        delay = 0.0

        async def read_late(*rest: Any) -> Page:
            nonlocal delay
            page = await read(*rest)
            delay = 5.0 if rest[0] == COUNTS_TABLE else delay
            return page

        with (
            patch("toucanpin.platform.store.steady_time", lambda: steady_time() + delay),
            patch.object(Store, "read", lambda _, *rest: read_late(*rest)),
        ):
            self.assertEqual(3, await self._count())

    async def test_a_recent_count_costs_one_read(self) -> None:
        await self._write_counts()
        reads = self.site.store.read_counts["jobs"]
        self.assertEqual(0, await self._count())
        self.assertEqual(reads, self.site.store.read_counts["jobs"])

    async def _write_counts(self) -> None:
        """Read the cell as an owner would, and write its counts once."""
        cell = Cell("c", 1, 0.0, 0.0)
        rows = CellRows(
            self.store,
            cell,
            InterferenceModel(),
            OwnerRecord("h", "l", 1, 0),
            0,
            0.0,
            RowReader(),
        )
        await rows.load(self.clocks.now)
        self.assertLess(rows.written_at, steady_time())
        await rows.write(take_batch(cell), False)

    async def _submit_jobs(self, jobs: int, first: int = 0) -> None:
        body = msgspec.json.encode({"spec": "work", "pipeline": [{"cpu": 1_000}]})
        for number in range(first, first + jobs):
            answer = await self._call("POST", f"{PREFIX}{number:016x}", body)
            self.assertEqual(200, answer.status)

    async def _count(self) -> int:
        answer = await self._call("GET", PREFIX)
        self.assertEqual(200, answer.status)
        return msgspec.json.decode(answer.body)["pendingJobs"]

    async def _call(self, method: str, path: str, body: bytes = b"") -> Response:
        answer = await self.requests.handle(Request(method, path, {"host": HOST}, body))
        assert answer is not None
        return answer


if __name__ == "__main__":
    unittest.main()
