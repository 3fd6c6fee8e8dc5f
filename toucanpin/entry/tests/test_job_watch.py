"""The owner's watch on jobs: timeouts, outdated views and full pages."""

from __future__ import annotations

import unittest

from standins.site.site import Site
from toucanpin.entry.cell_jobs import FEED_MARGIN_S, FEED_WAIT_S, RETRY_DELAY_S, CellJobs
from toucanpin.entry.cell_rows import CellRows
from toucanpin.entry.clocks import Clocks
from toucanpin.entry.row_cache import plan_full_read
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.tables import job_part
from toucanpin.http import Answer, CallError
from toucanpin.platform.store import MAX_PAGE_ROWS, Page, Row, Store
from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.ownership import OwnerRecord
from toucanpin.scheduling.pending_counts import TableView
from toucanpin.verdict import Verdict

CANCEL_BOUND_S = 3.0  # s after a cancel is acknowledged from which on no task may start


class _SilentStore:
    """Store that never answers, and records the timeouts of calls."""

    def __init__(self) -> None:
        self.timeouts: list[float] = []

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer:
        self.timeouts.append(timeout)
        raise CallError(Verdict.MAY_HAVE_RUN, "silent")


class SilentWatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_silent_watch_times_out_before_a_cancel_must_be_in_force(self) -> None:
        """
        The connection of the watch stops answering without a reset.  Guards against a timeout of
        5 s: no task of a cancelled job may start after 3 s.
        """
        silent = _SilentStore()
        with self.assertRaises(CallError):
            await Store(silent).follow("jobs", 0, FEED_WAIT_S, FEED_MARGIN_S)
        self.assertLess(silent.timeouts[0] + RETRY_DELAY_S, CANCEL_BOUND_S)


class OutdatedViewTest(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_starts_while_cancels_cannot_be_read(self) -> None:
        """
        The store accepts an owner's writes, but its watch and its reads of jobs fail.  A waiting
        job is cancelled meanwhile, which the owner can't know.  Guards against starting it once
        another task ends, long after the cancel was acknowledged.
        """
        site = Site()
        site.configure()
        self.addAsyncCleanup(site.close)
        await site.add_host()
        worker = await site.add_worker(cpu=1_000, duration=5.0)
        self.assertTrue(await site.wait_until_ready())
        await site.submit()
        self.assertTrue(await site.wait_until(lambda: worker.core.runs))
        other = "00000000000000a2"
        await site.submit(other)
        (owner,) = (it._owner for it in site.hosts[0]._candidates.values())
        assert owner is not None
        self.assertTrue(await site.wait_until(lambda: sum(owner.count_waiting().values())))
        site.faults[0].unavailable_feed = site.faults[0].unavailable_table = "jobs"
        site.store.put("jobs", other + "/cancel", b"1", job_part("c", other))
        self.assertTrue(await site.wait_until(lambda: not worker.core.runs))
        written = site.store.transactions
        self.assertTrue(await site.wait_until(lambda: site.store.transactions > written + 5))
        self.assertEqual(1, len(worker.core.starts))
        site.faults[0].unavailable_feed = site.faults[0].unavailable_table = ""
        self.assertTrue(await site.wait_for_state("canceled", other))
        self.assertEqual(1, len(worker.core.starts))


class FullPageTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_full_page_does_not_make_the_view_more_recent(self) -> None:
        """
        More rows have changed than fit in one answer of the watch.  Guards against taking them for
        all changes: counts without the others were given to callers as current.
        """
        store = Store(_SilentStore())
        clocks = Clocks(store)
        cell = Cell("c", 1, 0.0, 0.0)
        reader = RowReader()
        rows = CellRows(
            store, cell, InterferenceModel(), OwnerRecord("h", "l", 1, 0), 1, 0.0, reader
        )
        rows.view = TableView(5, 1_000)
        jobs = CellJobs(store, clocks, cell, rows, reader, 120.0, lambda: None)
        row = Row("jobs", "elsewhere", "k", b"", 7)
        jobs._apply_changes(Page((row,) * MAX_PAGE_ROWS, False, 7, 9_000))
        self.assertEqual(TableView(7, 1_000), rows.view)
        jobs._apply_changes(Page((row,), False, 8, 9_000))
        self.assertEqual(TableView(8, 9_000), rows.view)


class FullReadTest(unittest.TestCase):
    def test_full_reads_take_a_small_share_of_the_time(self) -> None:
        """
        A full read of the jobs takes seconds on a slow link, since rows are kept for minutes after
        their jobs end.  Repeated after three seconds, it left little bandwidth for anything else.
        """
        for took in (0.1, 1.0, 4.0):
            self.assertLessEqual(took / (took + plan_full_read(took)), 0.0501)


if __name__ == "__main__":
    unittest.main()
