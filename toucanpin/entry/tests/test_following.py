"""How long an owner goes on without new jobs and cancels while its watch of them is silent."""

from __future__ import annotations

import unittest

from toucanpin.entry.following import FEED_MARGIN, FEED_WAIT, RETRY
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


if __name__ == "__main__":
    unittest.main()
