"""Hundreds of odd entries of other writers among those of the workers."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from unittest.mock import patch

import logbook
import msgspec

from standins.site.site import Site
from standins.site.virtual import run_virtual
from toucanpin.entry.row_reader import LINE_PERIOD_S, MAX_LINES
from toucanpin.platform.workers import WorkerClient
from toucanpin.scheduling.orders import RunEnd

ODD_ROWS = 300
PERIOD_S = 0.5  # in which the other writer rewrites all of them
STORM_S = 20.0
NESTED = b"[" * 2_000 + b"]" * 2_000
ODD_VALUES = (NESTED, b'{"seq":1e400}', b"9" * 5_000, b"\xff", b'{"address":"10.0.0.1:99999"}')
FOREIGN = {
    "service": "c",
    "zone": "dc",
    "state": "ready",
    "seq": 1,
    "capacity": {"cpu": 64_000, "memMb": 256_000},
    "labels": [],
}
MAX_POLLS_PER_S = 1.0  # of a worker that has never answered


async def write_odd_rows(site: Site) -> None:
    """Rewrite odd rows for a while, as a writer does that isn't ours."""
    for number in range(round(STORM_S / PERIOD_S)):
        for row in range(ODD_ROWS):
            value = ODD_VALUES[(number + row) % len(ODD_VALUES)]
            site.store.put("servers", f"odd{row:03}", value)
        await asyncio.sleep(PERIOD_S)


class OddEntriesTest(unittest.TestCase):
    def test_a_storm_of_odd_rows_fills_no_log(self) -> None:
        """Guards against warnings that are dropped, since one line comes for each odd row."""
        run_virtual(self._play_storm)

    async def _play_storm(self) -> None:
        site = Site()
        site.configure()
        await site.add_host()
        await site.add_worker()
        self.assertTrue(await site.wait_until_ready())
        handler = logbook.TestHandler()
        with handler.applicationbound():
            storm = asyncio.ensure_future(write_odd_rows(site))
            self.assertEqual(200, (await site.submit(count=3)).status)
            self.assertTrue(await site.wait_for_state("completed"))
            await storm
        events = Counter(record.kwargs.get("event") for record in handler.records)
        self.assertGreater(events["entry.unsound"], 0)
        self.assertLessEqual(events["entry.unsound"], MAX_LINES * (2 + STORM_S / LINE_PERIOD_S))
        self.assertFalse(events["cell.failed"] + events["cell.lost"])
        await site.close()

    def test_a_task_goes_on_while_the_entry_of_its_worker_is_odd(self) -> None:
        """
        Guards against a task that is stopped or started twice, as the entry of the worker that
        runs it can't be decoded any more and is sound again later.
        """
        run_virtual(self._play_turning)

    async def _play_turning(self) -> None:
        site = Site()
        site.configure()
        await site.add_host()
        worker = await site.add_worker(duration=12.0)
        self.assertTrue(await site.wait_until_ready())
        self.assertEqual(200, (await site.submit()).status)
        self.assertTrue(await site.wait_until(lambda: worker.core.runs))
        await site.add_worker()
        for value in ODD_VALUES:
            site.store.put("servers", worker.core.entry.id, value)
            await asyncio.sleep(1.0)
        worker.register()
        self.assertTrue(await site.wait_for_state("completed"))
        self.assertEqual(1, sum(len(it.core.starts) for it in site.workers))
        ended = [*worker.core.ended, *worker.core.acknowledged_ends]
        self.assertEqual([RunEnd.DONE], [it.end for it in ended])
        await site.close()

    def test_workers_that_never_answer_are_polled_seldom(self) -> None:
        """
        Guards against an owner that spends its time on connections to hundreds of workers that
        exist only as entries of another writer.
        """
        run_virtual(self._play_unanswered)

    async def _play_unanswered(self) -> None:
        polls: Counter[str] = Counter()
        poll = WorkerClient.poll

        async def count_poll(client: WorkerClient, *args: float) -> object:
            polls[client._header[0][1]] += 1
            return await poll(client, *args)  # type: ignore[arg-type]

        site = Site()
        site.configure()
        await site.add_host()
        for row in range(ODD_ROWS):
            entry = {**FOREIGN, "address": f"127.0.0.1:{row + 1}"}
            site.store.put("servers", f"nobody{row:03}", msgspec.json.encode(entry))
        await site.add_worker()
        self.assertTrue(await site.wait_until_ready())
        with patch.object(WorkerClient, "poll", count_poll):
            await asyncio.sleep(STORM_S)
            self.assertEqual(200, (await site.submit(count=3)).status)
            self.assertTrue(await site.wait_for_state("completed"))
        unanswered = [count for worker, count in polls.items() if worker.startswith("nobody")]
        self.assertEqual(ODD_ROWS, len(unanswered))
        self.assertLess(max(unanswered), MAX_POLLS_PER_S * STORM_S)
        await site.close()


if __name__ == "__main__":
    unittest.main()
