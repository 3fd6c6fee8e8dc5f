"""
Status page
===========

One read-only page of HTML that shows a process and what it knows, for people with a browser.
"""

from __future__ import annotations

import html
import http
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from toucanpin.daemon.operators import ProcessState
from toucanpin.daemon.parts import WsgiApp
from toucanpin.daemon.web import StartResponse, answer_refusal
from toucanpin.membership.member import Member
from toucanpin.placement.cells import Cell
from toucanpin.platform.ports import ListedHost
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["OwnedCell", "Page", "make_page_app", "render_page", "summarize_cells"]

PAGE_PATH = "/"
READ_METHODS = ("GET", "HEAD")
REFRESH_SECONDS = 5
STYLE = (
    "body{font:15px sans-serif;margin:2em;max-width:75em}"
    "table{border-collapse:collapse;margin-bottom:1em}"
    "th,td{text-align:left;padding:.15em 1em .15em 0;border-bottom:1px solid #ccc}"
    ".bad{color:#a00;font-weight:bold}"
)
# Names on the page come from other processes and the platform.  Should one ever get past the
# escaping, the browser still runs no script and fetches nothing.
POLICY = "default-src 'none'; style-src 'unsafe-inline'; base-uri 'none'; form-action 'none'"


class OwnedCell(msgspec.Struct, frozen=True):
    """Show one cell that this process owns."""

    name: str
    epoch: int
    workers: int
    tasks: int
    queued: int


class Page(msgspec.Struct, frozen=True):
    """Hold what the page shows; ``cells`` is None in a process that owns none by its role."""

    state: ProcessState
    members: tuple[Member, ...]
    hosts: tuple[ListedHost, ...]
    cells: tuple[OwnedCell, ...] | None = None


def summarize_cells(cells: Iterable[Cell]) -> tuple[OwnedCell, ...]:
    """Show owned cells by name."""
    shown = (
        OwnedCell(
            cell.name, cell.row.epoch, len(cell.row.workers), len(cell.row.tasks), len(cell.queue)
        )
        for cell in cells
    )
    return tuple(sorted(shown, key=lambda cell: cell.name))


def make_page_app(read: Callable[[], Page]) -> WsgiApp:
    """Build the application that answers the page at ``/`` and nothing else."""

    def serve(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        if environ["PATH_INFO"] != PAGE_PATH or environ["REQUEST_METHOD"] not in READ_METHODS:
            detail = f"nothing is served at {environ['PATH_INFO']!r}; GET {PAGE_PATH} is the page"
            return answer_refusal(start, Refusal(Verdict.NOT_RUN, Reason.NOT_FOUND, detail))
        body = render_page(read()).encode()
        headers = [
            ("Content-Type", "text/html; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Content-Security-Policy", POLICY),
            ("Cache-Control", "no-store"),
        ]
        start(f"{http.HTTPStatus.OK.value} {http.HTTPStatus.OK.phrase}", headers)
        return [body]

    return serve


def render_page(page: Page) -> str:
    """Write the page."""
    title = f"toucanpin {page.state.process}"
    return "".join(
        (
            '<!doctype html><html lang="en"><head><meta charset="utf-8">',
            f'<meta http-equiv="refresh" content="{REFRESH_SECONDS}">',
            f"<title>{html.escape(title)}</title><style>{STYLE}</style></head><body>",
            f"<h1>{html.escape(title)}</h1>",
            *_render_process(page.state),
            *_render_counts(page),
            *_render_members(page.members),
            *_render_cells(page.cells),
            *_render_hosts(page.hosts),
            "</body></html>\n",
        )
    )


def _render_process(state: ProcessState) -> Iterator[str]:
    """Write who this process is and whether it is ready."""
    columns = ("site", "role", "incarnation", "program", "bundle")
    row = (state.site, state.role, state.incarnation, state.version, state.bundle)
    yield from _render_table("Process", columns, [row])
    if not state.not_ready:
        yield "<p>ready</p>"
        return
    yield '<p class="bad">not ready</p><ul>'
    yield from (f"<li>{html.escape(reason)}</li>" for reason in state.not_ready)
    yield "</ul>"


def _render_counts(page: Page) -> Iterator[str]:
    """Write how many there are of everything."""
    counts = Counter(f"members {member.standing.value}" for member in page.members)
    counts.update(f"hosts {host.role.value}" for host in page.hosts)
    counts["hosts leaving or drained"] = sum(host.leaving for host in page.hosts)
    for cell in page.cells or ():
        counts.update({"cells owned": 1, "workers": cell.workers})
        counts.update({"tasks committed": cell.tasks, "tasks waiting": cell.queued})
    yield from _render_table("Counts", ("what", "number"), sorted(counts.items()))


def _render_members(members: tuple[Member, ...]) -> Iterator[str]:
    """Write the processes of the system and their bundles."""
    rows = sorted((it.name, it.site, it.standing.value, it.bundle) for it in members)
    yield from _render_table("Members", ("name", "site", "standing", "bundle"), rows)


def _render_cells(cells: tuple[OwnedCell, ...] | None) -> Iterator[str]:
    """Write the cells that this process owns, nothing if its role owns none."""
    if cells is not None:
        columns = OwnedCell.__struct_fields__
        yield from _render_table("Cells owned", columns, map(msgspec.structs.astuple, cells))


def _render_hosts(hosts: tuple[ListedHost, ...]) -> Iterator[str]:
    """Write the platform's hosts."""
    columns = ("name", "role", "site", "rack", "service", "state")
    rows = sorted(
        (it.name, it.role.value, it.site, it.rack, it.service, _name_state(it)) for it in hosts
    )
    yield from _render_table("Hosts", columns, rows)


def _name_state(host: ListedHost) -> str:
    """Name a host's state; a drained host is shown to every part as leaving."""
    return "leaving or drained" if host.leaving else "in use"


def _render_table(
    title: str, columns: Iterable[str], rows: Iterable[Iterable[Any]]
) -> Iterator[str]:
    """Write a heading and a table, every cell escaped."""
    yield f"<h2>{html.escape(title)}</h2><table><tr>"
    yield from (f"<th>{html.escape(column)}</th>" for column in columns)
    yield "</tr>"
    for row in rows:
        cells = "".join(f"<td>{html.escape(str(value))}</td>" for value in row)
        yield f"<tr>{cells}</tr>"
    yield "</table>"
