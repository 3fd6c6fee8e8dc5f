"""
Store of the platform
=====================

Rows in tables: conditional transactions, ranges, and what has changed.
"""

from __future__ import annotations

import binascii
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import quote

import msgspec

from toucanpin.exception import PlatformError, ToucanpinError
from toucanpin.http.client import Answer, CallError
from toucanpin.scheduling.timing import ClockEstimate
from toucanpin.steady import steady_time
from toucanpin.verdict import Verdict

__all__ = [
    "MAX_PAGE_ROWS",
    "Transport",
    "Conflict",
    "Committed",
    "ExpectedVersion",
    "Page",
    "Put",
    "Row",
    "Store",
]

READ_TIMEOUT_S = 2.0  # s: a healthy answer takes 10 ms, one of a store 60 times slower 0.6 s
PAGE_ROWS = 150  # rows asked for at a time, so that a page also passes the inner protocol
BACKGROUND_PAGE_ROWS = 40  # rows asked for at a time where nobody waits for them
MAX_PAGE_ROWS = 500  # rows of one answer, by the platform's page


@dataclass(frozen=True, slots=True)
class Row:
    """
    Hold one row; ``version`` is 0 where it doesn't exist.

    ``sound`` tells whether its value could be read at all; other writers' rows may hold anything.
    """

    table: str
    part: str
    key: str
    value: bytes
    version: int
    deleted: bool = False
    readable: bool = True


@dataclass(frozen=True, slots=True)
class ExpectedVersion:
    """Demand the version that a row must have for a transaction to apply; 0 means none."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write one row, or drop it where ``value`` is None."""

    table: str
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Committed:
    """Say that a transaction was applied; ``clock`` is the store's, in ms."""

    version: int
    clock: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Say that a transaction was not applied, with the rows that it named as they are."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Page:
    """Hold rows as of one moment: ``version`` is the store's newest then, ``clock`` its time."""

    rows: tuple[Row, ...]
    more: bool
    version: int
    clock: int


class Transport(Protocol):
    """Call the store, directly or through a peer."""

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer: ...


class _Key(msgspec.Struct, rename="camel"):
    """Name a row in a request; the wire calls the version of a row ``rowVersion``."""

    table: str
    part: str
    key: str


class _Expectation(msgspec.Struct, rename="camel"):
    table: str
    part: str
    key: str
    row_version: int


class _Value(msgspec.Struct, rename="camel"):
    table: str
    part: str
    key: str
    value: bytes


class _Transaction(msgspec.Struct, rename="camel"):
    """The wire calls the conditions ``expectedRevision`` though each holds a row's version."""

    expected_revision: list[_Expectation]
    puts: list[_Value]
    remove: list[_Key]


class _WireRow(msgspec.Struct, rename="camel"):
    """Hold a row; its value is text in base64, or whatever another writer has left there."""

    table: str = ""
    part: str = ""
    key: str = ""
    value: msgspec.Raw = msgspec.Raw(b'""')
    row_version: int = 0
    deleted: bool = False


class _WireRows(msgspec.Struct, rename="camel"):
    rows: list[msgspec.Raw] = []
    more_pages: bool = False
    row_version: int = 0
    now_ms: float = 0


class Store:
    """Speak to the store in rows; every failure says whether a write may still take effect."""

    __slots__ = ("_caller", "clock", "clock_estimate")

    def __init__(self, caller: Transport) -> None:
        self._caller = caller
        self.clock = 0  # the store's own, in ms, from its newest answer
        self.clock_estimate = ClockEstimate()

    def read_clock(self) -> int:
        """Return the store's clock as it is now, in ms, not as its newest answer told it."""
        return max(self.clock, int(self.clock_estimate.read(steady_time())))

    async def transact(
        self,
        part: str,
        expected: Sequence[ExpectedVersion],
        puts: Sequence[Put],
        timeout: float = READ_TIMEOUT_S,
    ) -> Committed | Conflict:
        """
        Apply all of ``puts`` in one part if all of ``expected`` holds, or nothing.

        Raises
        ------
        CallError
            If nothing was done, or it isn't known; a write that isn't known may come seconds later.
        """
        transaction = _Transaction(
            [_Expectation(e.table, part, e.key, e.version) for e in expected],
            [_Value(p.table, part, p.key, p.value) for p in puts if p.value is not None],
            [_Key(p.table, part, p.key) for p in puts if p.value is None],
        )
        body = msgspec.json.encode(transaction)
        answer, rows = await self._call("POST", "/rows-tx", body, (200, 412), timeout)
        if answer.status == 412:
            return Conflict(_to_rows(rows))
        return Committed(rows.row_version, self.clock)

    async def read(
        self,
        table: str,
        part: str = "",
        start: str = "",
        end: str = "",
        limit: int = MAX_PAGE_ROWS,
        timeout: float = READ_TIMEOUT_S,
    ) -> Page:
        """Read the rows of a range of keys that excludes ``end``, as of one moment."""
        path = f"/rows-get?table={quote(table)}&part={quote(part)}&limit={limit}"
        if start:
            path += f"&from={quote(start)}"
        if end:
            # The wire's name of the end of a range also stands for other things elsewhere.
            path += f"&target={quote(end)}"
        _, rows = await self._call("GET", path, b"", (200,), timeout)
        return self._to_page(rows)

    async def read_all(
        self,
        table: str,
        part: str = "",
        start: str = "",
        end: str = "",
        on_error: Callable[[ToucanpinError], Awaitable[None]] | None = None,
        after_page: Callable[[float], Awaitable[None]] | None = None,
    ) -> Page:
        """
        Read all rows of a range in a part, however many pages they fill.

        ``version`` and ``clock`` are those of the first page.  A page that wasn't read is asked for
        again after ``unread``, and the next one after a ``rest`` that is told how many seconds this
        one took, where these are given.
        """
        rows: list[Row] = []
        first: Page | None = None
        while True:
            asked_at = steady_time()
            try:
                page = await self.read(
                    table,
                    part,
                    start,
                    end,
                    limit=PAGE_ROWS if after_page is None else BACKGROUND_PAGE_ROWS,
                )
            except (CallError, PlatformError) as error:
                if on_error is None:
                    raise
                await on_error(error)
                continue
            first = first or page
            rows += page.rows
            if after_page is not None:
                await after_page(steady_time() - asked_at)
            if not page.more or not page.rows:
                return Page(tuple(rows), False, first.version, first.clock)
            start = page.rows[-1].key + "\0"

    async def follow(
        self, table: str, after: int, wait: float, margin: float = READ_TIMEOUT_S
    ) -> Page | None:
        """
        Wait for changes of a table after a version; None if that history is gone.

        ``margin`` is for how long beyond its wait an answer is waited for.
        """
        path = f"/rows-feed?table={quote(table)}&after={after}&waitMs={int(wait * 1_000)}"
        answer, rows = await self._call("GET", path, b"", (200, 410), wait + margin)
        return None if answer.status == 410 else self._to_page(rows)

    async def _call(
        self, method: str, path: str, body: bytes, good: tuple[int, ...], timeout: float
    ) -> tuple[Answer, _WireRows]:
        sent = steady_time()
        answer = await self._caller.call(method, path, body, timeout=timeout)
        received = steady_time()
        rows = _WireRows() if answer.status == 410 else self._decode(answer, good)
        if rows.now_ms:
            self.clock_estimate.note(rows.now_ms, sent, received)
        return answer, rows

    def _decode(self, answer: Answer, good: tuple[int, ...]) -> _WireRows:
        if answer.status in (429, 503):
            detail = f"the store refused with {answer.status}"
            raise CallError(Verdict.NOT_RUN, detail, answer.status)
        if answer.status not in good:
            raise PlatformError(f"the store answered {answer.status}: {answer.body[:200]!r}")
        try:
            rows = msgspec.json.decode(answer.body, type=_WireRows)
        except msgspec.MsgspecError as error:
            detail = f"the store's answer can't be read: {error}"
            raise CallError(Verdict.MAY_HAVE_RUN, detail) from error
        self.clock = max(self.clock, int(rows.now_ms))
        return rows

    def _to_page(self, rows: _WireRows) -> Page:
        return Page(_to_rows(rows), rows.more_pages, rows.row_version, int(rows.now_ms))


def _to_rows(rows: _WireRows) -> tuple[Row, ...]:
    return tuple(row for raw in rows.rows for row in _read_row(raw))


def _read_row(raw: msgspec.Raw) -> Iterable[Row]:
    """Yield a row, whatever its value is; what has no key of its own names nothing."""
    try:
        row = msgspec.json.decode(raw, type=_WireRow)
    except (msgspec.MsgspecError, ValueError):
        return
    value = _read_value(row.value)
    sound = value is not None
    yield Row(row.table, row.part, row.key, value or b"", row.row_version, row.deleted, sound)


def _read_value(raw: msgspec.Raw) -> bytes | None:
    """Return the bytes of a value, None if they can't be read."""
    try:
        return binascii.a2b_base64(msgspec.json.decode(raw, type=str), strict_mode=True)
    except (msgspec.MsgspecError, ValueError):
        return None
