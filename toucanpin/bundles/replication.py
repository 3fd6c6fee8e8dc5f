"""
Replication of bundles
======================

Decide in each process which accepted bundle is in force and from where to request a newer one.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash
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
from toucanpin.bundles.record import BundleRecord, decode_record, verify_record
from toucanpin.bundles.schema import Bundle
from toucanpin.bundles.signature import KeyRing, Verified, extends_rings
from toucanpin.platform.ports import Row

__all__ = ["BundleReplica"]


@dataclass(slots=True)
class _CurrentBundle:
    record: BundleRecord
    verified: Verified


class BundleReplica:
    """
    The bundle in force in one process; times are readings of its monotonic clock.

    Versions never decrease: a bundle below the highest version seen so far, in the table, in a
    peer's heartbeat or in an offer, is not applied, whatever its source.
    """

    def __init__(self, name: str, key_ring: KeyRing, timing: ReplicationTiming, now: float) -> None:
        self._name = name
        self._key_ring = key_ring
        self._timing = timing
        self._current: _CurrentBundle | None = None
        self._is_known = False
        self._started_at = now
        self._highest_seen = 0
        self._behind_since: float | None = None
        self._maybe_stale_since: float | None = None
        self._confirmed_at: float | None = None
        self._row_version = 0
        self._table_version = 0
        self._last_call = now
        self._ignore_ages_until = now
        self._reading = False
        self._pulling = False
        self._table_answers = False
        self._read_due = now
        self._pull_due = now
        self._pull_count = 0
        self._pushed: set[str] = set()
        self._is_pushing = False

    @property
    def version(self) -> int:
        """Return the version in force, 0 while none is known."""
        return self._current.record.version if self._current is not None and self._is_known else 0

    @property
    def highest_seen(self) -> int:
        """Return the highest version seen in the table, in a heartbeat or in an offer."""
        return self._highest_seen

    @property
    def record(self) -> BundleRecord | None:
        """Return the record in force, None while it isn't known."""
        return self._current.record if self._current is not None and self._is_known else None

    @property
    def bundle(self) -> Bundle | None:
        """Return the bundle in force, None while it isn't known."""
        return (
            self._current.verified.bundle if self._current is not None and self._is_known else None
        )

    def receive_heartbeat(self, version: int, confirmed_age: float | None, now: float) -> None:
        """
        Update from a peer's heartbeat.

        Parameters
        ----------
        version
            Version in force at the peer.
        confirmed_age
            Seconds since the table confirmed that version to the peer, None if it never did.
        """
        self._detect_freeze(now)
        self._observe_version(version, now)
        # After a freeze the socket still contains earlier heartbeats.  Their ages are relative to
        # an unknown time of sending.
        if confirmed_age is None or now < self._ignore_ages_until:
            return
        if (
            self._current is not None
            and version == self._current.record.version == self._highest_seen
        ):
            self._confirm(now - confirmed_age - self._timing.hop_delay)

    def receive_rows(self, rows: tuple[Row, ...], asked_at: float, now: float) -> OfferResult:
        """Update from the table's answer to a ReadTable that was sent at ``asked_at``."""
        self._detect_freeze(now)
        self._reading = False
        self._table_answers = True
        self._read_due = now + self._timing.poll_period
        offer = OfferResult(OfferStatus.KNOWN)
        for row in rows:
            offer = self._receive_row(row, now)
        current = 0 if self._current is None else self._current.record.version
        # A read that is behind a peer's push or heartbeat is outdated and confirms nothing.
        if (
            offer.status is not OfferStatus.REFUSED
            and current == self._table_version == self._highest_seen
        ):
            self._is_known = True
            self._confirm(asked_at)
        return offer

    def record_failed_read(self, now: float) -> None:
        """Record that a ReadTable failed."""
        self._detect_freeze(now)
        self._reading = False
        self._table_answers = False
        self._read_due = now + self._timing.poll_period

    def offer(self, record: BundleRecord, source: Source, now: float) -> OfferResult:
        """Evaluate a record from a peer, or one that was accepted through this process."""
        self._detect_freeze(now)
        if source is Source.PEER:
            self._pulling = False
        offer = self._evaluate(record, source, now)
        if offer.status not in (OfferStatus.APPLIED, OfferStatus.KNOWN):
            self._pull_due = now + self._timing.retry_delay
        elif source is Source.ACCEPTANCE:
            self._is_known = True
            self._is_pushing = True
            self._confirm(now)
        if offer.status is OfferStatus.APPLIED and not self._is_known:
            return OfferResult(OfferStatus.KEPT, "not yet sure that it is the newest")
        return offer

    def record_failed_pull(self, now: float) -> None:
        """Record that a PullFrom returned no record."""
        self._detect_freeze(now)
        self._pulling = False
        self._pull_due = now + self._timing.retry_delay

    def plan_actions(self, peers: tuple[Peer, ...], now: float) -> tuple[ReplicationAction, ...]:
        """Return the reads, pulls and pushes that are due; call it several times a second."""
        self._detect_freeze(now)
        self._trust_peers(peers, now)
        actions: list[ReplicationAction] = []
        if not self._reading and now >= self._read_due:
            self._reading = True
            actions.append(ReadTable(self._row_version))
        if not self._pulling and now >= self._pull_due:
            actions += self._plan_pull(peers)
        actions += self._plan_pushes(peers)
        return tuple(actions)

    def confirmed_age(self, now: float) -> float | None:
        """Return the seconds since the table confirmed the bundle, None if it hasn't."""
        if self._confirmed_at is None or not self._is_known:
            return None
        return max(0.0, now - self._confirmed_at)

    def readiness(self, reached: int, known: int, now: float) -> Readiness:
        """
        Return whether requests may be served with the bundle in force.

        ``reached`` of ``known`` other processes are reachable.  A process that reaches neither the
        table nor a majority of the others is probably isolated, and a newer bundle may be in force
        elsewhere, so it stops serving after ``isolation_timeout``.  If a majority is reachable and
        none of it reaches the table, the table is unavailable, no bundle can be accepted, and
        stopping would only extend the outage, so it serves until ``outage_timeout``.
        """
        self._detect_freeze(now)
        if not self._is_known:
            return Readiness(False, "the bundle in force isn't known yet")
        if self._current is None:
            return Readiness(False, "no bundle was accepted yet")
        if self._behind_since is not None and now - self._behind_since > self._timing.catch_up_time:
            version = self._current.record.version
            return Readiness(
                False, f"version {self._highest_seen} is in force, only {version} is here"
            )
        reaches_majority = 2 * reached > known
        # The first heartbeat after a long isolation may show a newer version.  Without the second
        # condition the process would serve with the old bundle once more.
        in_outage = reaches_majority and self._behind_since is None
        limit = self._timing.outage_timeout if in_outage else self._timing.isolation_timeout
        confirmed_at = self._confirmed_at
        if confirmed_at is None:
            confirmed_at = self._started_at - self._timing.isolation_timeout
        age = now - confirmed_at
        if age > self._timing.isolation_timeout and not reaches_majority:
            self._maybe_stale_since = now
        if age > limit:
            return Readiness(False, f"the bundle was last confirmed {age:.0f} s ago")
        if self._may_be_stale(in_outage, now):
            return Readiness(False, "a newer bundle may have come while this process was away")
        return Readiness(True)

    def _may_be_stale(self, in_outage: bool, now: float) -> bool:
        # After a freeze or an isolation the first peers to answer may be as outdated as this
        # process, and so may its membership view.  The bundle counts as possibly stale until a
        # later confirmation or, in an outage of the table, until the view has had time to settle.
        if self._maybe_stale_since is None:
            return False
        settled = now - self._maybe_stale_since >= self._timing.settling_time
        if in_outage and settled and not self._table_answers:
            self._maybe_stale_since = None
        return self._maybe_stale_since is not None

    def _detect_freeze(self, now: float) -> None:
        if now - self._last_call > self._timing.freeze_threshold:
            self._ignore_ages_until = now + self._timing.settling_time
            self._maybe_stale_since = now
            self._read_due = now
        self._last_call = now

    def _observe_version(self, version: int, now: float) -> None:
        if version <= self._highest_seen:
            return
        self._highest_seen = version
        if self._current is None or version > self._current.record.version:
            self._behind_since = now if self._behind_since is None else self._behind_since
            self._pull_due = now
            self._read_due = min(self._read_due, now)

    def _confirm(self, at: float) -> None:
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at
        if self._maybe_stale_since is not None and at >= self._maybe_stale_since:
            self._maybe_stale_since = None

    def _receive_row(self, row: Row, now: float) -> OfferResult:
        match decode_record(row.value):
            case Result(tag="ok", ok=record):
                offer = self._evaluate(record, Source.TABLE, now)
            case Result(error=error):
                offer = OfferResult(OfferStatus.REFUSED, str(error))
        if offer.status in (OfferStatus.APPLIED, OfferStatus.KNOWN) and self._current is not None:
            self._row_version = max(self._row_version, row.version)
            self._table_version = self._current.record.version
        return offer

    def _evaluate(self, record: BundleRecord, source: Source, now: float) -> OfferResult:
        current = self._current
        if current is not None and record.digest == current.record.digest:
            return OfferResult(OfferStatus.KNOWN)
        match verify_record(self._key_ring, record):
            case Result(tag="ok", ok=verified):
                pass
            case Result(error=error):
                return OfferResult(OfferStatus.REFUSED, str(error))
        self._observe_version(record.version, now)
        if record.version < self._highest_seen:
            detail = (
                f"version {record.version} is below {self._highest_seen}, which was seen before"
            )
            return OfferResult(OfferStatus.LOWER, detail)
        if current is not None:
            refusal = self._check_successor(current, record, source)
            if refusal is not None:
                return refusal
        self._apply(_CurrentBundle(record, verified))
        return OfferResult(OfferStatus.APPLIED)

    def _check_successor(
        self, current: _CurrentBundle, record: BundleRecord, source: Source
    ) -> OfferResult | None:
        if record.version == current.record.version and source is Source.PEER:
            detail = f"another bundle of version {record.version} is here"
            return OfferResult(OfferStatus.REFUSED, detail)
        if not extends_rings(current.record.signed.rings, record.signed.rings):
            return OfferResult(
                OfferStatus.REFUSED, "the key rings of the bundle in force are missing"
            )
        return None

    def _apply(self, current: _CurrentBundle) -> None:
        self._current = current
        self._behind_since = None
        self._pushed.clear()
        self._is_pushing = False

    def _trust_peers(self, peers: tuple[Peer, ...], now: float) -> None:
        # Without the table, peers are trusted only after the settling time: the first one to
        # answer may have an older bundle, and the heartbeats of the others arrive by then.
        if self._is_known or self._current is None or self._table_answers or not peers:
            return
        is_newest = self._current.record.version == self._highest_seen
        if is_newest and now - self._started_at >= self._timing.settling_time:
            self._is_known = True

    def _plan_pull(self, peers: tuple[Peer, ...]) -> Iterable[ReplicationAction]:
        version = 0 if self._current is None else self._current.record.version
        newer = [
            peer for peer in peers if peer.version > version and peer.version >= self._highest_seen
        ]
        if not newer:
            return
        # Each process prefers another peer, which spreads the load of the pulls.
        newer.sort(key=lambda peer: xxhash.xxh64_intdigest(f"{self._name} {peer.name}".encode()))
        self._pulling = True
        self._pull_count += 1
        yield PullFrom(newer[(self._pull_count - 1) % len(newer)].name, version)

    def _plan_pushes(self, peers: tuple[Peer, ...]) -> Iterable[ReplicationAction]:
        if not self._is_pushing or self._current is None:
            return
        record = self._current.record
        for peer in peers:
            if peer.version < record.version and peer.name not in self._pushed:
                self._pushed.add(peer.name)
                yield PushTo(peer.name, record)
