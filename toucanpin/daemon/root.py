"""
Composition root
================

Build and connect all components of one process.
"""

from __future__ import annotations

import random
import time
from pathlib import Path

from opentelemetry.metrics import CallbackOptions, Observation

from toucanpin import __version__
from toucanpin.bundles.signature import KeyRing, parse_ring
from toucanpin.daemon.access import guard_app, read_operators
from toucanpin.daemon.bundle_apps import make_bundle_apps
from toucanpin.daemon.bundles import BundleReplicator
from toucanpin.daemon.control import Control
from toucanpin.daemon.drains import DRAIN_PATH, DrainedHosts, make_drain_app
from toucanpin.daemon.endpoint import Endpoint, parse_endpoint
from toucanpin.daemon.front import Front, FrontSettings
from toucanpin.daemon.gossip import Gossip
from toucanpin.daemon.hosts import HostListCache
from toucanpin.daemon.interfaces import Component, WsgiApp
from toucanpin.daemon.jobs_app import JobsApp
from toucanpin.daemon.metrics import Metrics
from toucanpin.daemon.operators import OperatorsInterface, ProcessState, make_probe_apps
from toucanpin.daemon.page import Page, make_page_app, summarize_cells
from toucanpin.daemon.settings import Settings, Tls
from toucanpin.daemon.standstill import StandstillCalls
from toucanpin.daemon.timeline import TimelineStreamer, make_timeline_app
from toucanpin.daemon.views import make_view_apps
from toucanpin.daemon.web import mount_apps
from toucanpin.exception import SettingsError
from toucanpin.membership.beat import Timing
from toucanpin.membership.incarnation import begin_incarnation, get_process_incarnation
from toucanpin.membership.member import Member
from toucanpin.placement.leases import LeaseTerms
from toucanpin.platform.http import HttpHostList, HttpObjectStore, HttpTable, HttpWorkers
from toucanpin.timeline.event import Cause
from toucanpin.timeline.recorder import Recorder
from toucanpin.wire.client import InnerClient
from toucanpin.wire.keys import load_peer_keys
from toucanpin.wire.messages import Envelope, Standstill
from toucanpin.wire.server import Handler, InnerServer

__all__ = ["Daemon", "compose"]

MS_PER_S = 1_000
CONTROL_ROLE = "control"
REQUEST_ROLE = "request"


class Daemon:
    """Parts of one process, started in order and stopped in reverse order."""

    __slots__ = ("_components", "_metrics")

    def __init__(self, components: tuple[Component, ...], metrics: Metrics) -> None:
        """Initialize with the components in the order in which they start."""
        self._components = components
        self._metrics = metrics

    def start(self) -> None:
        """Start every component."""
        for component in self._components:
            component.start()

    def stop(self, grace: float) -> None:
        """Stop all components in reverse order within ``grace`` seconds in total."""
        deadline = time.monotonic() + grace
        for component in reversed(self._components):
            component.stop(max(0.1, deadline - time.monotonic()))
        self._metrics.stop()


def compose(settings: Settings, folder: Path) -> Daemon:
    """
    Build the components of one process.

    Relative file names in the settings are resolved against ``folder``.

    Raises
    ------
    SettingsError
        If a key file, a key ring or the operators' file can't be used.
    """
    return _Composition(settings, folder).build()


class _Composition:
    """Builder of the components of one process."""

    def __init__(self, settings: Settings, folder: Path) -> None:
        """Build the components that every role needs."""
        self.settings = settings
        self.folder = folder
        process = settings.process
        self.name = f"{process.host}/{process.role}"
        incarnation = begin_incarnation(time.time())
        self.process_incarnation = get_process_incarnation(incarnation)
        self.metrics = Metrics(process, settings.telemetry)
        self.recorder = Recorder(
            self.name, str(self.process_incarnation), time.monotonic, time.time
        )
        self._build_platform()
        self._build_membership(incarnation)
        self.gossip.set_entry_hosts(self.hosts.entry_names)
        self.key_ring = _read_key_ring(folder / settings.keys.ring_file)
        client = InnerClient(self.gossip.identity, self.peer_keys)
        self.bundles = BundleReplicator(
            self.gossip, self.table, client, self.key_ring, self.recorder
        )
        term = settings.control.authority_ms / MS_PER_S
        self.standstill = StandstillCalls(self.gossip, client, term)
        self.roles: list[Component] = []
        self.handlers: dict[type, Handler] = dict(self.bundles.handlers())

    def _build_platform(self) -> None:
        """Build the clients of the platform's services."""
        platform = self.settings.platform
        timeout = platform.timeout_ms / MS_PER_S
        self.table = HttpTable(platform.table, self.name, timeout)
        self.objects = HttpObjectStore(platform.objects, self.name, timeout)
        platform_hosts = HttpHostList(platform.hosts, self.name, timeout)
        self.host_list = DrainedHosts(platform_hosts, self.table)
        self.hosts = HostListCache(self.host_list, platform.hosts_every_ms / MS_PER_S)

    def _build_membership(self, incarnation: int) -> None:
        """Build the membership gossip."""
        settings = self.settings
        inner = parse_endpoint(settings.listen.inner)
        self.peer_keys = load_peer_keys(self.folder / settings.peers.key_file)
        process = settings.process
        own = Member(
            self.name,
            process.host,
            process.site,
            process.role,
            incarnation,
            inner.address,
            inner.port,
        )
        seeds = (parse_endpoint(seed) for seed in settings.peers.seeds)
        self.gossip = Gossip(
            own,
            process.deployment,
            tuple((seed.address, seed.port) for seed in seeds),
            self.peer_keys,
            Timing(interval=settings.peers.heartbeat_ms / MS_PER_S),
            self.recorder,
            lambda: self.recorder.last_sequence,
            self._observe_message,
        )

    def _observe_message(self, envelope: Envelope) -> None:
        """Order the next events of this process after those that the sender had recorded."""
        incarnation = str(get_process_incarnation(envelope.incarnation))
        self.recorder.observe(Cause(envelope.sender, envelope.event, incarnation))

    def build(self) -> Daemon:
        """Build the role's components and return the daemon."""
        match self.settings.process.role:
            case "request":
                self._build_front()
            case _:
                self._build_control()
        inner = parse_endpoint(self.settings.listen.inner)
        server = InnerServer(
            inner.address, inner.port, self.gossip.identity, self.peer_keys, self.handlers
        )
        streamer = TimelineStreamer(self.recorder, self.objects, random.Random())
        operators = OperatorsInterface(
            parse_endpoint(self.settings.listen.operators),
            self._mount_operators_apps(),
            self._resolve_tls(),
        )
        self._register_gauges()
        components: tuple[Component, ...] = (
            streamer,
            operators,
            self.hosts,
            server,
            self.gossip,
            self.bundles,
            *self.roles,
        )
        return Daemon(components, self.metrics)

    def _build_front(self) -> None:
        """Build the front of the request role."""
        settings = self.settings
        callers: Endpoint = parse_endpoint(settings.listen.callers or "")
        jobs = JobsApp(self.table, self.objects, self.hosts.all, self.bundles)
        front = Front(
            FrontSettings(
                self.name,
                str(self.process_incarnation),
                settings.process.site,
                callers.address,
                callers.port,
                settings.requests.threads,
            ),
            self.bundles,
            self.hosts.all,
            self.gossip,
            self.table,
            self.recorder,
            {"/v1/jobs": jobs, "/v1/standing": jobs},
        )
        self.front: Front | None = front
        self.control: Control | None = None
        self.roles.append(front)

    def _build_control(self) -> None:
        """Build the controller of the control role."""
        control_settings = self.settings.control
        control = Control(
            self.name,
            self.process_incarnation,
            self.table,
            HttpWorkers(self.name, self.settings.platform.timeout_ms / MS_PER_S),
            self.hosts,
            self.gossip,
            self.bundles,
            self.recorder,
            self.standstill.ask_peers,
            LeaseTerms(
                lease=control_settings.lease_ms / MS_PER_S,
                authority=control_settings.authority_ms / MS_PER_S,
                max_authority=control_settings.hold_ms / MS_PER_S,
            ),
            turn_period=control_settings.turn_ms / MS_PER_S,
        )
        self.handlers[Standstill] = self.standstill.make_handler(control.answer_standstill)
        self.front = None
        self.control = control
        self.roles.append(control)

    def _resolve_tls(self) -> Tls:
        """Return the TLS files of the operators' HTTP, resolved against the settings' folder."""
        tls = self.settings.tls
        if tls.certificate is None or tls.key is None:
            return tls
        return Tls(certificate=str(self.folder / tls.certificate), key=str(self.folder / tls.key))

    def _mount_operators_apps(self) -> dict[str, WsgiApp]:
        """Return the operators' applications by path, guarded by tokens if operators are set."""
        apps = {
            "/": make_page_app(self._build_page),
            **make_probe_apps(self._list_unready_reasons, self._get_state),
            **make_bundle_apps(self.bundles, self.gossip, self.table, self.key_ring, self.recorder),
            **make_view_apps(self.gossip, self.hosts),
            DRAIN_PATH: make_drain_app(self.host_list, self.hosts, self.table, self.recorder),
            "/metrics": self.metrics.serve,
            "/v1/timeline": make_timeline_app(self.recorder),
        }
        if self.settings.access.operators_file is None:
            return apps
        operators = read_operators(self.folder / self.settings.access.operators_file)
        return {"/": guard_app(mount_apps(apps), operators, self.recorder)}

    def _list_unready_reasons(self) -> tuple[str, ...]:
        """Return the reasons why this process is not ready, empty if it is."""
        reasons = []
        readiness = self.bundles.readiness()
        if not readiness.ready:
            reasons.append(f"bundle: {readiness.reason}")
        if not self.hosts.is_known():
            reasons.append("hosts: the platform's list was not read yet")
        if self.front is not None and not self.front.ready:
            reasons.append("requests: no share of slots yet, or draining")
        if self.control is not None and not self.control.is_ready():
            reasons.append("control: no authority from the table")
        return tuple(reasons)

    def _get_state(self) -> ProcessState:
        """Return the state that operators are shown."""
        process = self.settings.process
        return ProcessState(
            self.name,
            process.site,
            process.role,
            str(self.process_incarnation),
            __version__,
            self.gossip.own.bundle,
            self._list_unready_reasons(),
        )

    def _build_page(self) -> Page:
        """Return the content of the status page."""
        cells = (
            None
            if self.control is None
            else summarize_cells(tuple(self.control.state.cells.values()))
        )
        return Page(self._get_state(), self.gossip.members(), self.hosts.all(), cells)

    def _register_gauges(self) -> None:
        """Register the instruments that read the components at each collection."""
        meter = self.metrics.meter
        meter.create_observable_gauge(
            "toucanpin.bundle.version",
            [lambda options: [Observation(self.gossip.own.bundle)]],
            description="version of the bundle in force",
        )
        meter.create_observable_gauge(
            "toucanpin.members",
            [lambda options: [Observation(len(self.gossip.members()))]],
            description="known processes of the system",
        )
        meter.create_observable_counter(
            "toucanpin.heartbeat.sent.bytes",
            [lambda options: [Observation(self.gossip.sent_bytes)]],
            unit="By",
            description="bytes of heartbeats sent",
        )
        meter.create_observable_counter(
            "toucanpin.requests",
            [self._count_requests],
            description="requests of callers by outcome",
        )

    def _count_requests(self, options: CallbackOptions) -> list[Observation]:
        """Return the number of requests by outcome, none in the control role."""
        if self.front is None:
            return []
        counts = dict(self.front.counts)
        return [Observation(count, {"outcome": name}) for name, count in counts.items()]


def _read_key_ring(path: Path) -> KeyRing:
    """Read the key ring that is trusted at start."""
    result = parse_ring(path.read_text(encoding="utf-8"), str(path))
    if result.is_error():
        raise SettingsError((f"{path}: {result.error}",))
    return result.ok
