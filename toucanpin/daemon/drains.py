"""
Drained hosts
=============

Mark the hosts that operators drain as leaving in the platform's host list, and let operators
start and end drains over HTTP.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Any
from urllib.parse import unquote

import logbook
from expression import Ok, Result

from toucanpin.daemon.decisions import perform_table_action, run_decision
from toucanpin.daemon.hosts import HostListCache
from toucanpin.daemon.interfaces import EventSink, WsgiApp
from toucanpin.daemon.web import StartResponse, answer_json, answer_refusal
from toucanpin.placement.drains import (
    DRAIN_PREFIX,
    DrainRow,
    apply_drains,
    read_drains,
    set_drain,
)
from toucanpin.platform.ports import HostList, ListedHost, StoreFault, Table
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["DRAIN_PATH", "DrainedHosts", "make_drain_app"]

DRAIN_PATH = "/v1/drain"

log = logbook.Logger("toucanpin.drains")


class DrainedHosts:
    """Host list in which the drained hosts are marked as leaving."""

    __slots__ = ("_drains", "_hosts", "_table")

    def __init__(self, hosts: HostList, table: Table) -> None:
        """Initialize with the platform's host list and the table that stores the drains."""
        self._hosts = hosts
        self._table = table
        self._drains: tuple[DrainRow, ...] = ()

    def hosts(self) -> Result[tuple[ListedHost, ...], StoreFault]:
        """Return the platform's hosts, or why they could not be read."""
        match self._hosts.hosts():
            case Result(tag="ok", ok=listed):
                drained = frozenset(drain.host for drain in self.drains())
                return Ok(apply_drains(listed, drained))
            case failed:
                return failed

    def drains(self) -> tuple[DrainRow, ...]:
        """Return the drains; while the table is unavailable, the last known ones."""
        match self._table.scan(DRAIN_PREFIX):
            case Result(tag="ok", ok=rows):
                self._drains = read_drains(rows)
            case Result(error=fault):
                log.warning("drains could not be read: {}", fault, extra={"event": "drains.stale"})
        return self._drains


def make_drain_app(
    drained: DrainedHosts, hosts: HostListCache, table: Table, events: EventSink
) -> WsgiApp:
    """Return the application that lists drains (GET) and starts (PUT) or ends (DELETE) one."""

    def serve(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        name = unquote(environ["PATH_INFO"].removeprefix(DRAIN_PATH).strip("/"))
        match environ["REQUEST_METHOD"]:
            case "GET" if not name:
                return answer_json(start, drained.drains())
            case "PUT" if name:
                return change(environ, start, name, drain=True)
            case "DELETE" if name:
                return change(environ, start, name, drain=False)
        detail = f"use GET {DRAIN_PATH}, PUT or DELETE {DRAIN_PATH}/HOST"
        return answer_refusal(start, Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail))

    def change(
        environ: dict[str, Any], start: StartResponse, name: str, drain: bool
    ) -> Iterable[bytes]:
        """Start or end the drain of a host."""
        if drain and name not in {host.name for host in hosts.all()}:
            detail = f"the platform lists no host {name!r}"
            return answer_refusal(start, Refusal(Verdict.NOT_RUN, Reason.NOT_FOUND, detail))
        row = DrainRow(name, environ.get("toucanpin.operator", ""), time.time())
        outcome = run_decision(
            set_drain(row, drain), lambda action: perform_table_action(table, action)
        )
        match outcome:
            case Result(tag="ok", ok=changed):
                kind = "host.drain" if drain else "host.undrain"
                events.record(kind, {"host": name}, row.operator)
                return answer_json(start, {"host": name, "drain": drain, "changed": changed})
            case Result(error=refusal):
                return answer_refusal(start, refusal)

    return serve
