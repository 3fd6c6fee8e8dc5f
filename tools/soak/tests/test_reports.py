"""Entries of workers that are cut off from the store lapse and return at their real times."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from standins.site.store import SiteStore
from standins.site.virtual import run_virtual
from tools.soak.reports import MAX_SILENCE_S, REPORT_PERIOD_S, ReportPath

STEP_S = 0.05  # of time within which an entry may lapse late


class ReportPathTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = SiteStore()
        self.path = ReportPath(self.store)

    def test_entry_lapses_three_reports_after_the_last_one(self) -> None:
        """Guards against entries that stay, or go at once, while their worker is cut off."""
        for age in (0.0, 0.6, REPORT_PERIOD_S):

            async def play(age: float = age) -> None:
                self._report("w")
                await asyncio.sleep(5.0)
                self.path.cut(age)
                await asyncio.sleep(MAX_SILENCE_S - age - STEP_S)
                self.assertEqual(["w"], self._list())
                await asyncio.sleep(2 * STEP_S)
                self.assertEqual([], self._list())
                self.path.restore()
                self.assertEqual(["w"], self._list())

            with self.subTest(age=age):
                self._run(play)

    def test_report_of_a_new_worker_is_no_older_than_the_worker(self) -> None:
        async def play() -> None:
            self._report("w")
            self.path.cut(REPORT_PERIOD_S)
            await asyncio.sleep(MAX_SILENCE_S - STEP_S)
            self.assertEqual(["w"], self._list())

        self._run(play)

    def test_short_cut_costs_no_entry(self) -> None:
        """Guards against an entry that lapses after its worker has reported again."""

        async def play() -> None:
            self._report("w")
            self.path.cut(0.0)
            await asyncio.sleep(MAX_SILENCE_S - STEP_S)
            self.path.restore()
            await asyncio.sleep(MAX_SILENCE_S)
            self.assertEqual(["w"], self._list())

        self._run(play)

    def test_overlapping_cuts_end_with_the_last(self) -> None:
        async def play() -> None:
            self._report("w")
            self.path.cut(0.0)
            await asyncio.sleep(1.0)
            self.path.cut(0.0)
            self.path.restore()
            await asyncio.sleep(MAX_SILENCE_S - 1.0 + STEP_S)
            self.assertEqual([], self._list())
            self.assertFalse(await self.path.arrives(1.0))
            self.path.restore()
            self.assertEqual(["w"], self._list())
            self.assertTrue(await self.path.arrives(0.0))

        self._run(play)

    def test_incarnation_that_ends_during_a_cut_is_not_listed_again(self) -> None:
        """Guards against an entry of a process that has ended, and against one that stays."""

        async def play() -> None:
            self._report("w")
            self.path.cut(0.0)
            self.path.delete("servers", "w")
            self.assertEqual(["w"], self._list())
            self.path.restore()
            self.assertEqual(["w"], self._list())
            await asyncio.sleep(MAX_SILENCE_S + STEP_S)
            self.assertEqual([], self._list())

        self._run(play)

    def test_next_incarnation_is_listed_after_the_cut(self) -> None:
        """Guards against a restart, under the same id or another, that reaches a cut-off store."""
        for name in ("w", "x"):

            async def play(name: str = name) -> None:
                self._report("w")
                self.path.cut(0.0)
                self.path.end()
                self._report(name)
                self.assertEqual(["w"], self._list())
                await asyncio.sleep(MAX_SILENCE_S + STEP_S)
                self.assertEqual([], self._list())
                self.path.restore()
                await asyncio.sleep(MAX_SILENCE_S + STEP_S)
                self.assertEqual([name], self._list())

            with self.subTest(name=name):
                self._run(play)

    def test_entry_of_a_crash_before_the_cut_goes_at_its_own_time(self) -> None:
        async def play() -> None:
            self._report("w")
            self.path.end()
            self.path.expire("w", 1.0)
            self.path.cut(0.0)
            await asyncio.sleep(1.0 + STEP_S)
            self.assertEqual([], self._list())

        self._run(play)

    def _run(self, play: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self.setUp()
        run_virtual(play)

    def _report(self, name: str) -> None:
        self.path.put("servers", name, b"{}")

    def _list(self) -> list[str]:
        return [key for table, _, key in self.store.rows if table == "servers"]


if __name__ == "__main__":
    unittest.main()
