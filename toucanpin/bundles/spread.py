"""
Spread of bundles
=================

Decide, in each process, which accepted bundle is in force there and whom to ask for a newer one.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash
from expression import Result

from toucanpin.bundles.asks import (
    Ask,
    Offer,
    OfferKind,
    Peer,
    PullFrom,
    PushTo,
    Readiness,
    ReadTable,
    Source,
    SpreadTiming,
)
from toucanpin.bundles.record import BundleRecord, decode_record, verify_record
from toucanpin.bundles.schema import Bundle
from toucanpin.bundles.signature import KeyRing, Verified, extends_rings
from toucanpin.platform.ports import Row

__all__ = ["Spread"]


@dataclass(slots=True)
class _InForce:
    record: BundleRecord
    verified: Verified


class Spread:
    """
    Keep the bundle in force in one process; times are readings of its monotonic clock.

    Versions only go up: a bundle below the highest version that was ever seen, in the table, in a
    peer's stamp or in an offer, isn't applied, whoever brings it.
    """

    def __init__(self, name: str, root: KeyRing, timing: SpreadTiming, now: float) -> None:
        self._name = name
        self._root = root
        self._timing = timing
        self._held: _InForce | None = None
        self._learnt = False
        self._started = now
        self._seen = 0
        self._behind_since: float | None = None
        self._doubted_at: float | None = None
        self._confirmed_at: float | None = None
        self._row_version = 0
        self._table_version = 0
        self._touched = now
        self._distrust_until = now
        self._reading = False
        self._pulling = False
        self._table_answers = False
        self._read_due = now
        self._pull_due = now
        self._asked = 0
        self._pushed: set[str] = set()
        self._push = False

    @property
    def version(self) -> int:
        """Return the version in force, 0 while none is known."""
        return self._held.record.version if self._held is not None and self._learnt else 0

    @property
    def seen(self) -> int:
        """Return the highest version that this process has seen a sign of."""
        return self._seen

    @property
    def record(self) -> BundleRecord | None:
        """Return the record in force, None while it isn't known."""
        return self._held.record if self._held is not None and self._learnt else None

    @property
    def bundle(self) -> Bundle | None:
        """Return the bundle in force, None while it isn't known."""
        return self._held.verified.bundle if self._held is not None and self._learnt else None

    def hear(self, version: int, confirmed_age: float | None, now: float) -> None:
        """Take a peer's stamp, and how long ago (seconds) the table confirmed it."""
        self._touch(now)
        self._see(version, now)
        # After a freeze the socket still holds heartbeats of the time before, whose ages are
        # counted from a moment that nobody knows any more.
        if confirmed_age is None or now < self._distrust_until:
            return
        if self._held is not None and version == self._held.record.version == self._seen:
            self._confirm(now - confirmed_age - self._timing.hop)

    def take_rows(self, rows: tuple[Row, ...], asked_at: float, now: float) -> Offer:
        """Take the table's answer to a ReadTable that was sent at ``asked_at``."""
        self._touch(now)
        self._reading = False
        self._table_answers = True
        self._read_due = now + self._timing.poll
        offer = Offer(OfferKind.KNOWN)
        for row in rows:
            offer = self._take_row(row, now)
        held = 0 if self._held is None else self._held.record.version
        # A read that is behind a peer's push or stamp is a stale one and confirms nothing.
        if offer.kind is not OfferKind.REFUSED and held == self._table_version == self._seen:
            self._learnt = True
            self._confirm(asked_at)
        return offer

    def miss_table(self, now: float) -> None:
        """Note that a ReadTable gave no answer."""
        self._touch(now)
        self._reading = False
        self._table_answers = False
        self._read_due = now + self._timing.poll

    def offer(self, record: BundleRecord, source: Source, now: float) -> Offer:
        """Take a record that a peer pushed or gave, or that was accepted through this process."""
        self._touch(now)
        if source is Source.PEER:
            self._pulling = False
        offer = self._judge(record, source, now)
        if offer.kind not in (OfferKind.APPLIED, OfferKind.KNOWN):
            self._pull_due = now + self._timing.retry
        elif source is Source.ACCEPTANCE:
            self._learnt = True
            self._push = True
            self._confirm(now)
        if offer.kind is OfferKind.APPLIED and not self._learnt:
            return Offer(OfferKind.KEPT, "not yet sure that it is the newest")
        return offer

    def miss_peer(self, now: float) -> None:
        """Note that a PullFrom gave nothing."""
        self._touch(now)
        self._pulling = False
        self._pull_due = now + self._timing.retry

    def ask(self, peers: tuple[Peer, ...], now: float) -> tuple[Ask, ...]:
        """Return what to ask and hand out now; call it several times a second."""
        self._touch(now)
        self._settle(peers, now)
        asks: list[Ask] = []
        if not self._reading and now >= self._read_due:
            self._reading = True
            asks.append(ReadTable(self._row_version))
        if not self._pulling and now >= self._pull_due:
            asks += self._ask_peer(peers)
        asks += self._hand_out(peers)
        return tuple(asks)

    def confirmed_age(self, now: float) -> float | None:
        """Return the seconds since the table confirmed the bundle, None if it never did."""
        if self._confirmed_at is None or not self._learnt:
            return None
        return max(0.0, now - self._confirmed_at)

    def readiness(self, reached: int, known: int, now: float) -> Readiness:
        """
        Say whether to serve by the bundle in force.

        ``reached`` of ``known`` other processes answer at present.  A process that reaches neither
        the table nor most of the others is probably cut off, and a newer bundle may be in
        force elsewhere: it stops soon.  While most of them can be reached and none reaches the
        table, the table is out, nobody can accept a bundle, and stopping would only add to the
        outage.
        """
        self._touch(now)
        if not self._learnt:
            return Readiness(False, "the bundle in force isn't known yet")
        if self._held is None:
            return Readiness(False, "no bundle was accepted yet")
        if self._behind_since is not None and now - self._behind_since > self._timing.catch_up:
            version = self._held.record.version
            return Readiness(False, f"version {self._seen} is in force, only {version} is here")
        together = 2 * reached > known
        # A process that was cut off for long hears of the newer bundle in the very heartbeat that
        # ends its cut; without the second condition it would serve by the old one once more.
        patient = together and self._behind_since is None
        limit = self._timing.outage if patient else self._timing.isolated
        confirmed_at = self._confirmed_at
        if confirmed_at is None:
            confirmed_at = self._started - self._timing.isolated
        age = now - confirmed_at
        if age > self._timing.isolated and not together:
            self._doubted_at = now
        if age > limit:
            return Readiness(False, f"the bundle was last confirmed {age:.0f} s ago")
        if self._is_doubted(patient, now):
            return Readiness(False, "a newer bundle may have come while this process was away")
        return Readiness(True)

    def _is_doubted(self, patient: bool, now: float) -> bool:
        # After a freeze, or after a time alone, the first to answer may be as old as this process,
        # and the view of who is there is of the time before.  The doubt ends with a confirmation
        # from after it began; with the table out, once the view had time to become true again.
        if self._doubted_at is None:
            return False
        settled = now - self._doubted_at >= self._timing.settle
        if patient and settled and not self._table_answers:
            self._doubted_at = None
        return self._doubted_at is not None

    def _touch(self, now: float) -> None:
        if now - self._touched > self._timing.pause:
            self._distrust_until = now + self._timing.settle
            self._doubted_at = now
            self._read_due = now
        self._touched = now

    def _see(self, version: int, now: float) -> None:
        if version <= self._seen:
            return
        self._seen = version
        if self._held is None or version > self._held.record.version:
            self._behind_since = now if self._behind_since is None else self._behind_since
            self._pull_due = now
            self._read_due = min(self._read_due, now)

    def _confirm(self, at: float) -> None:
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at
        if self._doubted_at is not None and at >= self._doubted_at:
            self._doubted_at = None

    def _take_row(self, row: Row, now: float) -> Offer:
        match decode_record(row.value):
            case Result(tag="ok", ok=record):
                offer = self._judge(record, Source.TABLE, now)
            case Result(error=error):
                offer = Offer(OfferKind.REFUSED, str(error))
        if offer.kind in (OfferKind.APPLIED, OfferKind.KNOWN) and self._held is not None:
            self._row_version = max(self._row_version, row.version)
            self._table_version = self._held.record.version
        return offer

    def _judge(self, record: BundleRecord, source: Source, now: float) -> Offer:
        held = self._held
        if held is not None and record.digest == held.record.digest:
            return Offer(OfferKind.KNOWN)
        match verify_record(self._root, record):
            case Result(tag="ok", ok=verified):
                pass
            case Result(error=error):
                return Offer(OfferKind.REFUSED, str(error))
        self._see(record.version, now)
        if record.version < self._seen:
            detail = f"version {record.version} is below {self._seen}, which was seen before"
            return Offer(OfferKind.LOWER, detail)
        if held is not None:
            refusal = self._compare(held, record, source)
            if refusal is not None:
                return refusal
        self._hold(_InForce(record, verified))
        return Offer(OfferKind.APPLIED)

    def _compare(self, held: _InForce, record: BundleRecord, source: Source) -> Offer | None:
        if record.version == held.record.version and source is Source.PEER:
            detail = f"another bundle of version {record.version} is here"
            return Offer(OfferKind.REFUSED, detail)
        if not extends_rings(held.record.signed.rings, record.signed.rings):
            return Offer(OfferKind.REFUSED, "the key rings of the bundle in force are missing")
        return None

    def _hold(self, held: _InForce) -> None:
        self._held = held
        self._behind_since = None
        self._pushed.clear()
        self._push = False

    def _settle(self, peers: tuple[Peer, ...], now: float) -> None:
        # Without the table, peers are believed after a while: a peer with an older bundle may be
        # the first to answer, and the stamps of the others arrive within this time.
        if self._learnt or self._held is None or self._table_answers or not peers:
            return
        whole = self._held.record.version == self._seen
        if whole and now - self._started >= self._timing.settle:
            self._learnt = True

    def _ask_peer(self, peers: tuple[Peer, ...]) -> Iterable[Ask]:
        version = 0 if self._held is None else self._held.record.version
        able = [peer for peer in peers if peer.version > version and peer.version >= self._seen]
        if not able:
            return
        # Each process prefers another peer, so that not everybody asks the one that was first.
        able.sort(key=lambda peer: xxhash.xxh64_intdigest(f"{self._name} {peer.name}".encode()))
        self._pulling = True
        self._asked += 1
        yield PullFrom(able[(self._asked - 1) % len(able)].name, version)

    def _hand_out(self, peers: tuple[Peer, ...]) -> Iterable[Ask]:
        if not self._push or self._held is None:
            return
        record = self._held.record
        for peer in peers:
            if peer.version < record.version and peer.name not in self._pushed:
                self._pushed.add(peer.name)
                yield PushTo(peer.name, record)
