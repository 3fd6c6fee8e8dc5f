"""Tests of the command ``losses``."""

from __future__ import annotations

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import patch
from xml.etree import ElementTree

import msgspec
from click.testing import CliRunner

from toucanpin.cli.explain import parse_lines
from toucanpin.cli.losses import losses, sum_losses
from toucanpin.cli.losses_plot import MAX_CAUSES_SHOWN, OTHER_CAUSES, rank_causes

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
    def test_waits_stopped_runs_and_finished_runs_are_separate_causes(self) -> None:
        found = sum_losses(parse_lines(_text()))["batch"]
        self.assertEqual({"late": 1}, dict(found.jobs))
        self.assertEqual(
            {"wait: no room": 2.5, "stopped: harms what serves": 1.1, "run: done": 2.0},
            {cause: round(seconds, 3) for cause, seconds in found.seconds.items()},
        )

    def test_times_count_in_the_seconds_in_which_they_passed(self) -> None:
        by_second = sum_losses(parse_lines(_text()))["batch"].by_second
        found = {
            second: {cause: round(seconds, 3) for cause, seconds in causes.items()}
            for second, causes in sorted(by_second.items())
        }
        wait, stopped, done = "wait: no room", "stopped: harms what serves", "run: done"
        self.assertEqual(
            {
                -2: {wait: 0.5},
                -1: {wait: 1.0},
                0: {wait: 1.0},
                1: {stopped: 1.0},
                2: {stopped: 0.1},
                3: {done: 1.0},
                4: {done: 1.0},
            },
            found,
        )

    def test_waits_in_a_standstill_count_under_its_reason(self) -> None:
        lines = [
            {"clock": 1_500, "event": "cell.resumed", "stood": 1.0, "why": "no owner"},
            {"clock": 1_600, "event": "task.placed", "task": "j.0.0.0", "attempt": 1,
             "queue": "batch", "waited": 1.6, "why": "no room", "age": 1.6},
            {"clock": 1_700, "event": "task.placed", "task": "k.0.0.0", "attempt": 1,
             "queue": "urgent", "waited": 0.0, "why": "", "age": 0.7},
            {"clock": 1_700, "event": "task.placed", "task": "k.0.1.0", "attempt": 1,
             "queue": "urgent", "waited": 0.0, "why": "", "age": 0.7},
        ]  # fmt: skip
        text = [msgspec.json.encode({"host": "h", **line}).decode() for line in lines]
        found = {
            queue: {cause: round(seconds, 3) for cause, seconds in it.seconds.items()}
            for queue, it in sum_losses(parse_lines(text)).items()
        }
        self.assertEqual({"standstill: no owner": 1.0, "wait: no room": 0.6}, found["batch"])
        self.assertEqual({"standstill: no owner": 0.5}, found["urgent"])

    def test_the_largest_cause_comes_first(self) -> None:
        result = CliRunner().invoke(losses, ["-", "--by-second"], input="\n".join(_text()))
        self.assertEqual(0, result.exit_code, result.output)
        rows = result.output.splitlines()
        self.assertIn("batch: jobs 1 late", rows[0])
        self.assertIn("wait: no room", rows[1])

    def test_dropped_lines_are_reported(self) -> None:
        """
        A host that starts hundreds of tasks per second drops some log lines.  Stops whose
        reason was dropped must be summed up under a named cause, and the sums reported as
        incomplete.
        """
        texts = [text for text in _text() if "task.stopping" not in text]
        for lines in (3, 40):
            dropped = {"host": "h", "clock": 6_000, "event": "log.dropped", "lines": lines}
            texts.append(msgspec.json.encode(dropped).decode())
        result = CliRunner().invoke(losses, ["-"], input="\n".join(texts))
        self.assertIn("stopped: reason not logged", result.output)
        self.assertIn("40 lines were dropped", result.output)
        whole = CliRunner().invoke(losses, ["-"], input="\n".join(_text()))
        self.assertNotIn("dropped", whole.output)

    def test_logs_without_tasks_are_refused(self) -> None:
        self.assertEqual(1, CliRunner().invoke(losses, ["-"], input="{}").exit_code)


class PlotTest(unittest.TestCase):
    def _plot(self, folder: str = ".") -> tuple[int, str, str | None]:
        with TemporaryDirectory() as base:
            path = Path(base) / folder / "losses.svg"
            arguments = ["-", "--plot", str(path)]
            result = CliRunner().invoke(losses, arguments, input="\n".join(_text()))
            picture = path.read_text("utf-8") if path.exists() else None
        return result.exit_code, result.output, picture

    def test_plot_shows_queues_and_causes(self) -> None:
        code, output, picture = self._plot()
        self.assertEqual(0, code, output)
        assert picture is not None
        words = {element.text for element in ElementTree.fromstring(picture).iter()}
        self.assertLessEqual({"batch", "wait: no room", "run: done"}, words)

    def test_plot_is_reproducible(self) -> None:
        self.assertEqual(self._plot(), self._plot())

    def test_without_matplotlib_only_the_table_is_printed(self) -> None:
        with patch.dict("sys.modules", {"matplotlib": None}):
            code, output, picture = self._plot()
        self.assertEqual(1, code)
        self.assertIn("batch: jobs 1 late", output)
        self.assertIn("--plot needs matplotlib", output)
        self.assertIsNone(picture)

    def test_plot_file_that_cannot_be_written_is_reported(self) -> None:
        code, output, _ = self._plot("missing")
        self.assertEqual(1, code)
        self.assertIn("missing/losses.svg", output)

    def test_small_causes_are_summed_up(self) -> None:
        causes = {f"cause {number}": 100.0 - number for number in range(MAX_CAUSES_SHOWN + 3)}
        ranked = rank_causes({7: causes, 8: {f"cause {MAX_CAUSES_SHOWN}": 1.0}})
        self.assertEqual(
            [f"cause {number}" for number in range(MAX_CAUSES_SHOWN)],
            list(ranked)[:MAX_CAUSES_SHOWN],
        )
        self.assertEqual(MAX_CAUSES_SHOWN + 1, len(ranked))
        self.assertEqual(3 * 100.0 - 3 * MAX_CAUSES_SHOWN - 3, ranked[OTHER_CAUSES][7])
        self.assertEqual(1.0, ranked[OTHER_CAUSES][8])


if __name__ == "__main__":
    unittest.main()
