"""
Commands on the state of a deployment
=====================================

Show the processes that one process knows, the platform's hosts, and what looks wrong.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path

import click
import msgspec
from expression import Result

from toucanpin.cli.access import ca_option, url_option
from toucanpin.cli.exits import ExitCode
from toucanpin.cli.http import Answer, RequestFailure, request_json, send
from toucanpin.cli.output import output_option, show
from toucanpin.daemon.settings import Settings
from toucanpin.daemon.settings_reader import read_settings
from toucanpin.exception import SettingsError

__all__ = ["doctor", "hosts", "status"]

READY_STATUS = 200
PROBE_TIMEOUT_S = 2.0


class Finding(msgspec.Struct, frozen=True):
    """Hold one thing that the doctor found; ``remedy`` is empty if all is well."""

    file: str
    check: str
    finding: str
    remedy: str = ""


@click.command()
@url_option
@output_option
def status(url: str, form: str) -> None:
    """
    Show the processes of the system as one of them sees them.

    \b
    Example:
      toucanpin status --operators http://127.0.1.1:9080
    """
    members = request_json("GET", f"{url}/v1/members")
    columns = ("name", "site", "standing", "incarnation", "address", "port", "bundle")
    rows = (tuple(member[column] for column in columns) for member in members)
    show(form, columns, rows, members)


@click.command()
@url_option
@output_option
def hosts(url: str, form: str) -> None:
    """
    Show the hosts that the platform lists, which lag behind reality.

    \b
    Example:
      toucanpin hosts --operators http://127.0.1.1:9080 --output json
    """
    listed = request_json("GET", f"{url}/v1/hosts")
    columns = ("name", "role", "site", "rack", "address", "port", "leaving", "service")
    rows = (tuple(host[column] for column in columns) for host in listed)
    show(form, columns, rows, listed)


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@ca_option
@output_option
def doctor(files: tuple[Path, ...], form: str) -> None:
    """
    Check settings FILES and the processes behind them, and say what to do.

    \b
    Example:
      toucanpin doctor /etc/toucanpin/*.toml
    """
    findings = [finding for file in files for finding in _check_file(file)]
    columns = ("file", "check", "finding", "what to do")
    rows = (msgspec.structs.astuple(finding) for finding in findings)
    show(form, columns, rows, findings)
    if any(finding.remedy for finding in findings):
        sys.exit(ExitCode.REFUSED)


def _check_file(file: Path) -> Iterator[Finding]:
    """Yield what one settings file and its process show."""
    try:
        settings = read_settings(file)
    except SettingsError as error:
        for fault in error.faults:
            yield Finding(str(file), "settings", fault, "mend the file, then start the process")
        return
    yield Finding(str(file), "settings", "good")
    yield from _check_process(file, settings)
    yield from _check_platform(file, settings)


def _check_process(file: Path, settings: Settings) -> Iterator[Finding]:
    """Yield what the process says of itself."""
    scheme = "http" if settings.tls.certificate is None else "https"
    url = f"{scheme}://{settings.listen.operators}"
    match _probe(f"{url}/readyz"):
        case Result(tag="ok", ok=answer) if answer.status == READY_STATUS:
            yield Finding(str(file), "ready", "ready")
        case Result(tag="ok", ok=answer):
            reasons = answer.body.decode(errors="replace").strip().replace("\n", "; ")
            remedy = "wait; if it stays, check the table and the peers"
            yield Finding(str(file), "ready", reasons, remedy)
        case Result(error=fault):
            yield Finding(str(file), "process", fault.detail, "start it; read its log; see --ca")


def _check_platform(file: Path, settings: Settings) -> Iterator[Finding]:
    """Yield whether the platform's services can be reached from here."""
    platform = settings.platform
    for name, url in (("table", platform.table), ("objects", platform.objects)):
        match _probe(url):
            case Result(tag="ok"):
                yield Finding(str(file), name, "reached")
            case Result(error=fault):
                yield Finding(str(file), name, fault.detail, "check the platform's service")


def _probe(url: str) -> Result[Answer, RequestFailure]:
    """Ask a URL and wait a short time only."""
    return send("GET", url, timeout=PROBE_TIMEOUT_S)
