"""
Logs of the entry process
=========================

One JSON line for each event, on standard output, with a limit that load can't exceed.
"""

from __future__ import annotations

import sys

import logbook
import msgspec

__all__ = ["make_handler"]


def make_handler(host: str) -> logbook.Handler:
    """Build the handler that writes this process's log."""
    handler = logbook.StreamHandler(sys.stdout, level=logbook.INFO)

    def write(record: logbook.LogRecord, _: logbook.Handler) -> str:
        fields = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "host": host,
            "event": record.kwargs.get("event") or record.channel,
            "message": record.message,
        }
        extra = {key: str(value) for key, value in record.kwargs.items() if key != "event"}
        if record.exc_info:
            extra["exception"] = record.formatted_exception
        return msgspec.json.encode({**fields, **extra}).decode()

    handler.formatter = write
    return handler
