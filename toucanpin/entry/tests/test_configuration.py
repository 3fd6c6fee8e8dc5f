"""Reads of the operators' configuration: what they cost, and how they affect callers."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

import msgspec

from standins.site.site import HOST, PREFIX, Site, free_port
from standins.site.store import StoreFaults
from toucanpin.entry.clocks import Clocks
from toucanpin.entry.configuration import ConfigurationWatch
from toucanpin.entry.requests import RequestHandler
from toucanpin.entry.row_cache import RowCache
from toucanpin.entry.tables import JOBS_TABLE
from toucanpin.http import Answer, CallError, Client, Request
from toucanpin.platform.store import Store
from toucanpin.scheduling.configuration import Configuration, Queue
from toucanpin.verdict import Verdict

TEST_TIMEOUT_S = 20.0  # s after which a test that would hang fails
UNREAD_PERIOD_S = 6.0  # s since the last read of the configuration
DISABLED_PERIOD_S = 1_000.0  # s; longer than a test takes
READS = 6  # of the configuration, of which only the first finds a change


class UnchangedConfigurationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # Exclude full reads, which come every 3 s at most.
        self.enterContext(patch("toucanpin.entry.row_cache.FULL_READ_PERIOD_S", DISABLED_PERIOD_S))
        self.site = Site()
        self.site.configure()
        self.addAsyncCleanup(self.site.close)
        await self.site.add_host()
        self.assertTrue(await self.site.wait_until_ready())

    async def test_an_unchanged_configuration_is_not_read_again(self) -> None:
        """
        Guards against hosts that read the whole document every 0.6 s.  With 1,400 more queues that
        took 460 to 560 KB/s instead of 24, nearly all bandwidth of most hosts: 1,538 counts were
        refused in 110 s, and 25 of 32 hosts never read the later versions.
        """
        store = self.site.store
        rows_before = store.row_counts["op"]
        reads_before = store.read_counts["op"]
        self.assertTrue(
            await self.site.wait_until(lambda: store.read_counts["op"] >= reads_before + READS)
        )
        self.assertEqual(rows_before, store.row_counts["op"])


class OutdatedConfigurationTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_job_is_accepted_under_an_outdated_configuration(self) -> None:
        """
        Operators remove a queue, and a host with a saturated link can't read the document for six
        seconds, though its other calls are answered.  It must not accept jobs of that queue: a
        version has to be in force everywhere 3 s after it was accepted.
        """
        site = Site()
        site.configure()
        address = f"127.0.0.1:{free_port()}"
        server = await site.store.listen(address, StoreFaults())
        self.addAsyncCleanup(server.drain, 0.0)
        client = Client(address)
        self.addCleanup(client.close)
        store = Store(client)
        watch = ConfigurationWatch(store)
        requests = RequestHandler(store, watch, Clocks(store))
        self.assertTrue(await watch.refresh())
        body = msgspec.json.encode({"spec": "work", "pipeline": [{"cpu": 1_000}]})
        request = Request("POST", f"{PREFIX}{1:016x}", {"host": HOST}, body)
        site.configure(2, "/other/")
        watch.confirmed -= UNREAD_PERIOD_S
        with patch.object(RowCache, "update", _fail_update):
            answer = await requests.handle(request)
        assert answer is not None
        self.assertEqual(503, answer.status)
        self.assertFalse([name for name in site.store.rows if name[0] == JOBS_TABLE])
        answer = await requests.handle(request)
        assert answer is not None
        self.assertEqual(404, answer.status)


class OutdatedCountTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_jobs_are_counted_under_an_outdated_configuration(self) -> None:
        """
        Operators remove a queue, and a host can't read the document for six seconds.  It must not
        answer with a count, as if the queue still existed.
        """
        site = Site()
        site.configure()
        self.addAsyncCleanup(site.close)
        await site.add_host()
        self.assertTrue(await site.wait_until_ready())
        watch = site.hosts[0]._configuration
        site.configure(2, "/other/")
        updated: list[RowCache] = []

        async def fail(cache: RowCache) -> None:
            updated.append(cache)
            await _fail_update(cache)

        with patch.object(RowCache, "update", fail):
            # A read in progress may still confirm the old version; it has ended once the next
            # starts.
            self.assertTrue(await site.wait_until(lambda: watch._cache in updated))
            watch.confirmed -= UNREAD_PERIOD_S
            answer = await site.call("GET", PREFIX)
        self.assertEqual(503, answer.status)


class SharedReadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = _SilentStore()
        self.watch = ConfigurationWatch(Store(self.store))

    async def test_concurrent_callers_share_one_read(self) -> None:
        """
        The store doesn't answer a host while callers request counts.  Guards against callers that
        wait for the reads of all earlier ones, a timeout each: the last was answered after 38 s,
        though its caller had closed the connection after 3 s.
        """
        refreshing = [asyncio.ensure_future(self.watch.refresh(0.25)) for _ in range(5)]
        await self.store.called.wait()
        self.store.failing.set()
        self.assertEqual([False] * 5, await asyncio.gather(*refreshing))
        self.assertEqual(1, self.store.calls)

    async def test_a_caller_is_answered_before_its_deadline(self) -> None:
        """
        The store doesn't answer a host, and a caller with a deadline of 0.2 s requests a count.
        The answer must not wait until the read of the configuration fails, seconds later.
        """
        self.watch.apply(Configuration(1, (Queue("q", "", "/jobs/", "c"),)))
        requests = RequestHandler(Store(self.store), self.watch, Clocks(Store(self.store)))
        request = Request("GET", "/jobs/", {"x-deadline-ms": "200"})
        answer = await requests.handle(request)
        assert answer is not None
        self.assertEqual(503, answer.status)
        self.assertFalse(self.store.failing.is_set())


async def _fail_update(_: RowCache) -> None:
    raise CallError(Verdict.MAY_HAVE_RUN, "no answer")


class _SilentStore:
    """Store that doesn't answer calls until they are made to fail."""

    def __init__(self) -> None:
        self.calls = 0
        self.called = asyncio.Event()
        self.failing = asyncio.Event()

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer:
        self.calls += 1
        self.called.set()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await self.failing.wait()
        raise CallError(Verdict.NOT_RUN, "no answer")


if __name__ == "__main__":
    unittest.main()
