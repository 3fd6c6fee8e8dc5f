"""
Peer processes
==============

The common part of control and request processes: membership and the replication of bundles over the
simulated network.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import Any

from expression import Result

from scenarios.kernel import Kernel, Network, Reply
from scenarios.observations import BundleInForce, Observations
from scenarios.simulation import Platform, Process, SimulatedWorker
from toucanpin.bundles import acceptance
from toucanpin.bundles.acceptance import Accepted, Submission, accept_bundle
from toucanpin.bundles.actions import (
    Peer,
    PullFrom,
    PushTo,
    ReadTable,
    ReplicationAction,
    ReplicationTiming,
    Source,
)
from toucanpin.bundles.record import CURRENT_KEY, BundleRecord
from toucanpin.bundles.replication import BundleReplica
from toucanpin.bundles.schema import Bundle
from toucanpin.bundles.signature import KeyRing
from toucanpin.membership.beat import Beat, Record, Timing
from toucanpin.membership.incarnation import make_incarnation
from toucanpin.membership.member import Member, Standing
from toucanpin.membership.view import View
from toucanpin.platform.ports import ListedHost

__all__ = ["PeerProcess", "SimulationContext"]

REPLICATION_PERIOD_S = 0.1
PAUSE_THRESHOLD_S = 1.0
HOST_LIST_PERIOD_S = 1.0
TIMING = Timing(interval=0.2)
PRESENT = (Standing.ALIVE, Standing.SUSPECT)


@dataclass(slots=True)
class SimulationContext:
    """The state that simulated processes share; the maps hold the current process for each name."""

    kernel: Kernel
    network: Network
    platform: Platform
    observations: Observations
    ring: KeyRing
    workers: dict[str, SimulatedWorker] = field(default_factory=dict)
    peers: dict[str, PeerProcess] = field(default_factory=dict)
    instances: dict[str, Any] = field(default_factory=dict)


class PeerProcess(Process):
    """One incarnation of a process of the system; ``site`` is the site of its host."""

    def __init__(self, context: SimulationContext, name: str, incarnation: int, site: str) -> None:
        super().__init__(context.kernel, context.network, name, incarnation)
        self.context = context
        self.site = site
        self.hosts: tuple[ListedHost, ...] = ()
        role = name.partition("/")[2]
        own = Member(name, self.host, site, role, make_incarnation(incarnation), name, 1)
        self.view = View(own, TIMING, self.read_clock())
        self.replica = BundleReplica(name, context.ring, ReplicationTiming(), self.read_clock())
        self._sequence = 0
        self._token_count = 0
        self._version_in_force = 0
        self._updated_at = context.kernel.now
        self.after(context.kernel.random.uniform(0.0, TIMING.interval), self._send_heartbeats)
        self._replicate()
        self._read_host_list()

    def members(self) -> tuple[Member, ...]:
        """Return every known member, this process included."""
        return self.view.members()

    def current(self) -> Bundle | None:
        """Return the bundle in force, None while this process must not use it."""
        reached, known = self.view.count_reachable()
        ready = self.replica.readiness(reached, known, self.read_clock()).ready
        return self.replica.bundle if ready else None

    def shut_down(self) -> None:
        """Announce that this process leaves."""
        self.view.leave()
        self._send_round()

    def end(self, graceful: bool) -> None:
        """End this incarnation."""
        if graceful:
            self.recorder.record("process.stopped", {})
        self.alive = False
        self.network.remove(self.name)
        self.context.observations.ended_incarnations[self.name, self.incarnation] = self.kernel.now

    def accept(self, submission: Submission, reply: Reply) -> None:
        """Decide on a submitted bundle and replicate it if it was accepted."""

        def finish(outcome: acceptance.Outcome) -> None:
            """Bring an accepted bundle into force in this process."""
            match outcome:
                case Accepted(record):
                    self.replica.offer(record, Source.ACCEPTANCE, self.read_clock())
                    self._update_bundle("acceptance")
            reply(outcome)

        decision = accept_bundle(self.context.ring, submission, self._make_token)
        self.drive(decision, self._perform_acceptance, finish)

    def _make_token(self) -> str:
        """Return a token for a transaction."""
        self._token_count += 1
        return f"{self.name}/{self.incarnation}/bundle/{self._token_count}"

    def _perform_acceptance(self, action: acceptance.Action, reply: Reply) -> None:
        """Perform an action of the acceptance."""
        match action:
            case acceptance.Read(key):
                self.context.platform.read(self, key, reply)
            case acceptance.Commit(transaction):
                self.context.platform.commit(self, transaction, reply)
            case acceptance.Pause(seconds):
                self.after(seconds, partial(reply, None))

    def _send_heartbeats(self) -> None:
        """Update the view, send heartbeats and schedule the next round."""
        for change in self.view.tick(self.read_clock()):
            self._record_change(change)
        self._send_round()
        self.after(TIMING.interval, self._send_heartbeats)

    def _send_round(self) -> None:
        """Send one round of heartbeats, also to processes that are not members yet."""
        names = {member.name for member in self.view.list_targets()}
        known = {member.name for member in self.members()}
        names |= self.context.peers.keys() - known
        beat = self.view.make_beat(0)
        for name in sorted(names):
            self._send(name, beat.records)

    def _send(self, name: str, records: tuple[Record, ...]) -> None:
        """Send one heartbeat."""
        self._sequence += 1
        beat = Beat(Record(self.view.own, self._sequence), self.view.digest(), records)
        age = self.replica.confirmed_age(self.read_clock())
        self.network.send(self.name, name, partial(self._deliver, name, beat, age))

    def _deliver(self, name: str, beat: Beat, age: float | None) -> None:
        """Deliver a heartbeat to the current process with a name."""
        self.context.peers[name].receive(beat, age)

    def receive(self, beat: Beat, age: float | None) -> None:
        """Handle a heartbeat, and answer it if the sender's view differs."""
        now = self.read_clock()
        for change in self.view.receive(beat, now):
            self._record_change(change)
        sender = beat.sender.member
        if self.view.needs_answer(beat, now):
            self._send(sender.name, self.view.list_answers(sender.name))
        if sender.name != self.name:
            self.replica.receive_heartbeat(sender.bundle, age, now)

    def _record_change(self, change: Any) -> None:
        """Record a change of the view on the timeline."""
        self.recorder.record(
            f"member.{change.kind.value}", {"host": change.member.host}, change.member.name
        )

    def _replicate(self) -> None:
        """Perform the planned replication actions periodically."""
        peers = (m for m in self.members()[1:] if m.standing in PRESENT)
        targets = tuple(Peer(member.name, member.bundle) for member in peers)
        for action in self.replica.plan_actions(targets, self.read_clock()):
            self._perform_replication(action)
        self._update_bundle("readiness")
        self.after(REPLICATION_PERIOD_S, self._replicate)

    def _perform_replication(self, action: ReplicationAction) -> None:
        """Perform one replication action."""
        match action:
            case ReadTable(after):
                take = partial(self._handle_rows, self.read_clock())
                self.context.platform.scan(self, CURRENT_KEY, after, take)
            case PullFrom(peer, above):
                self.call(peer, partial(self._pull_from, peer, above), self._handle_pulled)
            case PushTo(peer, record):
                self.call(peer, partial(self._push_to, peer, record), lambda outcome: None)

    def _handle_rows(self, requested_at: float, found: Result) -> None:
        """Handle the rows read from the table."""
        if found.is_ok():
            self.replica.receive_rows(found.ok, requested_at, self.read_clock())
        else:
            self.replica.record_failed_read(self.read_clock())
        self._update_bundle("table")

    def _pull_from(self, peer: str, above: int) -> BundleRecord | None:
        """Return a peer's bundle if it is newer."""
        record = self.context.peers[peer].replica.record
        return record if record is not None and record.version > above else None

    def _handle_pulled(self, outcome: object) -> None:
        """Handle the answer to a pull."""
        match outcome:
            case BundleRecord():
                self.replica.offer(outcome, Source.PEER, self.read_clock())
                self._update_bundle("peer")
            case _:
                self.replica.record_failed_pull(self.read_clock())

    def _push_to(self, peer: str, record: BundleRecord) -> None:
        """Offer a bundle to a peer."""
        target = self.context.peers[peer]
        target.replica.offer(record, Source.PEER, target.read_clock())
        target._update_bundle("push")

    def _update_bundle(self, source: str) -> None:
        """Announce the version in force in heartbeats and record when it changes."""
        self.view.set_bundle(self.replica.version)
        bundle = self.current()
        version = 0 if bundle is None else bundle.version
        if self.kernel.now - self._updated_at > PAUSE_THRESHOLD_S:
            # A paused process uses no bundle; what counts is the version in force after the pause.
            self._record_bundle_in_force(0, self._updated_at)
            self._version_in_force = 0
        self._updated_at = self.kernel.now
        if version == self._version_in_force:
            return
        self._version_in_force = version
        kind = "bundle.in-force" if version else "bundle.withheld"
        self.recorder.record(kind, {"bundle": str(version)} if version else {}, source)
        self._record_bundle_in_force(version, self.kernel.now)

    def _record_bundle_in_force(self, version: int, time: float) -> None:
        """Record the version in force from a time on, for the evaluation."""
        record = self.replica.record
        digest = record.digest if version and record is not None else ""
        force = BundleInForce(self.name, self.incarnation, version, time, digest)
        self.context.observations.bundles.append(force)

    def _read_host_list(self) -> None:
        """Read the host list periodically."""

        def keep(found: Result) -> None:
            """Store the latest list that was read."""
            self.hosts = found.ok if found.is_ok() else self.hosts
            self.after(HOST_LIST_PERIOD_S, self._read_host_list)

        self.context.platform.list_hosts(self, keep)
