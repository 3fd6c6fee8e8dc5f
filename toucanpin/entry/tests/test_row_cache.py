"""Cache of rows: full reads, changes, and the choice between them."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import msgspec

from standins.site.site import free_port
from standins.site.store import SiteStore, StoreFaults
from toucanpin.entry.clocks import steady_time
from toucanpin.entry.relayed_store import RelayedStore
from toucanpin.entry.row_cache import FULL_READ_PERIOD_S, RowCache
from toucanpin.http import Answer, CallError, Client
from toucanpin.platform.store import Store

UPDATES = 4  # of the cache, while rows are written without a pause
VERSIONS = 5  # of a row, written between two updates


class _ScriptedStore:
    """Store that gives prepared answers, one per call."""

    def __init__(self, *answers: dict[str, object]) -> None:
        self._answers = [msgspec.json.encode(answer) for answer in answers]

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer:
        return Answer(200, {}, self._answers.pop(0))


def _row(key: str, value: str, version: int, **fields: bool) -> dict[str, object]:
    return {"table": "t", "part": "", "key": key, "value": value, "rowVersion": version, **fields}


class RowCacheTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_row_is_never_replaced_by_an_earlier_version(self) -> None:
        """
        A full read has several pages, each from a later moment, and changes are requested from the
        moment of the first page.  Guards against changes that replace a row by an earlier version:
        a draining worker would count as ready, and a deleted one as present.
        """
        cache = RowCache(
            Store(
                _ScriptedStore(
                    {"rows": [_row("a", "YQ==", 3)], "morePages": True, "rowVersion": 5},
                    {"rows": [_row("b", "ZHJhaW5z", 8)], "rowVersion": 9},
                    {"rows": [_row("b", "cmVhZHk=", 6)], "rowVersion": 6},
                    {"rows": [_row("b", "", 7, deleted=True)], "rowVersion": 7},
                    {"rows": [_row("b", "", 10, deleted=True)], "rowVersion": 10},
                )
            ),
            "t",
        )
        for _ in range(3):
            await cache.update()
            self.assertEqual(b"drains", cache.rows["b"].value)
        await cache.update()
        self.assertEqual(["a"], list(cache.rows))


class MissedChangesTest(unittest.IsolatedAsyncioTestCase):
    async def test_changes_missing_from_the_feed_are_read_later(self) -> None:
        """
        The feed omits the changes of one second, in which a worker starts to drain and another one
        registers.  Without full reads the first got tasks until it stopped, and the second stayed
        unknown.
        """
        store = SiteStore()
        address = f"127.0.0.1:{free_port()}"
        server = await store.listen(address, StoreFaults())
        self.addAsyncCleanup(server.drain, 0.0)
        client = Client(address)
        self.addCleanup(client.close)
        cache = RowCache(Store(client), "servers")
        store.put("servers", "a", b"ready")
        await cache.update()
        store.hides_changes = True
        store.put("servers", "a", b"drains")
        store.put("servers", "b", b"ready")
        await cache.update()
        store.hides_changes = False
        await cache.update()
        self.assertEqual(b"ready", cache.rows["a"].value)
        later = steady_time() + FULL_READ_PERIOD_S
        with patch("toucanpin.entry.row_cache.steady_time", lambda: later):
            await cache.update()
        self.assertEqual(b"drains", cache.rows["a"].value)
        self.assertEqual(b"ready", cache.rows["b"].value)


class FrequentWritesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.core = SiteStore()
        address = f"127.0.0.1:{free_port()}"
        server = await self.core.listen(address, StoreFaults())
        self.addAsyncCleanup(server.drain, 0.0)
        self.client = Client(address)
        self.addCleanup(self.client.close)
        self.written = 0

    def _write(self, versions: int) -> None:
        for _ in range(versions):
            self.written += 1
            self.core.put("op", "config", b"%09d" % self.written)

    async def test_replaced_versions_are_not_read(self) -> None:
        """
        Operators write a large document many times in quick succession, and the feed contains each
        version.  Guards against reading the feed then: a slow link carried five documents instead
        of one, and the host fell further behind with each update.
        """
        cache = RowCache(Store(self.client), "op")
        self._write(1)
        await cache.update()
        rows_before = self.core.row_counts["op"]
        for _ in range(UPDATES):
            self._write(VERSIONS)
            await cache.update()
            self.assertEqual(b"%09d" % self.written, cache.rows["config"].value)
        self.assertLessEqual(self.core.row_counts["op"] - rows_before, VERSIONS + UPDATES - 1)
        await cache.update()
        rows_before = self.core.row_counts["op"]
        await cache.update()
        self.assertEqual(rows_before, self.core.row_counts["op"])

    async def test_changes_that_are_too_large_are_not_requested_again(self) -> None:
        """
        A document of 1.4 MB is written three times between two updates, and an answer with all
        three versions exceeds the limit.  Guards against a host that takes this for an outage,
        requests the same changes repeatedly, and keeps its old configuration.
        """
        relayed = RelayedStore(self.client, "h0")
        cache = RowCache(Store(relayed), "op")
        self._write(1)
        await cache.update()
        for number in range(3):
            self.core.put("op", "config", b"%d" % number * 1_400_000)
        with self.assertRaises(CallError):
            await cache.update()
        self.assertTrue(relayed.direct_works)
        await cache.update()
        self.assertEqual(b"2" * 1_400_000, cache.rows["config"].value)


if __name__ == "__main__":
    unittest.main()
