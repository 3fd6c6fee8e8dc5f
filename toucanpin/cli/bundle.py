"""
Bundle commands
===============

Check, compare and submit bundles, and show their rollout.
"""

from __future__ import annotations

import http
import sys
import time
from pathlib import Path

import click
import msgspec

from toucanpin.bundles.canonical import digest, encode_bundle
from toucanpin.bundles.difference import compare_bundles
from toucanpin.cli.access import optional_url_option, url_option
from toucanpin.cli.exits import ExitCode
from toucanpin.cli.files import (
    existing_file,
    read_bundle,
    read_current,
    read_signed,
    unpack_bundle,
)
from toucanpin.cli.http import fail, read, request
from toucanpin.cli.output import OutputFormat, output_option, show
from toucanpin.cli.signing import keys, sign
from toucanpin.daemon.bundle_apps import BundleRollout, History, SubmitAnswer, SubmitRequest
from toucanpin.daemon.bundles import BundleStatus
from toucanpin.decoding import decode_json
from toucanpin.exception import MalformedError

__all__ = ["bundle"]

POLL_PERIOD_S = 0.25
SUBMIT_TIMEOUT_S = 30.0
_DIGEST_DIGITS_SHOWN = 16
_SUBMIT_STATUSES = (
    http.HTTPStatus.OK,
    http.HTTPStatus.CONFLICT,
    http.HTTPStatus.UNPROCESSABLE_ENTITY,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
_EXIT_CODES = {
    "accepted": ExitCode.DONE,
    "refused": ExitCode.REFUSED,
    "conflict": ExitCode.CONFLICT,
    "unavailable": ExitCode.UNCERTAIN,
    "uncertain": ExitCode.UNCERTAIN,
}

file_argument = click.argument("file", type=existing_file)


@click.group()
def bundle() -> None:
    """
    Check, sign and roll out bundles.

    \b
    Examples:
      toucanpin bundle check changeover.toml
      toucanpin bundle sign changeover.toml --key alice.key --out changeover.json
      toucanpin bundle submit changeover.json --operators http://127.0.1.1:9080
      toucanpin bundle wait --operators http://127.0.1.1:9080
    """


bundle.add_command(keys)
bundle.add_command(sign)


@bundle.command()
@file_argument
@output_option
def check(file: Path, form: str) -> None:
    """
    Check a bundle's TOML file and report all faults.

    \b
    Example:
      toucanpin bundle check changeover.toml
    """
    parsed = read_bundle(file)
    name = digest(encode_bundle(parsed))
    value = {"deployment": parsed.deployment, "version": parsed.version, "digest": name}
    show(form, tuple(value), [tuple(value.values())], value)


@bundle.command()
@file_argument
@click.option(
    "--against", type=existing_file, help="Bundle to compare with; the one in force if not given."
)
@optional_url_option
@output_option
def diff(file: Path, against: Path | None, url: str | None, form: str) -> None:
    """
    Show how a bundle differs from another file or from the bundle in force.

    \b
    Example:
      toucanpin bundle diff changeover.toml --operators http://127.0.1.1:9080
    """
    new = read_bundle(file)
    if against is None and url is None:
        raise click.UsageError("--against FILE or --operators URL is required")
    in_force = None if url is None or against is not None else unpack_bundle(read_current(url))
    old = in_force if against is None else read_bundle(against)
    lines = compare_bundles(old, new)
    if OutputFormat(form) is OutputFormat.JSON:
        show(form, (), (), {"changes": lines})
        return
    click.echo("\n".join(lines) or "no difference")


@bundle.command()
@file_argument
@click.option(
    "--expected", type=int, help="Version in force; one less than the bundle's if not given."
)
@url_option
@output_option
def submit(file: Path, expected: int | None, url: str, form: str) -> None:
    """
    Submit a signed bundle; if no answer arrives, submit it again to learn the outcome.

    \b
    Example:
      toucanpin bundle submit changeover.json --operators http://127.0.1.1:9080
    """
    signed = read_signed(file)
    parsed = unpack_bundle(signed)
    if expected is None:
        expected = 0 if parsed is None else parsed.version - 1
    body = msgspec.json.encode(SubmitRequest(expected, signed))
    headers = {"Content-Type": "application/json"}
    answer = request("POST", f"{url}/v1/bundle", body, headers, SUBMIT_TIMEOUT_S)
    if answer.status not in _SUBMIT_STATUSES:
        text = answer.body.decode(errors="replace").strip()
        fail(f"HTTP {answer.status}: {text}", ExitCode.REFUSED)
    try:
        outcome = decode_json(answer.body, SubmitAnswer)
    except MalformedError as error:
        fail(
            f"the answer is invalid, the request may have taken effect: {error}", ExitCode.UNCERTAIN
        )
    if OutputFormat(form) is OutputFormat.JSON:
        show(form, (), (), outcome)
    else:
        click.echo(_format_outcome(outcome))
    sys.exit(_EXIT_CODES.get(outcome.outcome, ExitCode.REFUSED))


@bundle.command()
@url_option
@output_option
def status(url: str, form: str) -> None:
    """Show the bundle in force and the version that each process has."""
    own = read(f"{url}/v1/bundle", BundleStatus)
    rollout = _read_rollout(url)
    if OutputFormat(form) is OutputFormat.TABLE:
        age = "never" if own.confirmed_age is None else f"{own.confirmed_age:.1f} s ago"
        state = "ready" if own.ready else f"not ready: {own.reason}"
        click.echo(f"{own.process}: version {own.version}, {state}, confirmed {age}")
    rows = [(each.name, each.site, each.standing, each.version) for each in rollout.processes]
    value = {"bundle": own, "force": rollout}
    show(form, ("process", "site", "standing", "version"), rows, value)


@bundle.command()
@click.option("--limit", type=click.IntRange(1, 100), default=20, show_default=True)
@url_option
@output_option
def history(limit: int, url: str, form: str) -> None:
    """List the accepted versions, newest first."""
    answer = read(f"{url}/v1/bundle/history?limit={limit}", History)
    rows = [
        (
            each.version,
            each.digest[:_DIGEST_DIGITS_SHOWN],
            each.operator,
            _format_time(each.accepted_at),
        )
        for each in answer.versions
    ]
    show(form, ("version", "digest", "operator", "accepted at"), rows, answer)


@bundle.command()
@click.option("--version", type=int, help="Version to wait for; the one in force if not given.")
@click.option("--timeout", type=float, default=30.0, show_default=True, help="Seconds.")
@url_option
@output_option
def wait(version: int | None, timeout: float, url: str, form: str) -> None:
    """Wait until all live processes have a version in force, and list those that lag."""
    deadline = time.monotonic() + timeout
    while True:
        rollout = _read_rollout(url)
        target = max(version or rollout.version, 1)
        lagging = [each for each in rollout.processes if each.version < target]
        if not lagging or time.monotonic() >= deadline:
            break
        time.sleep(POLL_PERIOD_S)
    rows = [(each.name, each.site, each.standing, each.version) for each in lagging]
    if OutputFormat(form) is OutputFormat.JSON or lagging:
        value = {"version": target, "lagging": [each.name for each in lagging]}
        show(form, ("lagging", "site", "standing", "version"), rows, value)
    else:
        click.echo(f"version {target} is in force at {len(rollout.processes)} processes")
    sys.exit(ExitCode.REFUSED if lagging else ExitCode.DONE)


def _read_rollout(url: str) -> BundleRollout:
    return read(f"{url}/v1/bundle/force", BundleRollout)


def _format_outcome(answer: SubmitAnswer) -> str:
    lines = "".join(f"\n  {line}" for line in answer.detail)
    match answer.outcome:
        case "accepted":
            repeated = " (already before)" if answer.repeated else ""
            return f"version {answer.version} is accepted{repeated}: {answer.digest}"
        case "conflict" if answer.version:
            return f"conflict: version {answer.version} by {answer.operator} is in force{lines}"
        case "uncertain":
            return f"uncertain, submit the same bundle again to learn the outcome{lines}"
    return f"{answer.outcome}{lines}"


def _format_time(seconds: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(seconds))
