"""
Machines
========

The platform's machine service: it lists machines, and upkeep of a machine replaces its worker.
"""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

import msgspec

from standins.site.site import Site
from standins.site.worker import SiteWorker
from toucanpin.http import Request, Response, Server

__all__ = ["MachineOrder", "SiteMachines"]


class MachineOrder(NamedTuple):
    """An order for the upkeep of a machine."""

    machine: str
    holder: str
    token: int


class SiteMachines:
    """Serve the machines of a site, each of which runs one worker at a time."""

    def __init__(self, site: Site, upkeep: float = 0.3) -> None:
        self._site = site
        self._upkeep = upkeep
        self._server = Server(self._handle, 16_384, 65_536)
        self._tasks: set[asyncio.Task[None]] = set()
        self.workers: dict[str, SiteWorker | None] = {}
        self.runs_at_upkeep: dict[str, int] = {}
        self.orders: list[MachineOrder] = []
        self.order_times: list[float] = []
        self.max_down = 0
        self.lose_answers = 0
        self.refuse_orders = 0  # number of orders to refuse with 503
        self.refused: list[str] = []
        self.unknown_orders: dict[str, int] = {}  # refusals left by machine, as not of its wave
        self.omissions: dict[str, int] = {}  # number of lists that omit a machine
        self.states: dict[str, str] = {}  # states shown instead of the actual ones

    async def listen(self, address: str) -> None:
        """Listen on an address."""
        await self._server.listen(address)

    async def close(self) -> None:
        """Cancel all upkeep and stop listening."""
        for task in self._tasks:
            task.cancel()
        await self._server.drain(0.0)

    def add(self, name: str, worker: SiteWorker) -> None:
        """Add a machine that runs a worker."""
        self.workers[name] = worker

    async def _handle(self, request: Request) -> Response | None:
        if request.method == "GET":
            return Response(200, msgspec.json.encode(self._list()))
        call = msgspec.json.decode(request.body)
        holder = request.headers["x-lease-holder"]
        token = int(request.headers["x-fencing-token"])
        self.orders.append(MachineOrder(call["machine"], holder, token))
        self.order_times.append(time.monotonic())
        if self.refuse_orders:
            self.refuse_orders -= 1
            self.refused.append(call["machine"])
            return Response(503)
        if self.unknown_orders.get(call["machine"]):
            self.unknown_orders[call["machine"]] -= 1
            return Response(409, b'{"reason":"wave"}')
        return self._start_upkeep(call["machine"])

    def _list(self) -> dict[str, object]:
        machines = [
            {
                "machine": name,
                "pool": worker.core.entry.service if worker else "",
                "state": self.states.get(name, "up" if worker else "upkeep"),
                "id": worker.core.entry.id if worker else None,
            }
            for name, worker in self.workers.items()
            if not self.omissions.get(name)
        ]
        self.omissions = {name: left - 1 for name, left in self.omissions.items() if left > 1}
        return {"machines": machines, "nextToken": None}

    def _start_upkeep(self, name: str) -> Response | None:
        if name not in self.workers:
            return Response(400)
        if name not in self.runs_at_upkeep:
            worker = self.workers[name]
            assert worker is not None
            self.runs_at_upkeep[name] = len(worker.core.runs)
            self.workers[name] = None
            down = sum(it is None for it in self.workers.values())
            self.max_down = max(self.max_down, down)
            task = asyncio.ensure_future(self._replace(name, worker))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self.lose_answers:
            self.lose_answers -= 1
            return None
        return Response(200, b"{}")

    async def _replace(self, name: str, worker: SiteWorker) -> None:
        await worker.leave()
        await asyncio.sleep(self._upkeep)
        self.workers[name] = await self._site.add_worker(
            duration=worker.core.duration, service=worker.core.entry.service
        )
