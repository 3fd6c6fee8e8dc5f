"""
Entries of many writers
=======================

Read the rows of a table one by one, so that one which can't be read hides none of the others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

import logbook
import msgspec

from toucanpin.entry.metrics import MALFORMED_ROWS
from toucanpin.exception import PlatformError, ToucanpinError
from toucanpin.platform.store import Row

__all__ = ["DECODE_ERRORS", "RowReader"]

_log = logbook.Logger("entries")
T = TypeVar("T")
DECODE_ERRORS = (ToucanpinError, msgspec.MsgspecError, ValueError)
MAX_REPORTED_ROWS = 1_000  # entries that are remembered as told; beyond, some are told again


class RowReader:
    """
    Read entries, and tell once of each that isn't sound.

    Tables that many write may hold anything.  Tables are read every second or so, and a line each
    time would fill the log.
    """

    __slots__ = ("_reported",)

    def __init__(self) -> None:
        self._reported: dict[tuple[str, str, str], int] = {}

    def read(self, rows: Iterable[Row], decode: Callable[[Row], T]) -> Iterator[tuple[Row, T]]:
        """Yield each row that is sound with what ``decode`` makes of it."""
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
        """Return what the first sound row holds, None without one."""
        return next((value for _, value in self.read(rows, decode)), None)

    def _report(self, row: Row, error: Exception) -> None:
        name = (row.table, row.part, row.key)
        if self._reported.get(name) == row.version:
            return
        if len(self._reported) >= MAX_REPORTED_ROWS:
            self._reported.clear()
        self._reported[name] = row.version
        MALFORMED_ROWS.add(1, {"table": row.table})
        _log.warning(
            "entry unsound",
            event="entry.unsound",
            table=row.table,
            part=row.part,
            key=row.key,
            version=row.version,
            reason=str(error)[:300],
        )
