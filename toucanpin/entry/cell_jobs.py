"""
Jobs of a cell
==============

Take up new jobs and wishes to cancel in the name of the cell's owner, as their rows appear.
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
from toucanpin.scheduling.counting import TableView
from toucanpin.scheduling.intake import cancel_job, submit_job

__all__ = ["FEED_MARGIN_S", "FEED_WAIT_S", "RETRY_DELAY_S", "CellJobs"]

_log = logbook.Logger("jobs")
# An answer without rows tells that there are no jobs that this owner hasn't read.  Callers' counts
# are as old as the newest answer, and may be two seconds old.  A connection may be silent for good;
# a watch on it is given up before a cancel is due, in 3 s.
FEED_WAIT_S = 0.5  # s that a watch of the jobs waits
FEED_MARGIN_S = 1.0  # s that its answer may take beyond; a slow store takes 0.6 s
LATE_MARGIN_S = 0.5  # s beyond its wait after which a read of the jobs is told of
RETRY_DELAY_S = 0.1  # s before a read is repeated


class CellJobs:
    """Follow the rows of one cell's jobs; ``changed`` is called after each change."""

    __slots__ = (
        "_cell",
        "_on_change",
        "_clocks",
        "_reader",
        "_keep_ended",
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
        keep_ended: float,
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._clocks = clocks
        self._cell = cell
        self._rows = rows
        self._reader = reader
        self._keep_ended = keep_ended
        self._on_change = on_change
        self._parts = frozenset(list_job_parts(cell.name))
        self.followed_version = 0  # the store's version up to which the jobs are known

    async def follow(self) -> None:
        """Watch for changes for ever."""
        while True:
            asked_at = steady_time()
            try:
                page = await self._store.follow(
                    JOBS_TABLE, self.followed_version, FEED_WAIT_S, FEED_MARGIN_S
                )
            except (CallError, PlatformError) as error:
                _log.warning("jobs not followed", event="jobs.unread", reason=error)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if page is None:
                await self._read_all()
                continue
            took = steady_time() - asked_at
            if took > FEED_WAIT_S + LATE_MARGIN_S:
                _log.warning("jobs read late", event="jobs.late", took=round(took, 3))
            self._apply_changes(page)

    async def relist(self) -> None:
        """
        Read all jobs now and then, for what a watch has missed.

        Read in one go, thousands of jobs fill a slow link for seconds, and the owner's own writes
        come so late that it is replaced.
        """
        while True:
            await asyncio.sleep(FULL_READ_PERIOD_S)
            await self._read_all(_throttle)

    async def _read_all(self, throttle: Callable[[float], Awaitable[None]] | None = None) -> None:
        """Read all jobs, however long it takes; the watch goes on from there if it is behind."""
        page = await self._rows.read_jobs(throttle)
        self._apply_page(page, page.clock)

    def _apply_changes(self, page: Page) -> None:
        """Take up what a watch gave; an answer that is full may lack later changes."""
        full = len(page.rows) >= MAX_PAGE_ROWS
        self._apply_page(page, self._rows.view.clock if full else page.clock)

    def _apply_page(self, page: Page, clock: int) -> None:
        """Take up rows that are whole as of a moment, and note which one."""
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
        # A row that was dropped since it was read is of a job that has long ended.
        if now.table - job.accepted < self._keep_ended * 1_000 or not job.accepted:
            submit_job(self._cell, job, now)


async def _throttle(took: float) -> None:
    """Rest after a page that took so many seconds."""
    await asyncio.sleep(took / MAX_FULL_READ_SHARE - took)
