"""
Command ``timeline``
====================

Collect the events of all processes, merge them and show them.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import click
from expression import Result

from toucanpin.cli.access import add_operators_url, ca_option, token_option
from toucanpin.cli.exits import ExitCode
from toucanpin.cli.http import send
from toucanpin.platform.http import HttpObjectStore
from toucanpin.platform.ports import ObjectStore
from toucanpin.timeline.codec import decode_lines, encode_lines
from toucanpin.timeline.event import Event
from toucanpin.timeline.faults import Fault, Unreadable, explain_fault
from toucanpin.timeline.filters import Filter, select
from toucanpin.timeline.lanes import render_html, render_svg
from toucanpin.timeline.merge import merge, skip_unreadable
from toucanpin.timeline.text import render_text

__all__ = ["FetchFailure", "fetch_process", "fetch_objects", "timeline"]

TIMELINE_PATH = "/v1/timeline"
OBJECT_PREFIX = "timeline/"
OK_STATUS = 200


@dataclass(frozen=True, slots=True)
class FetchFailure:
    """Source of events that could not be read."""

    source: str
    detail: str


Item = Event | Unreadable | FetchFailure


def fetch_process(url: str) -> Iterator[Item]:
    """Yield the events that a process still has in memory."""
    address = url.rstrip("/")
    address = address if address.endswith(TIMELINE_PATH) else address + TIMELINE_PATH
    match send("GET", address):
        case Result(tag="ok", ok=answer) if answer.status == OK_STATUS:
            yield from decode_lines(url, answer.body)
        case Result(tag="ok", ok=answer):
            yield FetchFailure(url, f"answered with status {answer.status}")
        case Result(error=fault):
            yield FetchFailure(url, fault.detail)


def fetch_objects(objects: ObjectStore, prefix: str = OBJECT_PREFIX) -> Iterator[Item]:
    """Yield the events that processes, including lost ones, wrote to the object store."""
    listed = objects.names(prefix)
    if listed.is_error():
        yield FetchFailure(prefix, str(listed.error))
        return
    for name in sorted(listed.ok):
        found = objects.get(name)
        if found.is_error():
            yield FetchFailure(name, str(found.error))
        elif found.ok is None:
            yield FetchFailure(name, "listed but absent")
        else:
            yield from decode_lines(name, found.ok)


def _check_sources(
    context: click.Context, parameter: click.Parameter, values: tuple[str, ...]
) -> tuple[str, ...]:
    """Normalize the URLs of the processes and allow sending the token to them."""
    return tuple(add_operators_url(value) for value in values)


@click.command(epilog="""\b
Examples:
  toucanpin timeline --from http://127.0.0.11:8080 --from http://127.0.0.12:8080
  toucanpin timeline --store http://127.0.0.2:9000 --job render-1
  toucanpin timeline --store http://127.0.0.2:9000 --kind task --picture lanes.html
""")
@click.option(
    "--from",
    "urls",
    multiple=True,
    metavar="URL",
    callback=_check_sources,
    help="Read the events of this process; repeatable.",
)
@token_option
@ca_option
@click.option(
    "--store", metavar="URL", help="Read the events that processes wrote to this object store."
)
@click.option("--request", default="", help="Show only events of this request.")
@click.option("--job", default="", help="Show only events of this job.")
@click.option("--host", default="", help="Show only events on this host or about it.")
@click.option("--bundle", default="", help="Show only events of this bundle version.")
@click.option("--task", default="", help="Show only events of this task.")
@click.option("--kind", default="", help="Show only events of this kind or family of kinds.")
@click.option(
    "--output",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Print each event as a line of text or JSON.",
)
@click.option(
    "--picture",
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    help="Write a lane diagram to this .svg or .html file instead of printing.",
)
def timeline(
    urls: tuple[str, ...],
    store: str | None,
    request: str,
    job: str,
    host: str,
    bundle: str,
    task: str,
    kind: str,
    output: str,
    picture: Path | None,
) -> None:
    """
    Show the events of all processes in causal order.

    Exits with 4 if a source could not be read; the events of the others are still shown.
    """
    if not urls and store is None:
        raise click.UsageError("at least one --from URL or a --store URL is required")
    if picture is not None and picture.suffix not in (".svg", ".html"):
        raise click.BadParameter(
            f"{str(picture)!r} must end in .svg or .html", param_hint="--picture"
        )
    failures: list[FetchFailure] = []
    items = _collect_failures(_fetch_all(urls, store), failures)
    merged = merge(skip_unreadable(items, _print_fault), _print_fault)
    wanted = Filter(request=request, job=job, host=host, bundle=bundle, task=task, kind=kind)
    _output_events(select(merged, wanted), output, picture)
    for fault in failures:
        click.echo(f"{fault.source}: not read: {fault.detail}", err=True)
    if failures:
        raise click.exceptions.Exit(ExitCode.UNCERTAIN)


def _fetch_all(urls: tuple[str, ...], store: str | None) -> Iterator[Item]:
    """Yield the events of all sources."""
    for url in urls:
        yield from fetch_process(url)
    if store is not None:
        yield from fetch_objects(_open_objects(store))


def _open_objects(url: str) -> ObjectStore:
    """Return a client of an object store."""
    return HttpObjectStore(url, client="toucanpin")


def _collect_failures(
    items: Iterable[Item], failures: list[FetchFailure]
) -> Iterator[Event | Unreadable]:
    """Yield what was read; append the sources that could not be read to ``failures``."""
    for item in items:
        match item:
            case FetchFailure():
                failures.append(item)
            case _:
                yield item


def _print_fault(fault: Fault) -> None:
    """Print a fault of the timeline to standard error."""
    click.echo(explain_fault(fault), err=True)


def _output_events(events: Iterable[Event], output: str, picture: Path | None) -> None:
    """Print the events or write the lane diagram."""
    if picture is not None:
        draw = render_svg if picture.suffix == ".svg" else render_html
        picture.write_text(draw(events), encoding="utf-8")
    elif output == "json":
        for line in encode_lines(events):
            click.echo(line.decode(), nl=False)
    else:
        for text in render_text(events):
            click.echo(text)
