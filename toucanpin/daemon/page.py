"""
Status page
===========

Render one read-only HTML page with the state of a process, its members, cells and hosts.
"""

from __future__ import annotations

import html
import http
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from toucanpin.daemon.interfaces import WsgiApp
from toucanpin.daemon.operators import ProcessState
from toucanpin.daemon.web import StartResponse, answer_refusal
from toucanpin.membership.member import Member
from toucanpin.placement.cells import Cell
from toucanpin.platform.ports import ListedHost
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["OwnedCell", "Page", "make_page_app", "render_page", "summarize_cells"]

PAGE_PATH = "/"
READ_METHODS = ("GET", "HEAD")
REFRESH_PERIOD_S = 5
STYLE = (
    "body{font:15px sans-serif;margin:2em;max-width:75em}"
    "table{border-collapse:collapse;margin-bottom:1em}"
    "th,td{text-align:left;padding:.15em 1em .15em 0;border-bottom:1px solid #ccc}"
    ".bad{color:#a00;font-weight:bold}"
)
# Names on the page come from other processes and the platform.  If one were ever not escaped, the
# browser would still run no script and fetch nothing.
CONTENT_SECURITY_POLICY = (
    "default-src 'none'; style-src 'unsafe-inline'; base-uri 'none'; form-action 'none'"
)


class OwnedCell(msgspec.Struct, frozen=True):
    """Summary of one cell that this process owns."""

    name: str
    epoch: int
    workers: int
    tasks: int
    queued: int


class Page(msgspec.Struct, frozen=True):
    """Content of the page; ``cells`` is None if the role of the process owns no cells."""

    state: ProcessState
    members: tuple[Member, ...]
    hosts: tuple[ListedHost, ...]
    cells: tuple[OwnedCell, ...] | None = None


def summarize_cells(cells: Iterable[Cell]) -> tuple[OwnedCell, ...]:
    """Return summaries of cells, sorted by name."""
    summaries = (
        OwnedCell(
            cell.name, cell.row.epoch, len(cell.row.workers), len(cell.row.tasks), len(cell.queue)
        )
        for cell in cells
    )
    return tuple(sorted(summaries, key=lambda cell: cell.name))


def make_page_app(get_page: Callable[[], Page]) -> WsgiApp:
    """Return the application that serves the page at ``/`` and refuses all else."""

    def serve(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve one request."""
        if environ["PATH_INFO"] != PAGE_PATH or environ["REQUEST_METHOD"] not in READ_METHODS:
            detail = f"nothing is served at {environ['PATH_INFO']!r}; GET {PAGE_PATH} is the page"
            return answer_refusal(start, Refusal(Verdict.NOT_RUN, Reason.NOT_FOUND, detail))
        body = render_page(get_page()).encode()
        headers = [
            ("Content-Type", "text/html; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Content-Security-Policy", CONTENT_SECURITY_POLICY),
            ("Cache-Control", "no-store"),
        ]
        start(f"{http.HTTPStatus.OK.value} {http.HTTPStatus.OK.phrase}", headers)
        return [body]

    return serve


def render_page(page: Page) -> str:
    """Return the page as HTML."""
    title = f"toucanpin {page.state.process}"
    return "".join(
        (
            '<!doctype html><html lang="en"><head><meta charset="utf-8">',
            f'<meta http-equiv="refresh" content="{REFRESH_PERIOD_S}">',
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
    """Yield the identity and the readiness of the process."""
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
    """Yield the counts of members, hosts, cells and tasks."""
    counts = Counter(f"members {member.standing.value}" for member in page.members)
    counts.update(f"hosts {host.role.value}" for host in page.hosts)
    counts["hosts leaving or drained"] = sum(host.leaving for host in page.hosts)
    for cell in page.cells or ():
        counts.update({"cells owned": 1, "workers": cell.workers})
        counts.update({"tasks committed": cell.tasks, "tasks waiting": cell.queued})
    yield from _render_table("Counts", ("what", "number"), sorted(counts.items()))


def _render_members(members: tuple[Member, ...]) -> Iterator[str]:
    """Yield the processes of the system and their bundles."""
    rows = sorted(
        (member.name, member.site, member.standing.value, member.bundle) for member in members
    )
    yield from _render_table("Members", ("name", "site", "standing", "bundle"), rows)


def _render_cells(cells: tuple[OwnedCell, ...] | None) -> Iterator[str]:
    """Yield the cells that this process owns, nothing if its role owns none."""
    if cells is not None:
        columns = OwnedCell.__struct_fields__
        yield from _render_table("Cells owned", columns, map(msgspec.structs.astuple, cells))


def _render_hosts(hosts: tuple[ListedHost, ...]) -> Iterator[str]:
    """Yield the platform's hosts."""
    columns = ("name", "role", "site", "rack", "service", "state")
    rows = sorted(
        (host.name, host.role.value, host.site, host.rack, host.service, _describe_state(host))
        for host in hosts
    )
    yield from _render_table("Hosts", columns, rows)


def _describe_state(host: ListedHost) -> str:
    """Return a host's state; the host list marks drained hosts as leaving."""
    return "leaving or drained" if host.leaving else "in use"


def _render_table(
    title: str, columns: Iterable[str], rows: Iterable[Iterable[Any]]
) -> Iterator[str]:
    """Yield a heading and a table with all values escaped."""
    yield f"<h2>{html.escape(title)}</h2><table><tr>"
    yield from (f"<th>{html.escape(column)}</th>" for column in columns)
    yield "</tr>"
    for row in rows:
        cells = "".join(f"<td>{html.escape(str(value))}</td>" for value in row)
        yield f"<tr>{cells}</tr>"
    yield "</table>"
