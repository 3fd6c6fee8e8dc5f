"""
Reads of a cell's rows
======================

Read whole parts of tables on behalf of a cell's owner, with retries.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import logbook

from toucanpin.entry.tables import JOBS_TABLE, list_job_parts
from toucanpin.exception import ToucanpinError
from toucanpin.platform.store import Page, Store

__all__ = ["RETRY_DELAY_S", "CellReader", "join_pages"]

_log = logbook.Logger("rows")
RETRY_DELAY_S = 0.1  # before a failed call is repeated
# Reads of a new owner at a time.  More of them would fill a link of 10 Mbit/s for so long that the
# owner's renewals are late.
CONCURRENT_READS = 3


class CellReader:
    """Reads of the rows of one cell."""

    __slots__ = ("_cell", "_store")

    def __init__(self, store: Store, cell: str) -> None:
        self._store = store
        self._cell = cell

    async def read_jobs(self, throttle: Callable[[float], Awaitable[None]] | None = None) -> Page:
        """
        Read the jobs of all parts, with retries; ``throttle`` is awaited after each page.

        The ``version`` and ``clock`` of the result are those of the oldest page.
        """
        parts = list_job_parts(self._cell)
        return join_pages([await self._read_part(JOBS_TABLE, part, throttle) for part in parts])

    async def read_parts(self, reads: Sequence[tuple[str, str]]) -> list[Page]:
        """Read parts of tables, some at a time, with retries."""
        free = asyncio.Semaphore(CONCURRENT_READS)

        async def read(table: str, part: str) -> Page:
            async with free:
                return await self._read_part(table, part)

        return await asyncio.gather(*(read(table, part) for table, part in reads))

    async def _read_part(
        self,
        table: str,
        part: str,
        throttle: Callable[[float], Awaitable[None]] | None = None,
    ) -> Page:
        async def pause(error: ToucanpinError) -> None:
            _log.warning("rows of the cell not read", event="cell.unread", part=part, reason=error)
            await asyncio.sleep(RETRY_DELAY_S)

        # Only the failed page is repeated: with some answers lost, a read of many pages that starts
        # over each time might never end.
        return await self._store.read_all(table, part, on_error=pause, after_page=throttle)


def join_pages(pages: Sequence[Page]) -> Page:
    """Return the rows of all pages, with the version and clock of the oldest one."""
    rows = tuple(row for page in pages for row in page.rows)
    version = min(page.version for page in pages)
    return Page(rows, False, version, min(page.clock for page in pages))
