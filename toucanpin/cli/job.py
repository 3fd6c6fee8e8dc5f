"""
Commands for jobs and standing tasks
====================================

Submit, show, list and cancel jobs through any entry host, and show standing tasks.
"""

from __future__ import annotations

import sys
import time
import urllib.parse
import uuid
from pathlib import Path
from typing import Any

import click

from toucanpin.cli.access import callers_option
from toucanpin.cli.exits import ExitCode
from toucanpin.cli.http import convert, fail, read, request, request_json
from toucanpin.cli.output import output_option, show
from toucanpin.decoding import decode_json
from toucanpin.exception import MalformedError
from toucanpin.placement.submission import JobStatus, StandingStatus

__all__ = ["STANDING_COLUMNS", "job", "standing"]

POLL_PERIOD_S = 0.5
OK_STATUS = 200
END_STATES = ("finished", "failed", "cancelled")
JOB_COLUMNS = ("job", "state", "kind", "team", "attempt", "evictions", "failures", "host", "reason")
STANDING_COLUMNS = ("task", "state", "cell", "host", "attempt")


@click.group()
def job() -> None:
    """
    Submit, show and cancel batch jobs.

    \b
    Examples:
      toucanpin job submit --callers http://127.0.1.1:8080 --key render-17 job.json
      toucanpin job wait --callers http://127.0.1.1:8080 JOB
    """


@job.command()
@click.argument("file", type=click.File("rb"))
@click.option(
    "--key", help="Idempotency key; a repeated submission with the same key has no effect."
)
@callers_option
@output_option
def submit(file: Any, key: str | None, url: str, form: str) -> None:
    """Submit the job that FILE describes as JSON (- for standard input)."""
    key = key or uuid.uuid4().hex
    try:
        submission = decode_json(file.read(), Any)
    except MalformedError as error:
        fail(f"{file.name}: not valid JSON: {error}", ExitCode.USAGE)
    answer = request_json("POST", f"{url}/v1/jobs", submission, {"Idempotency-Key": key})
    _show_jobs(form, [convert(answer, JobStatus)])


@job.command()
@click.argument("name")
@callers_option
@output_option
def status(name: str, url: str, form: str) -> None:
    """Show the job NAME."""
    _show_jobs(form, [_read_job(url, name)])


@job.command("list")
@click.option("--team", help="Show only jobs of this team.")
@click.option("--kind", help="Show only jobs of this kind.")
@click.option("--state", help="Show only jobs in this state.")
@click.option("--limit", type=click.IntRange(1, 10_000), default=1_000, show_default=True)
@callers_option
@output_option
def list_(
    team: str | None, kind: str | None, state: str | None, limit: int, url: str, form: str
) -> None:
    """List jobs."""
    chosen = {"team": team, "kind": kind, "state": state, "limit": limit}
    query = urllib.parse.urlencode({name: value for name, value in chosen.items() if value})
    _show_jobs(form, read(f"{url}/v1/jobs?{query}", list[JobStatus]))


@job.command()
@click.argument("name")
@callers_option
@output_option
def cancel(name: str, url: str, form: str) -> None:
    """Cancel the job NAME; a job that has already ended is unchanged (exit code 3)."""
    answer = request("DELETE", f"{url}/v1/jobs/{urllib.parse.quote(name, safe='')}")
    try:
        found = decode_json(answer.body, JobStatus)
    except MalformedError:
        fail(answer.body.decode(errors="replace"), ExitCode.REFUSED)
    _show_jobs(form, [found])
    sys.exit(ExitCode.DONE if answer.status == OK_STATUS else ExitCode.CONFLICT)


@job.command()
@click.argument("name")
@click.option("--out", type=click.Path(path_type=Path), help="File to write the result to.")
@callers_option
def result(name: str, out: Path | None, url: str) -> None:
    """Print the result of the job NAME or write it to a file."""
    answer = request("GET", f"{url}/v1/jobs/{urllib.parse.quote(name, safe='')}/result")
    if answer.status != OK_STATUS:
        fail(f"no result of {name!r}: {answer.body.decode(errors='replace')}", ExitCode.REFUSED)
    if out is None:
        sys.stdout.buffer.write(answer.body)
    else:
        out.write_bytes(answer.body)


@job.command()
@click.argument("name")
@click.option("--timeout", type=float, default=60.0, show_default=True, help="Seconds.")
@callers_option
@output_option
def wait(name: str, timeout: float, url: str, form: str) -> None:
    """Wait until the job NAME has ended; exit code 1 unless it finished."""
    deadline = time.monotonic() + timeout
    found = _read_job(url, name)
    while found.state not in END_STATES and time.monotonic() < deadline:
        time.sleep(POLL_PERIOD_S)
        found = _read_job(url, name)
    _show_jobs(form, [found])
    sys.exit(ExitCode.DONE if found.state == "finished" else ExitCode.REFUSED)


@click.command()
@callers_option
@output_option
def standing(url: str, form: str) -> None:
    """Show the standing tasks of the bundle in force and the hosts that run them."""
    found = read(f"{url}/v1/standing", list[StandingStatus])
    rows = (tuple(getattr(one, column) for column in STANDING_COLUMNS) for one in found)
    show(form, STANDING_COLUMNS, rows, found)


def _read_job(url: str, name: str) -> JobStatus:
    """Return the status of a job."""
    return read(f"{url}/v1/jobs/{urllib.parse.quote(name, safe='')}", JobStatus)


def _show_jobs(form: str, jobs: list[JobStatus]) -> None:
    """Print the status of jobs."""
    rows = (tuple(getattr(one, column) for column in JOB_COLUMNS) for one in jobs)
    show(form, JOB_COLUMNS, rows, jobs)
