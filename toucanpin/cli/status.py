"""
Status commands
===============

Show the known processes and the platform's hosts, and diagnose problems.
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
    """Result of one check; ``remedy`` is empty if it passed."""

    file: str
    check: str
    finding: str
    remedy: str = ""


@click.command()
@url_option
@output_option
def status(url: str, form: str) -> None:
    """
    Show the processes of the deployment as one of them knows them.

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
    Show the platform's list of hosts, which may be out of date.

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
    Check settings FILES and the processes that use them, and suggest remedies.

    \b
    Example:
      toucanpin doctor /etc/toucanpin/*.toml
    """
    findings = [finding for file in files for finding in _check_file(file)]
    columns = ("file", "check", "finding", "remedy")
    rows = (msgspec.structs.astuple(finding) for finding in findings)
    show(form, columns, rows, findings)
    if any(finding.remedy for finding in findings):
        sys.exit(ExitCode.REFUSED)


def _check_file(file: Path) -> Iterator[Finding]:
    """Yield the findings on a settings file, its process and its platform."""
    try:
        settings = read_settings(file)
    except SettingsError as error:
        for fault in error.faults:
            yield Finding(str(file), "settings", fault, "correct the file, then start the process")
        return
    yield Finding(str(file), "settings", "good")
    yield from _check_process(file, settings)
    yield from _check_platform(file, settings)


def _check_process(file: Path, settings: Settings) -> Iterator[Finding]:
    """Yield the findings on the readiness of a process."""
    scheme = "http" if settings.tls.certificate is None else "https"
    url = f"{scheme}://{settings.listen.operators}"
    match _probe(f"{url}/readyz"):
        case Result(tag="ok", ok=answer) if answer.status == READY_STATUS:
            yield Finding(str(file), "ready", "ready")
        case Result(tag="ok", ok=answer):
            reasons = answer.body.decode(errors="replace").strip().replace("\n", "; ")
            remedy = "wait; if it persists, check the table and the peers"
            yield Finding(str(file), "ready", reasons, remedy)
        case Result(error=fault):
            yield Finding(
                str(file), "process", fault.detail, "start the process; read its log; see --ca"
            )


def _check_platform(file: Path, settings: Settings) -> Iterator[Finding]:
    """Yield the findings on whether the platform's services can be reached from here."""
    platform = settings.platform
    for name, url in (("table", platform.table), ("objects", platform.objects)):
        match _probe(url):
            case Result(tag="ok"):
                yield Finding(str(file), name, "reached")
            case Result(error=fault):
                yield Finding(str(file), name, fault.detail, "check this service of the platform")


def _probe(url: str) -> Result[Answer, RequestFailure]:
    """Send a GET request with a short timeout."""
    return send("GET", url, timeout=PROBE_TIMEOUT_S)
