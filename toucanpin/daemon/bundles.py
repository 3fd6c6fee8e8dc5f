"""
Bundle replication of a process
===============================

Perform the actions of the bundle replica against the table and the peers, and provide the bundle
in force.
"""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import logbook
import msgspec
from expression import Result

from toucanpin.bundles.actions import (
    OfferResult,
    OfferStatus,
    Peer,
    PullFrom,
    PushTo,
    Readiness,
    ReadTable,
    ReplicationAction,
    ReplicationTiming,
    Source,
)
from toucanpin.bundles.record import CURRENT_KEY, BundleRecord, decode_record, encode_record
from toucanpin.bundles.replication import BundleReplica
from toucanpin.bundles.schema import Bundle
from toucanpin.bundles.signature import KeyRing
from toucanpin.daemon.gossip import Gossip
from toucanpin.daemon.interfaces import EventSink
from toucanpin.membership.incarnation import get_process_incarnation
from toucanpin.membership.member import Member, Standing
from toucanpin.platform.ports import Table
from toucanpin.timeline.event import Cause
from toucanpin.wire.client import InnerClient
from toucanpin.wire.messages import (
    UNCONFIRMED,
    Envelope,
    PullAnswer,
    PullBundle,
    PushAnswer,
    PushBundle,
    Received,
)
from toucanpin.wire.server import Handler

__all__ = ["BundleReplicator", "BundleStatus"]

CALL_TIMEOUT_S = 2.0
ROUND_PERIOD_S = 0.2
CALL_THREADS = 4
PUSH_THREADS = 12
_REACHABLE_STANDINGS = (Standing.ALIVE, Standing.SUSPECT)

_log = logbook.Logger("bundles")


class BundleStatus(msgspec.Struct, frozen=True):
    """Status of the bundle in one process; ``confirmed_age`` is in seconds."""

    process: str
    ready: bool
    reason: str
    version: int
    seen: int
    digest: str
    confirmed_age: float | None
    record: BundleRecord | None


class BundleReplicator:
    """Replicator of bundles and source of the one in force; safe to call from any thread."""

    def __init__(
        self,
        gossip: Gossip,
        table: Table,
        client: InnerClient,
        key_ring: KeyRing,
        events: EventSink | None = None,
        timing: ReplicationTiming | None = None,
    ) -> None:
        self._gossip = gossip
        self._table = table
        self._client = client
        self._events = events
        self._replica = BundleReplica(
            gossip.own.name, key_ring, timing or ReplicationTiming(), now=time.monotonic()
        )
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stopping = threading.Event()
        # Pushes have threads of their own: a dozen frozen peers, which accept a connection and then
        # send nothing, must not keep this process from reading the table.
        self._call_pool = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="bundle-call")
        self._push_pool = ThreadPoolExecutor(PUSH_THREADS, thread_name_prefix="bundle-push")
        self._thread: threading.Thread | None = None
        gossip.get_confirmed_age_ms = self._get_confirmed_age_ms
        gossip.add_listener(self._receive_heartbeat)

    def current(self) -> Bundle | None:
        """
        Return the bundle in force, None while this process must not serve requests with it.

        Readiness is checked at each call: a process that was frozen for minutes must not serve even
        one request with an outdated bundle.
        """
        with self._lock:
            return self._replica.bundle if self._compute_readiness().ready else None

    def record(self) -> BundleRecord | None:
        """Return the record of the bundle in force, None while it is unknown."""
        with self._lock:
            return self._replica.record

    def readiness(self) -> Readiness:
        """Return whether this process may serve requests with its bundle, and why not."""
        with self._lock:
            return self._compute_readiness()

    def status(self) -> BundleStatus:
        """Return the status that operators are shown."""
        with self._lock:
            readiness = self._compute_readiness()
            record = self._replica.record
            age = self._replica.confirmed_age(time.monotonic())
            return BundleStatus(
                self._gossip.own.name,
                readiness.ready,
                readiness.reason,
                self._replica.version,
                self._replica.highest_seen,
                "" if record is None else record.digest,
                age,
                record,
            )

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers for the server of the inner protocol, by type of message."""
        return {PushBundle: self._handle_push, PullBundle: self._handle_pull}

    def apply_accepted(self, record: BundleRecord) -> None:
        """Apply a bundle that was accepted through this process, and push it to the peers."""
        self._offer(record, Source.ACCEPTANCE)
        self._wake.set()

    def start(self) -> None:
        """Start the thread that replicates bundles."""
        self._thread = threading.Thread(target=self._run, name="bundles", daemon=True)
        self._thread.start()

    def stop(self, grace: float) -> None:
        """Stop the thread within ``grace`` seconds and cancel the calls that have not started."""
        self._stopping.set()
        self._wake.set()
        if self._thread is not None:
            self._thread.join(grace)
        self._call_pool.shutdown(wait=False, cancel_futures=True)
        self._push_pool.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wake.clear()
            # An exception in one round must not end this thread: the process would keep serving
            # without reading the table or asking its peers until its bundle is too old.
            try:
                self._run_round()
            except Exception:
                _log.exception("replication round failed")
            self._wake.wait(ROUND_PERIOD_S)

    def _run_round(self) -> None:
        peers = tuple(_to_peer(m) for m in self._list_reachable_members())
        with self._lock:
            actions = self._replica.plan_actions(peers, time.monotonic())
            # Also computed here, so that timeouts are noticed while no request arrives.
            self._compute_readiness()
            version = self._replica.version
        self._gossip.announce_bundle(version)
        for action in actions:
            pool = self._push_pool if isinstance(action, PushTo) else self._call_pool
            pool.submit(self._perform, action)

    def _list_reachable_members(self) -> tuple[Member, ...]:
        return tuple(m for m in self._gossip.members()[1:] if m.standing in _REACHABLE_STANDINGS)

    def _perform(self, action: ReplicationAction) -> None:
        try:
            match action:
                case ReadTable(after):
                    self._read_table(after)
                case PullFrom(peer, above):
                    self._pull(peer, above)
                case PushTo(peer, record):
                    self._push(peer, record)
        except Exception:
            _log.exception("{} failed", type(action).__name__)
        self._wake.set()

    def _read_table(self, after: int) -> None:
        started_at = time.monotonic()
        result = self._table.scan(CURRENT_KEY, after)
        now = time.monotonic()
        match result:
            case Result(tag="ok", ok=rows):
                with self._lock:
                    offer = self._replica.receive_rows(rows, started_at, now)
                self._report(offer, Source.TABLE)
            case Result(error=fault):
                _log.warning("bundle could not be read from the table: {}", fault)
                with self._lock:
                    self._replica.record_failed_read(now)

    def _pull(self, peer: str, above: int) -> None:
        received = self._call_pull(peer, above)
        match received and received.message:
            case PullAnswer(record=value) if received and value:
                record = _decode_peer_record(value, peer)
                if record is not None:
                    self._offer(record, Source.PEER, (_to_cause(received.envelope),))
                    return
        with self._lock:
            self._replica.record_failed_pull(time.monotonic())

    def _call_pull(self, peer: str, above: int) -> Received | None:
        member = self._find_member(peer)
        if member is None:
            return None
        match self._client.call(member, PullBundle(above), CALL_TIMEOUT_S):
            case Result(tag="ok", ok=received):
                return received
            case Result(error=fault):
                _log.warning("bundle pull failed: {}", fault.detail)
        return None

    def _push(self, peer: str, record: BundleRecord) -> None:
        member = self._find_member(peer)
        if member is None:
            return
        message = PushBundle(record.version, encode_record(record))
        match self._client.call(member, message, CALL_TIMEOUT_S):
            case Result(tag="error", error=fault):
                _log.warning("push of bundle {} failed: {}", record.version, fault.detail)

    def _find_member(self, name: str) -> Member | None:
        return next((m for m in self._gossip.members() if m.name == name), None)

    def _handle_push(self, envelope: Envelope, message: PushBundle) -> PushAnswer:
        record = _decode_peer_record(message.record, envelope.sender)
        if record is None:
            return PushAnswer(self._replica.version, False, "not a record of a bundle")
        offer = self._offer(record, Source.PEER, (_to_cause(envelope),))
        self._wake.set()
        return PushAnswer(self._replica.version, offer.status is OfferStatus.APPLIED, offer.detail)

    def _handle_pull(self, envelope: Envelope, message: PullBundle) -> PullAnswer:
        record = self.record()
        if record is None or record.version <= message.above:
            return PullAnswer(0 if record is None else record.version, b"")
        return PullAnswer(record.version, encode_record(record))

    def _receive_heartbeat(self, member: Member, confirmed_age: int) -> None:
        age = None if confirmed_age == UNCONFIRMED else confirmed_age / 1_000
        with self._lock:
            highest_seen = self._replica.highest_seen
            self._replica.receive_heartbeat(member.bundle, age, time.monotonic())
        if member.bundle > highest_seen:
            self._wake.set()

    def _offer(
        self, record: BundleRecord, source: Source, causes: tuple[Cause, ...] = ()
    ) -> OfferResult:
        with self._lock:
            offer = self._replica.offer(record, source, time.monotonic())
            version = self._replica.version
        self._gossip.announce_bundle(version)
        self._report(offer, source, causes)
        return offer

    def _report(self, offer: OfferResult, source: Source, causes: tuple[Cause, ...] = ()) -> None:
        match offer.status:
            case OfferStatus.REFUSED | OfferStatus.LOWER:
                _log.error("bundle from {} {}: {}", source.value, offer.status.value, offer.detail)
            case OfferStatus.APPLIED:
                version = str(self._replica.version)
                _log.notice("bundle {} is in force, from {}", version, source.value)
                if self._events is not None:
                    self._events.record(
                        "bundle.in-force", {"bundle": version}, source.value, causes
                    )

    def _compute_readiness(self) -> Readiness:
        reached, known = self._gossip.count_reachable()
        return self._replica.readiness(reached, known, time.monotonic())

    def _get_confirmed_age_ms(self) -> int:
        age = self._replica.confirmed_age(time.monotonic())
        return UNCONFIRMED if age is None else int(age * 1_000)


def _to_peer(member: Member) -> Peer:
    return Peer(member.name, member.bundle)


def _to_cause(envelope: Envelope) -> Cause:
    return Cause(
        envelope.sender, envelope.event, str(get_process_incarnation(envelope.incarnation))
    )


def _decode_peer_record(value: bytes, peer: str) -> BundleRecord | None:
    match decode_record(value):
        case Result(tag="ok", ok=record):
            return record
        case Result(error=error):
            _log.error("bundle from {} could not be decoded: {}", peer, error)
    return None
