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

from toucanpin.entry.metrics import UNSOUND
from toucanpin.exception import PlatformError, ToucanpinError
from toucanpin.platform.store import Row

__all__ = ["UNREADABLE", "EntryReader"]

_log = logbook.Logger("entries")
T = TypeVar("T")
UNREADABLE = (ToucanpinError, msgspec.MsgspecError, ValueError)
MOST_TOLD = 1_000  # entries that are remembered as told; beyond, some are told again


class EntryReader:
    """
    Read entries, and tell once of each that isn't sound.

    Tables that many write may hold anything.  Tables are read every second or so, and a line each
    time would fill the log.
    """

    __slots__ = ("_told",)

    def __init__(self) -> None:
        self._told: dict[tuple[str, str, str], int] = {}

    def read(self, rows: Iterable[Row], decode: Callable[[Row], T]) -> Iterator[tuple[Row, T]]:
        """Yield each row that is sound with what ``decode`` makes of it."""
        for row in rows:
            if row.deleted:
                continue
            try:
                if not row.readable:
                    raise PlatformError("the value isn't base64")
                value = decode(row)
            except UNREADABLE as error:
                self._tell(row, error)
                continue
            yield row, value

    def read_one(self, rows: Iterable[Row], decode: Callable[[Row], T]) -> T | None:
        """Return what the first sound row holds, None without one."""
        return next((value for _, value in self.read(rows, decode)), None)

    def _tell(self, row: Row, error: Exception) -> None:
        name = (row.table, row.part, row.key)
        if self._told.get(name) == row.version:
            return
        if len(self._told) >= MOST_TOLD:
            self._told.clear()
        self._told[name] = row.version
        UNSOUND.add(1, {"table": row.table})
        _log.warning(
            "entry unsound",
            event="entry.unsound",
            table=row.table,
            part=row.part,
            key=row.key,
            version=row.version,
            reason=str(error)[:300],
        )
