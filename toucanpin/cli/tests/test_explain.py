"""Tests of the command ``explain``."""

from __future__ import annotations

import unittest

import msgspec
from click.testing import CliRunner

from toucanpin.cli.exits import ExitCode
from toucanpin.cli.explain import explain

JOB = "00000000000000a1"


def _line(clock: int, host: str, event: str, time: str = "", **fields: object) -> str:
    line = {"time": time, "clock": clock, "level": "info", "host": host, "event": event}
    return msgspec.json.encode({**line, **fields}).decode()


class ExplainTest(unittest.TestCase):
    def _run(self, lines: list[str], *arguments: str) -> tuple[int, list[str]]:
        result = CliRunner().invoke(explain, [*arguments, "-"], input="\n".join(lines))
        return result.exit_code, result.output.splitlines()

    def test_lines_are_ordered_by_the_clock_of_the_table(self) -> None:
        """
        The wall clock of a host is an hour ahead, and by it the task would end before its job was
        submitted.  The table's clock, which all hosts read, gives the true order.
        """
        lines = [
            _line(3_500, "b", "task.ended", "2026-01-01T10:00", job=JOB, end="done"),
            _line(1_000, "a", "job.submitted", "2026-01-01T11:00", job=JOB),
            _line(1_020, "b", "task.placed", "2026-01-01T09:59", job=JOB, worker="w1"),
            _line(2_000, "b", "task.placed", job="00000000000000b2", worker="w1"),
        ]
        code, output = self._run(lines, JOB)
        self.assertEqual(0, code)
        self.assertEqual(
            ["job.submitted", "task.placed", "task.ended"], [line.split()[3] for line in output]
        )
        self.assertEqual("2.500", output[2].split()[0])

    def test_background_events_between_first_and_last_line_are_shown(self) -> None:
        lines = [
            _line(1_000, "a", "job.submitted", job=JOB),
            _line(1_500, "b", "cell.taken", token=4),
            _line(2_000, "b", "task.placed", job=JOB),
            _line(9_000, "c", "cell.taken", token=5),
        ]
        _, output = self._run(lines, JOB)
        self.assertEqual(3, len(output))
        _, output = self._run(lines, JOB, "--no-background")
        self.assertEqual(2, len(output))

    def test_prefixes_and_other_text_are_skipped(self) -> None:
        lines = [
            "  12.3 entry-1 " + _line(1_000, "a", "job.submitted", job=JOB),
            "Traceback {most recent call last}",
            "",
            "[1, 2]",
        ]
        code, output = self._run(lines, JOB, "--json")
        self.assertEqual(0, code)
        self.assertEqual("job.submitted", msgspec.json.decode(output[0])["event"])

    def test_identifier_without_lines_is_an_error(self) -> None:
        code, output = self._run([_line(1, "a", "job.submitted", job="x")], JOB)
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn(JOB, output[0])


if __name__ == "__main__":
    unittest.main()
