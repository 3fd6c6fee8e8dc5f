"""
Command ``losses``
==================

Sum up the task time of jobs by queue and cause, from the logs of all hosts.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import IO

import click

from toucanpin.cli.exits import ExitCode
from toucanpin.cli.explain import LogLine, parse_lines
from toucanpin.cli.losses_plot import draw_losses

__all__ = ["Losses", "losses", "sum_losses"]

LATE_STATE = "late"
REASON_NOT_LOGGED = "reason not logged"  # the log line was dropped
RESUMPTION_MS = 1_000  # within which tasks are placed that a standstill has held up


@dataclass(frozen=True, slots=True)
class _Interval:
    """Time without placements on a host, in ms of the table's clock."""

    start: int
    end: int
    why: str

    def overlap(self, start: float, end: float) -> float:
        """Return for how many seconds another interval, in ms, overlaps."""
        return max(0.0, min(end, self.end) - max(start, self.start)) / 1_000


@dataclass(slots=True)
class Losses:
    """Ended jobs of a queue by state, and its task-seconds by cause."""

    jobs: Counter[str] = field(default_factory=Counter)
    seconds: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    by_second: dict[int, dict[str, float]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(float))
    )

    def add(self, cause: str, seconds: float, clock: int) -> None:
        """Add task-seconds that ended at ``clock``, in ms, to the seconds in which they passed."""
        self.seconds[cause] += seconds
        end = clock / 1_000
        start = end - seconds
        for second in range(math.floor(start), math.ceil(end)):
            part = min(end, second + 1) - max(start, second)
            self.by_second[second][cause] += part


def sum_losses(lines: Iterable[LogLine]) -> dict[str, Losses]:
    """
    Return the losses of each queue.

    A wait counts once its task is placed, a run once it ends, each over the seconds that it took.
    A stopped run counts under the reason of the stop.  Waits in which the cell could place nothing
    count under the reason of that.
    """
    lines = list(lines)
    standstills = _list_standstills(lines)
    losses_by_queue: dict[str, Losses] = defaultdict(Losses)
    starts: dict[tuple[str, int], tuple[int, str]] = {}
    reasons: dict[str, str] = {}
    for line in sorted(lines, key=lambda line: line.clock):
        fields = line.fields
        match line.event:
            case "task.placed":
                queue = str(fields.get("queue", ""))
                starts[fields["task"], int(fields["attempt"])] = (line.clock, queue)
                for cause, waited in _split_wait(line, standstills[line.host]):
                    losses_by_queue[queue].add(cause, waited, line.clock)
            case "task.stopping":
                reasons.setdefault(fields["task"], str(fields.get("reason", "")))
            case "task.ended":
                start = starts.pop((fields["task"], int(fields["attempt"])), None)
                reason = reasons.pop(fields["task"], REASON_NOT_LOGGED)
                if start is None:
                    continue
                end = str(fields.get("end", ""))
                cause = f"stopped: {reason}" if end == "stopped" else f"run: {end}"
                losses_by_queue[start[1]].add(cause, (line.clock - start[0]) / 1_000, line.clock)
            case "job.ended":
                state = str(fields.get("state", ""))
                late = float(fields.get("late", 0.0)) > 0
                outcome = LATE_STATE if late and state == "completed" else state
                losses_by_queue[str(fields.get("queue", ""))].jobs[outcome] += 1
    return dict(losses_by_queue)


def _list_standstills(lines: Iterable[LogLine]) -> dict[str, list[_Interval]]:
    """Return the times without placements by the host that ended them."""
    found: dict[str, list[_Interval]] = defaultdict(list)
    for line in lines:
        if line.event == "cell.resumed":
            start = line.clock - int(1_000 * float(line.fields.get("stood", 0.0)))
            why = str(line.fields.get("why", REASON_NOT_LOGGED))
            found[line.host].append(_Interval(start, line.clock, why))
    return found


def _split_wait(line: LogLine, standstills: list[_Interval]) -> Iterable[tuple[str, float]]:
    """Yield the causes for which a placed task waited, each with its seconds."""
    fields = line.fields
    waited = float(fields.get("waited", 0.0))
    # An owner that has just read its rows doesn't know for how long their tasks have waited.
    step = fields["task"].split(".")[2:3]
    starts_job = step == ["0"] and int(fields["attempt"]) == 1
    age = float(fields.get("age", 0.0)) if starts_job else 0.0
    held_up = 0.0
    for standstill in standstills:
        resumed = 0 <= line.clock - standstill.end <= RESUMPTION_MS
        known = max(waited, age) if resumed else waited
        overlap = standstill.overlap(line.clock - 1_000 * known, line.clock)
        if overlap > 0:
            held_up += overlap
            yield f"standstill: {standstill.why}", overlap
    if waited > held_up:
        yield f"wait: {fields.get('why', '')}", waited - held_up


def _count_dropped(lines: Iterable[LogLine]) -> int:
    """Return how many lines all hosts have dropped; each logs its running total."""
    by_host: dict[str, int] = {}
    for line in lines:
        if line.event == "log.dropped":
            by_host[line.host] = max(by_host.get(line.host, 0), int(line.fields.get("lines", 0)))
    return sum(by_host.values())


def _format_table(losses_by_queue: dict[str, Losses], by_second: bool) -> Iterable[str]:
    for queue, lost in sorted(losses_by_queue.items()):
        jobs = ", ".join(f"{count} {outcome}" for outcome, count in sorted(lost.jobs.items()))
        yield f"{queue}: jobs {jobs or 'none ended'}"
        total = sum(lost.seconds.values()) or 1.0
        for cause, seconds in _sort_causes(lost.seconds):
            yield f"  {seconds:10.1f} task-s {100 * seconds / total:5.1f}%  {cause}"
        if by_second:
            for second, causes in sorted(lost.by_second.items()):
                largest = _sort_causes(causes)[:3]
                worst = ", ".join(f"{cause} {value:.1f}" for cause, value in largest)
                yield f"    second {second}: {worst}"


def _write_plot(losses_by_queue: dict[str, Losses], plot: IO[str]) -> None:
    try:
        svg = draw_losses({queue: lost.by_second for queue, lost in losses_by_queue.items()})
    except ImportError:
        click.echo("--plot needs matplotlib: install the extra 'dev'", err=True)
        raise SystemExit(ExitCode.REFUSED) from None
    plot.write(svg)


def _sort_causes(seconds: dict[str, float]) -> list[tuple[str, float]]:
    return sorted(seconds.items(), key=lambda pair: -pair[1])


@click.command(epilog="""\b
Examples:
  toucanpin losses entry-*.log
  journalctl -u toucanpin -o cat | toucanpin losses - --by-second
  toucanpin losses entry-*.log --plot losses.svg""")
@click.argument("files", nargs=-1, type=click.File("r"), required=True)
@click.option(
    "--by-second", is_flag=True, help="Also list the three largest causes of each second."
)
@click.option(
    "--plot",
    type=click.File("w", encoding="utf-8", lazy=True),
    metavar="FILE.svg",
    help="Also plot the task-seconds of each queue by cause over time; needs matplotlib.",
)
def losses(files: tuple[IO[str], ...], by_second: bool, plot: IO[str] | None) -> None:
    """
    Sum up the task time of jobs by queue and cause, from the logs of all hosts.

    FILES are logs of entry hosts, - for standard input.  Times are task-seconds.
    """
    lines = [line for file in files for line in parse_lines(file)]
    losses_by_queue = sum_losses(lines)
    if not losses_by_queue:
        click.echo("no log line concerns a task", err=True)
        raise SystemExit(ExitCode.REFUSED)
    for text in _format_table(losses_by_queue, by_second):
        click.echo(text)
    dropped = _count_dropped(lines)
    if dropped:
        click.echo(f"{dropped} lines were dropped under load: the sums are incomplete", err=True)
    if plot is not None:
        _write_plot(losses_by_queue, plot)
