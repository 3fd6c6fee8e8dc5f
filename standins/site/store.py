"""
Store
=====

Tables with conditional transactions and a change feed, served on any number of addresses.
"""

from __future__ import annotations

import asyncio
import base64
import time
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
from sortedcontainers import SortedDict

from toucanpin.http import Request, Response, Server

__all__ = ["SiteStore", "StoreFaults"]

_Entry = tuple[str, str, str, bytes | None]
MAX_BODY = 1_048_576  # bytes of one transaction
MAX_ENTRIES = 100  # of one transaction
MAX_VALUE_BYTES = 65_536  # of base64, in one row


@dataclass(slots=True)
class StoreFaults:
    """Injected faults of one address of the store."""

    status: int = 0  # HTTP status of every answer, 0 to answer normally
    silent: bool = False
    lose_writes: int = 0  # number of transactions to apply without an answer
    late_writes: int = 0  # number of transactions to apply late and without an answer
    late_delay: float = 1.0  # s
    unavailable_table: str = ""  # table whose reads fail
    unavailable_feed: str = ""  # table whose feed fails
    failed_reads: int = 0  # number of reads that failed


@dataclass(slots=True)
class _Stored:
    value: bytes
    version: int


@dataclass(slots=True)
class _Change:
    table: str
    part: str
    key: str
    value: bytes | None
    version: int


@dataclass(slots=True)
class SiteStore:
    """Versioned rows; each address has its own faults, so that they can affect a single host."""

    rows: SortedDict[tuple[str, str, str], _Stored] = field(default_factory=SortedDict)
    version: int = 0
    changes: list[_Change] = field(default_factory=list)
    forgotten_version: int = 0
    hides_changes: bool = False  # the feed reports no changes
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    started_at: float = field(default_factory=time.monotonic)
    transactions: int = 0
    read_counts: Counter[str] = field(default_factory=Counter)  # number of reads by table
    row_counts: Counter[str] = field(default_factory=Counter)  # number of returned rows by table

    async def listen(self, address: str, faults: StoreFaults) -> Server:
        """Serve an address with its own faults."""

        async def handle(request: Request) -> Response | None:
            return await self._handle(request, faults)

        server = Server(handle, 16_384, MAX_BODY)
        await server.listen(address)
        return server

    def put(self, table: str, key: str, value: bytes, part: str = "") -> None:
        """Write a row as the operator or a worker does."""
        self._apply([(table, part, key, value)])

    def delete(self, table: str, key: str, part: str = "") -> None:
        """Delete a row."""
        self._apply([(table, part, key, None)])

    def forget_history(self) -> None:
        """Drop the history, so that older versions can no longer be followed."""
        self.changes.clear()
        self.forgotten_version = self.version

    async def _handle(self, request: Request, faults: StoreFaults) -> Response | None:
        if faults.silent:
            await asyncio.sleep(60)
            return None
        if faults.status:
            return Response(faults.status)
        parts = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match parts.path:
            case "/rows-tx":
                return await self._transact(msgspec.json.decode(request.body), faults)
            case "/rows-get" if query["table"] == faults.unavailable_table:
                faults.failed_reads += 1
                return Response(503)
            case "/rows-get":
                return self._get(query)
            case "/rows-feed" if query["table"] == faults.unavailable_feed:
                return Response(503)
            case "/rows-feed":
                return await self._feed(query)
        return Response(404)

    async def _transact(self, call: dict[str, Any], faults: StoreFaults) -> Response | None:
        self.transactions += 1
        if _exceeds_limits(call):
            return Response(400)
        if faults.late_writes:
            faults.late_writes -= 1
            asyncio.get_running_loop().call_later(faults.late_delay, self._apply_if_current, call)
            await asyncio.sleep(faults.late_delay)
            return None
        answer = self._apply_if_current(call)
        if faults.lose_writes:
            faults.lose_writes -= 1
            return None
        return answer

    def _apply_if_current(self, call: dict[str, Any]) -> Response:
        expected = [(_name(row), row["rowVersion"]) for row in call["expectedRevision"]]
        if any(self._version(name) != version for name, version in expected):
            rows = [self._describe(name) for name, _ in expected]
            return self._answer(412, {"rows": rows})
        entries: list[_Entry] = [
            (*_name(row), base64.b64decode(row["value"])) for row in call["puts"]
        ]
        entries += [(*_name(row), None) for row in call["remove"]]
        self._apply(entries)
        return self._answer(200, {})

    def _apply(self, entries: list[_Entry]) -> None:
        self.version += 1
        for table, part, key, value in entries:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = _Stored(value, self.version)
            self.changes.append(_Change(table, part, key, value, self.version))
        self.changed.set()
        self.changed = asyncio.Event()

    def _get(self, query: dict[str, str]) -> Response:
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from", ""), query.get("target")
        end = (table, part + "\0", "") if high is None else (table, part, high)
        keys = list(self.rows.irange((table, part, low), end, inclusive=(True, False)))
        limit = int(query.get("limit", "500"))
        rows = [self._describe(name) for name in keys[:limit]]
        self.read_counts[table] += 1
        self.row_counts[table] += len(rows)
        return self._answer(200, {"rows": rows, "morePages": len(keys) > limit})

    async def _feed(self, query: dict[str, str]) -> Response:
        after = int(query["after"])
        self.read_counts[query["table"]] += 1
        deadline = time.monotonic() + int(query["waitMs"]) / 1_000
        while True:
            if after < self.forgotten_version:
                return self._answer(410, {})
            first = bisect_right(self.changes, after, key=lambda change: change.version)
            changes = () if self.hides_changes else self.changes[first:]
            found = [change for change in changes if change.table == query["table"]]
            left = deadline - time.monotonic()
            if found or left <= 0:
                self.row_counts[query["table"]] += len(found)
                return self._answer(200, {"rows": [_encode(change) for change in found]})
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def _version(self, name: tuple[str, str, str]) -> int:
        stored = self.rows.get(name)
        return stored.version if stored else 0

    def _describe(self, name: tuple[str, str, str]) -> dict[str, Any]:
        stored = self.rows.get(name)
        value = stored.value if stored else None
        return _encode(_Change(*name, value, stored.version if stored else 0))

    def _answer(self, status: int, fields: dict[str, Any]) -> Response:
        now = int((time.monotonic() - self.started_at) * 1_000) + 1
        body = {"rowVersion": self.version, "nowMs": now, **fields}
        return Response(status, msgspec.json.encode(body))


def _exceeds_limits(call: dict[str, Any]) -> bool:
    """Return whether the users' store would refuse a transaction."""
    entries = sum(len(call[field]) for field in ("expectedRevision", "puts", "remove"))
    largest = max((len(row["value"]) for row in call["puts"]), default=0)
    return entries > MAX_ENTRIES or largest > MAX_VALUE_BYTES


def _name(row: dict[str, Any]) -> tuple[str, str, str]:
    return row["table"], row["part"], row["key"]


def _encode(change: _Change) -> dict[str, Any]:
    row: dict[str, Any] = {"table": change.table, "part": change.part, "key": change.key}
    row["rowVersion"] = change.version
    if change.value is None:
        return {**row, "deleted": True}
    return {**row, "value": base64.b64encode(change.value).decode()}
