"""A new owner while it reads the rows of its cell."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections.abc import Sequence

from standins.site.site import Site, free_port
from standins.site.store import SiteStore, StoreFaults
from standins.site.virtual import run_virtual
from toucanpin.entry.cell_rows import CellRows
from toucanpin.entry.clocks import Clocks
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.tables import (
    COUNTS_KEY,
    COUNTS_TABLE,
    OWNER_KEY,
    OWNERS_TABLE,
    PROGRESS_TABLE,
)
from toucanpin.http import Answer, CallError, Client
from toucanpin.platform.store import PAGE_ROWS, Conflict, ExpectedVersion, Put, Row, Store
from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.ownership import OwnerRecord, decode_owner
from toucanpin.scheduling.progress import JobState, Progress
from toucanpin.scheduling.progress_rows import encode_progress
from toucanpin.verdict import Verdict

RENEWALS = 8  # they take more than twice the time after which a silent owner is replaced
LOAD_TIMEOUT_S = 5.0  # s for 15 reads and the delays after failed ones
PAGES = 6  # of progress
ANSWER_TIMEOUT_S = 2.0


class LoadingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.site.configure()
        self.addAsyncCleanup(self.site.close)
        for number in range(2):
            await self.site.add_host()
            self.site.faults[number].unavailable_table = "progress"
        await self.site.add_worker()

    def _read_owner(self) -> OwnerRecord:
        row = self.site.store.rows.get(("owners", "c", "owner"))
        return decode_owner(row.value) if row else OwnerRecord("", "", 0, 0)

    async def test_an_owner_keeps_its_cell_during_a_long_load(self) -> None:
        """
        Reading the rows of a cell takes seconds if the store is slow or there are many.  Guards
        against an owner that writes nothing meanwhile: another host takes the cell after 1.3 s and
        starts to read in turn, so no owner ever schedules.
        """
        self.assertTrue(
            await self.site.wait_until(
                lambda: self._read_owner().sequence >= RENEWALS or self._read_owner().token > 1
            )
        )
        self.assertEqual(1, self._read_owner().token)
        self.assertNotIn((COUNTS_TABLE, "c", COUNTS_KEY), self.site.store.rows)
        for faults in self.site.faults:
            faults.unavailable_table = ""
        self.assertTrue(await self.site.wait_until_ready())
        self.assertEqual(200, (await self.site.submit()).status)
        self.assertTrue(await self.site.wait_for_state("completed"))
        self.assertEqual(1, self._read_owner().token)

    async def test_an_owner_that_shuts_down_during_the_load_resigns(self) -> None:
        """
        A new owner shuts down, or a stronger host starts, while it reads the rows of its
        cell.  Guards against renewing the ownership until all rows are read or the process is
        killed, with no host scheduling meanwhile.
        """
        self.assertTrue(await self.site.wait_until(lambda: self._read_owner().sequence >= 2))
        name = self._read_owner().host
        ending = asyncio.ensure_future(self.site.hosts[int(name[1:])].shut_down())
        self.assertTrue(await self.site.wait_until(lambda: self._read_owner().token > 1, 40))
        self.assertFalse(ending.done())
        self.assertNotEqual(name, self._read_owner().host)
        await ending


class _LossyStore:
    """Store of which every fifth answer is lost."""

    def __init__(self, store: Client) -> None:
        self._store = store
        self._calls = 0

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer:
        self._calls += 1
        if self._calls % 5 == 0:
            raise CallError(Verdict.MAY_HAVE_RUN, "lost")
        return await self._store.call(method, path, body, timeout=timeout)


class LostAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_cell_is_loaded_though_answers_are_lost(self) -> None:
        """
        Guards against a new owner that starts over with the first page after each lost answer.
        With a fifth of the answers lost it never read the last page, and kept the cell idle.
        """
        address = f"127.0.0.1:{free_port()}"
        core = SiteStore()
        ended = encode_progress(Progress(JobState.COMPLETED, 0, [], {}))
        for number in range(PAGES * PAGE_ROWS):
            core.put(PROGRESS_TABLE, f"{number:016x}", ended, part="c")
        server = await core.listen(address, StoreFaults())
        self.addAsyncCleanup(server.drain, 0.0)
        client = Client(address)
        self.addCleanup(client.close)
        store = Store(_LossyStore(client))
        cell = Cell("c", 1, 0.0, 0.0)
        record = OwnerRecord("h", "l", 1, 0)
        rows = CellRows(store, cell, InterferenceModel(), record, 0, 0.0, RowReader())
        async with asyncio.timeout(LOAD_TIMEOUT_S):
            await rows.load(Clocks(store).now)


class LostAnswerTest(unittest.TestCase):
    def test_a_write_that_applied_unseen_is_confirmed_as_of_its_first_sending(self) -> None:
        """
        A write applies, its answer is lost, and it is sent again after its timeout.  Guards against
        leases that count from the second sending: another host may have seen the write seconds
        before that, and starts tasks elsewhere once the leases from then on have ended.
        """

        async def main() -> None:
            cell = Cell("c", 1, 0.0, 0.0)
            record = OwnerRecord("h", "l", 1, 0)
            store = _UnansweredStore()
            rows = CellRows(store, cell, InterferenceModel(), record, 1, 0.0, RowReader())
            began = time.monotonic()
            await rows.renew(False)
            self.assertGreater(time.monotonic(), began + ANSWER_TIMEOUT_S)
            self.assertEqual(began, cell.confirmed_at)

        run_virtual(main)


class _UnansweredStore(Store):
    """Store whose first write applies without an answer."""

    def __init__(self) -> None:
        self._written: tuple[Row, ...] = ()

    async def transact(
        self,
        part: str,
        expected: Sequence[ExpectedVersion],
        puts: Sequence[Put],
        timeout: float = 1.0,
    ) -> Conflict:
        if self._written:
            return Conflict(self._written)
        self._written = (Row(OWNERS_TABLE, part, OWNER_KEY, puts[0].value or b"", 2),)
        await asyncio.sleep(ANSWER_TIMEOUT_S)
        raise CallError(Verdict.MAY_HAVE_RUN, "lost")


if __name__ == "__main__":
    unittest.main()
