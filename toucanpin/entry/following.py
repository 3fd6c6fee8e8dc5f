"""
Following jobs
==============

Bring new jobs and wishes to cancel to the owner of a cell as their rows appear.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from toucanpin.entry.cell_rows import CellRows
from toucanpin.entry.clocks import steady_time
from toucanpin.entry.rows import JOBS
from toucanpin.exception import PlatformError
from toucanpin.http import CallError
from toucanpin.platform.store import Page, Row, Store
from toucanpin.scheduling.counting import View

__all__ = ["FEED_MARGIN", "FEED_WAIT", "RETRY", "JobFeed"]

_log = logbook.Logger("following")
RELIST_PERIOD = 3.0  # s between full reads of the jobs, for what a watch has missed
# An answer without rows tells that there are no jobs that this owner hasn't read.  Callers' counts
# are as old as the newest answer, and may be two seconds old.
FEED_WAIT = 0.5  # s that a watch of the jobs waits
# A connection may be silent for good; a watch on it is given up before a cancel is due, in 3 s.
FEED_MARGIN = 1.0  # s that its answer may take beyond; a slow store takes 0.6 s
LATE = 0.5  # s beyond its wait after which a read of the jobs is told of
RETRY = 0.1  # s before a read is repeated


class JobFeed:
    """
    Follow the rows of one cell's jobs from a version on, and hand them to ``take``.

    The view of the cell's rows goes on only once the rows have been taken.
    """

    def __init__(
        self,
        store: Store,
        rows: CellRows,
        version: int,
        take: Callable[[tuple[Row, ...]], None],
    ) -> None:
        self._store = store
        self._rows = rows
        self._version = version
        self._take = take

    async def follow(self) -> None:
        """Watch for ever."""
        while True:
            asked_at = steady_time()
            try:
                page = await self._store.follow(JOBS, self._version, FEED_WAIT, FEED_MARGIN)
            except (CallError, PlatformError) as error:
                _log.warning("jobs not followed", event="jobs.unread", reason=error)
                await asyncio.sleep(RETRY)
                continue
            took = steady_time() - asked_at
            if took > FEED_WAIT + LATE:
                _log.warning("jobs read late", event="jobs.late", took=round(took, 3))
            if page is None:
                await self._read_whole()
            else:
                self._take_page(page)

    async def relist(self) -> None:
        """Read all jobs now and then, for what a watch has missed."""
        while True:
            await asyncio.sleep(RELIST_PERIOD)
            await self._read_whole()

    async def _read_whole(self) -> None:
        """Read all jobs, however long it takes; the watch goes on from there if it is behind."""
        while True:
            try:
                page = await self._rows.read_jobs()
                break
            except (CallError, PlatformError) as error:
                _log.warning("jobs not read", event="jobs.unread", reason=error)
                await asyncio.sleep(RETRY)
        self._take_page(page)

    def _take_page(self, page: Page) -> None:
        self._take(page.rows)
        # A read of all jobs takes a while, so its moment may be older than the newest watch's.
        if page.version >= self._version:
            self._version = page.version
            self._rows.view = View(page.version, page.clock)
