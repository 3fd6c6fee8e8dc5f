"""Polls of a worker: when they are repeated, and when they pause."""

from __future__ import annotations

import asyncio
import unittest

from standins.site.site import JOB, Site
from standins.site.virtual import LINK_DELAY_S, run_virtual
from toucanpin.entry.cell_rows import OwnershipLostError
from toucanpin.entry.cell_workers import RETRY_DELAY_S, CellWorkers
from toucanpin.entry.clocks import Clocks
from toucanpin.http import CallError
from toucanpin.platform.store import Store
from toucanpin.scheduling.cell import Cell, add_run
from toucanpin.scheduling.incarnations import begin_incarnation
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.lease_ends import withhold_leases
from toucanpin.scheduling.load_shedding import ProcessDelay
from toucanpin.scheduling.orders import (
    EndedRun,
    PaceOrder,
    PollAnswer,
    RefusalReason,
    RunEnd,
    RunningTask,
    StopOrder,
    WorkerEntry,
)
from toucanpin.scheduling.stopping import stop_run
from toucanpin.scheduling.worker import Phase, Run, Worker
from toucanpin.verdict import Verdict

WITHHELD_S = 2.0  # for which a worker gets no lease
UNHEALTHY_S = 5.0  # for which a worker refuses all orders
POLL_TIME_S = 0.1  # until a worker answers a poll


class UnwrittenEndsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_worker_is_polled_again_once_its_ends_are_written(self) -> None:
        """
        A worker lists an ended run that isn't written to the table yet.  It would list the run
        again at once, so polls before the write is done only cost time.
        """
        site = Site()
        clocks = Clocks(Store(site.store))  # type: ignore[arg-type]
        workers = CellWorkers(
            Cell("c", 1, 0.0, 0.0),
            InterferenceModel(),
            clocks,
            ProcessDelay(),
            lambda _: None,
            _do_nothing,
        )
        worker = Worker(WorkerEntry("w", "c", "127.0.0.1:1", "dc", True, 1, 1, 0))
        worker.listed_sequence = 1
        waiting = asyncio.ensure_future(workers._wait_for_writes(worker))
        await asyncio.sleep(0)
        workers.signal_written()
        await asyncio.sleep(0)
        self.assertFalse(waiting.done(), "a write of another worker's ends must not end the wait")
        worker.acknowledged_sequence = 1
        workers.signal_written()
        await waiting

    async def test_ends_during_a_store_outage_are_written_afterwards(self) -> None:
        """
        A task ends while the store refuses all calls.  The worker is still polled, which renews its
        lease, and the job is shown as completed once the store is back.
        """
        site = Site()
        site.configure()
        self.addAsyncCleanup(site.close)
        await site.add_host()
        worker = await site.add_worker(duration=0.5)
        self.assertTrue(await site.wait_until_ready())
        await site.submit()
        self.assertTrue(await site.wait_until(lambda: worker.core.runs))
        site.faults[0].status = 503
        self.assertTrue(await site.wait_until(lambda: worker.core.ended))
        polls = worker.polls
        self.assertTrue(await site.wait_until(lambda: worker.polls > polls + 2))
        site.faults[0].status = 0
        self.assertTrue(await site.wait_for_state("completed", JOB))


class SilentWorkerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_silent_worker_is_polled_at_once_and_then_after_a_pause(self) -> None:
        """
        Guards against a delay after a single lost answer: the worker gets no tasks until it
        answers, and a second has passed already when the poll times out.  Only after two polls
        without an answer does the owner pause, for a third of a second.
        """
        clocks = Clocks(Store(Site().store))  # type: ignore[arg-type]
        cell = Cell("c", 1, 0.0, 0.0)
        workers = CellWorkers(
            cell, InterferenceModel(), clocks, ProcessDelay(), lambda _: None, _do_nothing
        )
        worker = Worker(WorkerEntry("w", "c", "127.0.0.1:1", "dc", True, 1, 1, 0))
        cell.workers["w"] = worker
        client = _SilentWorkerClient()
        workers._clients["w"] = client  # type: ignore[assignment]
        workers.signal_loaded()
        polling = asyncio.ensure_future(workers._poll(worker))
        for _ in range(10):
            await asyncio.sleep(0)
        polling.cancel()
        self.assertEqual(2, client.polls)
        self.assertTrue(worker.silent)


class FirstRenewalTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_lease_is_renewed_at_once_after_the_first_answer(self) -> None:
        """
        An owner that is behind takes a cell, and a worker answers for the first time, with an end
        to be written.  Guards against pauses before the poll that renews: the leases of an earlier
        owner end about 2 s after a takeover, and all its long-running tasks would be lost.
        """
        clocks = Clocks(Store(Site().store))  # type: ignore[arg-type]
        now = clocks.now().steady
        cell = Cell("c", 2, now, now)
        delay = ProcessDelay()
        delay.record(1.0, now)
        workers = CellWorkers(cell, InterferenceModel(), clocks, delay, lambda _: None, _do_nothing)
        worker = Worker(WorkerEntry("w", "c", "127.0.0.1:1", "dc", True, 1, 1, 0))
        cell.workers["w"] = worker
        task = TaskKey("j", 0, 0, 0)
        worker.runs[task] = Run(task, 1, "w", Step(cpu=1, long_running=True), Phase.UNKNOWN)
        client = _BusyWorkerClient(task)
        workers._clients["w"] = client  # type: ignore[assignment]
        workers.signal_loaded()
        polling = asyncio.ensure_future(workers._poll(worker))
        for _ in range(10):
            await asyncio.sleep(0)
        polling.cancel()
        self.assertEqual(0, client.deadlines[0])
        self.assertTrue(client.deadlines[1:], "the lease isn't renewed yet")
        self.assertGreater(client.deadlines[1], 0)


class WithheldLeaseTest(unittest.TestCase):
    def test_a_worker_without_a_lease_is_not_polled_without_a_pause(self) -> None:
        """
        The earlier owner listed a worker as silent, so the next one may grant it no lease before it
        has written a row without it, and the store is slow.  Guards against polls of hundreds of
        workers one after another, which take the link and the time that the rows need.
        """

        async def main() -> None:
            clocks = Clocks(Store(Site().store))  # type: ignore[arg-type]
            now = clocks.now().steady
            cell = Cell("c", 2, now, now)
            workers = CellWorkers(
                cell, InterferenceModel(), clocks, ProcessDelay(), lambda _: None, _do_nothing
            )
            worker = Worker(WorkerEntry("w", "c", "127.0.0.1:1", "dc", True, 1, 1, 0))
            cell.workers["w"] = worker
            withhold_leases(cell, ["w"])
            client = _BusyWorkerClient(TaskKey("j", 0, 0, 0))
            client.delay = LINK_DELAY_S
            workers._clients["w"] = client  # type: ignore[assignment]
            polling = asyncio.ensure_future(workers._poll(worker))
            await asyncio.sleep(WITHHELD_S)
            polling.cancel()
            self.assertLessEqual(len(client.deadlines), 1 + WITHHELD_S / RETRY_DELAY_S)

        run_virtual(main)


class RepeatedStopTest(unittest.TestCase):
    def test_a_stop_that_is_refused_is_repeated_once_at_a_time(self) -> None:
        """
        An unhealthy worker answers polls and refuses a stop for seconds.  Guards against one more
        series of retries each time that the stop is found to be due again: the worker that can't
        keep up gets ever more calls.
        """

        async def main() -> None:
            clocks = Clocks(Store(Site().store))  # type: ignore[arg-type]
            now = clocks.now().steady
            cell = Cell("c", 1, now, now)
            orders: list[asyncio.Future[None]] = []

            def dispatch() -> None:
                due, cell.orders = cell.orders, []
                orders.extend(asyncio.ensure_future(workers.order(order)) for order in due)

            workers = CellWorkers(
                cell, InterferenceModel(), clocks, ProcessDelay(), lambda _: None, dispatch
            )
            worker = Worker(WorkerEntry("w", "c", "127.0.0.1:1", "dc", True, 1, 1, 0))
            cell.workers["w"] = worker
            task = TaskKey("j", 0, 0, 0)
            run = Run(task, 1, "w", Step(cpu=1), Phase.ORDERED, ordered_at=now)
            add_run(cell, worker, run)
            client = _UnhealthyWorkerClient()
            workers._clients["w"] = client  # type: ignore[assignment]
            workers.signal_loaded()
            stop_run(cell, run, "start unsure")
            dispatch()
            polling = asyncio.ensure_future(workers._poll(worker))
            await asyncio.sleep(UNHEALTHY_S)
            for future in (polling, *orders):
                future.cancel()
            self.assertLessEqual(client.stops, 1 + UNHEALTHY_S / RETRY_DELAY_S)

        run_virtual(main)


class UnansweredPaceTest(unittest.IsolatedAsyncioTestCase):
    async def test_unanswered_pace_of_an_earlier_attempt_changes_nothing(self) -> None:
        """
        A task starts anew while the pace of its earlier attempt is in flight, and no answer comes.
        Guards against taking the new attempt, which works at full speed, for a paused one.
        """
        clocks = Clocks(Store(Site().store))  # type: ignore[arg-type]
        cell = Cell("c", 1, 0.0, 0.0)
        workers = CellWorkers(
            cell, InterferenceModel(), clocks, ProcessDelay(), lambda _: None, _do_nothing
        )
        worker = Worker(WorkerEntry("w", "c", "127.0.0.1:1", "dc", True, 1, 1, 0))
        cell.workers["w"] = worker
        workers._clients["w"] = _SilentWorkerClient()  # type: ignore[assignment]
        task = TaskKey("j", 0, 0, 0)
        run = Run(task, 2, "w", Step(cpu=1, best_effort=True), Phase.RUNNING)
        worker.runs[task] = run
        for attempt, pace in ((1, 100), (2, -1)):
            await workers.order(PaceOrder("w", task, attempt, 30))
            self.assertEqual(pace, run.pace)


class RestartedWorkerTest(unittest.IsolatedAsyncioTestCase):
    """A worker restarts while orders to its earlier incarnation are in flight, and refuses them."""

    def setUp(self) -> None:
        self.cell = Cell("c", 1, 0.0, 0.0)
        self.clocks = Clocks(Store(Site().store))  # type: ignore[arg-type]
        self.workers = CellWorkers(
            self.cell, InterferenceModel(), self.clocks, ProcessDelay(), lambda _: None, _do_nothing
        )
        self.workers.signal_loaded()
        self.worker = Worker(WorkerEntry("w", "c", "127.0.0.1:1", "dc", True, 1, 1, 0), born=1)
        self.cell.workers["w"] = self.worker
        self.client = _FencingWorkerClient()
        self.workers._clients["w"] = self.client  # type: ignore[assignment]

    def _restart(self) -> None:
        begin_incarnation(self.cell, self.worker, 2, self.clocks.now())

    async def test_refused_poll_of_the_earlier_incarnation_ends_no_ownership(self) -> None:
        """Guards against an owner that gives up its cell, as if another one had taken it."""
        self.client.before_answer = self._restart
        await self.workers._poll(self.worker)
        self.assertEqual([1], self.client.tokens)

    async def test_refused_poll_ends_the_ownership(self) -> None:
        """Guards against going on as the owner, though another one has polled the worker."""
        with self.assertRaises(OwnershipLostError):
            await self.workers._poll(self.worker)

    async def test_refused_stop_is_sent_to_the_next_incarnation(self) -> None:
        """Guards against a stop that is lost, and against giving up the cell for it."""
        self.client.before_answer = self._restart
        await self.workers.order(StopOrder("w", TaskKey("j", 0, 0, 0), 1, "moved"))
        self.assertEqual([1, 2], self.client.tokens)

    async def test_refused_stop_ends_the_ownership(self) -> None:
        """Guards against repeating a stop that another owner's worker refuses."""
        with self.assertRaises(OwnershipLostError):
            await self.workers.order(StopOrder("w", TaskKey("j", 0, 0, 0), 1, "moved"))


class _FencingWorkerClient:
    """Worker that refuses the first order, as it has seen a higher token."""

    def __init__(self) -> None:
        self.tokens: list[int] = []
        self.before_answer = _do_nothing

    def close(self) -> None:
        """Do nothing."""

    async def poll(self, token: int, *_: object) -> RefusalReason:
        self.tokens.append(token)
        self.before_answer()
        return RefusalReason.FENCED

    async def stop(self, task: TaskKey, attempt: int, token: int) -> RefusalReason | None:
        self.tokens.append(token)
        self.before_answer()
        return RefusalReason.FENCED if len(self.tokens) == 1 else None


class _SilentWorkerClient:
    """Worker that never answers."""

    def __init__(self) -> None:
        self.polls = 0

    async def poll(self, *_: object) -> None:
        self.polls += 1
        raise CallError(Verdict.MAY_HAVE_RUN, "no answer")

    async def pace(self, *_: object) -> None:
        raise CallError(Verdict.MAY_HAVE_RUN, "no answer")


class _BusyWorkerClient:
    """Worker that runs a task and lists the end of another one."""

    def __init__(self, task: TaskKey) -> None:
        self._answer = PollAnswer(
            50_000,
            (RunningTask(task, 1, "", 50, 0.0),),
            (EndedRun(1, TaskKey("other", 0, 0, 0), 1, RunEnd.DONE, ""),),
        )
        self.deadlines: list[int] = []
        self.delay = 0.0  # s until it answers

    async def poll(self, token: int, acknowledged: int, deadline: int, *_: object) -> PollAnswer:
        self.deadlines.append(deadline)
        if self.delay:
            await asyncio.sleep(self.delay)
        return self._answer


class _UnhealthyWorkerClient:
    """Worker that runs nothing and refuses each stop."""

    def __init__(self) -> None:
        self.stops = 0

    async def poll(self, *_: object) -> PollAnswer:
        await asyncio.sleep(POLL_TIME_S)
        return PollAnswer(50_000, (), ())

    async def stop(self, *_: object) -> RefusalReason:
        self.stops += 1
        await asyncio.sleep(LINK_DELAY_S)
        return RefusalReason.UNHEALTHY


def _do_nothing() -> None:
    """Do nothing."""


if __name__ == "__main__":
    unittest.main()
