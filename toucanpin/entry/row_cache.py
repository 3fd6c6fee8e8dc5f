"""
Followed rows
=============

Keep a range of a table's rows as they are, and read only what has changed.
"""

from __future__ import annotations

from collections.abc import Iterable

from toucanpin.entry.clocks import steady_time
from toucanpin.http import TooLargeError
from toucanpin.platform.store import Page, Row, Store

__all__ = ["FULL_READ_PERIOD_S", "MAX_FULL_READ_SHARE", "RowCache", "plan_full_read"]

# The table's changes may hear nothing for a second while there are some, and not say so.
FULL_READ_PERIOD_S = 3.0  # s between whole reads, for what changes have missed
# What is read whole grows with what there is; on a weak link it would take most of the time, and
# everything else would come late.
MAX_FULL_READ_SHARE = 0.05  # of the time that whole reads may take


class RowCache:
    """
    Follow the rows of a range of keys in a table's part without a name.

    Read whole at each look, what many hosts follow fills their links: the operators' document with
    its queues, the entries of hundreds of workers.
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
        self._version = 0  # the store's, up to which the rows are known here
        # Changes hold each version of a row.  Of a document that is written in quick succession
        # they are many times the document, so it is read whole until it rests.
        self._prefers_full_reads = False
        self._full_read_at = 0.0  # when the rows are read whole again
        self.rows: dict[str, Row] = {}

    async def update(self) -> None:
        """
        Read what has changed, or all rows where the store doesn't know that any more.

        They are read whole now and then besides.

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
            # Later there would be even more of them.
            self._prefers_full_reads = True
            raise

    def _select_rows(self, page: Page) -> list[Row]:
        end = self._end
        own = (row for row in page.rows if not row.part and row.key >= self._start)
        return [row for row in own if not end or row.key < end]

    def _apply(self, page: Page) -> None:
        for row in self._select_rows(page):
            # Pages of a whole read are of later and later moments, and changes are asked for from
            # the first one's on: what is read of a row may be older than what is known.
            known = self.rows.get(row.key)
            if known is not None and 0 < row.version < known.version:
                continue
            if row.deleted:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row
        self._version = max(self._version, page.version)


def plan_full_read(took: float) -> float:
    """Return the seconds until the next whole read, after one of ``took`` seconds."""
    return max(FULL_READ_PERIOD_S, took / MAX_FULL_READ_SHARE - took)


def _count_bytes(rows: Iterable[Row]) -> int:
    """Return the bytes of some rows' values."""
    return sum(len(row.value) for row in rows)
