"""
Site
====

Entry hosts, a store and workers in one event loop, on loopback addresses.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import socket
import time
from collections.abc import Callable

import msgspec

from standins.site.store import SiteStore, StoreFaults
from standins.site.worker import SiteWorker
from toucanpin.entry.root import EntryProcess
from toucanpin.http import Answer, Client
from toucanpin.scheduling.orders import WorkerEntry
from toucanpin.scheduling.settings import Bounds, HostSettings

__all__ = ["JOB", "Site", "free_port"]

JOB = "00000000000000a1"
PREFIX = "/jobs/"
HOST = "site.example"
FIRST_PORT = 11_000
PORTS_PER_PROCESS = 200
PORT_RANGES = 100  # all ranges end below the ports of outgoing connections
_counter = itertools.count()


def free_port() -> int:
    """
    Return a port of 127.0.0.1 that nothing listens on.

    The system would choose from the ports of outgoing connections, where another process may take a
    port before a server listens on it.  Therefore each process has a range of its own below these.
    """
    first = FIRST_PORT + os.getpid() % PORT_RANGES * PORTS_PER_PROCESS
    for _ in range(PORTS_PER_PROCESS):
        port = first + next(_counter) % PORTS_PER_PROCESS
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError(f"no free port from {first} to {first + PORTS_PER_PROCESS - 1}")


class Site:
    """Entry hosts and workers that share one store."""

    def __init__(self, machines: str = "", bounds: Bounds | None = None) -> None:
        self.machines = machines
        self.bounds = bounds or Bounds()
        self.store = SiteStore()
        self.faults: list[StoreFaults] = []
        self.hosts: list[EntryProcess] = []
        self.clients: list[Client] = []
        self.workers: list[SiteWorker] = []
        self._servers: list = []

    def configure(
        self, version: int = 1, prefix: str = PREFIX, services: tuple[str, ...] = ("c",)
    ) -> None:
        """Store a configuration with some services, and one queue of the service ``c``."""
        route = {
            "name": "q",
            "host": HOST,
            "pathPrefix": prefix,
            "service": "c",
            "maxAttempts": 2,
            "priority": 0,
        }
        named = [{"name": service} for service in services]
        document = {"version": version, "routes": [route], "services": named}
        self.store.put("op", "config", msgspec.json.encode(document))

    def evacuate(self, data_centre: str) -> None:
        """Start the evacuation of a data centre, as an operator does."""
        self.store.put("op", f"evacuate/{data_centre}", b"{}")

    def cancel_evacuation(self, data_centre: str) -> None:
        """End the evacuation of a data centre."""
        self.store.delete("op", f"evacuate/{data_centre}")

    async def add_host(self, cores: float = 1.0) -> EntryProcess:
        """Start an entry host with its own address of the store."""
        address = f"127.0.0.1:{free_port()}"
        faults = StoreFaults()
        self._servers.append(await self.store.listen(address, faults))
        self.faults.append(faults)
        front = f"127.0.0.1:{free_port()}"
        settings = HostSettings(
            name=f"h{len(self.hosts)}",
            address="127.0.0.1",
            data_centre="dc",
            front=front,
            readiness=f"127.0.0.1:{free_port()}",
            inner_port=free_port(),
            store=address,
            advice="",
            machines=self.machines,
            heartbeat=1.0,
            max_row=65_536,
            bounds=self.bounds,
            cores=cores,
        )
        process = EntryProcess(settings)
        await process.start()
        self.hosts.append(process)
        self.clients.append(Client(front))
        return process

    async def add_worker(
        self,
        cpu: int = 4_000,
        duration: float = 0.2,
        address: str = "",
        data_centre: str = "dc",
        name: str = "",
        service: str = "c",
    ) -> SiteWorker:
        """Start a worker, or a new incarnation of one at its address, or under its name too."""
        name = name or f"w{len(self.workers)}"
        address = address or f"127.0.0.1:{free_port()}"
        born = time.time_ns() // 1_000_000
        entry = WorkerEntry(name, service, address, data_centre, True, cpu, 8_000, 0, born=born)
        worker = SiteWorker(self.store, entry)
        worker.core.duration = duration
        await worker.start()
        self.workers.append(worker)
        return worker

    async def close(self) -> None:
        """Stop all hosts, workers and servers."""
        for host in self.hosts:
            await host.abort()
        for worker in self.workers:
            await worker.stop()
        for server in self._servers:
            await server.drain(0.0)
        for client in self.clients:
            client.close()

    async def call(
        self, method: str, path: str, body: bytes = b"", host: int = 0, deadline: int = 3_000
    ) -> Answer:
        """Send a caller's request to a host."""
        headers = (("Host", HOST), ("X-Deadline-Ms", str(deadline)))
        return await self.clients[host].call(method, path, body, headers, 10.0)

    async def submit(
        self, job: str = JOB, host: int = 0, deadline: int = 3_000, **step: object
    ) -> Answer:
        """Submit a job with one step."""
        body = {"spec": "work", "pipeline": [{"count": 1, "cpu": 1_000, **step}]}
        return await self.call("POST", PREFIX + job, msgspec.json.encode(body), host, deadline)

    async def state(self, job: str = JOB, host: int = 0) -> str:
        """Return the state of a job, empty if it is unknown."""
        answer = await self.call("GET", PREFIX + job, host=host)
        return msgspec.json.decode(answer.body)["state"] if answer.status == 200 else ""

    async def wait_until(self, condition: Callable, turns: int = 300) -> bool:
        """Return whether a condition holds within a number of turns of 50 ms."""
        for _ in range(turns):
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return True
            await asyncio.sleep(0.05)
        return False

    async def wait_for_state(self, state: str, job: str = JOB, host: int = 0) -> bool:
        """Return whether a job reaches a state in time."""

        async def check() -> bool:
            return await self.state(job, host) == state

        return await self.wait_until(check)

    async def wait_until_ready(self, host: int = 0) -> bool:
        """Return whether a host loads a configuration in time."""

        async def check() -> bool:
            return (await self.call("GET", PREFIX, host=host)).status == 200

        return await self.wait_until(check)
