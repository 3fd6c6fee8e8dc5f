"""
Reader of rows
==============

Decode the rows of a table one by one, so that a malformed row doesn't hide the others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

import logbook

from toucanpin.entry.clocks import steady_time
from toucanpin.entry.metrics import MALFORMED_ROWS
from toucanpin.exception import PlatformError, ToucanpinError
from toucanpin.platform.store import Row

__all__ = ["DECODE_ERRORS", "RowReader"]

_log = logbook.Logger("entries")
T = TypeVar("T")
DECODE_ERRORS = (ToucanpinError, ValueError)
MAX_REPORTED_ROWS = 1_000  # malformed rows to remember; with more of them some count again
MAX_LINES = 20  # in a period; another writer may change hundreds of rows twice a second
LINE_PERIOD_S = 10.0


class RowReader:
    """
    Decoder of rows that logs each malformed row once, and some of them if there are many.

    Tables with many writers may hold anything.  They are read about once a second, and a line for
    each read would fill the log, and take the place of other warnings.
    """

    __slots__ = ("_lines", "_omitted", "_period_ends", "_reported")

    def __init__(self) -> None:
        self._reported: dict[tuple[str, str, str], int] = {}
        self._period_ends = 0.0
        self._lines = 0  # written in this period
        self._omitted = 0  # since the last line

    def read(self, rows: Iterable[Row], decode: Callable[[Row], T]) -> Iterator[tuple[Row, T]]:
        """Yield each valid row with the result of ``decode`` for it."""
        for row in rows:
            if row.deleted:
                continue
            try:
                if not row.readable:
                    raise PlatformError("the value isn't base64")
                value = decode(row)
            except DECODE_ERRORS as error:
                self._report(row, error)
                continue
            yield row, value

    def read_one(self, rows: Iterable[Row], decode: Callable[[Row], T]) -> T | None:
        """Return the decoded value of the first valid row, None without one."""
        return next((value for _, value in self.read(rows, decode)), None)

    def _report(self, row: Row, error: Exception) -> None:
        name = (row.table, row.part, row.key)
        if self._reported.get(name) == row.version:
            return
        if len(self._reported) >= MAX_REPORTED_ROWS:
            self._reported.clear()
        self._reported[name] = row.version
        MALFORMED_ROWS.add(1, {"table": row.table})
        if not self._take_line():
            self._omitted += 1
            return
        omitted, self._omitted = self._omitted, 0
        _log.warning(
            "malformed row",
            event="entry.unsound",
            table=row.table,
            part=row.part,
            key=row.key,
            version=row.version,
            reason=str(error)[:300],
            omitted=omitted,
        )

    def _take_line(self) -> bool:
        """Return whether one more line may be written in this period."""
        now = steady_time()
        if now >= self._period_ends:
            self._period_ends = now + LINE_PERIOD_S
            self._lines = 0
        self._lines += 1
        return self._lines <= MAX_LINES
