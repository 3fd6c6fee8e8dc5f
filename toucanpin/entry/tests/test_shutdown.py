"""A host that shuts down answers every request that it has read."""

from __future__ import annotations

import asyncio
import unittest

import logbook

from standins.site.site import JOB, PREFIX, Site


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    """
    The store doesn't answer, so a caller's request waits.  The host gets SIGTERM and waits for open
    requests until shortly before it would be killed.  Guards against closing the connection without
    an answer then.
    """

    async def asyncSetUp(self) -> None:
        self.enterContext(logbook.NullHandler().applicationbound())
        self.site = Site()
        self.site.configure()
        await self.site.add_host()
        self.assertTrue(await self.site.wait_until_ready())

    async def asyncTearDown(self) -> None:
        await self.site.close()

    async def test_a_request_that_waits_for_the_store_is_answered_before_the_end(self) -> None:
        self.site.faults[0].silent = True
        request = asyncio.ensure_future(self.site.call("GET", PREFIX + JOB, deadline=15_000))
        await asyncio.sleep(0.3)
        await self.site.hosts[0].shut_down()
        answer = await request
        self.assertEqual(504, answer.status)


if __name__ == "__main__":
    unittest.main()
