"""
Composition root
================

Wire the parts of an entry host's process, and run them until it is told to end.
"""

from __future__ import annotations

import asyncio
import secrets
import signal
import time
import traceback
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from functools import partial
from typing import Any

import logbook

from toucanpin.entry.advisers import Advisers
from toucanpin.entry.clocks import Clocks, steady_time
from toucanpin.entry.configuration import ConfigurationWatch
from toucanpin.entry.contender import Contender
from toucanpin.entry.logs import LineHandler
from toucanpin.entry.metrics import LAG, MetricsServer, watch
from toucanpin.entry.peers import Peers
from toucanpin.entry.relay import RelayServer
from toucanpin.entry.relayed_store import RelayedStore
from toucanpin.entry.requests import Requests
from toucanpin.http import Client, Request, Response, Server
from toucanpin.platform.store import Store
from toucanpin.scheduling.settings import HostSettings

__all__ = ["EntryProcess"]

_log = logbook.Logger("entry")
MAX_HEADERS = 16_384  # bytes, until a configuration says otherwise
MAX_BODY = 262_144  # bytes, until a configuration says otherwise
UNREADY_AFTER = 2.5  # s without the table after which new connections should go elsewhere
# The balancer asks each second and needs two misses; connections opened until then are served.
LINGER = 2.6
LAG_PERIOD = 0.25  # s between measurements of the loop's lag
AFTER_FAULT = 0.3  # s after which a part that failed is begun again
EXIT_MARGIN = 1.2  # s before the platform kills the process


class EntryProcess:
    """Run everything of one entry host."""

    def __init__(
        self,
        settings: HostSettings,
        metrics: tuple[int, str] | None = None,
        logs: LineHandler | None = None,
    ) -> None:
        self._settings = settings
        self._life = secrets.token_hex(6)
        direct = Client(settings.store)
        relayed = RelayedStore(direct, settings.name)
        self._store = Store(relayed)
        self._peers = Peers(self._store, settings)
        relayed.use_peers(self._peers)
        advice = Client(settings.advice) if settings.advice else None
        self._relay = RelayServer(relayed, direct, self._peers, settings.name, advice)
        self._advisers = Advisers(settings.name, advice, self._peers)
        self._clocks = Clocks(self._store)
        self._clocks.offsets = self._peers.wall_offsets
        self._configuration = ConfigurationWatch(self._store)
        self._requests = Requests(
            self._store, self._configuration, self._clocks, self._read_backlog
        )
        self._front = Server(self._requests.handle, MAX_HEADERS, MAX_BODY)
        self._readiness = Server(self._answer_probe, MAX_HEADERS, MAX_BODY)
        self._contenders: dict[str, Contender] = {}
        self._tasks: set[asyncio.Task] = set()
        self._leaving = False
        self._metrics: MetricsServer | None = None
        if metrics is not None:
            self._metrics = MetricsServer(f"{settings.address}:{metrics[0]}", metrics[1])
            self._show_gauges(logs)
        if logs is not None:
            logs.clock = lambda: self._clocks.now().table

    async def run(self) -> None:
        """Run until SIGTERM."""
        ending = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, ending.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        await self.start()
        await ending.wait()
        await self.shut_down()

    async def start(self) -> None:
        """Listen and begin all parts."""
        await self._front.listen(self._settings.front)
        await self._readiness.listen(self._settings.readiness)
        if self._settings.inner_port:
            await self._relay.listen(self._settings.address, self._settings.inner_port)
            self._spawn(self._peers.run)
        self._spawn(self._configuration.run)
        self._spawn(self._contend)
        if self._metrics is not None:
            self._spawn(self._metrics.run)
            self._spawn(_measure_lag)
        _log.info("started", event="process.started", life=self._life)

    def owned_cells(self) -> tuple[str, ...]:
        """Return the cells that this host owns."""
        return tuple(cell for cell, it in self._contenders.items() if it.owns)

    def knows_peers(self) -> bool:
        """Tell whether this host could reach the store through another."""
        return bool(self._peers.secret) and bool(self._peers.others())

    async def abort(self) -> None:
        """End at once, as a kill would; for embedding."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._front.drain(0.0)
        await self._readiness.drain(0.0)
        self._relay.close()
        if self._metrics is not None:
            await self._metrics.close()

    async def shut_down(self) -> None:
        """Give up what is owned, answer what was read, then close."""
        self._leaving = True
        begun = time.monotonic()
        _log.info("draining", event="process.draining")
        self._front.closing = True
        for contender in self._contenders.values():
            await contender.resign()
        await asyncio.sleep(LINGER)
        left = self._settings.bounds.shutdown - EXIT_MARGIN - (time.monotonic() - begun)
        # Callers may wait for longer than this process may live, above all while the store is away.
        # A request may have taken effect by now, so only 504 is true of all of them.
        await self._front.drain(max(0.0, left), timeout_response=Response(504))
        await asyncio.sleep(0.05)
        _log.info("stopped", event="process.stopped")

    def _show_gauges(self, logs: LineHandler | None) -> None:
        watch("toucanpin.cells.owned", "1 for each cell of this host", "cell", self._read_cells)
        watch("toucanpin.tasks.waiting", "Tasks that wait here", "priority", self._read_waiting)
        watch(
            "toucanpin.tasks.evacuating",
            "Tasks that still run in evacuated data centres",
            "data_centre",
            self._read_evacuated,
        )
        watch("toucanpin.configuration", "Version and age in s", "what", self._age)
        watch("toucanpin.processor", "Processor time in s", "what", _read_processor)
        if logs is not None:
            watch("toucanpin.log.dropped", "Lines", "why", lambda: {"limit": logs.dropped})

    def _read_cells(self) -> dict[str, float]:
        return dict.fromkeys(self.owned_cells(), 1.0)

    def _read_waiting(self) -> dict[str, float]:
        counts: Counter[str] = Counter()
        for contender in self._contenders.values():
            counts.update(contender.count_waiting())
        return dict(counts)

    def _read_evacuated(self) -> dict[str, float]:
        counts: Counter[str] = Counter()
        for contender in self._contenders.values():
            counts.update(contender.count_evacuated())
        return dict(counts)

    def _age(self) -> dict[str, float]:
        current = self._configuration.current
        age = steady_time() - self._configuration.confirmed
        return {"version": current.version if current else 0, "age": age}

    async def _contend(self) -> None:
        """Contend for the cell of each service that the configuration names."""
        while True:
            current = self._configuration.current
            for service in current.services if current else ():
                if service not in self._contenders:
                    contender = Contender(
                        self._store,
                        self._clocks,
                        self._settings,
                        self._advisers,
                        self._peers,
                        self._life,
                        service,
                        partial(self._is_guarded, service),
                        lambda: self._configuration.evacuated,
                    )
                    self._contenders[service] = contender
                    self._spawn(contender.run)
                    self._spawn(contender.follow_handovers)
            if current is not None:
                self._front.max_headers = current.max_headers
                self._front.max_body = current.max_body
            await asyncio.sleep(0.1)

    def _read_backlog(self, service: str) -> Mapping[int, int]:
        """Return by priority for how long new tasks of a service will wait for its owner, in ms."""
        contender = self._contenders.get(service)
        return contender.read_backlog() if contender is not None else {}

    def _is_guarded(self, service: str) -> bool:
        """Tell whether a service's workers refuse what doesn't fit, as far as is known."""
        current = self._configuration.current
        known = current.services.get(service) if current is not None else None
        return known is not None and known.guarded

    async def _answer_probe(self, request: Request) -> Response:
        age = steady_time() - self._configuration.confirmed
        ready = (
            not self._leaving and self._configuration.current is not None and age < UNREADY_AFTER
        )
        return Response(200 if ready else 503)

    def _spawn(self, part: Callable[[], Coroutine[Any, Any, None]]) -> None:
        task = asyncio.ensure_future(_keep_running(part))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _read_processor() -> dict[str, float]:
    return {"process": time.process_time()}


async def _measure_lag() -> None:
    """Record by how much the loop's turns come late."""
    while True:
        due = time.monotonic() + LAG_PERIOD
        await asyncio.sleep(LAG_PERIOD)
        LAG.record(max(0.0, time.monotonic() - due))


async def _keep_running(part: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """
    Run a part of the process, and again whenever it fails.

    A process that goes on without one of its parts looks alive to the balancer and answers nothing
    right; one message that can't be read would do that to every host at the same moment.
    """
    while True:
        try:
            await part()
            return
        except Exception as error:
            where = traceback.format_exception(error)
            _log.error("part failed", event="process.fault", reason=repr(error), where=where)
        await asyncio.sleep(AFTER_FAULT)
