"""
Bundles of a process
====================

Drive the spread of bundles with the table, the peers and a timer, and show what is in force.
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
from toucanpin.daemon.parts import EventSink
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

CALL_SECONDS = 2.0
ASK_SECONDS = 0.2
MAX_CALLS = 4
MAX_PUSHES = 12
_REACHED = (Standing.ALIVE, Standing.SUSPECT)

_log = logbook.Logger("bundles")


class BundleStatus(msgspec.Struct, frozen=True):
    """Show the bundle of one process; ``confirmed_age`` is in seconds."""

    process: str
    ready: bool
    reason: str
    version: int
    seen: int
    digest: str
    confirmed_age: float | None
    record: BundleRecord | None


class BundleReplicator:
    """Keep the bundle in force in this process; any thread may ask for it."""

    def __init__(
        self,
        gossip: Gossip,
        table: Table,
        client: InnerClient,
        root: KeyRing,
        events: EventSink | None = None,
        timing: ReplicationTiming | None = None,
    ) -> None:
        self._gossip = gossip
        self._table = table
        self._client = client
        self._events = events
        self._spread = BundleReplica(
            gossip.own.name, root, timing or ReplicationTiming(), now=time.monotonic()
        )
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stopping = threading.Event()
        # Pushes have threads of their own: a dozen frozen peers, each of which takes a connection
        # and then says nothing, must not keep this process from reading the table.
        self._calls = ThreadPoolExecutor(MAX_CALLS, thread_name_prefix="bundle-call")
        self._pushes = ThreadPoolExecutor(MAX_PUSHES, thread_name_prefix="bundle-push")
        self._thread: threading.Thread | None = None
        gossip.get_confirmed_age_ms = self._confirmed_milliseconds
        gossip.add_listener(self._hear)

    def current(self) -> Bundle | None:
        """
        Return the bundle in force, None while this process must not serve by it.

        The check is made at each call: a process that was frozen for minutes must not serve one
        more request by what it held before.
        """
        with self._lock:
            return self._spread.bundle if self._is_ready().ready else None

    def record(self) -> BundleRecord | None:
        """Return the record of the bundle in force, None while it isn't known."""
        with self._lock:
            return self._spread.record

    def readiness(self) -> Readiness:
        """Say whether this process may serve by the bundle that it holds."""
        with self._lock:
            return self._is_ready()

    def status(self) -> BundleStatus:
        """Show the bundle to operators."""
        with self._lock:
            readiness = self._is_ready()
            record = self._spread.record
            age = self._spread.confirmed_age(time.monotonic())
            return BundleStatus(
                self._gossip.own.name,
                readiness.ready,
                readiness.reason,
                self._spread.version,
                self._spread.highest_seen,
                "" if record is None else record.digest,
                age,
                record,
            )

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers of the inner protocol's server."""
        return {PushBundle: self._take_push, PullBundle: self._give}

    def apply_accepted(self, record: BundleRecord) -> None:
        """Put a bundle in force that was accepted through this process, and hand it on."""
        self._offer(record, Source.ACCEPTANCE)
        self._wake.set()

    def start(self) -> None:
        """Start to learn what is in force."""
        self._thread = threading.Thread(target=self._run, name="bundles", daemon=True)
        self._thread.start()

    def stop(self, grace: float) -> None:
        """Stop asking; calls in flight get ``grace`` seconds."""
        self._stopping.set()
        self._wake.set()
        if self._thread is not None:
            self._thread.join(grace)
        self._calls.shutdown(wait=False, cancel_futures=True)
        self._pushes.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wake.clear()
            # A fault in one round must not end this thread: the process would serve on without
            # asking anybody until the bundle's age stops it.
            try:
                self._ask_round()
            except Exception:
                _log.exception("round of questions failed")
            self._wake.wait(ASK_SECONDS)

    def _ask_round(self) -> None:
        peers = tuple(_to_peer(m) for m in self._others())
        with self._lock:
            asks = self._spread.plan_actions(peers, time.monotonic())
            # Also asked here, so that a time alone is noticed while no request comes in.
            self._is_ready()
            version = self._spread.version
        self._gossip.announce_bundle(version)
        for ask in asks:
            pool = self._pushes if isinstance(ask, PushTo) else self._calls
            pool.submit(self._perform, ask)

    def _others(self) -> tuple[Member, ...]:
        return tuple(m for m in self._gossip.members()[1:] if m.standing in _REACHED)

    def _perform(self, ask: ReplicationAction) -> None:
        try:
            match ask:
                case ReadTable(after):
                    self._read(after)
                case PullFrom(peer, above):
                    self._pull(peer, above)
                case PushTo(peer, record):
                    self._push(peer, record)
        except Exception:
            _log.exception("{} failed", type(ask).__name__)
        self._wake.set()

    def _read(self, after: int) -> None:
        asked_at = time.monotonic()
        result = self._table.scan(CURRENT_KEY, after)
        now = time.monotonic()
        match result:
            case Result(tag="ok", ok=rows):
                with self._lock:
                    offer = self._spread.receive_rows(rows, asked_at, now)
                self._report(offer, Source.TABLE)
            case Result(error=fault):
                _log.warning("bundle not read from the table: {}", fault)
                with self._lock:
                    self._spread.note_failed_read(now)

    def _pull(self, peer: str, above: int) -> None:
        received = self._fetch(peer, above)
        match received and received.message:
            case PullAnswer(record=value) if received and value:
                record = _decode(value, peer)
                if record is not None:
                    self._offer(record, Source.PEER, (_to_cause(received.envelope),))
                    return
        with self._lock:
            self._spread.note_failed_pull(time.monotonic())

    def _fetch(self, peer: str, above: int) -> Received | None:
        member = self._find(peer)
        if member is None:
            return None
        match self._client.call(member, PullBundle(above), CALL_SECONDS):
            case Result(tag="ok", ok=received):
                return received
            case Result(error=fault):
                _log.warning("bundle not pulled: {}", fault.detail)
        return None

    def _push(self, peer: str, record: BundleRecord) -> None:
        member = self._find(peer)
        if member is None:
            return
        message = PushBundle(record.version, encode_record(record))
        match self._client.call(member, message, CALL_SECONDS):
            case Result(tag="error", error=fault):
                _log.warning("bundle {} not pushed: {}", record.version, fault.detail)

    def _find(self, name: str) -> Member | None:
        return next((m for m in self._gossip.members() if m.name == name), None)

    def _take_push(self, envelope: Envelope, message: PushBundle) -> PushAnswer:
        record = _decode(message.record, envelope.sender)
        if record is None:
            return PushAnswer(self._spread.version, False, "not a record of a bundle")
        offer = self._offer(record, Source.PEER, (_to_cause(envelope),))
        self._wake.set()
        return PushAnswer(self._spread.version, offer.status is OfferStatus.APPLIED, offer.detail)

    def _give(self, envelope: Envelope, message: PullBundle) -> PullAnswer:
        record = self.record()
        if record is None or record.version <= message.above:
            return PullAnswer(0 if record is None else record.version, b"")
        return PullAnswer(record.version, encode_record(record))

    def _hear(self, member: Member, confirmed_age: int) -> None:
        age = None if confirmed_age == UNCONFIRMED else confirmed_age / 1_000
        with self._lock:
            seen = self._spread.highest_seen
            self._spread.receive_heartbeat(member.bundle, age, time.monotonic())
        if member.bundle > seen:
            self._wake.set()

    def _offer(
        self, record: BundleRecord, source: Source, causes: tuple[Cause, ...] = ()
    ) -> OfferResult:
        with self._lock:
            offer = self._spread.offer(record, source, time.monotonic())
            version = self._spread.version
        self._gossip.announce_bundle(version)
        self._report(offer, source, causes)
        return offer

    def _report(self, offer: OfferResult, source: Source, causes: tuple[Cause, ...] = ()) -> None:
        match offer.status:
            case OfferStatus.REFUSED | OfferStatus.LOWER:
                _log.error("bundle from {} {}: {}", source.value, offer.status.value, offer.detail)
            case OfferStatus.APPLIED:
                version = str(self._spread.version)
                _log.notice("bundle {} is in force, from {}", version, source.value)
                if self._events is not None:
                    self._events.record(
                        "bundle.in-force", {"bundle": version}, source.value, causes
                    )

    def _is_ready(self) -> Readiness:
        reached, known = self._gossip.count_reachable()
        return self._spread.readiness(reached, known, time.monotonic())

    def _confirmed_milliseconds(self) -> int:
        age = self._spread.confirmed_age(time.monotonic())
        return UNCONFIRMED if age is None else int(age * 1_000)


def _to_peer(member: Member) -> Peer:
    return Peer(member.name, member.bundle)


def _to_cause(envelope: Envelope) -> Cause:
    return Cause(
        envelope.sender, envelope.event, str(get_process_incarnation(envelope.incarnation))
    )


def _decode(value: bytes, peer: str) -> BundleRecord | None:
    match decode_record(value):
        case Result(tag="ok", ok=record):
            return record
        case Result(error=error):
            _log.error("bundle from {} not understood: {}", peer, error)
    return None
