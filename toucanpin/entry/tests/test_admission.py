"""Refusals for want of room by entry hosts, over real connections."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

from standins.site.site import JOB, PREFIX, Site
from toucanpin.entry.clocks import steady_time
from toucanpin.entry.submissions import _sweep_part
from toucanpin.entry.tables import JOBS_TABLE, REFUSALS_TABLE, job_part
from toucanpin.http import Answer
from toucanpin.platform.store import Put, Store
from toucanpin.scheduling.forecast import NEVER_MS, Forecast, KnownForecast, QueueForecast
from toucanpin.scheduling.ownership import OwnerRecord, OwnerWatch, record_read
from toucanpin.scheduling.settings import Bounds

SLOW_INTERRUPTIONS = Bounds(stop_time=0.9, restore_time=0.6)
FULL = Forecast(0, (QueueForecast(0, False, NEVER_MS, NEVER_MS),))
MAX_ENTRIES = 100  # of a transaction
ESTIMATE_MS = 3_000  # long enough for a job to be refused


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    bounds = SLOW_INTERRUPTIONS

    async def asyncSetUp(self) -> None:
        self.site = Site(bounds=self.bounds)
        self.site.configure()
        self.addAsyncCleanup(self.site.close)
        for _ in range(2):
            await self.site.add_host()
        await self.site.add_worker()
        self.assertTrue(await self.site.wait_until_ready(0))
        self.assertTrue(await self.site.wait_until_ready(1))

    def _set_full(self, full: bool, *hosts: int) -> None:
        for host in hosts:
            known = KnownForecast(FULL, 0.0) if full else None
            self.site.hosts[host]._requests._read_forecast = {"c": known}.get

    async def _submit(self, host: int) -> Answer:
        return await self.site.submit(host=host, estimateMs=ESTIMATE_MS)

    def _has_row(self, table: str) -> bool:
        return (table, job_part("c", JOB), JOB) in self.site.store.rows

    async def test_refused_job_never_runs(self) -> None:
        self._set_full(True, 0, 1)
        answer = await self._submit(0)
        self.assertEqual(503, answer.status)
        self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)
        self.assertFalse(self._has_row(JOBS_TABLE))
        self.assertEqual(410, (await self.site.call("GET", PREFIX + JOB)).status)

    async def test_late_write_of_an_earlier_attempt_does_not_apply(self) -> None:
        """
        The first attempt's write has no answer and is applied 1.5 s later; meanwhile another host
        refuses the second attempt. Guards against a job that runs after its refusal.
        """
        self.site.faults[0].late_writes = 1
        self.site.faults[0].late_delay = 1.5
        first = asyncio.ensure_future(self._submit(0))
        self.assertTrue(await self.site.wait_until(lambda: not self.site.faults[0].late_writes))
        self._set_full(True, 1)
        self.assertEqual(503, (await self._submit(1)).status)
        self.assertNotEqual(200, (await first).status)
        self.assertFalse(self._has_row(JOBS_TABLE))

    async def test_copy_at_another_host_is_either_stored_or_refused(self) -> None:
        """Guards against one job that is accepted by one host and refused by another at once."""
        self._set_full(True, 1)
        answers = await asyncio.gather(self._submit(0), self._submit(1))
        self.assertIn({answer.status for answer in answers}, ({200}, {503}))
        self.assertEqual(answers[0].status == 200, self._has_row(JOBS_TABLE))

    async def test_accepted_job_is_not_refused_when_submitted_again(self) -> None:
        """Guards against a job that its caller submits elsewhere because a retry was refused."""
        self.assertEqual(200, (await self._submit(0)).status)
        self._set_full(True, 1)
        self.assertEqual(200, (await self._submit(1)).status)
        self.assertFalse(self._has_row(REFUSALS_TABLE))
        self.assertTrue(await self.site.wait_for_state("completed"))

    async def test_caller_that_returns_is_accepted(self) -> None:
        """Guards against a job that can never be submitted since it was refused once."""
        self._set_full(True, 0, 1)
        self.assertEqual(503, (await self._submit(0)).status)
        self._set_full(False, 0, 1)
        refused = self.site.store.version

        async def check() -> bool:
            return self.site.hosts[1]._store.version >= refused

        self.assertTrue(await self.site.wait_until(check))
        self.assertEqual(200, (await self._submit(1)).status)
        self.assertFalse(self._has_row(REFUSALS_TABLE))
        self.assertTrue(await self.site.wait_for_state("completed"))

    async def test_unanswered_refusal_is_not_claimed(self) -> None:
        """Guards against a refusal that nothing proves, as the table doesn't answer."""
        self._set_full(True, 0)
        for faults in self.site.faults:
            faults.status = 503
        answer = await self.site.submit(host=0, deadline=600, estimateMs=ESTIMATE_MS)
        self.assertEqual(504, answer.status)
        self.assertFalse(self._has_row(REFUSALS_TABLE))

    async def test_refusal_is_written_through_a_peer(self) -> None:
        """Guards against a refusal that isn't in the table, by a host that can't reach it."""
        self._set_full(True, 0)
        self.site.faults[0].status = 503
        answer = await self.site.submit(host=0, estimateMs=ESTIMATE_MS)
        self.assertEqual(503, answer.status)
        self.assertTrue(self._has_row(REFUSALS_TABLE))

    async def test_sweep_deletes_all_old_refusals(self) -> None:
        """
        Guards against a table that grows while more is refused than one deletion takes, and against
        deletions with more entries than the table takes, so that none ever succeeds.
        """
        store = self.site.hosts[0]._store
        part, old = job_part("c", JOB), [f"{number:016x}" for number in range(700)]
        for start in range(0, len(old), 100):
            puts = [Put(REFUSALS_TABLE, name, b"1") for name in old[start : start + 100]]
            await store.transact(part, (), puts)
        await store.transact(part, (), (Put(REFUSALS_TABLE, "f" * 16, b"5000"),))
        with patch.object(Store, "transact", autospec=True, side_effect=Store.transact) as calls:
            await _sweep_part(store, part, 4_000)
        sizes = [
            len(call.args[2]) + len(call.args[3])
            for call in calls.call_args_list
            if any(put.table == REFUSALS_TABLE for put in call.args[3])
        ]
        self.assertLessEqual(max(sizes), MAX_ENTRIES)
        left = [name for table, _, name in self.site.store.rows if table == REFUSALS_TABLE]
        self.assertEqual(["f" * 16], left)

    async def test_owner_publishes_its_forecast(self) -> None:
        """Guards against hosts that know no forecast, so that nobody is ever refused."""
        candidates = [host._candidates["c"] for host in self.site.hosts]

        async def check() -> bool:
            return all(candidate.read_forecast() is not None for candidate in candidates)

        self.assertTrue(await self.site.wait_until(check))

    async def test_late_owner_makes_no_forecast(self) -> None:
        """Guards against an owner that is late, and still more so by forecasts."""
        owner = next(
            host._candidates["c"]._owner for host in self.site.hosts if host._candidates["c"].owns
        )
        assert owner is not None
        now = owner._clocks.now()
        with patch("toucanpin.entry.load_estimates.make_forecast", return_value=None) as made:
            for delay, expected in ((0.0, 1), (2.0, 1)):
                owner._delay.record(delay, now.steady)
                owner._forecast_queues(now)
                self.assertEqual(expected, made.call_count)

    async def test_forecast_of_a_deposed_owner_is_not_read(self) -> None:
        """Guards against refusals by an owner that has resigned or was replaced."""
        candidate = next(
            host._candidates["c"] for host in self.site.hosts if not host._candidates["c"].owns
        )
        for record, known in (
            (OwnerRecord("h", "life", 3, 1, {}, FULL), True),
            (OwnerRecord("", "life", 3, 2, {}, FULL), False),
            (OwnerRecord("other", "life", 4, 0), False),
        ):
            candidate._watch = OwnerWatch()
            record_read(candidate._watch, 1, record, 0.0, steady_time())
            self.assertEqual(known, candidate.read_forecast() is not None)


class FeatureOffTest(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_is_forecast_or_refused(self) -> None:
        """Guards against refusals where the settings don't ask for admission control."""
        site = Site()
        site.configure()
        self.addAsyncCleanup(site.close)
        host = await site.add_host()
        await site.add_worker()
        self.assertTrue(await site.wait_until_ready())
        self.assertEqual(200, (await site.submit(estimateMs=ESTIMATE_MS)).status)
        self.assertTrue(await site.wait_for_state("completed"))
        self.assertIsNone(host._candidates["c"].read_forecast())
        self.assertIsNone(host._requests._read_forecast("c"))
        self.assertFalse([name for name in site.store.rows if name[0] == REFUSALS_TABLE])


if __name__ == "__main__":
    unittest.main()
