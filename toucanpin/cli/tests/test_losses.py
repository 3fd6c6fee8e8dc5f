"""Where jobs' time went, as the logs tell it."""

from __future__ import annotations

import unittest

import msgspec
from click.testing import CliRunner

from toucanpin.cli.explain import parse_lines
from toucanpin.cli.losses import losses, sum_losses

LINES = [
    {"clock": 1_000, "event": "task.placed", "task": "j.0.0.0", "attempt": 1, "queue": "batch",
     "waited": 2.5, "why": "no room"},
    {"clock": 2_000, "event": "task.stopping", "task": "j.0.0.0", "reason": "harms what serves"},
    {"clock": 2_100, "event": "task.ended", "task": "j.0.0.0", "attempt": 1, "end": "stopped"},
    {"clock": 3_000, "event": "task.placed", "task": "j.0.0.0", "attempt": 2, "queue": "batch"},
    {"clock": 5_000, "event": "task.ended", "task": "j.0.0.0", "attempt": 2, "end": "done"},
    {"clock": 5_010, "event": "job.ended", "job": "j", "queue": "batch", "state": "completed",
     "late": 0.4},
]  # fmt: skip


def _text() -> list[str]:
    return [msgspec.json.encode({"host": "h", **line}).decode() for line in LINES]


class LossesTest(unittest.TestCase):
    def test_waits_stops_and_runs_are_told_apart(self) -> None:
        found = sum_losses(parse_lines(_text()))["batch"]
        self.assertEqual({"late": 1}, dict(found.jobs))
        self.assertEqual(
            {"wait: no room": 2.5, "stopped: harms what serves": 1.1, "run: done": 2.0},
            {cause: round(seconds, 3) for cause, seconds in found.seconds.items()},
        )

    def test_the_largest_cause_comes_first(self) -> None:
        result = CliRunner().invoke(losses, ["-", "--by-second"], input="\n".join(_text()))
        self.assertEqual(0, result.exit_code, result.output)
        rows = result.output.splitlines()
        self.assertIn("batch: jobs 1 late", rows[0])
        self.assertIn("wait: no room", rows[1])

    def test_logs_without_tasks_are_refused(self) -> None:
        self.assertEqual(1, CliRunner().invoke(losses, ["-"], input="{}").exit_code)


if __name__ == "__main__":
    unittest.main()
