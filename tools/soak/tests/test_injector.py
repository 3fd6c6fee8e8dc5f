"""A worker that is cut off runs on under its leases, and the checks learn of the cut."""

from __future__ import annotations

import asyncio
import tempfile
import time
import unittest
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any
from unittest.mock import patch

from standins.site.virtual import run_virtual
from tools.soak import events
from tools.soak.deployment import Deployment
from tools.soak.faults import (
    BusiestWorkerCut,
    Fault,
    LinkMode,
    LinkTrouble,
    TimedFault,
    WorkerCut,
    WorkerEnds,
    WorkerRestarts,
)
from tools.soak.hosts import Host
from tools.soak.injector import FaultInjector
from tools.soak.jobs import JobPlan, StepPlan
from tools.soak.plan import Size
from tools.soak.reports import MAX_SILENCE_S
from toucanpin.scheduling.job import TaskKey

SIZE = Size(hosts=2, workers=2)
JOB = JobPlan("j", "batch", (StepPlan(1, 500, 64, 1e9, long_running=True),))
TASK = TaskKey("j", 0, 0, 0)
LEASE_S = 4.5
CUT_S = 6.0
TRIES_AT_S = (1.5, 4.0, 6.5)  # before the cut of CUT_S that begins after 2 s, in each half of it


class WorkerCutTest(unittest.TestCase):
    """Workers are real ones on a virtual clock; links are not made, only their modes are set."""

    def test_worker_runs_on_until_its_lease_ends_on_its_own_clock(self) -> None:
        """Guards against a cut that ends what runs, so that no run is ever left alone."""
        for worker, rate in ((0, 1.0), (1, 0.982)):

            async def play(worker: int = worker, rate: float = rate) -> None:
                running = self.deployment.workers[worker]
                assert running is not None
                now = running._now()
                began = time.monotonic()
                running.core.start(TASK, 1, int((now + LEASE_S) * 1_000), 1, now)
                cut = WorkerCut(worker, (LinkMode.REFUSED,), CUT_S, 0.5)
                await self._inject(TimedFault(0.0, cut))
                (ended,) = (it for it in self.events() if isinstance(it, events.RunEnded))
                self.assertEqual("lapsed", ended.end_kind)
                self.assertAlmostEqual(LEASE_S / rate, ended.at - began, delta=0.05)

            with self.subTest(worker=worker):
                self._run(play)

    def test_busiest_worker_is_the_one_with_the_most_lasting_tasks(self) -> None:
        """Guards against cuts that hit idle workers only, so that no run is left alone."""

        async def play() -> None:
            busiest = self.deployment.workers[1]
            assert busiest is not None
            now = busiest._now()
            busiest.core.start(TASK, 1, int((now + LEASE_S) * 1_000), 1, now)
            cut = BusiestWorkerCut((LinkMode.REFUSED,), CUT_S, 0.0)
            task = asyncio.ensure_future(self._inject(TimedFault(0.0, cut)))
            await asyncio.sleep(MAX_SILENCE_S + 0.1)
            self.assertEqual(["w0-1"], self._list())
            self.assertTrue(busiest.core.runs)
            await task
            self.assertEqual(["w0-1", "w1-1"], self._list())

        self._run(play)

    def test_modes_follow_one_another_on_all_links(self) -> None:
        """Guards against cuts that another trouble of a link opens, or that stay."""

        async def play() -> None:
            modes = (LinkMode.RESET, LinkMode.REFUSED)
            trouble = LinkTrouble((1,), (0,), LinkMode.DELAYED, 10.0, 0.1)
            injected = self._inject(
                TimedFault(2.0, WorkerCut(0, modes, CUT_S, 0.0)), TimedFault(3.0, trouble)
            )
            task = asyncio.ensure_future(injected)
            seen = []
            for at, since in zip(TRIES_AT_S, (0.0, *TRIES_AT_S), strict=False):
                await asyncio.sleep(at - since)
                seen.append([self._mode(host) for host in range(SIZE.hosts)])
            expected = (LinkMode.OPEN, *modes)
            self.assertEqual([[mode] * SIZE.hosts for mode in expected], seen)
            await asyncio.sleep(2.0)
            self.assertEqual([LinkMode.OPEN, LinkMode.DELAYED], [self._mode(0), self._mode(1)])
            await task
            self.assertEqual([LinkMode.OPEN] * 2, [self._mode(0), self._mode(1)])

        self._run(play)

    def test_entry_is_away_until_the_cut_ends(self) -> None:
        """Guards against a restart during a cut that shows the worker too soon."""
        for restart in (None, WorkerRestarts(0, 0.5)):

            async def play(restart: Fault | None = restart) -> None:
                plan = [TimedFault(2.0, WorkerCut(0, (LinkMode.SILENT,), CUT_S, 1.0))]
                if restart is not None:
                    plan.append(TimedFault(3.0, restart))
                task = asyncio.ensure_future(self._inject(*plan))
                await asyncio.sleep(4.0)
                self.assertIn("w0-1", self._list())
                await asyncio.sleep(0.5)
                self.assertNotIn("w0-1", self._list())
                await asyncio.sleep(3.4)
                self.assertNotIn("w0-1", self._list())
                await task
                self.assertIn("w0-1", self._list())

            with self.subTest(restart=restart):
                self._run(play)

    def test_worker_that_crashes_while_cut_off_is_not_listed_again(self) -> None:
        """Guards against an entry of a process that has ended, written when the cut ends."""

        async def play() -> None:
            cut = WorkerCut(0, (LinkMode.SILENT,), CUT_S, 1.0)
            crash = WorkerEnds(0, 0.0, CUT_S + 1.0)
            task = asyncio.ensure_future(self._inject(TimedFault(2.0, cut), TimedFault(3.0, crash)))
            await asyncio.sleep(CUT_S + 2.5)
            self.assertEqual(["w1-1"], self._list())
            await task
            self.assertEqual(["w0-2", "w1-1"], self._list())

        self._run(play)

    def test_cut_is_trouble_of_workers_and_of_orders_alone(self) -> None:
        """Guards against cuts that count against hosts, or excuse more than they disturb."""
        for modes, delays_orders in (((LinkMode.SILENT,), {True}), ((), set())):

            async def play(
                modes: tuple[LinkMode, ...] = modes, delays_orders: set[bool] = delays_orders
            ) -> None:
                began = time.monotonic()
                await self._inject(TimedFault(0.0, WorkerCut(0, modes, CUT_S, 0.0)))
                told = [it.at for it in self.events() if isinstance(it, events.WorkerTroubleSeen)]
                self.assertAlmostEqual(CUT_S, max(told) - began, delta=0.25)
                disturbed = [it for it in self.events() if isinstance(it, events.DisturbanceSeen)]
                self.assertEqual(delays_orders, {it.orders for it in disturbed})

            with self.subTest(modes=modes):
                self._run(play)

    def test_worker_that_drains_while_cut_off_is_told_when_the_store_hears_of_it(self) -> None:
        """Guards against a check that expects hosts to know what reached no store."""

        async def play() -> None:
            worker = self.deployment.workers[0]
            assert worker is not None
            draining = asyncio.ensure_future(worker.drain(CUT_S + 2.0))
            await asyncio.sleep(0)
            self.assertEqual(1, self._count_draining())
            await draining
            other = self.deployment.workers[1]
            assert other is not None
            cut = self._inject(TimedFault(0.0, WorkerCut(1, (), CUT_S, 0.0)))
            task = asyncio.ensure_future(cut)
            await asyncio.sleep(1.0)
            draining = asyncio.ensure_future(other.drain(CUT_S))
            await asyncio.sleep(CUT_S - 1.5)
            self.assertEqual(1, self._count_draining())
            await task
            await draining
            self.assertEqual(2, self._count_draining())

        self._run(play)

    def _run(self, play: Callable[[], Coroutine[Any, Any, None]]) -> None:
        async def main() -> None:
            with tempfile.TemporaryDirectory() as name, patch.object(Host, "start"):
                self.deployment = Deployment(SIZE, Path(name), ())
                self.deployment.state.jobs[JOB.id] = JOB
                self.addCleanup(self.deployment._lock.close)
                for worker in range(SIZE.workers):
                    await self.deployment.start_worker(worker)
                await play()

        run_virtual(main)

    def events(self) -> list[events.Event]:
        return self.deployment.checker.events

    async def _inject(self, *plan: TimedFault) -> None:
        await FaultInjector(self.deployment).run(plan)

    def _mode(self, host: int) -> LinkMode:
        mode, _ = self.deployment.modes.get((host, 0), (LinkMode.OPEN, 0.0))
        return mode

    def _list(self) -> list[str]:
        return [key for table, _, key in self.deployment.store.rows if table == "servers"]

    def _count_draining(self) -> int:
        return sum(isinstance(it, events.WorkerDraining) for it in self.events())


if __name__ == "__main__":
    unittest.main()
