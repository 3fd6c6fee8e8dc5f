"""
Command ``explain``
===================

Show what happened to a job or worker, from the logs of all hosts.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import IO, Any

import click
import msgspec

from toucanpin.cli.exits import ExitCode
from toucanpin.decoding import decode_json
from toucanpin.exception import MalformedError

__all__ = ["LogLine", "explain", "parse_lines", "select_lines"]

# Events that affect all jobs of a cell or host, shown whichever identifier is asked for.
BACKGROUND_EVENTS = (
    "cell.taken",
    "cell.lost",
    "configuration.applied",
    "process.draining",
    "process.started",
    "store.lost",
    "store.regained",
)
STANDARD_FIELDS = ("time", "clock", "level", "host", "event", "message")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line; ``clock`` is the table's clock, in ms, which all hosts share."""

    clock: int
    time: str
    host: str
    event: str
    fields: dict[str, Any]


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines, skipping other text and the prefixes that log collectors add."""
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = decode_json(text[start:], Any)
        except MalformedError:
            continue
        if isinstance(fields, dict) and "event" in fields:
            yield LogLine(
                int(fields.get("clock") or 0),
                str(fields.get("time", "")),
                str(fields.get("host", "")),
                str(fields["event"]),
                {key: value for key, value in fields.items() if key not in STANDARD_FIELDS},
            )


def select_lines(lines: Iterable[LogLine], identifier: str, background: bool) -> list[LogLine]:
    """
    Return the lines that concern a job or worker, in order.

    The table's clock orders them, since the hosts' wall clocks differ and jump.  Lines logged
    before a host knew the table's clock have clock 0 and are ordered by wall clock.
    """
    found = sorted(lines, key=lambda line: (line.clock, line.time))
    about = [line for line in found if _concerns(line, identifier)]
    if not about or not background:
        return about
    first, last = about[0].clock, about[-1].clock
    return [
        line
        for line in found
        if _concerns(line, identifier)
        or (line.event in BACKGROUND_EVENTS and first <= line.clock <= last)
    ]


def _concerns(line: LogLine, identifier: str) -> bool:
    return any(
        isinstance(value, str) and identifier in value
        for key, value in line.fields.items()
        if key in ("job", "task", "worker", "path", "machine")
    )


def _format_line(line: LogLine, start_clock: int) -> str:
    after = (line.clock - start_clock) / 1_000 if line.clock and start_clock else 0.0
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return f"{after:9.3f} s  {line.host:24} {line.event:22} {fields}"


@click.command(epilog="""\b
Examples:
  toucanpin explain 5c0e7a21d94b36f8 entry-1.log entry-2.log entry-3.log
  journalctl -u toucanpin -o cat | toucanpin explain i-41da534e4d -
  toucanpin explain 5c0e7a21d94b36f8 --json *.log""")
@click.argument("identifier")
@click.argument("files", nargs=-1, type=click.File("r"), required=True)
@click.option(
    "--background/--no-background",
    default=True,
    help="Show takeovers, restarts and outages of the store.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per line.")
def explain(identifier: str, files: tuple[IO[str], ...], background: bool, as_json: bool) -> None:
    """
    Show what happened to a job or worker, from the logs of all hosts.

    IDENTIFIER is the id of a job, a task (job.occurrence.step.index) or a worker; FILES are logs of
    entry hosts, - for standard input.  Times are seconds since the first line by the table's clock.
    """
    lines = (line for file in files for line in parse_lines(file))
    selected = select_lines(lines, identifier, background)
    if not selected:
        click.echo(f"no log line concerns {identifier}", err=True)
        raise SystemExit(ExitCode.REFUSED)
    start_clock = next((line.clock for line in selected if line.clock), 0)
    for line in selected:
        if as_json:
            click.echo(msgspec.json.encode({"event": line.event, **_collect_fields(line)}).decode())
        else:
            click.echo(_format_line(line, start_clock))


def _collect_fields(line: LogLine) -> dict[str, Any]:
    return {"clock": line.clock, "time": line.time, "host": line.host, **line.fields}
