"""
Command ``top``
===============

Show processes, standing tasks and jobs, refreshed periodically.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator, Sequence

import click
from rich.console import Console, Group, RenderableType
from rich.live import Live
from rich.table import Table

from toucanpin.cli.access import both_urls_option
from toucanpin.cli.http import read
from toucanpin.cli.job import STANDING_COLUMNS
from toucanpin.membership.member import Member
from toucanpin.placement.submission import JobStatus, StandingStatus

__all__ = ["top"]

MEMBER_COLUMNS = ("name", "site", "standing", "bundle")
JOB_COLUMNS = ("state", "jobs")


@click.command()
@both_urls_option
@click.option(
    "--every", type=float, default=1.0, show_default=True, help="Seconds between refreshes."
)
@click.option(
    "--rounds", type=int, help="Stop after showing this many times; endless if not given."
)
def top(url: str, callers: str, every: float, rounds: int | None) -> None:
    """
    Show processes, standing tasks and jobs, refreshed until Ctrl-C.

    \b
    Example:
      toucanpin top --operators http://127.0.1.1:9080 --callers http://127.0.1.1:8080
    """
    console = Console()
    with Live(_draw(url, callers), console=console, auto_refresh=False) as live:
        for _ in _count_rounds(rounds):
            time.sleep(every)
            live.update(_draw(url, callers), refresh=True)


def _count_rounds(rounds: int | None) -> Iterator[int]:
    """Yield the numbers of the rounds after the first, endlessly if ``rounds`` is None."""
    done = 1
    while rounds is None or done < rounds:
        yield done
        done += 1


def _draw(url: str, callers: str) -> RenderableType:
    """Fetch everything once and return the tables."""
    members = read(f"{url}/v1/members", list[Member])
    standing = read(f"{callers}/v1/standing", list[StandingStatus])
    jobs = read(f"{callers}/v1/jobs?limit=10000", list[JobStatus])
    states = Counter(job.state for job in jobs)
    processes = [(m.name, m.site, m.standing.value, m.bundle) for m in members]
    tasks = [tuple(getattr(one, column) for column in STANDING_COLUMNS) for one in standing]
    return Group(
        _make_table(MEMBER_COLUMNS, processes),
        _make_table(STANDING_COLUMNS, tasks),
        _make_table(JOB_COLUMNS, sorted(states.items())),
    )


def _make_table(columns: Sequence[str], rows: Sequence[Sequence[object]]) -> Table:
    """Make a table."""
    table = Table(*columns, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    return table
