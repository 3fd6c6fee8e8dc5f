"""Rows that are followed from a whole read of several pages on."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import msgspec

from standins.site.site import free_port
from standins.site.store import Faults, SiteStore
from toucanpin.entry.clocks import steady_time
from toucanpin.entry.relayed_store import RelayedStore
from toucanpin.entry.row_cache import FULL_READ_PERIOD_S, RowCache
from toucanpin.http import Answer, CallError, Client
from toucanpin.platform.store import Store

LOOKS = 4  # at rows that are written without a pause
VERSIONS = 5  # of a row, written between two looks


class _Script:
    """Give prepared answers, one a call."""

    def __init__(self, *answers: dict[str, object]) -> None:
        self._answers = [msgspec.json.encode(answer) for answer in answers]

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer:
        return Answer(200, {}, self._answers.pop(0))


def _row(key: str, value: str, version: int, **fields: bool) -> dict[str, object]:
    return {"table": "t", "part": "", "key": key, "value": value, "rowVersion": version, **fields}


class FollowedRowsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_row_never_goes_back_to_what_it_was(self) -> None:
        """
        A whole read has several pages, each of a later moment, and its changes are asked for from
        the first one's on.  An answer that holds some of these made a later row an earlier one
        again: a worker that drained counted as ready, and one that was gone as there.
        """
        followed = RowCache(
            Store(
                _Script(
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
            await followed.update()
            self.assertEqual(b"drains", followed.rows["b"].value)
        await followed.update()
        self.assertEqual(["a"], list(followed.rows))


class GapTest(unittest.IsolatedAsyncioTestCase):
    async def test_what_was_missed_in_silence_is_read_later(self) -> None:
        """
        The table's changes hear nothing for a second while a worker drains and another one comes,
        and answers go on as if nothing had changed.  Followed by changes alone, the one got tasks
        until it left and the other was never known.
        """
        store = SiteStore()
        address = f"127.0.0.1:{free_port()}"
        server = await store.listen(address, Faults())
        self.addAsyncCleanup(server.drain, 0.0)
        client = Client(address)
        self.addCleanup(client.close)
        followed = RowCache(Store(client), "servers")
        store.put("servers", "a", b"ready")
        await followed.update()
        store.deaf = True
        store.put("servers", "a", b"drains")
        store.put("servers", "b", b"ready")
        await followed.update()
        store.deaf = False
        await followed.update()
        self.assertEqual(b"ready", followed.rows["a"].value)
        later = steady_time() + FULL_READ_PERIOD_S
        with patch("toucanpin.entry.row_cache.steady_time", lambda: later):
            await followed.update()
        self.assertEqual(b"drains", followed.rows["a"].value)
        self.assertEqual(b"ready", followed.rows["b"].value)


class StormTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.core = SiteStore()
        address = f"127.0.0.1:{free_port()}"
        server = await self.core.listen(address, Faults())
        self.addAsyncCleanup(server.drain, 0.0)
        self.client = Client(address)
        self.addCleanup(self.client.close)
        self.written = 0

    def _write(self, versions: int) -> None:
        for _ in range(versions):
            self.written += 1
            self.core.put("op", "config", b"%09d" % self.written)

    async def test_versions_that_were_replaced_are_not_read(self) -> None:
        """
        The operators write a large document many times in quick succession.  What has changed of it
        since the last look is every version in between, so a weak link carried five documents where
        one would do; meanwhile more were written, and the host fell further behind with each look.
        """
        followed = RowCache(Store(self.client), "op")
        self._write(1)
        await followed.update()
        given = self.core.given["op"]
        for _ in range(LOOKS):
            self._write(VERSIONS)
            await followed.update()
            self.assertEqual(b"%09d" % self.written, followed.rows["config"].value)
        self.assertLessEqual(self.core.given["op"] - given, VERSIONS + LOOKS - 1)
        await followed.update()
        given = self.core.given["op"]
        await followed.update()
        self.assertEqual(given, self.core.given["op"])

    async def test_changes_that_never_come_are_not_asked_for_again(self) -> None:
        """
        A document of 1.4 MB was written three times within one look, and the answer with all three
        was larger than any may be.  The host took the store for lost, asked for the same changes
        again and again, and stayed at its old configuration.
        """
        relayed = RelayedStore(self.client, "h0")
        followed = RowCache(Store(relayed), "op")
        self._write(1)
        await followed.update()
        for number in range(3):
            self.core.put("op", "config", b"%d" % number * 1_400_000)
        with self.assertRaises(CallError):
            await followed.update()
        self.assertTrue(relayed.direct_works)
        await followed.update()
        self.assertEqual(b"2" * 1_400_000, followed.rows["config"].value)


if __name__ == "__main__":
    unittest.main()
