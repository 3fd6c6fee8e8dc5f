"""Malformed rows that other writers have left in the tables."""

from __future__ import annotations

import asyncio
import base64
import unittest

import logbook
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.site.site import JOB, PREFIX, Site
from toucanpin.entry.row_reader import RowReader
from toucanpin.exception import PlatformError
from toucanpin.http import Answer
from toucanpin.platform.store import Row, Store
from toucanpin.platform.workers import decode_worker
from toucanpin.scheduling.orders import WorkerEntry

VALID_ENTRY: dict[str, object] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "dc",
    "state": "ready",
    "seq": 4,
    "capacity": {"cpu": 64_000, "memMb": 256_000, "gpu": 0},
    "labels": ["a", "r1-3"],
}
INVALID_ENTRIES: tuple[object, ...] = (
    {**VALID_ENTRY, "address": "word"},
    {**VALID_ENTRY, "address": ""},
    {**VALID_ENTRY, "address": "10.0.0.1:99999"},
    {**VALID_ENTRY, "address": "10.0.0.1:-1"},
    {**VALID_ENTRY, "address": "10.0.0.1:٣"},
    {**VALID_ENTRY, "address": 7},
    {**VALID_ENTRY, "state": "resting"},
    {**VALID_ENTRY, "state": None},
    {**VALID_ENTRY, "service": ""},
    {**VALID_ENTRY, "capacity": {"cpu": -1, "memMb": 4_000}},
    {**VALID_ENTRY, "capacity": {"cpu": 10**18, "memMb": 4_000}},
    {**VALID_ENTRY, "capacity": {"cpu": "64000", "memMb": 4_000}},
    {**VALID_ENTRY, "capacity": {}},
    {**VALID_ENTRY, "labels": "a"},
    {**VALID_ENTRY, "labels": [1]},
    *({key: value for key, value in VALID_ENTRY.items() if key != name} for name in VALID_ENTRY),
    [],
    None,
    "text",
)
NESTED_JSON = b"[" * 2_000 + b"]" * 2_000
NESTED_MSGPACK = b"\x91" * 2_000 + b"\x01"


class _SinglePageStore:
    """Store that answers every read with the same page."""

    def __init__(self, rows: list) -> None:
        self.body = msgspec.json.encode({"rows": rows, "rowVersion": 9, "nowMs": 5_000})

    async def call(self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0):
        return Answer(200, {}, self.body)


def _row(key: str, value: object) -> dict:
    return {"table": "servers", "part": "", "key": key, "value": value, "rowVersion": 3}


def _encode(entry: object) -> str:
    return base64.b64encode(msgspec.json.encode(entry)).decode()


def _decode(row: Row) -> WorkerEntry:
    return decode_worker(row.key, row.value)


def _read(rows: list) -> dict[str, WorkerEntry]:
    page = asyncio.run(Store(_SinglePageStore(rows)).read("servers"))
    return {row.key: entry for row, entry in RowReader().read(page.rows, _decode)}


_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)
_changed = st.dictionaries(st.sampled_from([*VALID_ENTRY, "machine", "remainingMs"]), _values)
_malformed = st.one_of(
    _values,  # not base64, or not a string
    st.binary().map(lambda data: base64.b64encode(data).decode()),
    _values.map(_encode),
    _changed.map(lambda fields: _encode({**VALID_ENTRY, **fields})),
)


class RowReaderTest(unittest.TestCase):
    def test_an_invalid_worker_entry_is_rejected(self) -> None:
        for number, entry in enumerate(INVALID_ENTRIES):
            with self.subTest(number), self.assertRaises(PlatformError):
                decode_worker("i-1", msgspec.json.encode(entry))
        self.assertEqual(
            "10.0.0.1:80", decode_worker("i-1", msgspec.json.encode(VALID_ENTRY)).address
        )

    def test_a_value_that_is_not_base64_hides_no_other_row(self) -> None:
        """
        Guards against a page that is rejected as a whole for one value that isn't base64: no worker
        was known then, and no job was run.
        """
        rows = [
            _row("a", _encode(VALID_ENTRY)),
            _row("b", "*"),
            _row("c", 5),
            _row("d", _encode(VALID_ENTRY)),
        ]
        self.assertEqual({"a", "d"}, set(_read(rows)))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(_malformed, max_size=6), st.integers(0, 6))
    def test_no_row_changes_how_another_is_decoded(self, malformed: list, place: int) -> None:
        """A valid row is decoded in the same way whatever rows precede or follow it."""
        rows = [_row(f"f{number}", value) for number, value in enumerate(malformed)]
        rows.insert(min(place, len(rows)), _row("sound", _encode(VALID_ENTRY)))
        alone = _read([_row("sound", _encode(VALID_ENTRY))])
        self.assertEqual(alone["sound"], _read(rows)["sound"])

    def test_a_malformed_row_is_logged_once(self) -> None:
        reader = RowReader()
        rows = [Row("servers", "", "x", b"", 3, readable=False)]
        with logbook.TestHandler() as handler:
            for _ in range(5):
                self.assertEqual([], list(reader.read(rows, _decode)))
        self.assertEqual(1, len(handler.records))


class MalformedRowsTest(unittest.IsolatedAsyncioTestCase):
    async def _start_site(self) -> Site:
        """Return a site with a host and a worker."""
        site = Site()
        site.configure()
        self.addAsyncCleanup(site.close)
        await site.add_host()
        await site.add_worker()
        self.assertTrue(await site.wait_until_ready())
        return site

    async def test_jobs_are_run_despite_malformed_rows_in_all_tables(self) -> None:
        """
        Guards against an owner that fails at the first malformed row.  All hosts took the cell in
        turn and failed in the same way, so no job was run.
        """
        site = Site()
        site.configure()
        self.addAsyncCleanup(site.close)
        for number, entry in enumerate(INVALID_ENTRIES):
            site.store.put("servers", f"i-f{number}", msgspec.json.encode(entry))
        for table in ("hosts", "keys", "effects", "counts", "progress", "jobs"):
            site.store.put(table, "foreign", b"\xff\x00{")
            site.store.put(table, "foreign", b"\xff\x00{", part="c")
        site.store.put("jobs", "foreign", b"\xff\x00{", part="c/3")
        await site.add_host()
        await site.add_worker()
        self.assertTrue(await site.wait_until_ready())
        self.assertEqual(200, (await site.submit()).status)
        self.assertTrue(await site.wait_for_state("completed"))
        self.assertEqual(200, (await site.call("GET", PREFIX)).status)

    async def test_jobs_are_run_beside_deeply_nested_rows_in_all_tables(self) -> None:
        """
        Guards against one row, nested deeper than the decoder goes, that ends the owners of all
        cells: its error isn't one of a malformed value.
        """
        site = await self._start_site()
        foreign = {"born": msgspec.Raw(NESTED_JSON)}
        site.store.put("servers", "i-foreign", msgspec.json.encode({**VALID_ENTRY, **foreign}))
        site.store.put("op", "wave/1", b'{"wave":1,"machines":' + NESTED_JSON + b"}")
        for table in ("hosts", "keys", "effects", "counts", "progress", "jobs", "refusals"):
            for key, value in (("json", NESTED_JSON), ("msgpack", NESTED_MSGPACK)):
                site.store.put(table, key, value)
                site.store.put(table, key, value, part="c")
                site.store.put(table, key, value, part="c/3")
        reads_before = site.store.read_counts["servers"]
        self.assertTrue(
            await site.wait_until(lambda: site.store.read_counts["servers"] > reads_before + 3)
        )
        self.assertEqual(200, (await site.submit()).status)
        self.assertTrue(await site.wait_for_state("completed"))
        site.store.put("progress", "f" * 16, NESTED_MSGPACK, part="c")
        self.assertEqual(503, (await site.call("GET", PREFIX + "f" * 16)).status)

    async def test_a_deeply_nested_submission_is_refused_as_malformed(self) -> None:
        """Guards against an answer that blames the host for its caller's fault."""
        site = Site()
        site.configure()
        self.addAsyncCleanup(site.close)
        await site.add_host()
        self.assertTrue(await site.wait_until_ready())
        body = b'{"spec":"s","pipeline":[{}],"more":' + NESTED_JSON + b"}"
        self.assertEqual(400, (await site.call("POST", PREFIX + JOB, body)).status)

    async def test_an_owner_whose_row_is_malformed_is_replaced(self) -> None:
        """
        Another writer has overwritten the owner's row, so the owner is unknown.  A host must take
        the cell, with a token above all earlier ones.
        """
        site = await self._start_site()
        self.assertEqual(200, (await site.submit()).status)
        self.assertTrue(await site.wait_for_state("completed"))
        site.store.put("owners", "owner", b"\xc1", part="c")
        self.assertEqual(200, (await site.submit("f" * 16)).status)
        self.assertTrue(await site.wait_for_state("completed", job="f" * 16))


if __name__ == "__main__":
    unittest.main()
