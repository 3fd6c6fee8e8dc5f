"""
Store of the soak
=================

The stand-in of the store with an address for each host, troubles that overlap, and workers' entries
that name a link of each host's own.
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
MAX_HEADER_BYTES = 16_384  # bytes
MAX_BODY_BYTES = 1_048_576  # bytes of one transaction


@dataclass(slots=True)
class HostView:
    """
    Hold how one host sees the store.

    ``find_link`` returns the address at which the host reaches a worker's address.
    """

    find_link: Callable[[str], Awaitable[str]]
    faults: StoreFaults = field(default_factory=StoreFaults)
    takes: float = 0.0  # s more for each answer
    _troubles: list[StoreTrouble] = field(default_factory=list)

    def begin(self, trouble: StoreTrouble) -> None:
        """Treat the host so from now on."""
        self._troubles.append(trouble)
        self._combine()

    def end(self, trouble: StoreTrouble) -> None:
        """Treat the host so no more."""
        self._troubles.remove(trouble)
        self._combine()

    def leave_unanswered(self, writes: int, late_by: float) -> None:
        """Carry out some transactions without an answer, at once or later."""
        if late_by:
            self.faults.late_delay = late_by
            self.faults.late_writes += writes
        else:
            self.faults.lose_writes += writes

    def _combine(self) -> None:
        """Take all troubles together: the worst of each kind."""
        statuses = [trouble.status for trouble in self._troubles if trouble.status]
        self.faults.status = statuses[-1] if statuses else 0
        self.faults.silent = any(trouble.silent for trouble in self._troubles)
        self.takes = max((trouble.takes for trouble in self._troubles), default=0.0)


class SoakStore(SiteStore):
    """Serve each host under its own troubles."""

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
    """Put the host's own links in the place of the workers' addresses."""
    parts = urlsplit(request.path)
    if parts.path != "/rows-get" or parse_qs(parts.query)["table"] != [WORKERS_TABLE]:
        return response
    body = msgspec.json.decode(response.body)
    for row in body["rows"]:
        entry = msgspec.json.decode(base64.b64decode(row["value"]))
        entry["address"] = await view.find_link(entry["address"])
        row["value"] = base64.b64encode(msgspec.json.encode(entry)).decode()
    return Response(200, msgspec.json.encode(body))
