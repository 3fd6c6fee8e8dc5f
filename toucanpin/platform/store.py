"""
Store client
============

Read and follow the rows of the platform's store, and write them in conditional transactions.
"""

from __future__ import annotations

import binascii
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Annotated, Protocol
from urllib.parse import quote

import msgspec

from toucanpin.decoding import MAX_NUMBER, Whole, decode_json
from toucanpin.exception import MalformedError, PlatformError, ToucanpinError
from toucanpin.http.client import Answer, CallError
from toucanpin.scheduling.remote_clock import ClockEstimate
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

READ_TIMEOUT_S = 2.0  # a healthy store answers in 10 ms, one that is 60 times slower in 0.6 s
PAGE_ROWS = 150  # small enough for a page to fit the inner protocol
BACKGROUND_PAGE_ROWS = 40  # for reads that nothing waits for
MAX_PAGE_ROWS = 500  # the platform's limit


@dataclass(frozen=True, slots=True)
class Row:
    """
    A row; ``version`` is 0 if it doesn't exist.

    ``part`` is the partition of the table.  ``readable`` is False if the value could not be
    decoded, since other writers may store anything.
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
    """The version that a row must have for a transaction to apply; 0 if it must not exist."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """A write of one row, or its removal if ``value`` is None."""

    table: str
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Committed:
    """A transaction was applied; ``clock`` is the store's time, in ms."""

    version: int
    clock: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A transaction was not applied; ``rows`` holds the current state of the rows it named."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Page:
    """Rows at one point in time; ``version`` is the store's version then, ``clock`` its time."""

    rows: tuple[Row, ...]
    more: bool
    version: int
    clock: int


class Transport(Protocol):
    """Transport of requests to a service of the platform, directly or through a peer."""

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer: ...


class _Key(msgspec.Struct, rename="camel"):
    """A row's name in a request."""

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
    """A transaction; the conditions in ``expected_revision`` hold row versions."""

    expected_revision: list[_Expectation]
    puts: list[_Value]
    remove: list[_Key]


class _WireRow(msgspec.Struct, rename="camel"):
    """A row; its value should be base64 text, but other writers may store anything."""

    table: str = ""
    part: str = ""
    key: str = ""
    value: msgspec.Raw = msgspec.Raw(b'""')
    row_version: Whole = 0
    deleted: bool = False


class _WireRows(msgspec.Struct, rename="camel"):
    rows: list[msgspec.Raw] = []
    more_pages: bool = False
    row_version: Whole = 0
    now_ms: Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)] = 0


class Store:
    """Client of the store; every failed write reports whether it may still take effect."""

    __slots__ = ("_transport", "clock", "clock_estimate", "version")

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self.clock = 0  # the store's time, in ms, in its newest answer
        self.version = 0  # the newest version in an answer
        self.clock_estimate = ClockEstimate()

    def read_clock(self) -> int:
        """Return an estimate of the store's current time, in ms, no earlier than ``clock``."""
        return max(self.clock, int(self.clock_estimate.read(steady_time())))

    async def transact(
        self,
        part: str,
        expected: Sequence[ExpectedVersion],
        puts: Sequence[Put],
        timeout: float = READ_TIMEOUT_S,
    ) -> Committed | Conflict:
        """
        Apply all of ``puts`` to one partition if all of ``expected`` hold, and nothing otherwise.

        Raises
        ------
        CallError
            If nothing was applied or the outcome is unknown.  A write with an unknown outcome may
            still take effect seconds later.
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
        """Return the rows with keys from ``start`` up to, not including, ``end``."""
        path = f"/rows-get?table={quote(table)}&part={quote(part)}&limit={limit}"
        if start:
            path += f"&from={quote(start)}"
        if end:
            # ``target`` is the platform's name for the end of a range in this call only.
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
        Return all rows of a range of keys, with the version and clock of the first page.

        If ``on_error`` is given, it is awaited after each page that can't be read, and the page is
        then requested again.  If ``after_page`` is given, it is awaited after each page, with the
        seconds that the page took.
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
        Wait for changes to a table after a version; return None if they are no longer kept.

        The call times out ``margin`` seconds after the ``wait`` seconds given to the store.
        """
        path = f"/rows-feed?table={quote(table)}&after={after}&waitMs={int(wait * 1_000)}"
        answer, rows = await self._call("GET", path, b"", (200, 410), wait + margin)
        return None if answer.status == 410 else self._to_page(rows)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        accepted: tuple[int, ...],
        timeout: float,
    ) -> tuple[Answer, _WireRows]:
        sent = steady_time()
        answer = await self._transport.call(method, path, body, timeout=timeout)
        received = steady_time()
        rows = _WireRows() if answer.status == 410 else self._decode(answer, accepted)
        if rows.now_ms:
            self.clock_estimate.record(rows.now_ms, sent, received)
        return answer, rows

    def _decode(self, answer: Answer, accepted: tuple[int, ...]) -> _WireRows:
        if answer.status in (429, 503):
            detail = f"the store refused with {answer.status}"
            raise CallError(Verdict.NOT_RUN, detail, answer.status)
        if answer.status not in accepted:
            raise PlatformError(f"the store answered {answer.status}: {answer.body[:200]!r}")
        try:
            rows = decode_json(answer.body, _WireRows)
        except MalformedError as error:
            detail = f"the store's answer can't be decoded: {error}"
            raise CallError(Verdict.MAY_HAVE_RUN, detail) from error
        self.clock = max(self.clock, int(rows.now_ms))
        self.version = max(self.version, rows.row_version)
        return rows

    def _to_page(self, rows: _WireRows) -> Page:
        return Page(_to_rows(rows), rows.more_pages, rows.row_version, int(rows.now_ms))


def _to_rows(rows: _WireRows) -> tuple[Row, ...]:
    return tuple(row for raw in rows.rows for row in _read_row(raw))


def _read_row(raw: msgspec.Raw) -> Iterable[Row]:
    """Yield the row whatever its value is, or nothing if its other fields can't be decoded."""
    try:
        row = decode_json(raw, _WireRow)
    except MalformedError:
        return
    value = _read_value(row.value)
    sound = value is not None
    yield Row(row.table, row.part, row.key, value or b"", row.row_version, row.deleted, sound)


def _read_value(raw: msgspec.Raw) -> bytes | None:
    """Return the bytes of a value, None if it isn't base64 text."""
    try:
        return binascii.a2b_base64(decode_json(raw, str), strict_mode=True)
    except (MalformedError, ValueError):
        return None
