"""A host that is told to end answers every request that it has read."""

from __future__ import annotations

import asyncio
import unittest

import logbook

from standins.site.site import JOB, PREFIX, Site


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    """
    The store is silent, so a caller's question waits.  The host gets SIGTERM, lingers, and gives
    requests until shortly before it would be killed.  The question isn't answered by then, and the
    host closed the connection on it: the caller saw a broken connection in place of an answer.
    """

    async def asyncSetUp(self) -> None:
        self.enterContext(logbook.NullHandler().applicationbound())
        self.site = Site()
        self.site.configure()
        await self.site.add_host()
        self.assertTrue(await self.site.until_ready())

    async def asyncTearDown(self) -> None:
        await self.site.close()

    async def test_a_question_that_waits_for_the_store_is_answered_before_the_end(self) -> None:
        self.site.faults[0].silent = True
        question = asyncio.ensure_future(self.site.call("GET", PREFIX + JOB, deadline=15_000))
        await asyncio.sleep(0.3)
        await self.site.hosts[0].shut_down()
        answer = await question
        self.assertEqual(504, answer.status)


if __name__ == "__main__":
    unittest.main()
