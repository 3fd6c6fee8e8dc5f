"""
Logs
====

Format the log of a process as one line for each record, with an event id, as JSON or as text.
"""

from __future__ import annotations

import sys
from typing import TextIO

import logbook
import msgspec

from toucanpin.daemon.settings import Log, Process

__all__ = ["EventId", "make_log_handler", "set_log_level"]


class EventId:
    """Stable identifiers of log events, for scripts that read the log."""

    STARTED = "process.started"
    STOPPED = "process.stopped"
    DRAINING = "process.draining"
    SETTINGS_REREAD = "settings.reread"
    SETTINGS_FAULT = "settings.fault"
    HOSTS_STALE = "hosts.stale"


def make_log_handler(log: Log, process: Process, stream: TextIO = sys.stderr) -> logbook.Handler:
    """Return the handler that writes this process's log."""
    handler = logbook.StreamHandler(stream, level=log.level.upper())
    name = f"{process.host}/{process.role}"
    match log.format:
        case "json":
            handler.formatter = lambda record, _: _format_json(record, name)
        case _:
            handler.formatter = lambda record, _: _format_text(record, name)
    return handler


def set_log_level(handler: logbook.Handler, level: str) -> None:
    """Set the lowest level that a handler writes."""
    handler.level = logbook.lookup_level(level.upper())


def _read_event_id(record: logbook.LogRecord) -> str:
    """Return the record's event id, or one with its channel if it has none."""
    return record.extra.get("event") or f"library.{record.channel}"


def _format_json(record: logbook.LogRecord, process: str) -> str:
    """Return a record as one JSON line."""
    fields = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "process": process,
        "event": _read_event_id(record),
        "channel": record.channel,
        "message": record.message,
    }
    extra = {key: str(value) for key, value in record.extra.items() if key != "event"}
    if record.exc_info:
        extra["exception"] = record.formatted_exception
    return msgspec.json.encode({**fields, **extra}).decode()


def _format_text(record: logbook.LogRecord, process: str) -> str:
    """Return a record as one line of text."""
    pairs = [f"{key}={value}" for key, value in record.extra.items() if key != "event"]
    parts = [
        record.time.strftime("%H:%M:%S.%f")[:-3],
        record.level_name.lower(),
        process,
        _read_event_id(record),
        record.message,
        *pairs,
    ]
    if record.exc_info:
        parts.append(record.formatted_exception)
    return " ".join(parts)
