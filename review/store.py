"""
Stand-in of the platform's store, by PROTOCOL.md, "The platform's metadata store".

It holds a row's value to ``rowBytes``, a transaction to 100 entries and 1 MB, and refuses what
exceeds these with 400; the page gives no status for that.
"""

from __future__ import annotations

import asyncio
import base64
import bisect
import json
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from wire import Message, Server

ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_PAGE_ROWS = 500
ANSWER_S = 0.004
SYSTEM_TABLES = ("op", "servers")


class Store:
    """Rows, transactions and the feed of changes; ``record`` notes what it refuses."""

    def __init__(self, record: Callable[..., None]) -> None:
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self.keys: list[tuple[str, str, str]] = []
        self.version = 0
        self.feed: list[tuple[int, str, str, str, bytes | None]] = []
        self.record = record
        # Decides on a transaction: None to answer it, else in how many seconds it is carried out
        # without an answer.
        self.lose: Callable[[dict], float | None] = lambda call: None
        self._began = time.monotonic()
        self._changed = asyncio.Event()
        self._server = Server(self._handle)

    async def listen(self, address: str, port: int = 0) -> int:
        return await self._server.listen(address, port)

    async def close(self) -> None:
        await self._server.close()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a minion does."""
        self._apply([(table, "", key, json.dumps(value).encode())])

    def remove(self, table: str, key: str) -> None:
        self._apply([(table, "", key, None)])

    async def _handle(self, request: Message) -> tuple[int, object] | None:
        parts = urlsplit(request.first[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        await asyncio.sleep(ANSWER_S)
        match parts.path:
            case "/rows-tx":
                return await self._transact(request)
            case "/rows-get":
                return self._get(query)
            case "/rows-feed":
                return await self._follow(query)
            case "/rows-parts":
                found = sorted({part for table, part, _ in self.keys if table == query["table"]})
                return self._answer(200, {"parts": found[:1_000]})
        return 404, None

    async def _transact(self, request: Message) -> tuple[int, object] | None:
        call = request.json()
        fault = self._find_fault(call, len(request.body))
        if fault:
            self.record("store refuses a call", status=400, why=fault)
            return 400, {"error": fault}
        delay = self.lose(call)
        if delay is not None:
            names = ",".join(f"{row['table']}/{row['key']}" for row in call["puts"])
            self.record("store loses the answer to a write", rows=names, done_in_s=delay)
            await asyncio.sleep(delay)
            status, _ = self._commit(call)
            self.record("store has carried out that write", rows=names, status=status)
            return None
        return self._commit(call)

    def _find_fault(self, call: dict, size: int) -> str:
        entries = [*call["expectedRevision"], *call["puts"], *call["remove"]]
        if len(entries) > MAX_ENTRIES:
            return f"{len(entries)} entries"
        if size > MAX_CALL_BYTES:
            return f"a call of {size} bytes"
        if len({row["part"] for row in entries}) > 1:
            return "several parts"
        for row in [*call["puts"], *call["remove"]]:
            if row["table"] in SYSTEM_TABLES:
                return f"table {row['table']}"
        for row in call["puts"]:
            length = len(base64.b64decode(row["value"]))
            if length > ROW_BYTES:
                name = f"{row['table']}/{row['key']}"
                return f"the value of row {name} has {length} bytes, rowBytes is {ROW_BYTES}"
        return ""

    def _commit(self, call: dict) -> tuple[int, object]:
        for row in call["expectedRevision"]:
            if self._version_of(_name(row)) != row["rowVersion"]:
                rows = [self._describe(_name(it)) for it in call["expectedRevision"]]
                return self._answer(412, {"rows": rows})
        entries = [(*_name(row), base64.b64decode(row["value"])) for row in call["puts"]]
        entries += [(*_name(row), None) for row in call["remove"]]
        self._apply(entries)
        return self._answer(200, {})

    def _apply(self, entries: list[tuple[str, str, str, bytes | None]]) -> None:
        self.version += 1
        for table, part, key, value in entries:
            name = (table, part, key)
            if value is None:
                if self.rows.pop(name, None) is not None:
                    del self.keys[bisect.bisect_left(self.keys, name)]
            else:
                if name not in self.rows:
                    bisect.insort(self.keys, name)
                self.rows[name] = (value, self.version)
            self.feed.append((self.version, table, part, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _get(self, query: dict[str, str]) -> tuple[int, object]:
        table, part = query["table"], query.get("part", "")
        at = bisect.bisect_left(self.keys, (table, part, query.get("from", "")))
        limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
        rows, size, more = [], 0, False
        for name in self.keys[at:]:
            if name[:2] != (table, part) or ("target" in query and name[2] >= query["target"]):
                break
            row = self._describe(name)
            size += len(row["value"])
            if len(rows) >= limit or (rows and size > MAX_CALL_BYTES):
                more = True
                break
            rows.append(row)
        return self._answer(200, {"rows": rows, "morePages": more})

    async def _follow(self, query: dict[str, str]) -> tuple[int, object]:
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1_000
        while True:
            first = bisect.bisect_right(self.feed, after, key=lambda change: change[0])
            rows = []
            for version, table, part, key, value in self.feed[first:]:
                if table == query["table"]:
                    rows.append(_encode(table, part, key, value, version))
            left = until - time.monotonic()
            if rows or left <= 0:
                return self._answer(200, {"rows": rows})
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _version_of(self, name: tuple[str, str, str]) -> int:
        return self.rows[name][1] if name in self.rows else 0

    def _describe(self, name: tuple[str, str, str]) -> dict:
        value, version = self.rows.get(name, (None, 0))
        return _encode(*name, value, version)

    def _answer(self, status: int, fields: dict) -> tuple[int, object]:
        now = int((time.monotonic() - self._began) * 1_000) + 1
        return status, {"rowVersion": self.version, "nowMs": now, **fields}


def _name(row: dict) -> tuple[str, str, str]:
    return row["table"], row["part"], row["key"]


def _encode(table: str, part: str, key: str, value: bytes | None, version: int) -> dict:
    row = {"table": table, "part": part, "key": key, "rowVersion": version}
    if value is None:
        return {**row, "value": "", "deleted": True} if version else {**row, "value": ""}
    return {**row, "value": base64.b64encode(value).decode()}
