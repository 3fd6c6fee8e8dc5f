"""
Jobs of a cell
==============

Follow the rows of a cell's jobs, and pass new jobs and cancel requests on to its owner.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import logbook

from toucanpin.entry.cell_rows import CellRows, decode_job_row
from toucanpin.entry.clocks import Clocks, steady_time
from toucanpin.entry.row_cache import FULL_READ_PERIOD_S, MAX_FULL_READ_SHARE
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.tables import JOBS_TABLE, list_job_parts, split_key
from toucanpin.exception import PlatformError
from toucanpin.http import CallError
from toucanpin.platform.store import MAX_PAGE_ROWS, Page, Row, Store
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.intake import cancel_job, submit_job
from toucanpin.scheduling.pending_counts import TableView

__all__ = ["FEED_MARGIN_S", "FEED_WAIT_S", "RETRY_DELAY_S", "CellJobs"]

_log = logbook.Logger("jobs")
# An answer without rows confirms that this owner has read all jobs.  Counts shown to callers are as
# old as the last answer, and may be at most 2 s old.  A connection may stop answering without being
# closed; a watch on it has to time out before a cancel must be in force, which is after 3 s.
FEED_WAIT_S = 0.5  # long-poll time of the watch on jobs
FEED_MARGIN_S = 1.0  # timeout beyond the long-poll time; a slow store takes 0.6 s to answer
LATE_MARGIN_S = 0.5  # answers later than this, beyond the long-poll time, are logged
RETRY_DELAY_S = 0.1  # before a failed read is repeated


class CellJobs:
    """Reader of the rows of one cell's jobs; calls ``on_change`` after each change."""

    __slots__ = (
        "_cell",
        "_on_change",
        "_clocks",
        "_reader",
        "_retention",
        "_parts",
        "_rows",
        "_store",
        "followed_version",
    )

    def __init__(
        self,
        store: Store,
        clocks: Clocks,
        cell: Cell,
        rows: CellRows,
        reader: RowReader,
        retention: float,
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._clocks = clocks
        self._cell = cell
        self._rows = rows
        self._reader = reader
        self._retention = retention
        self._on_change = on_change
        self._parts = frozenset(list_job_parts(cell.name))
        self.followed_version = 0  # version of the store up to which the jobs are known

    async def follow(self) -> None:
        """Watch the rows of jobs until cancelled."""
        wait = FEED_WAIT_S
        while True:
            asked_at = steady_time()
            try:
                page = await self._store.follow(
                    JOBS_TABLE, self.followed_version, wait, FEED_MARGIN_S
                )
            except (CallError, PlatformError) as error:
                _log.warning("watch on jobs failed", event="jobs.unread", reason=error)
                # No task is placed until there is an answer, so the next one is asked for at once.
                wait = 0.0
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            wait = FEED_WAIT_S
            if page is None:
                await self._read_all()
                continue
            took = steady_time() - asked_at
            if took > FEED_WAIT_S + LATE_MARGIN_S:
                _log.warning("watch on jobs answered late", event="jobs.late", took=round(took, 3))
            self._apply_changes(page)

    async def relist(self) -> None:
        """
        Read all jobs periodically, in case the watch has missed changes.

        The reads are throttled: thousands of jobs would occupy a slow link for seconds, and the
        owner's own writes would be so late that another host takes the cell.
        """
        while True:
            await asyncio.sleep(FULL_READ_PERIOD_S)
            await self._read_all(_throttle)

    async def _read_all(self, throttle: Callable[[float], Awaitable[None]] | None = None) -> None:
        """Read all jobs, with retries; the watch continues from there if it is older."""
        page = await self._rows.read_jobs(throttle)
        self._apply_page(page, page.clock)

    def _apply_changes(self, page: Page) -> None:
        """Apply an answer of the watch; a full page may lack later changes."""
        full = len(page.rows) >= MAX_PAGE_ROWS
        self._apply_page(page, self._rows.view.clock if full else page.clock)

    def _apply_page(self, page: Page, clock: int) -> None:
        """Apply rows that are complete as of ``clock``, and update the view."""
        self._apply_rows(page.rows)
        if page.version >= self.followed_version:
            self.followed_version = page.version
            self._rows.view = TableView(page.version, clock)

    def _apply_rows(self, rows: tuple[Row, ...]) -> None:
        now = self._clocks.now()
        cancelled = []
        for row in rows:
            if row.part not in self._parts or row.deleted:
                continue
            identifier, is_cancel = split_key(row.key)
            if is_cancel:
                cancelled.append(identifier)
            elif identifier not in self._cell.jobs and identifier not in self._rows.blocked:
                self._add_job(row, now)
        for identifier in cancelled:
            cancel_job(self._cell, identifier, now)
        self._on_change()

    def _add_job(self, row: Row, now: Now) -> None:
        job = self._reader.read_one((row,), decode_job_row)
        if job is None:
            return
        # A job that is older than the retention has ended; its row may have been deleted since.
        if now.table - job.accepted < self._retention * 1_000 or not job.accepted:
            submit_job(self._cell, job, now)


async def _throttle(took: float) -> None:
    """Sleep until the read has taken at most ``MAX_FULL_READ_SHARE`` of the time."""
    await asyncio.sleep(took / MAX_FULL_READ_SHARE - took)
