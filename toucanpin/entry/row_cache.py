"""
Cache of rows
=============

Keep a copy of a range of a table's rows, and read only what has changed.
"""

from __future__ import annotations

from collections.abc import Iterable

from toucanpin.entry.clocks import steady_time
from toucanpin.http import TooLargeError
from toucanpin.platform.store import Page, Row, Store

__all__ = ["FULL_READ_PERIOD_S", "MAX_FULL_READ_SHARE", "RowCache", "plan_full_read"]

# The feed of changes may omit the changes of a second without any sign, so all rows are read
# periodically.
FULL_READ_PERIOD_S = 3.0
# Full reads grow with the number of rows.  On a slow link they would take most of the time, and
# delay everything else.
MAX_FULL_READ_SHARE = 0.05  # maximum fraction of the time that full reads take


class RowCache:
    """
    Copy of the rows in a range of keys, in a table's part without a name.

    Reading only the changes saves bandwidth on all hosts: the operators' document lists all queues,
    and there are entries of hundreds of workers.
    """

    __slots__ = (
        "_full_read_at",
        "_prefers_full_reads",
        "_end",
        "_start",
        "_store",
        "_table",
        "_version",
        "rows",
    )

    def __init__(self, store: Store, table: str, start: str = "", end: str = "") -> None:
        self._store = store
        self._table = table
        self._start = start
        self._end = end
        self._version = 0  # version of the store up to which the rows are known
        # The feed contains each version of a row.  For a document that is written many times in
        # quick succession it is larger than the document, so full reads are used until it stops
        # changing.
        self._prefers_full_reads = False
        self._full_read_at = 0.0  # time of the next full read
        self.rows: dict[str, Row] = {}

    async def update(self) -> None:
        """
        Read what has changed, or all rows if the store no longer has that history.

        All rows are also read periodically in case the feed has missed changes.

        Raises
        ------
        CallError
            If the store gave no answer.
        PlatformError
            If an answer can't be understood.
        """
        begun = steady_time()
        is_full = self._prefers_full_reads or begun >= self._full_read_at
        page = None if is_full else await self._follow()
        if page is not None:
            self._apply(page)
            self._prefers_full_reads = _count_bytes(self._select_rows(page)) > _count_bytes(
                self.rows.values()
            )
            return
        page = await self._store.read_all(self._table, start=self._start, end=self._end)
        known = self.rows
        self.rows = {}
        self._apply(page)
        self._prefers_full_reads = self._prefers_full_reads and self.rows != known
        ended = steady_time()
        self._full_read_at = ended + plan_full_read(ended - begun)

    async def _follow(self) -> Page | None:
        try:
            return await self._store.follow(self._table, self._version, 0.0)
        except TooLargeError:
            # The changes since then only grow, so read all rows next time.
            self._prefers_full_reads = True
            raise

    def _select_rows(self, page: Page) -> list[Row]:
        end = self._end
        own = (row for row in page.rows if not row.part and row.key >= self._start)
        return [row for row in own if not end or row.key < end]

    def _apply(self, page: Page) -> None:
        for row in self._select_rows(page):
            # Each page of a full read is from a later moment, and changes are requested from the
            # moment of the first page: a row in them may be older than the cached one.
            known = self.rows.get(row.key)
            if known is not None and 0 < row.version < known.version:
                continue
            if row.deleted:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row
        self._version = max(self._version, page.version)


def plan_full_read(took: float) -> float:
    """Return the time until the next full read in s, after one that took ``took`` seconds."""
    return max(FULL_READ_PERIOD_S, took / MAX_FULL_READ_SHARE - took)


def _count_bytes(rows: Iterable[Row]) -> int:
    """Return the total size of the rows' values."""
    return sum(len(row.value) for row in rows)
