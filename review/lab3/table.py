"""
Stand-in of the platform's store
================================

Rows, conditional transactions and a feed as PROTOCOL.md describes them, with its limits: 100
entries and 1 MB a call, ``rowBytes`` a value, 200 bytes a name, one part a call, no writes to the
tables ``op`` and ``servers``.  A call beyond them is refused with 400 (403 for these two tables)
and nothing of it is done.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections import defaultdict
from urllib.parse import parse_qs, urlsplit

from http11 import HttpServer

MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1_000_000
ANSWER_S = 0.004
TRANSACTION_S = 0.005
HISTORY_S = 20.0

Name = tuple[str, str, str]


class Table:
    """The store; ``refused`` lists the calls that were beyond a limit."""

    def __init__(self, row_bytes: int) -> None:
        self.row_bytes = row_bytes
        self.rows: dict[Name, tuple[str, int]] = {}
        self.version = 0
        self.changes: list[tuple[int, float, Name, str | None]] = []
        self.forgotten = 0
        self.refused: list[tuple[float, str, int]] = []
        self.largest: dict[str, int] = defaultdict(int)
        self._changed = asyncio.Event()
        self._parts: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._began = time.monotonic()
        self._server = HttpServer(self._handle)

    async def listen(self, address: str) -> None:
        await self._server.listen(address)

    def put(self, table: str, key: str, value: dict | None, part: str = "") -> None:
        """Write or remove a row as the operator, a minion or the platform does."""
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([((table, part, key), text)])

    def read(self, table: str, key: str, part: str = "") -> bytes | None:
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row[0])

    def _apply(self, entries: list[tuple[Name, str | None]]) -> None:
        self.version += 1
        now = time.monotonic()
        for name, value in entries:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (value, self.version)
            self.changes.append((self.version, now, name, value))
        while self.changes and self.changes[0][1] < now - HISTORY_S:
            self.forgotten = self.changes.pop(0)[0]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, method, path, headers, body):
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        await asyncio.sleep(ANSWER_S)
        match parts.path:
            case "/rows-tx":
                return await self._transact(body)
            case "/rows-get":
                return self._get(query)
            case "/rows-parts":
                return self._list_parts(query)
            case "/rows-feed":
                return await self._feed(query)
        return 404, b"{}"

    async def _transact(self, body: bytes):
        try:
            call = json.loads(body)
            expected = [(_name(row), row["rowVersion"]) for row in call.get("expectedRevision", [])]
            puts = [(_name(row), row["value"]) for row in call.get("puts", [])]
            puts += [(_name(row), None) for row in call.get("remove", [])]
        except (ValueError, KeyError, TypeError):
            return 400, b"{}"
        names = [name for name, _ in expected] + [name for name, _ in puts]
        if any(name[0] in ("op", "servers") for name, _ in puts):
            return 403, b"{}"
        fault = self._find_fault(body, names, puts)
        if fault:
            self.refused.append((time.monotonic(), *fault))
            return 400, json.dumps({"error": f"{fault[0]}: {fault[1]}"}).encode()
        async with self._parts[names[0][1] if names else ""]:
            await asyncio.sleep(TRANSACTION_S)
            if any(self._version(name) != version for name, version in expected):
                rows = [self._describe(name) for name, _ in expected]
                return self._answer(412, {"rows": rows})
            self._apply(puts)
            return self._answer(200, {})

    def _find_fault(self, body, names, puts) -> tuple[str, int] | None:
        """Return which limit a call exceeds and by what, None if it is within all of them."""
        if len(body) > MAX_CALL_BYTES:
            return "call of more than 1 MB", len(body)
        if len(names) > MAX_ENTRIES:
            return "more than 100 entries", len(names)
        if len({part for _, part, _ in names}) > 1:
            return "more than one part", len(names)
        if any(len(text.encode()) > 200 for name in names for text in name):
            return "name of more than 200 bytes", 0
        for (table, _, key), value in puts:
            size = len(base64.b64decode(value)) if value is not None else 0
            self.largest[table] = max(self.largest[table], size)
            if size > self.row_bytes:
                return f"value of more than rowBytes in {table}/{key}", size
        return None

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("target")
        keys = sorted(
            (key for t, p, key in self.rows if (t, p) == (table, part)), key=str.encode
        )
        keys = [key for key in keys if key >= start and (end is None or key < end)]
        rows, size, more = [], 0, False
        for key in keys:
            row = self._describe((table, part, key))
            size += len(row.get("value", "")) + 100
            if len(rows) >= min(int(query.get("limit", "500")), MAX_PAGE_ROWS) or (
                rows and size > MAX_PAGE_BYTES
            ):
                more = True
                break
            rows.append(row)
        return self._answer(200, {"rows": rows, "morePages": more})

    def _list_parts(self, query):
        parts = sorted({p for t, p, _ in self.rows if t == query["table"]})
        parts = [part for part in parts if part > query.get("after", "") or "after" not in query]
        return self._answer(200, {"parts": parts[:1_000]})

    async def _feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + min(30.0, int(query.get("waitMs", "0")) / 1_000)
        while True:
            if after < self.forgotten:
                return self._answer(410, {})
            found = [it for it in self.changes if it[0] > after and it[2][0] == query["table"]]
            left = until - time.monotonic()
            if found or left <= 0:
                rows = [_encode(name, value, version) for version, _, name, value in found]
                return self._answer(200, {"rows": rows})
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _version(self, name: Name) -> int:
        return self.rows.get(name, ("", 0))[1]

    def _describe(self, name: Name) -> dict:
        value, version = self.rows.get(name, (None, 0))
        return _encode(name, value, version)

    def _answer(self, status: int, fields: dict) -> tuple[int, bytes]:
        now = int((time.monotonic() - self._began) * 1_000) + 1
        body = {"rowVersion": self.version, "nowMs": now, **fields}
        return status, json.dumps(body).encode()


def _name(row: dict) -> Name:
    return row["table"], row.get("part", ""), row["key"]


def _encode(name: Name, value: str | None, version: int) -> dict:
    table, part, key = name
    row = {"table": table, "part": part, "key": key, "rowVersion": version}
    return {**row, "deleted": True} if value is None else {**row, "value": value}
