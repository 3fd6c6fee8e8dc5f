"""Workers that restart under the id that they had, over real connections."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections.abc import Callable, Coroutine
from dataclasses import replace
from functools import partial
from typing import Any

import logbook

from standins.site.site import JOB, Site
from standins.site.virtual import run_virtual
from standins.site.worker import SiteWorker

MAX_CRASHES = 5  # two more starts after the third crash
OTHER_JOB = "00000000000000a2"
RESTART_DELAY_S = 0.3  # s until a worker process answers again under its id
EARLIER_LEASES_S = 9.0  # until no lease of an earlier owner is in force
ENTRY_LIFE_S = 3.3  # until the entry of a worker that is gone is removed
MAX_IDLE_S = 9.0  # of a task that lasts, by the users' rule


class RestartedWorkerTest(unittest.TestCase):
    def _run(self, play: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a test on a virtual clock, so that a busy machine can't change its verdict."""

        async def main() -> None:
            self.site = Site()
            self.site.configure()
            try:
                await self.site.add_host()
                await play()
            finally:
                await self.site.close()

        run_virtual(main)

    async def _restart(self, worker: SiteWorker) -> SiteWorker:
        """Restart a worker under its id, at its address."""
        await worker.stop()
        await asyncio.sleep(RESTART_DELAY_S)
        entry = worker.core.entry
        return await self.site.add_worker(address=entry.address, name=entry.id)

    def test_task_of_a_restarted_worker_runs_again_once(self) -> None:
        """
        Guards against a task that counts as running on a process that has ended, and against an
        end that is ignored since the earlier process has listed more of them.
        """

        async def play() -> None:
            worker = await self.site.add_worker()
            self.assertTrue(await self.site.wait_until_ready())
            await self.site.submit(OTHER_JOB, count=3)
            self.assertTrue(await self.site.wait_for_state("completed", OTHER_JOB))
            worker.core.duration = 60.0
            await self.site.submit(JOB)
            self.assertTrue(await self.site.wait_until(lambda: worker.core.runs))
            restarted = await self._restart(worker)
            self.assertTrue(await self.site.wait_for_state("completed", JOB))
            self.assertEqual(1, len(restarted.core.starts))
            self.assertTrue(await self.site.wait_until(lambda: restarted.core.acknowledged == 1))

        self._run(play)

    def test_next_owner_finds_a_restarted_worker(self) -> None:
        """Guards against a task that is lost if its worker and its owner end at the same time."""

        async def play() -> None:
            worker = await self.site.add_worker(duration=60.0)
            self.assertTrue(await self.site.wait_until_ready())
            await self.site.submit(JOB)
            self.assertTrue(await self.site.wait_until(lambda: worker.core.runs))
            await self.site.hosts[0].abort()
            restarted = await self._restart(worker)
            host = len(self.site.hosts)
            await self.site.add_host()
            self.assertTrue(await self.site.wait_for_state("completed", JOB, host))
            self.assertEqual(1, len(restarted.core.starts))

        self._run(play)

    def test_next_owner_outranks_the_orders_to_a_restarted_worker(self) -> None:
        """Guards against an owner whose orders are refused by a worker that restarted before."""

        async def play() -> None:
            worker = await self.site.add_worker()
            self.assertTrue(await self.site.wait_until_ready())
            for restarts in range(2):
                worker = await self._restart(worker)
                raised = partial(self._has_token, worker, 2 + restarts)
                self.assertTrue(await self.site.wait_until(raised))
            newest = worker.core.token
            await self.site.hosts[0].abort()
            host = len(self.site.hosts)
            await self.site.add_host()
            raised = partial(self._has_token, worker, newest + 1)
            self.assertTrue(await self.site.wait_until(raised))
            await self.site.submit(JOB, host)
            self.assertTrue(await self.site.wait_for_state("completed", JOB, host))

        self._run(play)

    def _has_token(self, worker: SiteWorker, token: int) -> bool:
        return worker.core.token >= token

    def test_task_is_not_kept_for_a_process_that_is_gone(self) -> None:
        """
        A start had no answer, its worker ends, is back for a moment under its id and is gone.
        Guards against a task that waits there for the longest delay of an order.
        """

        async def play() -> None:
            worker = await self.site.add_worker(duration=60.0)
            worker.unanswered_next = 1
            self.assertTrue(await self.site.wait_until_ready())
            await self.site.submit(JOB, longRunning=True)
            self.assertTrue(await self.site.wait_until(lambda: worker.core.runs))
            spare = await self.site.add_worker(duration=60.0)
            await asyncio.sleep(EARLIER_LEASES_S)
            began = time.monotonic()
            restarted = await self._restart(worker)
            await restarted.stop()
            await asyncio.sleep(ENTRY_LIFE_S)
            self.site.store.delete("servers", worker.core.entry.id)
            self.assertTrue(await self.site.wait_until(lambda: spare.core.runs))
            self.assertLess(time.monotonic() - began, MAX_IDLE_S)

        self._run(play)

    def test_task_of_a_worker_that_refuses_connections_keeps_its_lease(self) -> None:
        """Guards against a task that is started elsewhere while its worker, cut off, runs it on."""

        async def play() -> None:
            worker = await self.site.add_worker(duration=60.0)
            self.assertTrue(await self.site.wait_until_ready())
            await self.site.submit(JOB, longRunning=True)
            self.assertTrue(await self.site.wait_until(lambda: worker.core.runs))
            spare = await self.site.add_worker(duration=60.0)
            await asyncio.sleep(EARLIER_LEASES_S)
            await worker.cut_off()
            self.assertTrue(await self.site.wait_until(lambda: spare.core.runs))
            self.assertFalse(worker.core.runs)

        self._run(play)

    def test_crashing_task_fails_though_its_workers_keep_their_ids(self) -> None:
        """Guards against a crash loop: each worker answers again soon, as if nothing was lost."""

        async def play() -> None:
            restarting = [asyncio.ensure_future(self._run_crashing()) for _ in range(2)]
            self.assertTrue(await self.site.wait_until_ready())
            await self.site.submit()
            self.assertTrue(await self.site.wait_for_state("failed"))
            crashes = sum(worker.crashed.is_set() for worker in self.site.workers)
            self.assertLessEqual(crashes, MAX_CRASHES)
            for task in restarting:
                task.cancel()

        self._run(play)

    async def _run_crashing(self) -> None:
        worker = await self.site.add_worker()
        while True:
            worker.crashing = frozenset({JOB})
            await worker.crashed.wait()
            worker = await self._restart(worker)

    def test_unknown_incarnation_is_told_once(self) -> None:
        """Guards against losing the tasks of workers that don't tell their incarnation."""

        async def play() -> None:
            handler = logbook.TestHandler()
            with handler.applicationbound():
                for _ in range(2):
                    worker = await self.site.add_worker()
                    worker.core.entry = replace(worker.core.entry, born=0)
                    worker.register()
                self.assertTrue(await self.site.wait_until_ready())
                await self.site.submit(JOB, count=4)
                self.assertTrue(await self.site.wait_for_state("completed", JOB))
            events = [record.kwargs["event"] for record in handler.records]
            self.assertEqual(1, events.count("worker.unnumbered"))

        self._run(play)


if __name__ == "__main__":
    unittest.main()
