"""Answers to callers while the owner of a cell is overloaded, over real connections."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from standins.site.site import JOB, PREFIX, Site
from toucanpin.entry.owner import Owner

OTHER_JOB = "00000000000000b2"
HOUR_MS = 3_600_000


class BacklogTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.site.configure()
        self.addAsyncCleanup(self.site.close)
        for _ in range(2):
            await self.site.add_host()
        await self.site.add_worker()
        self.assertTrue(await self.site.wait_until_ready(0))
        self.assertTrue(await self.site.wait_until_ready(1))

    async def _overload_owner(self) -> None:
        def estimate(owner: Owner, now: object) -> None:
            owner._rows.backlog = {0: HOUR_MS}

        self.enterContext(patch.object(Owner, "_estimate_backlog", estimate))

        async def check() -> bool:
            backlogs = [host._read_backlog("c") for host in self.site.hosts]
            return all(backlogs)

        self.assertTrue(await self.site.wait_until(check))

    async def test_every_host_refuses_jobs_that_cannot_finish_in_time(self) -> None:
        """Guards against accepted jobs that wait until their results are useless."""
        await self._overload_owner()
        for host in range(2):
            answer = await self.site.submit(host=host)
            self.assertEqual(503, answer.status)
            self.assertEqual("2", answer.headers["retry-after"])
        self.assertEqual(410, (await self.site.call("GET", PREFIX + JOB)).status)
        self.assertEqual(200, (await self.site.submit(OTHER_JOB, longRunning=True)).status)

    async def test_an_accepted_job_is_not_refused_when_submitted_again(self) -> None:
        """Guards against a job that its caller submits elsewhere because a retry was refused."""
        self.assertEqual(200, (await self.site.submit()).status)
        await self._overload_owner()
        self.assertEqual(200, (await self.site.submit(host=1)).status)
        self.assertTrue(await self.site.wait_for_state("completed"))
