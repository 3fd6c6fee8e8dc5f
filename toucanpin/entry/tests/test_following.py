"""How long an owner goes on without new jobs and cancels while its watch of them is silent."""

from __future__ import annotations

import unittest

from toucanpin.entry.cell_jobs import FEED_MARGIN, FEED_WAIT, RETRY, plan_rest
from toucanpin.http import Answer, CallError
from toucanpin.platform.store import Store
from toucanpin.verdict import Verdict

CANCEL_BOUND = 3.0  # s after a cancel is acknowledged from which on no task may start


class _Silent:
    """Answer nothing, and note how long an answer would be waited for."""

    def __init__(self) -> None:
        self.waited: list[float] = []

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer:
        self.waited.append(timeout)
        raise CallError(Verdict.MAY_HAVE_RUN, "silent")


class SilentWatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_silent_watch_is_given_up_before_a_cancel_is_due(self) -> None:
        """
        Open connections go silent without a reset, the owner's watch of the jobs among them.  It
        waited 5 s for an answer, while a cancelled job mustn't start tasks after 3 s.
        """
        silent = _Silent()
        with self.assertRaises(CallError):
            await Store(silent).follow("jobs", 0, FEED_WAIT, FEED_MARGIN)
        self.assertLess(silent.waited[0] + RETRY, CANCEL_BOUND)


class RelistTest(unittest.TestCase):
    def test_full_reads_take_a_small_part_of_the_time_however_long_they_are(self) -> None:
        """
        A full read of the jobs takes a weak link seconds, since rows are kept for minutes after
        their jobs' ends.  Begun again three seconds after each, it left the link to little else.
        """
        for took in (0.1, 1.0, 4.0):
            self.assertLessEqual(took / (took + plan_rest(took)), 0.0501)


if __name__ == "__main__":
    unittest.main()
