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

    def test_lines_of_all_hosts_come_in_the_order_of_the_table(self) -> None:
        """
        A host's time of day is an hour ahead.  By it the task would have ended before its job was
        handed in; the table's clock, which all hosts read, tells the true order.
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

    def test_what_happened_to_the_hosts_meanwhile_is_shown(self) -> None:
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

    def test_prefixes_and_garbage_are_passed_over(self) -> None:
        lines = [
            "  12.3 entry-1 " + _line(1_000, "a", "job.submitted", job=JOB),
            "Traceback {most recent call last}",
            "",
            "[1, 2]",
        ]
        code, output = self._run(lines, JOB, "--json")
        self.assertEqual(0, code)
        self.assertEqual("job.submitted", msgspec.json.decode(output[0])["event"])

    def test_an_id_that_no_line_names_is_an_error(self) -> None:
        code, output = self._run([_line(1, "a", "job.submitted", job="x")], JOB)
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn(JOB, output[0])


if __name__ == "__main__":
    unittest.main()
