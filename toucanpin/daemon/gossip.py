"""
Gossip of a process
===================

Keep the view of the members up to date by exchanging heartbeats over UDP.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import logbook

from toucanpin.daemon.interfaces import EventSink
from toucanpin.exception import WireError
from toucanpin.membership.beat import Beat, Change, Record, Timing
from toucanpin.membership.member import Member, Standing
from toucanpin.membership.view import MAX_BEAT_RECORDS, View
from toucanpin.wire.datagram import DatagramSocket
from toucanpin.wire.identity import Identity
from toucanpin.wire.keys import PeerKeys
from toucanpin.wire.messages import UNCONFIRMED, Envelope, Heartbeat, MemberRecord, Received

__all__ = ["Gossip", "HeartbeatListener"]

HeartbeatListener = Callable[[Member, int], None]

RECEIVE_TIMEOUT_S = 0.25

_log = logbook.Logger("gossip")


def _get_unconfirmed_age() -> int:
    return UNCONFIRMED


def _get_no_event() -> int:
    return 0


def _ignore_message(envelope: Envelope) -> None:
    return None


class Gossip:
    """
    Membership of this process: sends heartbeats and tracks the other members.

    Listeners receive the sender of each heartbeat and the time in milliseconds since the table
    confirmed the sender's bundle.  ``identity`` fills the envelope of every message sent.
    """

    def __init__(
        self,
        own: Member,
        deployment: str,
        seeds: tuple[tuple[str, int], ...],
        keys: PeerKeys,
        timing: Timing | None = None,
        events: EventSink | None = None,
        event_sequence: Callable[[], int] = _get_no_event,
        on_message: Callable[[Envelope], None] = _ignore_message,
    ) -> None:
        self._timing = timing or Timing()
        self._view = View(own, self._timing, time.monotonic())
        self._seeds = seeds
        self._keys = keys
        self._events = events
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None
        self._socket: DatagramSocket | None = None
        self._listeners: list[HeartbeatListener] = []
        self._entry_hosts: Callable[[], frozenset[str]] = frozenset
        self.get_confirmed_age_ms: Callable[[], int] = _get_unconfirmed_age
        self.identity = Identity(
            deployment,
            own.name,
            own.site,
            lambda: self._view.own.incarnation,
            lambda: self._view.own.bundle,
            event_sequence,
            on_message,
        )

    @property
    def own(self) -> Member:
        """Return this process as the others see it."""
        return self._view.own

    @property
    def sent_bytes(self) -> int:
        """Return the number of bytes of all heartbeats sent so far."""
        return 0 if self._socket is None else self._socket.sent_bytes

    def members(self) -> tuple[Member, ...]:
        """Return every known member, this process first."""
        with self._lock:
            return self._view.members()

    def count_reachable(self) -> tuple[int, int]:
        """Return the numbers of other members that are reachable and that should be."""
        with self._lock:
            return self._view.count_reachable()

    def add_listener(self, listener: HeartbeatListener) -> None:
        """Call ``listener`` for each heartbeat, on the gossip thread."""
        self._listeners.append(listener)

    def set_entry_hosts(self, entry_hosts: Callable[[], frozenset[str]]) -> None:
        """Set the function that returns the entry hosts' names, empty while they are unknown."""
        self._entry_hosts = entry_hosts

    def announce_bundle(self, bundle: int) -> None:
        """Put the bundle's version into all further messages, and send a round if it is new."""
        with self._lock:
            changed = bundle != self._view.own.bundle
            self._view.set_bundle(bundle)
        if changed:
            self._send_round()

    def start(self) -> None:
        """Bind the port and start the gossip thread."""
        own = self._view.own
        self._socket = DatagramSocket(own.address, own.port, self.identity, self._keys)
        self._thread = threading.Thread(target=self._run, name="gossip", daemon=True)
        self._thread.start()

    def stop(self, grace: float) -> None:
        """Announce to the members that this process is leaving, and release the port."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join(grace)
        with self._lock:
            self._view.leave()
        self._send_round()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _run(self) -> None:
        due = time.monotonic()
        while not self._stopping.is_set():
            now = time.monotonic()
            # An exception in one heartbeat must not end this thread: the process would send no more
            # heartbeats and be removed by all others without noticing.
            try:
                if now >= due:
                    due = now + self._get_round_delay()
                    self._run_round(now)
                self._receive(due - now)
            except Exception:
                _log.exception("heartbeat failed")

    def _get_round_delay(self) -> float:
        # Rounds start at multiples of the interval on the wall clock, so nearly at the same time in
        # all processes.  Heartbeats then arrive in bursts, which is much cheaper than waking the
        # idle thread for each one.  Different clocks only lose this advantage.
        interval = self._timing.interval
        wait = interval - time.time() % interval
        return wait if wait > interval / 2 else wait + interval

    def _run_round(self, now: float) -> None:
        entry_hosts = self._entry_hosts()
        with self._lock:
            changes = self._view.tick(now)
            self._view.mark_delisted(entry_hosts)
        self._report_changes(changes)
        self._send_round()

    def _receive(self, timeout: float) -> None:
        channel = self._socket
        received = None if channel is None else channel.receive(min(timeout, RECEIVE_TIMEOUT_S))
        if received is None or not isinstance(received.message, Heartbeat):
            return
        beat = _decode_beat(received.envelope, received.message)
        now = time.monotonic()
        with self._lock:
            changes = self._view.receive(beat, now)
            needs_answer = self._view.needs_answer(beat, now)
            answers = self._view.list_answers(beat.sender.member.name) if needs_answer else ()
            digest = self._view.digest()
        self._report_changes(changes)
        self._send_answers(beat.sender.member, digest, answers)
        self._notify_listeners(beat.sender.member, received)

    def _notify_listeners(self, member: Member, received: Received) -> None:
        if member.name == self._view.own.name or not isinstance(received.message, Heartbeat):
            return
        for listener in self._listeners:
            listener(member, received.message.confirmed_age)

    def _send_answers(self, member: Member, digest: int, records: tuple[Record, ...]) -> None:
        endpoints = ((member.address, member.port),)
        for start in range(0, len(records), MAX_BEAT_RECORDS):
            self._send_records(endpoints, digest, records[start : start + MAX_BEAT_RECORDS])

    def _send_round(self) -> None:
        with self._lock:
            targets = self._view.list_targets()
            beat = self._view.make_beat(0)
            known = self._view.endpoints()
        endpoints = [(member.address, member.port) for member in targets]
        endpoints += [seed for seed in self._seeds if seed not in known]
        self._send_records(tuple(endpoints), beat.digest, beat.records)

    def _send_records(
        self, endpoints: tuple[tuple[str, int], ...], digest: int, records: tuple[Record, ...]
    ) -> None:
        channel = self._socket
        if channel is None:
            return
        own = self._view.own
        heartbeat = Heartbeat(
            own.address,
            own.port,
            own.standing is Standing.LEAVING,
            digest,
            self.get_confirmed_age_ms(),
            tuple(_encode_record(record) for record in records),
        )
        try:
            channel.send(heartbeat, endpoints)
        except WireError:
            if len(records) <= 1:
                raise
            # With long names the records may exceed the maximum size of a datagram.
            half = len(records) // 2
            self._send_records(endpoints, digest, records[:half])
            self._send_records(endpoints, digest, records[half:])

    def _report_changes(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            member = change.member
            _log.info("member {} {} ({})", member.name, change.kind.value, member.incarnation)
            if self._events is not None:
                detail = f"{member.name} incarnation {member.incarnation}"
                self._events.record(f"member.{change.kind.value}", {"host": member.host}, detail)


def _split_name(name: str) -> tuple[str, str]:
    host, _, role = name.partition("/")
    return host, role


def _decode_beat(envelope: Envelope, heartbeat: Heartbeat) -> Beat:
    host, role = _split_name(envelope.sender)
    member = Member(
        envelope.sender,
        host,
        envelope.site,
        role,
        envelope.incarnation,
        heartbeat.address,
        heartbeat.port,
        Standing.LEAVING if heartbeat.leaving else Standing.ALIVE,
        envelope.bundle,
    )
    records = tuple(
        _decode_record(record) for record in heartbeat.records if _has_known_standing(record)
    )
    return Beat(Record(member, envelope.sequence), heartbeat.digest, records)


def _has_known_standing(record: MemberRecord) -> bool:
    return record.standing in {standing.value for standing in Standing}


def _decode_record(record: MemberRecord) -> Record:
    host, role = _split_name(record.name)
    member = Member(
        record.name,
        host,
        record.site,
        role,
        record.incarnation,
        record.address,
        record.port,
        Standing(record.standing),
        record.bundle,
    )
    return Record(member, record.sequence)


def _encode_record(record: Record) -> MemberRecord:
    member = record.member
    return MemberRecord(
        member.name,
        member.site,
        member.incarnation,
        record.sequence,
        member.address,
        member.port,
        member.standing.value,
        member.bundle,
    )
