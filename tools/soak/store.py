"""
Store of the soak
=================

Stand-in of the store that listens on an address for each host, combines overlapping faults, and
lists workers under the addresses of that host's own links.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import msgspec

from standins.site.store import SiteStore, StoreFaults
from tools.soak.faults import StoreTrouble
from toucanpin.http import Request, Response, Server

__all__ = ["HostView", "SoakStore"]

WORKERS_TABLE = "servers"
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 1_048_576


@dataclass(slots=True)
class HostView:
    """
    The store as seen by one host.

    ``find_link`` maps a worker's address to that of the host's link to it.
    """

    find_link: Callable[[str], Awaitable[str]]
    faults: StoreFaults = field(default_factory=StoreFaults)
    takes: float = 0.0  # additional latency of each answer in s
    _active_faults: list[StoreTrouble] = field(default_factory=list)

    def begin(self, fault: StoreTrouble) -> None:
        """Begin a fault for this host."""
        self._active_faults.append(fault)
        self._combine()

    def end(self, fault: StoreTrouble) -> None:
        """End a fault for this host."""
        self._active_faults.remove(fault)
        self._combine()

    def leave_unanswered(self, writes: int, late_by: float) -> None:
        """Commit some transactions without an answer, at once or later."""
        if late_by:
            self.faults.late_delay = late_by
            self.faults.late_writes += writes
        else:
            self.faults.lose_writes += writes

    def _combine(self) -> None:
        """Combine the active faults: the newest status, any silence and the longest delay."""
        statuses = [fault.status for fault in self._active_faults if fault.status]
        self.faults.status = statuses[-1] if statuses else 0
        self.faults.silent = any(fault.silent for fault in self._active_faults)
        self.takes = max((fault.takes for fault in self._active_faults), default=0.0)


class SoakStore(SiteStore):
    """Store that serves each host under that host's faults."""

    async def listen_for(self, address: str, view: HostView) -> Server:
        """Serve one host at an address."""

        async def handle(request: Request) -> Response | None:
            if view.takes:
                await asyncio.sleep(view.takes)
            response = await self._handle(request, view.faults)
            if response is None or response.status != 200:
                return response
            return await _replace_addresses(request, response, view)

        server = Server(handle, MAX_HEADER_BYTES, MAX_BODY_BYTES)
        await server.listen(address)
        return server


async def _replace_addresses(request: Request, response: Response, view: HostView) -> Response:
    """Replace the workers' addresses by those of the host's own links."""
    parts = urlsplit(request.path)
    if parts.path != "/rows-get" or parse_qs(parts.query)["table"] != [WORKERS_TABLE]:
        return response
    body = msgspec.json.decode(response.body)
    for row in body["rows"]:
        entry = msgspec.json.decode(base64.b64decode(row["value"]))
        entry["address"] = await view.find_link(entry["address"])
        row["value"] = base64.b64encode(msgspec.json.encode(entry)).decode()
    return Response(200, msgspec.json.encode(body))
