"""Seeded interleavings of writes of jobs and refusals by several hosts."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import patch

from toucanpin.entry import submissions
from toucanpin.entry.clocks import Clocks
from toucanpin.entry.submissions import SubmissionOutcome, Submissions
from toucanpin.entry.tables import JOBS_TABLE
from toucanpin.http import CallError
from toucanpin.platform.store import Committed, Conflict, ExpectedVersion, Put, Row, Store
from toucanpin.scheduling.tests.fleet import make_job
from toucanpin.verdict import Verdict

SEEDS = range(400)
ROUNDS = 4  # of copies of one request that arrive together
DEADLINE_S = 1.0
ASYNC_SLEEP = asyncio.sleep  # not that of the tested module, which is replaced


class UnreliableStore:
    """Store that refuses calls, or leaves them without an answer and applies some of them later."""

    def __init__(self, draw: random.Random) -> None:
        self.draw = draw
        self.version = 0
        self.rows: dict[tuple[str, str], int] = {}
        self.late: list[tuple[Sequence[ExpectedVersion], Sequence[Put]]] = []

    async def transact(
        self, part: str, expected: Sequence[ExpectedVersion], puts: Sequence[Put], timeout: float
    ) -> Committed | Conflict:
        for _ in range(self.draw.randrange(4)):
            await asyncio.sleep(0)
        self.apply_late(0.3)
        match self.draw.random():
            case chance if chance < 0.15:
                raise CallError(Verdict.NOT_RUN, "refused")
            case chance if chance < 0.45:
                self.late.append((expected, puts))
                raise CallError(Verdict.MAY_HAVE_RUN, "no answer")
        return self._apply(expected, puts)

    def apply_late(self, chance: float) -> None:
        """Apply each write without an answer with this chance."""
        late, self.late = self.late, []
        for write in late:
            if self.draw.random() < chance:
                self._apply(*write)
            else:
                self.late.append(write)

    def _apply(
        self, expected: Sequence[ExpectedVersion], puts: Sequence[Put]
    ) -> Committed | Conflict:
        if any(self.rows.get((it.table, it.key), 0) != it.version for it in expected):
            found = [(it, self.rows.get((it.table, it.key), 0)) for it in expected]
            return Conflict(tuple(Row(it.table, "", it.key, b"", v) for it, v in found if v))
        self.version += 1
        for put in puts:
            self.rows[put.table, put.key] = 0 if put.value is None else self.version
        return Committed(self.version, 0)


class InterleavingTest(unittest.TestCase):
    async def _play(self, seed: int) -> tuple[list[SubmissionOutcome], bool]:
        """Return the outcomes of the last copies, and whether their job is stored at last."""
        draw = random.Random(seed)
        store = UnreliableStore(draw)
        clocks = cast(Clocks, SimpleNamespace(now=lambda: SimpleNamespace(table=0)))
        writer = Submissions(cast(Store, store), clocks, fenced=True)
        job = make_job("a" * 16)
        clock = 0.0

        async def sleep(delay: float) -> None:
            nonlocal clock
            clock += max(delay, 0.001)
            await ASYNC_SLEEP(0)

        async def attempt(refused: bool, known: int) -> SubmissionOutcome:
            if refused:
                return await writer.refuse("c", job.id, clock + DEADLINE_S)
            return await writer.submit(job, known, clock + DEADLINE_S)

        fake_time: Any = SimpleNamespace(monotonic=lambda: clock)
        fake_asyncio: Any = SimpleNamespace(sleep=sleep)
        outcomes: list[SubmissionOutcome] = []
        with (
            patch.object(submissions, "time", fake_time),
            patch.object(submissions, "asyncio", fake_asyncio),
        ):
            for _ in range(ROUNDS):
                known = draw.choice((store.version, draw.randint(0, store.version)))
                copies = [attempt(draw.random() < 0.5, known) for _ in range(draw.randint(1, 3))]
                outcomes = await asyncio.gather(*copies)
                if SubmissionOutcome.STORED in outcomes:
                    break
        store.apply_late(1.0)
        return outcomes, store.rows.get((JOBS_TABLE, job.id), 0) > 0

    def test_outcomes_of_the_last_copies_stay_true(self) -> None:
        """
        Guards against a job that runs after its refusal, and against one that is gone after its
        acceptance: writes without an answer are applied after later ones.
        """
        counts: Counter[bool] = Counter()
        for seed in SEEDS:
            outcomes, stored = asyncio.run(self._play(seed))
            accepted = SubmissionOutcome.STORED in outcomes
            refused = SubmissionOutcome.REFUSED in outcomes
            with self.subTest(seed=seed):
                self.assertFalse(accepted and refused)
                if accepted or refused:
                    self.assertEqual(accepted, stored)
                    counts[accepted] += 1
        self.assertGreater(min(counts[True], counts[False]), 10)


if __name__ == "__main__":
    unittest.main()
