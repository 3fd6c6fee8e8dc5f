"""
Deployment
==========

Entry hosts as processes, with stand-ins of the store, links and workers in this process.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path

import msgspec

from tools.soak.callers import SITE, SharedState
from tools.soak.checker import Checker
from tools.soak.events import ConfigurationWritten, EvacuationsChanged
from tools.soak.faults import LinkMode, WorkerMood
from tools.soak.hosts import Host
from tools.soak.jobs import LATE_LABEL, MAX_ATTEMPTS, ROUTES
from tools.soak.links import Link
from tools.soak.network import take_network
from tools.soak.plan import DATA_CENTRES, Size
from tools.soak.reports import ReportPath
from tools.soak.store import HostView, SoakStore
from tools.soak.workers import SoakWorker
from toucanpin.entry.tables import OWNER_KEY, OWNERS_TABLE
from toucanpin.http import Server
from toucanpin.scheduling.orders import WorkerEntry
from toucanpin.scheduling.ownership import decode_owner

__all__ = ["CRASHING_QUEUE", "LONG_RUNNING_QUEUE", "QUEUES", "Deployment"]

SERVICES = ("c0", "c1")
QUEUES = ("urgent", "batch", "other")  # the last belongs to the second service
LONG_RUNNING_QUEUE = "standing"
CRASHING_QUEUE = "batch"
RESTART_DELAY_S = 1.0  # after a task has crashed a worker
WORKER_CPU = 8_000  # thousandths of a core
WORKER_MEMORY_MB = 16_000


class Deployment:
    """All parts of one run."""

    def __init__(self, size: Size, directory: Path, program: tuple[str, ...]) -> None:
        self.size = size
        self.checker = Checker()
        self.record = self.checker.record
        self.state = SharedState(QUEUES)
        self.store = SoakStore()
        self.moods: list[list[WorkerMood]] = [[] for _ in range(size.workers)]
        self.reports = [ReportPath(self.store) for _ in range(size.workers)]
        self.workers: list[SoakWorker | None] = [None] * size.workers
        self.extra_workers: list[SoakWorker] = []
        self.links: dict[tuple[int, int | None], Link] = {}
        self.modes: dict[tuple[int, int | None], tuple[LinkMode, float]] = {}
        self._incarnations = [0] * size.workers
        self._replacing: set[asyncio.Task[None]] = set()
        self._lock, self._network = take_network()
        self._version = 0
        self._evacuations: Counter[str] = Counter()
        self._servers: list[Server] = []
        self._worker_numbers: dict[str, int] = {}
        self.views = [self._make_view(host) for host in range(size.hosts)]
        self.hosts = [
            Host(n, self._address(2, n), self._store_link(n), directory, program, self.record)
            for n in range(size.hosts)
        ]

    async def start(self) -> None:
        """Start the store's listeners, the links, the workers and the hosts."""
        self.configure(0)
        for number, view in enumerate(self.views):
            store_address = f"{self._address(1, number)}:7001"
            self._servers.append(await self.store.listen_for(store_address, view))
            await self._add_link(number, None, store_address, self._store_link(number))
        for worker in range(self.size.workers):
            await self.start_worker(worker)
        for host in self.hosts:
            host.start()

    async def close(self) -> None:
        """Stop everything that was started here."""
        for host in self.hosts:
            host.finish()
        for task in self._replacing:
            task.cancel()
        for link in self.links.values():
            link.close()
        for worker in (*self.workers, *self.extra_workers):
            if worker is not None:
                await worker.close()
        for server in self._servers:
            await server.drain(0.0)
        self._lock.close()

    def configure(self, extra_queues: int) -> None:
        """Write a configuration with some extra queues that no caller submits to."""
        self._version += 1 + extra_queues % 3
        names = [*ROUTES, *(f"extra{number}" for number in range(extra_queues))]
        routes = [_describe_route(name) for name in names]
        services = [{"name": name, "rejectsOverload": False} for name in SERVICES]
        document = {"version": self._version, "routes": routes, "services": services}
        self.store.put("op", "config", msgspec.json.encode(document))
        self.state.extra_queues = extra_queues
        self.record(ConfigurationWritten(time.monotonic(), frozenset(names)))

    def evacuate(self, data_centre: str) -> None:
        """Begin an evacuation of a data centre; evacuations of it may overlap."""
        self._evacuations[data_centre] += 1
        self.store.put("op", f"evacuate/{data_centre}", b"{}")
        self._record_evacuated()

    def end_evacuation(self, data_centre: str) -> None:
        """End one evacuation of a data centre."""
        self._evacuations[data_centre] -= 1
        if not self._evacuations[data_centre]:
            del self._evacuations[data_centre]
            self.store.delete("op", f"evacuate/{data_centre}")
        self._record_evacuated()

    def _record_evacuated(self) -> None:
        self.record(EvacuationsChanged(time.monotonic(), frozenset(self._evacuations)))

    async def start_worker(self, number: int) -> None:
        """Start the next incarnation of a worker at the address of its earlier ones."""
        self._incarnations[number] += 1
        await self._start_worker(number, f"w{number}-{self._incarnations[number]}")

    async def _start_worker(self, number: int, name: str) -> None:
        service = SERVICES[number % len(SERVICES)]
        address = f"{self._address(3, number)}:7002"
        self._worker_numbers[address] = number
        site = DATA_CENTRES[number % len(DATA_CENTRES)]
        worker = self._make_worker(
            name,
            service,
            address,
            site,
            (),
            self.moods[number],
            self.reports[number],
            number % 2 == 1,
        )
        await worker.start()
        # A worker that ended while it starts would go on listening at the address of the next one.
        self.workers[number] = worker

    async def replace_worker(self, number: int, drains: float, away: float) -> None:
        """End an incarnation of a worker and start the next, unless that is in progress."""
        worker = self.workers[number]
        if worker is None:
            return
        if drains:
            await worker.drain(drains)
        if self.workers[number] is not worker:
            return
        self.workers[number] = None
        await worker.crash()
        await asyncio.sleep(away)
        await self.start_worker(number)

    async def restart_worker(self, number: int, away: float) -> None:
        """End a worker's process and start the next one under its id."""
        worker = self.workers[number]
        if worker is None:
            return
        self.workers[number] = None
        await worker.crash(keeps_name=True)
        await asyncio.sleep(away)
        await self._start_worker(number, worker.core.entry.id)

    async def add_late_workers(self) -> None:
        """Start a worker of each service for the jobs that require the late label."""
        for number, service in enumerate(SERVICES):
            address = f"{self._address(4, number)}:7002"
            self._worker_numbers[address] = self.size.workers + number
            worker = self._make_worker(
                f"late-{service}",
                service,
                address,
                "dc",
                ("k", "r9", LATE_LABEL),
                [],
                ReportPath(self.store),
                False,
            )
            self.extra_workers.append(worker)
            await worker.start()

    def find_owner(self, cell: int) -> int:
        """Return the number of the host that owns the cell of a service, 0 if none does."""
        stored = self.store.rows.get((OWNERS_TABLE, SERVICES[cell], OWNER_KEY))
        name = decode_owner(stored.value).host if stored else ""
        return next((host.number for host in self.hosts if name == f"h{host.number}"), 0)

    def find_busiest_worker(self) -> int:
        """Return the number of the worker that runs the most tasks that last."""
        jobs = self.state.jobs
        counts = [
            sum(jobs[task.job].long_running for task in worker.core.runs) if worker else 0
            for worker in self.workers
        ]
        return counts.index(max(counts))

    def set_link(self, host: int, worker: int | None, mode: LinkMode, delay: float = 0.0) -> None:
        """Set the mode of a link, also of one that is yet to be created."""
        self.modes[host, worker] = (mode, delay)
        link = self.links.get((host, worker))
        if link is not None:
            link.set_mode(mode, delay)

    def advance_workers(self) -> None:
        """End the runs that are due on all workers."""
        for worker in (*self.workers, *self.extra_workers):
            if worker is not None:
                worker.advance()

    def _make_worker(
        self,
        name: str,
        service: str,
        address: str,
        data_centre: str,
        labels: tuple[str, ...],
        moods: list[WorkerMood],
        reports: ReportPath,
        slow_clock: bool,
    ) -> SoakWorker:
        labels = labels or ("k", f"r{address.rpartition('.')[2]}")
        entry = WorkerEntry(
            name,
            service,
            address,
            data_centre,
            True,
            WORKER_CPU,
            WORKER_MEMORY_MB,
            0,
            labels,
            born=time.time_ns() // 1_000_000,
        )
        return SoakWorker(
            reports,
            entry,
            self.record,
            self.state.jobs,
            self.advance_workers,
            moods,
            self._replace_crashed,
            slow_clock,
        )

    def _replace_crashed(self, worker: SoakWorker) -> None:
        """Start the next incarnation of a worker that a task has crashed."""
        if worker not in self.workers:
            return
        number = self.workers.index(worker)
        if number % 2:
            work = self.restart_worker(number, RESTART_DELAY_S)
        else:
            work = self.replace_worker(number, 0.0, RESTART_DELAY_S)
        task = asyncio.ensure_future(work)
        self._replacing.add(task)
        task.add_done_callback(self._replacing.discard)

    def _make_view(self, host: int) -> HostView:
        async def find_link(address: str) -> str:
            worker = self._worker_numbers[address]
            link_address = f"{self._address(5, host)}:{10_000 + worker}"
            if (host, worker) not in self.links:
                await self._add_link(host, worker, address, link_address)
            return link_address

        return HostView(find_link)

    async def _add_link(
        self, host: int, worker: int | None, target: str, link_address: str
    ) -> None:
        link = self.links[host, worker] = Link(target)
        mode, delay = self.modes.get((host, worker), (LinkMode.OPEN, 0.0))
        link.set_mode(mode, delay)
        await link.listen(link_address)

    def _address(self, kind: int, number: int) -> str:
        """Return a loopback address of this run."""
        return f"127.{70 + kind}.{self._network}.{number + 1}"

    def _store_link(self, host: int) -> str:
        return f"{self._address(1, host)}:7000"


def _describe_route(name: str) -> dict[str, object]:
    service, priority = ROUTES.get(name, ("c0", 1))
    return {
        "name": name,
        "host": SITE,
        "pathPrefix": f"/{name}/",
        "service": service,
        "priority": priority,
        "maxAttempts": MAX_ATTEMPTS,
    }
