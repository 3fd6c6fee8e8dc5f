"""
Stand-in of the platform's metadata store, in its form `table`, as PROTOCOL.md describes it: rows,
conditional transactions, a feed with 20 s of history, and the limits on sizes.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.rig.http import Call, HttpServer, Reply

__all__ = ["ROW_BYTES", "PlatformStore"]

ROW_BYTES = 65_536  # platform.rowBytes; counted before base64, which is the larger reading
MAX_CALL_BYTES = 1_048_576
MAX_ENTRIES = 100
MAX_NAME_BYTES = 200
HISTORY_S = 20.0
ANSWER_S = 0.004
TRANSACTION_S = 0.005  # platform.txnTimeoutMs
Name = tuple[str, str, str]  # table, part and key


class PlatformStore:
    """Rows with versions from one counter."""

    def __init__(self, record: Callable[[str], None]) -> None:
        self.rows: dict[Name, tuple[bytes, int]] = {}
        self.version = 0
        self.refused: dict[str, int] = {}  # refused transactions by reason
        self._record = record
        self._changes: list[tuple[float, int, Name, bytes | None]] = []
        self._forgotten = 0
        self._changed = asyncio.Event()
        self._began = time.monotonic()
        self._server = HttpServer(self._handle)

    async def start(self, host: str, port: int) -> None:
        await self._server.start(host, port)

    def stop(self) -> None:
        self._server.stop()

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operator, a minion or another writer does."""
        self._apply([((table, "", key), value)])

    def remove(self, table: str, key: str) -> None:
        self._apply([((table, "", key), None)])

    def read(self, table: str, key: str) -> bytes | None:
        return self.rows.get((table, "", key), (None, 0))[0]

    async def _handle(self, call: Call) -> Reply:
        method, target, _, body = call
        await asyncio.sleep(ANSWER_S)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match method, parts.path:
            case "POST", "/rows-tx":
                await asyncio.sleep(TRANSACTION_S)
                return self._transact(body)
            case "GET", "/rows-get":
                return self._get(query)
            case "GET", "/rows-feed":
                return await self._feed(query)
        return 404, None

    def _transact(self, body: bytes) -> Reply:
        call = json.loads(body)
        conditions = call.get("expectedRevision", [])
        puts, removals = call.get("puts", []), call.get("remove", [])
        values = [(_name(row), base64.b64decode(row["value"], validate=True)) for row in puts]
        names = [_name(row) for row in (*conditions, *puts, *removals)]
        if len(body) > MAX_CALL_BYTES or len(names) > MAX_ENTRIES:
            return self._refuse("call too large", f"{len(body)} bytes, {len(names)} entries")
        if any(len(text.encode()) > MAX_NAME_BYTES for name in names for text in name):
            return self._refuse("name too long", "")
        for name, value in values:
            if len(value) > ROW_BYTES:
                detail = f"{name[0]}/{name[1]}/{name[2]} of {len(value)} bytes"
                return self._refuse("row over rowBytes", detail)
        if len({name[1] for name in names}) > 1:
            return self._refuse("several parts", "")
        if any(row["table"] in ("op", "servers") for row in (*puts, *removals)):
            return 403, {"error": "not a table of the system"}
        if any(self._version(_name(row)) != row["rowVersion"] for row in conditions):
            rows = [self._describe(_name(row)) for row in conditions]
            return self._answer(412, rows=rows)
        self._apply([*values, *((_name(row), None) for row in removals)])
        return self._answer(200)

    def _refuse(self, reason: str, detail: str) -> Reply:
        self.refused[reason] = self.refused.get(reason, 0) + 1
        if self.refused[reason] <= 5:
            self._record(f"store refuses a transaction with 400: {reason}, {detail}")
        return 400, {"error": reason}

    def _get(self, query: dict[str, str]) -> Reply:
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from", ""), query.get("target")
        names = sorted(
            (name for name in self.rows if name[:2] == (table, part)),
            key=lambda name: name[2].encode(),
        )
        names = [name for name in names if name[2] >= low and (high is None or name[2] < high)]
        limit = min(500, int(query.get("limit", "500")))
        rows: list[dict[str, Any]] = []
        size = 0
        for name in names[:limit]:
            if size > 700_000:
                break
            rows.append(self._describe(name))
            size += len(self.rows[name][0])
        return self._answer(200, rows=rows, morePages=len(rows) < len(names))

    async def _feed(self, query: dict[str, str]) -> Reply:
        after, table = int(query["after"]), query["table"]
        deadline = time.monotonic() + int(query.get("waitMs", "0")) / 1_000
        while True:
            self._forget()
            if after < self._forgotten:
                return self._answer(410)
            found = [it for it in self._changes if it[1] > after and it[2][0] == table]
            left = deadline - time.monotonic()
            if found or left <= 0:
                upto = self.version
                if len(found) > 500:
                    upto = found[499][1]
                    found = [it for it in found if it[1] <= upto]
                rows = [_encode(name, value, version) for _, version, name, value in found]
                return self._answer(200, rows=rows, rowVersion=upto)
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _forget(self) -> None:
        oldest = time.monotonic() - HISTORY_S
        while self._changes and self._changes[0][0] < oldest:
            self._forgotten = self._changes.pop(0)[1]

    def _apply(self, entries: list[tuple[Name, bytes | None]]) -> None:
        self.version += 1
        for name, value in entries:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (value, self.version)
            self._changes.append((time.monotonic(), self.version, name, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _version(self, name: Name) -> int:
        return self.rows[name][1] if name in self.rows else 0

    def _describe(self, name: Name) -> dict[str, Any]:
        value, version = self.rows.get(name, (None, 0))
        return _encode(name, value, version)

    def _answer(self, status: int, **fields: Any) -> Reply:
        now = int((time.monotonic() - self._began) * 1_000) + 1
        return status, {"rowVersion": self.version, "nowMs": now, **fields}


def _name(row: dict[str, Any]) -> Name:
    return row["table"], row["part"], row["key"]


def _encode(name: Name, value: bytes | None, version: int) -> dict[str, Any]:
    row: dict[str, Any] = {"table": name[0], "part": name[1], "key": name[2]}
    row["rowVersion"] = version
    if value is None:
        return {**row, "deleted": True}
    return {**row, "value": base64.b64encode(value).decode()}
