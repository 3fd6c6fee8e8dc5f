"""
Composition root
================

Wire the components of an entry host's process, and run them until it is stopped.
"""

from __future__ import annotations

import asyncio
import secrets
import signal
import time
import traceback
from collections.abc import Callable, Coroutine, Mapping
from functools import partial
from typing import Any

import logbook

from toucanpin.clients import Budget, Intake, divide_limits
from toucanpin.entry.advice_dispatcher import AdviceDispatcher
from toucanpin.entry.candidate import Candidate
from toucanpin.entry.client_log import log_refused
from toucanpin.entry.clocks import Clocks, steady_time
from toucanpin.entry.configuration import ConfigurationWatch
from toucanpin.entry.gauges import register_gauges
from toucanpin.entry.logs import LineHandler
from toucanpin.entry.metrics import LOOP_LAG, MetricsServer
from toucanpin.entry.peers import Peers
from toucanpin.entry.relay import RelayServer
from toucanpin.entry.relayed_store import RelayedStore
from toucanpin.entry.requests import USED_HEADERS, RequestHandler
from toucanpin.http import Client, Request, Response, Server
from toucanpin.platform.store import Store
from toucanpin.scheduling.features import select_features
from toucanpin.scheduling.forecast import KnownForecast
from toucanpin.scheduling.settings import HostSettings

__all__ = ["EntryProcess"]

_log = logbook.Logger("entry")
DEFAULT_MAX_HEADER_BYTES = 16_384  # until a configuration is applied
DEFAULT_MAX_BODY_BYTES = 262_144  # until a configuration is applied
MAX_READY_AGE_S = 2.5  # without the table, after which the host isn't ready for new connections
# The load balancer probes every second and needs two failures.  Connections that it opens until
# then are still served.
LINGER_TIME_S = 2.6
LAG_PERIOD_S = 0.25  # between measurements of the event loop's lag
RESTART_DELAY_S = 0.3  # before a component that failed is started again
EXIT_MARGIN_S = 1.2  # requests are answered this long before the platform kills the process


class EntryProcess:
    """Process of one entry host, with all of its components."""

    def __init__(
        self,
        settings: HostSettings,
        metrics: tuple[int, str] | None = None,
        logs: LineHandler | None = None,
    ) -> None:
        self._settings = settings
        self._incarnation = secrets.token_hex(6)
        direct = Client(settings.store)
        relayed = RelayedStore(direct, settings.name)
        self._store = Store(relayed)
        self._peers = Peers(self._store, settings)
        relayed.use_peers(self._peers)
        advice = Client(settings.advice) if settings.advice else None
        limits = divide_limits(settings.memory_mb, settings.descriptors)
        intake = Intake()
        self._relay = RelayServer(
            relayed, direct, self._peers, settings.name, advice, limits.peers, intake
        )
        self._advice_dispatcher = AdviceDispatcher(settings.name, advice, self._peers)
        self._clocks = Clocks(self._store)
        self._clocks.offsets = self._peers.wall_offsets
        self._configuration = ConfigurationWatch(self._store)
        admission = select_features(settings.bounds).admission_control
        self._requests = RequestHandler(
            self._store,
            self._configuration,
            self._clocks,
            self._read_backlog,
            self._read_forecast if admission else None,
        )
        self._front = Server(
            self._requests.handle,
            DEFAULT_MAX_HEADER_BYTES,
            DEFAULT_MAX_BODY_BYTES,
            limits.front,
            intake,
            USED_HEADERS,
        )
        self._readiness = Server(
            self._answer_probe,
            DEFAULT_MAX_HEADER_BYTES,
            DEFAULT_MAX_BODY_BYTES,
            limits.readiness,
            intake,
            frozenset(),
        )
        self._candidates: dict[str, Candidate] = {}
        self._tasks: set[asyncio.Task] = set()
        self._shutting_down = False
        self._metrics: MetricsServer | None = None
        if metrics is not None:
            port, path = metrics
            self._metrics = MetricsServer(
                f"{settings.address}:{port}", path, limits.metrics, intake
            )
        self._budgets = self._list_budgets()
        if metrics is not None:
            register_gauges(self._candidates, self._configuration, self._budgets, logs)
        if logs is not None:
            logs.clock = lambda: self._clocks.now().table

    async def run(self) -> None:
        """Run until SIGTERM, then shut down."""
        ending = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, ending.set)
        await self.start()
        await ending.wait()
        await self.shut_down()

    async def start(self) -> None:
        """Start to listen, and start all components."""
        await self._front.listen(self._settings.front)
        await self._readiness.listen(self._settings.readiness)
        if self._settings.inner_port:
            await self._relay.listen(self._settings.address, self._settings.inner_port)
            self._spawn(self._peers.run)
        self._spawn(self._configuration.run)
        self._spawn(self._run_candidates)
        self._spawn(partial(log_refused, self._budgets))
        if self._metrics is not None:
            self._spawn(self._metrics.run)
            self._spawn(_measure_lag)
        _log.info("started", event="process.started", life=self._incarnation)

    def owned_cells(self) -> tuple[str, ...]:
        """Return the cells that this host owns."""
        return tuple(cell for cell, it in self._candidates.items() if it.owns)

    def has_peers(self) -> bool:
        """Return whether this host could reach the store through a peer."""
        return bool(self._peers.secret) and bool(self._peers.list_live())

    async def abort(self) -> None:
        """Stop at once, as a kill would; used where the process is embedded."""
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
        """Give up owned cells, answer the requests that were read, and close all connections."""
        self._shutting_down = True
        begun = time.monotonic()
        _log.info("draining", event="process.draining")
        self._front.stop_keeping_alive()
        for candidate in self._candidates.values():
            await candidate.resign()
        await asyncio.sleep(LINGER_TIME_S)
        left = self._settings.bounds.shutdown_time - EXIT_MARGIN_S - (time.monotonic() - begun)
        # Callers may wait for longer than this process has left, above all in an outage of the
        # store.  Their requests may have taken effect, so 504 is the only correct answer to all of
        # them.
        await self._front.drain(max(0.0, left), timeout_response=Response(504))
        await asyncio.sleep(0.05)
        _log.info("stopped", event="process.stopped")

    def _list_budgets(self) -> dict[str, Budget]:
        """Return what the clients of each listener hold."""
        budgets = {
            "front": self._front.budget,
            "readiness": self._readiness.budget,
            "peers": self._relay.budget,
        }
        if self._metrics is not None:
            budgets["metrics"] = self._metrics.budget
        return budgets

    async def _run_candidates(self) -> None:
        """Run a candidate for the cell of each service in the configuration."""
        while True:
            current = self._configuration.current
            for service in current.services if current else ():
                if service not in self._candidates:
                    candidate = Candidate(
                        self._store,
                        self._clocks,
                        self._settings,
                        self._advice_dispatcher,
                        self._peers,
                        self._incarnation,
                        service,
                        partial(self._enforces_limits, service),
                        lambda: self._configuration.evacuated,
                    )
                    self._candidates[service] = candidate
                    self._spawn(candidate.run)
                    self._spawn(candidate.follow_handovers)
            if current is not None:
                self._front.limit_requests(current.max_headers, current.max_body)
            await asyncio.sleep(0.1)

    def _read_backlog(self, service: str) -> Mapping[int, int]:
        """Return the estimated waiting time of a service's new tasks by priority, in ms."""
        candidate = self._candidates.get(service)
        return candidate.read_backlog() if candidate is not None else {}

    def _read_forecast(self, service: str) -> KnownForecast | None:
        """Return the forecast of a service's queues, None if there is none."""
        candidate = self._candidates.get(service)
        return candidate.read_forecast() if candidate is not None else None

    def _enforces_limits(self, service: str) -> bool:
        """Return whether a service's workers are known to refuse tasks that don't fit."""
        current = self._configuration.current
        known = current.services.get(service) if current is not None else None
        return known is not None and known.guarded

    async def _answer_probe(self, request: Request) -> Response:
        age = steady_time() - self._configuration.confirmed
        ready = (
            not self._shutting_down
            and self._configuration.current is not None
            and age < MAX_READY_AGE_S
        )
        return Response(200 if ready else 503)

    def _spawn(self, component: Callable[[], Coroutine[Any, Any, None]]) -> None:
        task = asyncio.ensure_future(_supervise(component))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _measure_lag() -> None:
    """Record the lag of the event loop."""
    while True:
        due = time.monotonic() + LAG_PERIOD_S
        await asyncio.sleep(LAG_PERIOD_S)
        LOOP_LAG.record(max(0.0, time.monotonic() - due))


async def _supervise(component: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """
    Run a component of the process, and start it again whenever it fails.

    A process that continues without one of its components would look healthy to the load balancer
    but fail its requests, and one malformed message could do that to all hosts at once.
    """
    while True:
        try:
            await component()
            return
        except Exception as error:
            where = traceback.format_exception(error)
            _log.error("component failed", event="process.fault", reason=repr(error), where=where)
        await asyncio.sleep(RESTART_DELAY_S)
