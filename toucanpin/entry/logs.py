"""
Logs of the entry process
=========================

Write one JSON line per event to standard output, with limits on the rate and on buffered lines.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from typing import Any

import logbook
import msgspec

__all__ = ["LineHandler", "make_handler"]

MAX_LINES_PER_S = 600.0  # an owner of hundreds of workers exceeds it under peak load
MAX_BURST_LINES = 3_000.0  # such as a line for each task at a takeover
RESERVED_LINES = 300.0  # part of the burst that is kept for notices, warnings and errors
MAX_BUFFERED_BYTES = 262_144  # waiting for a slow reader, before lines are dropped


class LineHandler(logbook.Handler):
    """
    Handler that writes lines without blocking; ``dropped`` counts those that were discarded.

    With blocking writes, a log reader that hangs would stop the process at a full pipe, and all
    leases that it renews would expire.
    """

    def __init__(self, host: str, descriptor: int, clock: Callable[[], int] | None = None) -> None:
        super().__init__(level=logbook.INFO)
        self.clock = clock
        self.dropped = 0
        self._host = host
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._tokens = MAX_BURST_LINES
        self._refilled_at = time.monotonic()
        self._reported_drops = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        reserved = RESERVED_LINES if record.level < logbook.NOTICE else 0.0
        if not self._take_token(reserved) or len(self._buffer) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        if self.dropped > self._reported_drops:
            self._reported_drops = self.dropped
            self._write(self._encode_dropped())
        self._write(self._encode(record))

    def _take_token(self, reserved: float) -> bool:
        """
        Take a token for one line if more than ``reserved`` tokens are left.

        Without the reserve an overloaded owner would drop the warnings about its overload, and the
        summaries that stand in for the lines it drops.
        """
        now = time.monotonic()
        self._tokens = min(
            MAX_BURST_LINES, self._tokens + MAX_LINES_PER_S * (now - self._refilled_at)
        )
        self._refilled_at = now
        if self._tokens < 1.0 + reserved:
            return False
        self._tokens -= 1.0
        return True

    def _encode(self, record: logbook.LogRecord) -> bytes:
        fields: dict[str, Any] = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "clock": self.clock() if self.clock else 0,
            "level": record.level_name.lower(),
            "host": self._host,
            "event": record.kwargs.get("event") or record.channel,
            "message": record.message,
        }
        for key, value in record.kwargs.items():
            if key != "event":
                fields[key] = value if isinstance(value, int | float | str) else str(value)
        if record.exc_info:
            fields["exception"] = record.formatted_exception
        return msgspec.json.encode(fields) + b"\n"

    def _encode_dropped(self) -> bytes:
        fields = {"level": "warning", "host": self._host, "event": "log.dropped"}
        return msgspec.json.encode({**fields, "lines": self.dropped}) + b"\n"

    def _write(self, line: bytes) -> None:
        self._buffer += line
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, which is no reason to stop the process.
            self._buffer.clear()
            return
        del self._buffer[:written]


def make_handler(host: str) -> LineHandler:
    """Return the handler that writes this process's log to standard output."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return LineHandler(host, descriptor)
