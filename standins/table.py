"""
Core of the table stand-in
==========================
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedDict

from toucanpin.platform.ports import (
    ABSENT,
    MAX_TRANSACTION_ROWS,
    Committed,
    Conflict,
    Row,
    Transaction,
    Write,
)

__all__ = ["TableCore", "TableCounts"]


@dataclass(slots=True)
class TableCounts:
    """Numbers of operations; a scan counts as one read, a rejected commit as one conflict."""

    reads: int = 0
    rows_read: int = 0
    writes: int = 0
    rows_written: int = 0
    conflicts: int = 0


class TableCore:
    """A table of versioned rows, ordered by key."""

    def __init__(self) -> None:
        self.counts = TableCounts()
        self._rows: SortedDict[str, Row] = SortedDict()
        self._version = ABSENT

    def read(self, key: str) -> Row | None:
        """Return one row, None if it does not exist."""
        row = self._rows.get(key)
        self.counts.reads += 1
        self.counts.rows_read += row is not None
        return row

    def scan(self, prefix: str, after: int = 0) -> tuple[Row, ...]:
        """Return the rows with a key prefix that changed after a version."""
        rows = tuple(row for row in self._iter_prefix(prefix) if row.version > after)
        self.counts.reads += 1
        self.counts.rows_read += len(rows)
        return rows

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Apply all writes or none; raise ValueError if the transaction exceeds the limits."""
        check_transaction(transaction.writes)
        stale = tuple(self._find_stale(transaction.writes))
        if stale:
            self.counts.conflicts += 1
            return Conflict(stale)
        self._version += 1
        self.counts.writes += 1
        for write in transaction.writes:
            if not write.check_only:
                self._apply(write)
        return Committed(self._version)

    def _iter_prefix(self, prefix: str) -> Iterator[Row]:
        """Yield the rows with a key prefix in key order."""
        for key in self._rows.irange(minimum=prefix):
            if not key.startswith(prefix):
                return
            yield self._rows[key]

    def _find_stale(self, writes: tuple[Write, ...]) -> Iterator[Row]:
        """Yield the rows that are not at the expected version."""
        for write in writes:
            row = self._rows.get(write.key, Row(write.key, ABSENT, b""))
            if row.version != write.expected:
                yield row

    def _apply(self, write: Write) -> None:
        """Apply one write."""
        self.counts.rows_written += 1
        if write.value is None:
            self._rows.pop(write.key, None)
        else:
            self._rows[write.key] = Row(write.key, self._version, write.value)


def check_transaction(writes: tuple[Write, ...]) -> None:
    """Raise ValueError if there are no or too many writes, or two writes to one row."""
    if not 0 < len(writes) <= MAX_TRANSACTION_ROWS:
        raise ValueError(f"a transaction has 1 to {MAX_TRANSACTION_ROWS} rows, not {len(writes)}")
    if len({write.key for write in writes}) != len(writes):
        raise ValueError("a transaction names each row once")
