"""
Composition root
================

The one place that knows every part of a process and connects them.
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
from toucanpin.daemon.jobs_app import JobsApp
from toucanpin.daemon.metrics import Metrics
from toucanpin.daemon.operators import Operators, ProcessState, make_probe_apps
from toucanpin.daemon.page import Page, make_page_app, summarize_cells
from toucanpin.daemon.parts import Part, WsgiApp
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

MILLISECONDS = 1_000
CONTROL_ROLE = "control"
REQUEST_ROLE = "request"


class Daemon:
    """Own the parts of one process, in the order in which they start."""

    __slots__ = ("_metrics", "_parts")

    def __init__(self, parts: tuple[Part, ...], metrics: Metrics) -> None:
        """Take the parts in starting order."""
        self._parts = parts
        self._metrics = metrics

    def start(self) -> None:
        """Start every part."""
        for part in self._parts:
            part.start()

    def stop(self, grace: float) -> None:
        """Stop every part, the last started first, within ``grace`` seconds in all."""
        deadline = time.monotonic() + grace
        for part in reversed(self._parts):
            part.stop(max(0.1, deadline - time.monotonic()))
        self._metrics.stop()


def compose(settings: Settings, folder: Path) -> Daemon:
    """
    Build the parts of one process; files in the settings are relative to ``folder``.

    Raises
    ------
    SettingsError
        If a key, ring or operators' file can't be used.
    """
    return _Composition(settings, folder).build()


class _Composition:
    """Hold the parts while they are being connected."""

    def __init__(self, settings: Settings, folder: Path) -> None:
        """Build what every role needs."""
        self.settings = settings
        self.folder = folder
        process = settings.process
        self.name = f"{process.host}/{process.role}"
        incarnation = begin_incarnation(time.time())
        self.life = get_process_incarnation(incarnation)
        self.metrics = Metrics(process, settings.telemetry)
        self.recorder = Recorder(self.name, str(self.life), time.monotonic, time.time)
        self._connect_platform()
        self._join_members(incarnation)
        self.gossip.set_entry_hosts(self.hosts.entry_names)
        self.root = _read_ring(folder / settings.keys.ring_file)
        client = InnerClient(self.gossip.identity, self.peer_keys)
        self.bundles = BundleReplicator(self.gossip, self.table, client, self.root, self.recorder)
        term = settings.control.authority_ms / MILLISECONDS
        self.standstill = StandstillCalls(self.gossip, client, term)
        self.roles: list[Part] = []
        self.handlers: dict[type, Handler] = dict(self.bundles.handlers())

    def _connect_platform(self) -> None:
        """Build the adapters of the platform."""
        platform = self.settings.platform
        timeout = platform.timeout_ms / MILLISECONDS
        self.table = HttpTable(platform.table, self.name, timeout)
        self.objects = HttpObjectStore(platform.objects, self.name, timeout)
        listed = HttpHostList(platform.hosts, self.name, timeout)
        self.host_list = DrainedHosts(listed, self.table)
        self.hosts = HostListCache(self.host_list, platform.hosts_every_ms / MILLISECONDS)

    def _join_members(self, incarnation: int) -> None:
        """Build the membership."""
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
            Timing(interval=settings.peers.heartbeat_ms / MILLISECONDS),
            self.recorder,
            lambda: self.recorder.last_sequence,
            self._hear,
        )

    def _hear(self, envelope: Envelope) -> None:
        """Let what this process records next come after what the sender had recorded."""
        life = str(get_process_incarnation(envelope.incarnation))
        self.recorder.observe(Cause(envelope.sender, envelope.event, life))

    def build(self) -> Daemon:
        """Connect the parts of the role and return them in starting order."""
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
        operators = Operators(
            parse_endpoint(self.settings.listen.operators), self._guard(), self._find_tls()
        )
        self._measure()
        parts: tuple[Part, ...] = (
            streamer,
            operators,
            self.hosts,
            server,
            self.gossip,
            self.bundles,
            *self.roles,
        )
        return Daemon(parts, self.metrics)

    def _build_front(self) -> None:
        """Build the request role."""
        settings = self.settings
        callers: Endpoint = parse_endpoint(settings.listen.callers or "")
        jobs = JobsApp(self.table, self.objects, self.hosts.all, self.bundles)
        front = Front(
            FrontSettings(
                self.name,
                str(self.life),
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
        """Build the control role."""
        times = self.settings.control
        control = Control(
            self.name,
            self.life,
            self.table,
            HttpWorkers(self.name, self.settings.platform.timeout_ms / MILLISECONDS),
            self.hosts,
            self.gossip,
            self.bundles,
            self.recorder,
            self.standstill.ask_peers,
            LeaseTerms(
                lease=times.lease_ms / MILLISECONDS,
                authority=times.authority_ms / MILLISECONDS,
                max_authority=times.hold_ms / MILLISECONDS,
            ),
            turn_period=times.turn_ms / MILLISECONDS,
        )
        self.handlers[Standstill] = self.standstill.make_handler(control.answer_standstill)
        self.front = None
        self.control = control
        self.roles.append(control)

    def _find_tls(self) -> Tls:
        """Return the files for operators' TLS, found from the settings' folder."""
        tls = self.settings.tls
        if tls.certificate is None or tls.key is None:
            return tls
        return Tls(certificate=str(self.folder / tls.certificate), key=str(self.folder / tls.key))

    def _guard(self) -> dict[str, WsgiApp]:
        """Mount the operators' applications, behind their tokens if any are set."""
        apps = {
            "/": make_page_app(self._read_page),
            **make_probe_apps(self._find_unready, self._show_state),
            **make_bundle_apps(self.bundles, self.gossip, self.table, self.root, self.recorder),
            **make_view_apps(self.gossip, self.hosts),
            DRAIN_PATH: make_drain_app(self.host_list, self.hosts, self.table, self.recorder),
            "/metrics": self.metrics.serve,
            "/v1/timeline": make_timeline_app(self.recorder),
        }
        if self.settings.access.operators_file is None:
            return apps
        operators = read_operators(self.folder / self.settings.access.operators_file)
        return {"/": guard_app(mount_apps(apps), operators, self.recorder)}

    def _find_unready(self) -> tuple[str, ...]:
        """Return why this process does not take work, empty if it does."""
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

    def _show_state(self) -> ProcessState:
        """Return the state of this process."""
        process = self.settings.process
        return ProcessState(
            self.name,
            process.site,
            process.role,
            str(self.life),
            __version__,
            self.gossip.own.bundle,
            self._find_unready(),
        )

    def _read_page(self) -> Page:
        """Return what the status page shows."""
        cells = (
            None
            if self.control is None
            else summarize_cells(tuple(self.control.state.cells.values()))
        )
        return Page(self._show_state(), self.gossip.members(), self.hosts.all(), cells)

    def _measure(self) -> None:
        """Register the gauges that read the parts when they are asked."""
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
        """Observe the requests by outcome, none in the control role."""
        if self.front is None:
            return []
        counts = dict(self.front.counts)
        return [Observation(count, {"outcome": name}) for name, count in counts.items()]


def _read_ring(path: Path) -> KeyRing:
    """Read the key ring that is trusted at the start."""
    result = parse_ring(path.read_text(encoding="utf-8"), str(path))
    if result.is_error():
        raise SettingsError((f"{path}: {result.error}",))
    return result.ok
