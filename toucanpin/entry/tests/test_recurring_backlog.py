"""A recurring job that is a week behind, over connections."""

from __future__ import annotations

import time
import unittest

import logbook
import msgspec

from standins.site.site import JOB, PREFIX, Site
from standins.site.virtual import run_virtual

OTHER_JOB = "00000000000000a2"
MINUTE_MS = 60_000
OCCURRENCES = 10_000
MAX_OTHER_S = 3.0  # until an ordinary job of a short task is completed


class RecurringBacklogTest(unittest.TestCase):
    def test_owner_serves_others_beside_a_job_that_is_a_week_behind(self) -> None:
        """Guards against a schedule by which each host that takes its cell exceeds its memory."""

        async def main() -> None:
            site = Site()
            site.configure()
            handler = logbook.TestHandler()
            with handler.applicationbound():
                try:
                    await site.add_host()
                    for _ in range(3):
                        await site.add_worker()
                    self.assertTrue(await site.wait_until_ready())
                    now = time.time_ns() // 1_000_000
                    body = {
                        "spec": "work",
                        "pipeline": [{"count": 20, "cpu": 250}],
                        "repeatCount": OCCURRENCES,
                        "startAtMs": now - OCCURRENCES * MINUTE_MS,
                        "intervalMs": MINUTE_MS,
                    }
                    answer = await site.call("POST", PREFIX + JOB, msgspec.json.encode(body))
                    self.assertEqual(200, answer.status)
                    await site.wait_until(lambda: False, turns=120)
                    began = time.monotonic()
                    await site.submit(OTHER_JOB)
                    self.assertTrue(await site.wait_for_state("completed", OTHER_JOB))
                    self.assertLess(time.monotonic() - began, MAX_OTHER_S)
                finally:
                    await site.close()
            done = sum(len(worker.core.starts) for worker in site.workers)
            self.assertGreater(done, 200)
            behind = [it.kwargs for it in handler.records if it.kwargs["event"] == "job.behind"]
            self.assertTrue(behind)
            self.assertGreater(behind[-1]["waiting"], 9_000)
            self.assertLess(behind[-1]["waiting"], OCCURRENCES)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
