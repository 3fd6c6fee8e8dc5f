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
from toucanpin.entry.entries import EntryReader
from toucanpin.entry.followed import WHOLE_PERIOD, WHOLE_SHARE
from toucanpin.entry.rows import JOBS, list_job_parts, split_key
from toucanpin.exception import PlatformError
from toucanpin.http import CallError
from toucanpin.platform.store import MAX_PAGE_ROWS, Page, Row, Store
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.counting import TableView
from toucanpin.scheduling.intake import cancel_job, submit_job

__all__ = ["FEED_MARGIN", "FEED_WAIT", "RETRY", "CellJobs"]

_log = logbook.Logger("jobs")
# An answer without rows tells that there are no jobs that this owner hasn't read.  Callers' counts
# are as old as the newest answer, and may be two seconds old.  A connection may be silent for good;
# a watch on it is given up before a cancel is due, in 3 s.
FEED_WAIT = 0.5  # s that a watch of the jobs waits
FEED_MARGIN = 1.0  # s that its answer may take beyond; a slow store takes 0.6 s
LATE = 0.5  # s beyond its wait after which a read of the jobs is told of
RETRY = 0.1  # s before a read is repeated


class CellJobs:
    """Follow the rows of one cell's jobs; ``changed`` is called after each change."""

    __slots__ = (
        "_cell",
        "_changed",
        "_clocks",
        "_entries",
        "_keep_ended",
        "_parts",
        "_rows",
        "_store",
        "followed",
    )

    def __init__(
        self,
        store: Store,
        clocks: Clocks,
        cell: Cell,
        rows: CellRows,
        entries: EntryReader,
        keep_ended: float,
        changed: Callable[[], None],
    ) -> None:
        self._store = store
        self._clocks = clocks
        self._cell = cell
        self._rows = rows
        self._entries = entries
        self._keep_ended = keep_ended
        self._changed = changed
        self._parts = frozenset(list_job_parts(cell.name))
        self.followed = 0  # the store's version up to which the jobs are known

    async def follow(self) -> None:
        """Watch for changes for ever."""
        while True:
            asked_at = steady_time()
            try:
                page = await self._store.follow(JOBS, self.followed, FEED_WAIT, FEED_MARGIN)
            except (CallError, PlatformError) as error:
                _log.warning("jobs not followed", event="jobs.unread", reason=error)
                await asyncio.sleep(RETRY)
                continue
            if page is None:
                await self._read()
                continue
            took = steady_time() - asked_at
            if took > FEED_WAIT + LATE:
                _log.warning("jobs read late", event="jobs.late", took=round(took, 3))
            self._take_changes(page)

    async def relist(self) -> None:
        """
        Read all jobs now and then, for what a watch has missed.

        Read in one go, thousands of jobs fill a slow link for seconds, and the owner's own writes
        come so late that it is replaced.
        """
        while True:
            await asyncio.sleep(WHOLE_PERIOD)
            await self._read(_rest)

    async def _read(self, rest: Callable[[float], Awaitable[None]] | None = None) -> None:
        """Read all jobs, however long it takes; the watch goes on from there if it is behind."""
        page = await self._rows.read_jobs(rest)
        self._take_page(page, page.clock)

    def _take_changes(self, page: Page) -> None:
        """Take up what a watch gave; an answer that is full may lack later changes."""
        full = len(page.rows) >= MAX_PAGE_ROWS
        self._take_page(page, self._rows.view.clock if full else page.clock)

    def _take_page(self, page: Page, clock: int) -> None:
        """Take up rows that are whole as of a moment, and note which one."""
        self._take_rows(page.rows)
        if page.version >= self.followed:
            self.followed = page.version
            self._rows.view = TableView(page.version, clock)

    def _take_rows(self, rows: tuple[Row, ...]) -> None:
        now = self._clocks.now()
        cancelled = []
        for row in rows:
            if row.part not in self._parts or row.deleted:
                continue
            identifier, is_cancel = split_key(row.key)
            if is_cancel:
                cancelled.append(identifier)
            elif identifier not in self._cell.jobs and identifier not in self._rows.blocked:
                self._take_job(row, now)
        for identifier in cancelled:
            cancel_job(self._cell, identifier, now)
        self._changed()

    def _take_job(self, row: Row, now: Now) -> None:
        job = self._entries.read_one((row,), decode_job_row)
        if job is None:
            return
        # A row that was dropped since it was read is of a job that has long ended.
        if now.table - job.accepted < self._keep_ended * 1_000 or not job.accepted:
            submit_job(self._cell, job, now)


async def _rest(took: float) -> None:
    """Rest after a page that took so many seconds."""
    await asyncio.sleep(took / WHOLE_SHARE - took)
