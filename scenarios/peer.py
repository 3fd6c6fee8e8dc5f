"""
Peers
=====

A process of the system with its view of the members and the bundle in force in it: membership and
the spread of bundles, driven over the faulty network.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import Any

from expression import Result

from scenarios.actors import Platform, Process, SimulatedWorker
from scenarios.evidence import BundleInForce, Evidence
from scenarios.kernel import Kernel, Network, Reply
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

__all__ = ["PeerProcess", "Surroundings"]

ASK_PERIOD = 0.1
PAUSED = 1.0
HOST_LIST_PERIOD = 1.0
TIMING = Timing(interval=0.2)
THERE = (Standing.ALIVE, Standing.SUSPECT)


@dataclass(slots=True)
class Surroundings:
    """Hold what the actors of a world share; the maps give whatever bears a name now."""

    kernel: Kernel
    network: Network
    platform: Platform
    evidence: Evidence
    ring: KeyRing
    workers: dict[str, SimulatedWorker] = field(default_factory=dict)
    peers: dict[str, PeerProcess] = field(default_factory=dict)
    instances: dict[str, Any] = field(default_factory=dict)


class PeerProcess(Process):
    """Live one life of a process of the system; ``site`` is where its host stands."""

    def __init__(self, around: Surroundings, name: str, life: int, site: str) -> None:
        super().__init__(around.kernel, around.network, name, life)
        self.around = around
        self.site = site
        self.hosts: tuple[ListedHost, ...] = ()
        role = name.partition("/")[2]
        own = Member(name, self.host, site, role, make_incarnation(life), name, 1)
        self.view = View(own, TIMING, self.read_clock())
        self.spread = BundleReplica(name, around.ring, ReplicationTiming(), self.read_clock())
        self._sent = 0
        self._tokens = 0
        self._in_force = 0
        self._seen_at = around.kernel.now
        self.after(around.kernel.random.uniform(0.0, TIMING.interval), self._beat)
        self._spread_on()
        self._list_hosts()

    def members(self) -> tuple[Member, ...]:
        """Return every known member, this process included."""
        return self.view.members()

    def current(self) -> Bundle | None:
        """Return the bundle in force, None while this process must not serve by it."""
        reached, known = self.view.count_reachable()
        ready = self.spread.readiness(reached, known, self.read_clock()).ready
        return self.spread.bundle if ready else None

    def shut_down(self) -> None:
        """Say that this process leaves."""
        self.view.leave()
        self._send_round()

    def end(self, graceful: bool) -> None:
        """Be gone."""
        if graceful:
            self.recorder.record("process.stopped", {})
        self.alive = False
        self.network.remove(self.name)
        self.around.evidence.lives_ended[self.name, self.life] = self.kernel.now

    def accept(self, submission: Submission, reply: Reply) -> None:
        """Decide on a submitted bundle and hand it on if it was accepted."""

        def finish(outcome: acceptance.Outcome) -> None:
            """Put an accepted bundle in force here."""
            match outcome:
                case Accepted(record):
                    self.spread.offer(record, Source.ACCEPTANCE, self.read_clock())
                    self._see_bundle("acceptance")
            reply(outcome)

        decision = accept_bundle(self.around.ring, submission, self._name_token)
        self.drive(decision, self._perform_acceptance, finish)

    def _name_token(self) -> str:
        """Name one transaction."""
        self._tokens += 1
        return f"{self.name}/{self.life}/bundle/{self._tokens}"

    def _perform_acceptance(self, action: acceptance.Action, reply: Reply) -> None:
        """Carry out an action of the acceptance."""
        match action:
            case acceptance.Read(key):
                self.around.platform.read(self, key, reply)
            case acceptance.Commit(transaction):
                self.around.platform.commit(self, transaction, reply)
            case acceptance.Pause(seconds):
                self.after(seconds, partial(reply, None))

    def _beat(self) -> None:
        """Age the view and tell the others that this process is there."""
        for change in self.view.tick(self.read_clock()):
            self._note(change)
        self._send_round()
        self.after(TIMING.interval, self._beat)

    def _send_round(self) -> None:
        """Send one round of heartbeats, also to processes never heard of."""
        names = {member.name for member in self.view.list_targets()}
        known = {member.name for member in self.members()}
        names |= self.around.peers.keys() - known
        beat = self.view.make_beat(0)
        for name in sorted(names):
            self._send(name, beat.records)

    def _send(self, name: str, records: tuple[Record, ...]) -> None:
        """Send one heartbeat."""
        self._sent += 1
        beat = Beat(Record(self.view.own, self._sent), self.view.digest(), records)
        age = self.spread.confirmed_age(self.read_clock())
        self.network.tell(self.name, name, partial(self._deliver, name, beat, age))

    def _deliver(self, name: str, beat: Beat, age: float | None) -> None:
        """Let whatever bears a name now take a heartbeat."""
        self.around.peers[name].receive(beat, age)

    def receive(self, beat: Beat, age: float | None) -> None:
        """Take a heartbeat and answer if its sender's view differs."""
        now = self.read_clock()
        for change in self.view.receive(beat, now):
            self._note(change)
        sender = beat.sender.member
        if self.view.needs_answer(beat, now):
            self._send(sender.name, self.view.list_answers(sender.name))
        if sender.name != self.name:
            self.spread.receive_heartbeat(sender.bundle, age, now)

    def _note(self, change: Any) -> None:
        """Put a change of the view on the time line."""
        self.recorder.record(
            f"member.{change.kind.value}", {"host": change.member.host}, change.member.name
        )

    def _spread_on(self) -> None:
        """Ask for what is in force, again and again."""
        peers = (m for m in self.members()[1:] if m.standing in THERE)
        asked = tuple(Peer(member.name, member.bundle) for member in peers)
        for ask in self.spread.plan_actions(asked, self.read_clock()):
            self._ask(ask)
        self._see_bundle("readiness")
        self.after(ASK_PERIOD, self._spread_on)

    def _ask(self, ask: ReplicationAction) -> None:
        """Carry out what the spread asks for."""
        match ask:
            case ReadTable(after):
                take = partial(self._take_rows, self.read_clock())
                self.around.platform.scan(self, CURRENT_KEY, after, take)
            case PullFrom(peer, above):
                self.call(peer, partial(self._give, peer, above), self._take_pulled)
            case PushTo(peer, record):
                self.call(peer, partial(self._hand, peer, record), lambda outcome: None)

    def _take_rows(self, asked_at: float, found: Result) -> None:
        """Take the table's answer."""
        if found.is_ok():
            self.spread.receive_rows(found.ok, asked_at, self.read_clock())
        else:
            self.spread.note_failed_read(self.read_clock())
        self._see_bundle("table")

    def _give(self, peer: str, above: int) -> BundleRecord | None:
        """Let a peer give its bundle if it is newer."""
        record = self.around.peers[peer].spread.record
        return record if record is not None and record.version > above else None

    def _take_pulled(self, outcome: object) -> None:
        """Take what a peer gave."""
        match outcome:
            case BundleRecord():
                self.spread.offer(outcome, Source.PEER, self.read_clock())
                self._see_bundle("peer")
            case _:
                self.spread.note_failed_pull(self.read_clock())

    def _hand(self, peer: str, record: BundleRecord) -> None:
        """Let a peer take a bundle."""
        target = self.around.peers[peer]
        target.spread.offer(record, Source.PEER, target.read_clock())
        target._see_bundle("push")

    def _see_bundle(self, source: str) -> None:
        """Stamp heartbeats with the version in force and note when one comes into force."""
        self.view.set_bundle(self.spread.version)
        bundle = self.current()
        version = 0 if bundle is None else bundle.version
        if self.kernel.now - self._seen_at > PAUSED:
            # While it was paused nothing was served by any bundle; what counts is what it wakes to.
            self._note_force(0, self._seen_at)
            self._in_force = 0
        self._seen_at = self.kernel.now
        if version == self._in_force:
            return
        self._in_force = version
        kind = "bundle.in-force" if version else "bundle.withheld"
        self.recorder.record(kind, {"bundle": str(version)} if version else {}, source)
        self._note_force(version, self.kernel.now)

    def _note_force(self, version: int, time: float) -> None:
        """Note for the judge what is in force from an instant on."""
        record = self.spread.record
        digest = record.digest if version and record is not None else ""
        force = BundleInForce(self.name, self.life, version, time, digest)
        self.around.evidence.bundles.append(force)

    def _list_hosts(self) -> None:
        """Read the host list again and again."""

        def keep(found: Result) -> None:
            """Keep the newest list that was read."""
            self.hosts = found.ok if found.is_ok() else self.hosts
            self.after(HOST_LIST_PERIOD, self._list_hosts)

        self.around.platform.list_hosts(self, keep)
