"""Seconds without starts: outages of the store, dead owners and weak successors."""

from __future__ import annotations

import time
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from standins.site.site import Site
from standins.site.virtual import Processor, run_virtual, start_on
from toucanpin.entry.tables import OWNER_KEY, OWNERS_TABLE
from toucanpin.scheduling.ownership import OwnerRecord, decode_owner

OUTAGE_S = 4.2
MAX_START_AFTER_RETURN_S = 1.0
MAX_START_AFTER_DEATH_S = 2.5
STRONG, WEAK = 2.0, 0.5  # cores
JOBS = 500
WORKERS = 270


class _Trace:
    """A site under a steady burst of jobs."""

    def __init__(self, cores: tuple[float, ...], jobs: int = 100, workers: int = 30) -> None:
        self.site = Site()
        self._cores = cores
        self._jobs = jobs
        self._workers = workers
        self._duration = 0.4 if workers < WORKERS else 2.0

    async def begin(self) -> None:
        self.site.configure()
        for cores in self._cores:
            await self.add_host(cores)
        for number in range(self._workers):
            # Different durations, so that room comes free all the time.
            await self.site.add_worker(cpu=2_000, duration=self._duration * (1 + number % 7))
        assert await self.site.wait_until(
            lambda: bool(self.read_owner().host) and all(it.has_peers() for it in self.site.hosts)
        )
        await self.site.wait_until(lambda: False, 140)
        for host in range(len(self._cores)):
            assert await self.site.wait_until_ready(host)
        for number in range(self._jobs):
            while await self._submit(f"{number + 1:016x}") == 503:
                await self.site.wait_until(lambda: False, 2)
        assert await self.site.wait_until(lambda: self.starts() > 0)

    async def _submit(self, job: str) -> int:
        host = len(self._cores) - 1
        return (await self.site.submit(job, host, 60_000, count=4)).status

    async def add_host(self, cores: float) -> None:
        async def add() -> None:
            await self.site.add_host(cores)

        await start_on(Processor(cores), add())

    def read_owner(self) -> OwnerRecord:
        row = self.site.store.rows.get((OWNERS_TABLE, "c", OWNER_KEY))
        return decode_owner(row.value) if row else OwnerRecord("", "", 0, 0)

    def owner(self) -> int:
        return int(self.read_owner().host[1:])

    def starts(self) -> int:
        return sum(len(worker.core.starts) for worker in self.site.workers)

    def silence(self, silent: bool) -> None:
        for faults in self.site.faults:
            faults.silent = silent

    async def measure_next_start(self, limit: float = 30.0) -> float:
        """Return the time in s until a task starts."""
        begun, before = time.monotonic(), self.starts()
        assert await self.site.wait_until(lambda: self.starts() > before, int(limit / 0.05))
        return time.monotonic() - begun

    async def measure_longest_pause(self, duration: float) -> float:
        """Return the longest time in s without a start."""
        longest, last, before = 0.0, time.monotonic(), self.starts()
        until = time.monotonic() + duration
        while time.monotonic() < until:
            await self.site.wait_until(lambda: False, 1)
            if self.starts() > before:
                last, before = time.monotonic(), self.starts()
            longest = max(longest, time.monotonic() - last)
        return longest

    def check_starts(self, test: unittest.TestCase) -> None:
        starts = [key for worker in self.site.workers for key in worker.core.starts]
        test.assertEqual(len(starts), len(set(starts)))


class StandstillTest(unittest.TestCase):
    def _run(
        self, trace: _Trace, play: Callable[[], Coroutine[Any, Any, None]], seed: int = 0
    ) -> None:
        async def main() -> None:
            try:
                await trace.begin()
                await play()
                trace.check_starts(self)
            finally:
                await trace.site.close()

        run_virtual(main, seed)

    def test_an_owner_keeps_its_cell_over_a_silent_outage(self) -> None:
        """
        The store is silent for 4.2 s. The owner's write hung in the outage until its timeout, while
        another host read the row and took the cell, and the next one had to read all jobs.
        """
        for shift in range(8):
            trace = _Trace((STRONG, STRONG, WEAK, WEAK))

            async def play(trace: _Trace = trace, shift: int = shift) -> None:
                token = trace.read_owner().token
                trace.silence(True)
                await trace.site.wait_until(lambda: False, int(OUTAGE_S / 0.05) + shift)
                trace.silence(False)
                self.assertLess(await trace.measure_next_start(), MAX_START_AFTER_RETURN_S)
                await trace.site.wait_until(lambda: False, 80)
                self.assertEqual(token, trace.read_owner().token)

            with self.subTest(shift=shift):
                self._run(trace, play, shift)

    def test_a_dead_owner_is_replaced(self) -> None:
        """The owner dies while the store is well; a strong host starts tasks within 2.5 s."""
        for seed in range(6):
            trace = _Trace((STRONG, STRONG, STRONG, WEAK, WEAK))

            async def play(trace: _Trace = trace) -> None:
                await trace.site.hosts[trace.owner()].abort()
                self.assertLess(await trace.measure_next_start(), MAX_START_AFTER_DEATH_S)
                self.assertLess(trace.owner(), 3)

            with self.subTest(seed=seed):
                self._run(trace, play, seed)

    def test_an_owner_that_died_in_an_outage_is_replaced(self) -> None:
        """The owner dies while the store is silent; no host is sure of that until it answers."""
        for seed in range(4):
            trace = _Trace((STRONG, STRONG, WEAK, WEAK))

            async def play(trace: _Trace = trace) -> None:
                trace.silence(True)
                await trace.site.wait_until(lambda: False, 40)
                await trace.site.hosts[trace.owner()].abort()
                await trace.site.wait_until(lambda: False, 44)
                trace.silence(False)
                self.assertLess(await trace.measure_next_start(), MAX_START_AFTER_DEATH_S)
                self.assertLess(trace.owner(), 2)

            with self.subTest(seed=seed):
                self._run(trace, play, seed)

    def test_an_owner_that_alone_is_cut_off_goes_on_through_its_peers(self) -> None:
        """The store stays silent to the owner only; its write waited a second for an answer."""
        for seed in range(4):
            trace = _Trace((STRONG, STRONG, WEAK))

            async def play(trace: _Trace = trace) -> None:
                owner, token = trace.owner(), trace.read_owner().token
                trace.site.faults[owner].silent = True
                self.assertLess(await trace.measure_longest_pause(4.0), MAX_START_AFTER_RETURN_S)
                self.assertEqual(token, trace.read_owner().token)

            with self.subTest(seed=seed):
                self._run(trace, play, seed)

    def test_a_large_cell_never_stands_still_for_long(self) -> None:
        """
        500 jobs wait for 270 workers. The store is silent for 4.2 s, then the owner dies, then all
        other strong hosts. A weak host read the rows for 4 s beside its workers' answers.
        """
        trace = _Trace((STRONG, STRONG, WEAK, WEAK), JOBS, WORKERS)

        async def play() -> None:
            trace.silence(True)
            await trace.site.wait_until(lambda: False, int(OUTAGE_S / 0.05))
            trace.silence(False)
            self.assertLess(await trace.measure_next_start(), MAX_START_AFTER_RETURN_S)
            await trace.site.wait_until(lambda: False, 40)
            await trace.site.hosts[trace.owner()].abort()
            self.assertLess(await trace.measure_next_start(), MAX_START_AFTER_DEATH_S)
            await trace.site.wait_until(lambda: False, 40)
            await trace.site.hosts[trace.owner()].abort()
            taken = trace.read_owner().token
            assert await trace.site.wait_until(lambda: trace.read_owner().token > taken)
            self.assertLess(await trace.measure_next_start(), MAX_START_AFTER_RETURN_S)

        self._run(trace, play)

    def test_a_handover_leaves_no_second_without_starts(self) -> None:
        """A weak host owns a large cell when a strong one starts, which takes the cell over."""
        trace = _Trace((WEAK, WEAK), JOBS, WORKERS)

        async def play() -> None:
            await trace.add_host(STRONG)
            pause = await trace.measure_longest_pause(6.0)
            self.assertEqual(2, trace.owner())
            self.assertLess(pause, MAX_START_AFTER_RETURN_S)

        self._run(trace, play)


if __name__ == "__main__":
    unittest.main()
