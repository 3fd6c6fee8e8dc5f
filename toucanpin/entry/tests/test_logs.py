"""Log lines under load, and with a reader that hangs or is gone."""

from __future__ import annotations

import os
import unittest

import logbook
import msgspec

from toucanpin.entry.logs import MAX_BURST_LINES, RESERVED_LINES, LineHandler


class LineHandlerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        os.set_blocking(self.writer, False)
        os.set_blocking(self.reader, False)
        self.handler = LineHandler("h", self.writer, lambda: 77)

    def _log(self, count: int, text: str = "x") -> None:
        with self.handler.applicationbound():
            log = logbook.Logger("part")
            for number in range(count):
                log.info(text, event="part.event", number=number)

    def _read(self) -> list[dict]:
        parts = []
        while True:
            try:
                parts.append(os.read(self.reader, 65_536))
            except BlockingIOError:
                return [msgspec.json.decode(line) for line in b"".join(parts).splitlines()]

    def _exceed_rate(self) -> None:
        """Write lines until some are dropped."""
        self.addCleanup(os.close, self.writer)
        for _ in range(int(MAX_BURST_LINES) // 100 + 10):
            self._log(100)
            self._read()
        self.assertGreater(self.handler.dropped, 0)

    def test_a_line_contains_host_clock_event_and_fields(self) -> None:
        self._log(1)
        (line,) = self._read()
        self.assertEqual(("h", 77, "part.event", 0), tuple(line[k] for k in _KEYS))
        os.close(self.writer)

    def test_a_reader_that_hangs_does_not_block_the_process(self) -> None:
        """
        A log collector hangs and the pipe is full.  A blocking write would stop the process, and
        all its leases would expire; instead lines are buffered, then dropped and counted.
        """
        self._log(1_500, "x" * 2_000)
        self.assertGreater(self.handler.dropped, 0)
        os.close(self.writer)

    def test_the_rate_is_limited_and_dropped_lines_are_reported(self) -> None:
        self.addCleanup(os.close, self.writer)
        written = 0
        for _ in range(int(MAX_BURST_LINES) // 100 + 10):
            self._log(100)
            written += len(self._read())
        self.assertGreater(self.handler.dropped, 0)
        self.assertLess(written, MAX_BURST_LINES + 900)
        dropped = self.handler.dropped
        self.handler._tokens = RESERVED_LINES + 10.0
        self._log(1)
        lines = self._read()
        self.assertEqual(("log.dropped", dropped), (lines[0]["event"], lines[0]["lines"]))

    def test_a_warning_is_written_while_other_lines_are_dropped(self) -> None:
        """Guards against an overload that leaves no room for the warnings about it."""
        self._exceed_rate()
        with self.handler.applicationbound():
            logbook.Logger("part").warning("late", event="part.late")
        self.assertEqual("part.late", self._read()[-1]["event"])

    def test_a_summary_is_written_while_lines_of_single_tasks_are_dropped(self) -> None:
        """Guards against a time line that ends in the second in which the load begins."""
        self._exceed_rate()
        with self.handler.applicationbound():
            logbook.Logger("part").notice("summary", event="part.summary")
        self.assertEqual("part.summary", self._read()[-1]["event"])

    def test_a_closed_pipe_does_not_stop_the_process(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        self.handler = LineHandler("h", writer)
        self._log(3)
        os.close(writer)
        os.close(self.writer)


_KEYS = ("host", "clock", "event", "number")


if __name__ == "__main__":
    unittest.main()
