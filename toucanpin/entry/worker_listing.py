"""
Listing of workers
==================

Read the entries of a cell's workers periodically.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from toucanpin.entry.row_cache import RowCache
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.worker_introduction import WorkerIntroduction
from toucanpin.exception import PlatformError
from toucanpin.http import CallError
from toucanpin.platform.store import Row, Store
from toucanpin.platform.workers import WORKERS_TABLE, decode_worker
from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.orders import WorkerEntry

__all__ = ["WorkerListing"]

_log = logbook.Logger("owner")
LIST_PERIOD_S = 0.5  # between reads of the workers' entries; a drain must be noticed within 2 s
RETRY_DELAY_S = 0.1  # before a failed read is repeated


class WorkerListing:
    """
    Reader of the entries of one cell's workers.

    ``workers_enforce_limits`` returns whether the cell's workers refuse tasks that don't fit.
    """

    __slots__ = ("_cache", "_cell", "_introduction", "_reader", "_workers_enforce_limits")

    def __init__(
        self,
        store: Store,
        cell: Cell,
        reader: RowReader,
        introduction: WorkerIntroduction,
        workers_enforce_limits: Callable[[], bool],
    ) -> None:
        self._cache = RowCache(store, WORKERS_TABLE)
        self._cell = cell
        self._reader = reader
        self._introduction = introduction
        self._workers_enforce_limits = workers_enforce_limits

    async def run(self) -> None:
        """Read the workers' entries periodically until cancelled."""
        while True:
            try:
                await self._cache.update()
            except (CallError, PlatformError) as error:
                _log.warning("workers' entries not read", event="workers.unread", reason=error)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            await self._introduce_listed()
            await asyncio.sleep(LIST_PERIOD_S)

    async def _introduce_listed(self) -> None:
        rows = self._cache.rows
        valid = {row.key: entry for row, entry in self._reader.read(rows.values(), _decode_entry)}
        own = [entry for entry in valid.values() if entry.service == self._cell.name]
        malformed = rows.keys() - valid.keys()
        self._cell.workers_enforce_limits = self._workers_enforce_limits()
        await self._introduction.update(own, malformed)


def _decode_entry(row: Row) -> WorkerEntry:
    return decode_worker(row.key, row.value)
