"""
Membership view
===============

Decide from heartbeats alone which processes are running.  The view is a hint: a member that it
reports as gone may still be running, and no guarantee of the system depends on it.

Notes
-----
Suspicion before removal, incarnation numbers and refutation follow SWIM.  Direct heartbeats to
every member replace the random probes, which is cheaper up to some dozens of members.

References
----------
Das, Gupta, Motivala: SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol. DSN 2002.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

from toucanpin.membership.beat import Beat, Change, ChangeKind, Record, Timing
from toucanpin.membership.member import Member, Standing

__all__ = ["View"]

MAX_BEAT_RECORDS = 8
MAX_ANSWERS_PER_INTERVAL = 2
RELAY_ROUNDS = 3
PROBE_PERIOD_ROUNDS = 5
_DIGEST_MODULUS = 2**63

_PRESENT = (Standing.ALIVE, Standing.SUSPECT)


@dataclass(slots=True)
class _Entry:
    """
    State of one member.

    ``heartbeat_at`` is the instant of its last own heartbeat, ``updated_at`` that of the last newer
    record of it, also relayed by others.  ``departed`` is True if it left or was replaced, so that
    no heartbeats of it are expected.
    """

    member: Member
    sequence: int
    heartbeat_at: float
    updated_at: float
    relays_left: int = RELAY_ROUNDS
    answered_at: float = float("-inf")
    departed: bool = False

    def set_standing(self, standing: Standing) -> Member:
        """Set the standing and return the changed member."""
        self.member = dataclasses.replace(self.member, standing=standing)
        return self.member


class View:
    """The members as one process sees them; instants are of its monotonic clock."""

    def __init__(self, own: Member, timing: Timing, now: float) -> None:
        self.own = own
        self._timing = timing
        self._entries: dict[str, _Entry] = {}
        self._last_tick = now
        self._answers_sent = 0
        self._rounds = 0
        self._digest: int | None = None

    def members(self) -> tuple[Member, ...]:
        """Return every known member, this process first."""
        return (self.own, *(entry.member for entry in self._entries.values()))

    def digest(self) -> int:
        """Return a digest of the names and incarnations of the alive and suspected members."""
        if self._digest is None:
            present = (m for m in self.members() if m.standing in _PRESENT)
            self._digest = sum(_hash(member) for member in present) % _DIGEST_MODULUS
        return self._digest

    def leave(self) -> None:
        """Mark this process as leaving."""
        self.own = dataclasses.replace(self.own, standing=Standing.LEAVING)
        self._digest = None

    def set_bundle(self, bundle: int) -> None:
        """Set the version of the bundle in force in this process."""
        if bundle != self.own.bundle:
            self.own = dataclasses.replace(self.own, bundle=bundle)

    def endpoints(self) -> frozenset[tuple[str, int]]:
        """Return the endpoints of all known members, this process included."""
        return frozenset((member.address, member.port) for member in self.members())

    def count_reachable(self) -> tuple[int, int]:
        """Return how many other members are alive, and how many are expected to be."""
        entries = tuple(self._entries.values())
        alive = sum(entry.member.standing is Standing.ALIVE for entry in entries)
        expected = sum(not entry.departed for entry in entries)
        return alive, expected

    def mark_delisted(self, listed: frozenset[str]) -> None:
        """
        Mark gone members as departed if the platform's list of entry hosts lacks their hosts.

        The names of replaced hosts stay in the view.  Counted as lost for an hour, they would make
        a process that reaches all running members conclude that it reaches less than half.  The
        list lags, so only members that are gone in this view too are marked.  A list that lacks
        this host is not a list of entry hosts and is ignored.
        """
        if self.own.host not in listed:
            return
        for entry in self._entries.values():
            if entry.member.standing is Standing.GONE and entry.member.host not in listed:
                entry.departed = True

    def list_targets(self) -> tuple[Member, ...]:
        """
        Return the members to send this round's heartbeat to.

        Gone members are included every few rounds: during a network partition each side removes the
        other, and would never find it again if both only sent to present members.
        """
        self._rounds += 1
        probe = self._rounds % PROBE_PERIOD_ROUNDS == 0
        members = (entry.member for entry in self._entries.values())
        return tuple(m for m in members if probe or m.standing is not Standing.GONE)

    def make_beat(self, sequence: int) -> Beat:
        """Return this round's heartbeat, with the records of changed and suspected members."""
        records: list[Record] = []
        for entry in self._entries.values():
            if len(records) == MAX_BEAT_RECORDS:
                break
            if entry.relays_left > 0 or entry.member.standing is Standing.SUSPECT:
                entry.relays_left = max(0, entry.relays_left - 1)
                records.append(Record(entry.member, entry.sequence))
        present = tuple(r for r in records if r.member.standing is not Standing.GONE)
        return Beat(Record(self.own, sequence), self.digest(), present)

    def list_answers(self, name: str) -> tuple[Record, ...]:
        """Return the records that the named member needs for the same view, its own included."""
        return tuple(
            Record(entry.member, entry.sequence)
            for entry in self._entries.values()
            if entry.member.standing is not Standing.GONE or entry.member.name == name
        )

    def tick(self, now: float) -> tuple[Change, ...]:
        """Suspect and remove members that were silent for too long; call it every interval."""
        changes = list(self._recover_from_pause(now))
        self._last_tick = now
        self._answers_sent = 0
        for entry in tuple(self._entries.values()):
            changes += self._check_silence(entry, now)
        return self._finish_changes(changes)

    def receive(self, beat: Beat, now: float) -> tuple[Change, ...]:
        """Apply one heartbeat."""
        if beat.sender.member.name == self.own.name:
            return self._finish_changes(list(self._refute(beat.sender)))
        changes = list(self._apply_sender_record(beat.sender, now))
        for record in beat.records:
            changes += self._apply_relayed_record(record, now)
        return self._finish_changes(changes)

    def needs_answer(self, beat: Beat, now: float) -> bool:
        """
        Return whether the sender of a heartbeat just received must be sent ``list_answers``.

        It must if its view differs, or if its incarnation is gone or outdated in this view.  At
        most MAX_ANSWERS_PER_INTERVAL are sent in an interval, and one to each member, so that
        neither a replay nor a change that all members see at once causes a storm of answers.
        """
        entry = self._entries.get(beat.sender.member.name)
        if entry is None or self._answers_sent >= MAX_ANSWERS_PER_INTERVAL:
            return False
        is_outdated = (
            entry.member.standing is Standing.GONE
            or beat.sender.member.incarnation < entry.member.incarnation
        )
        due = now - entry.answered_at >= self._timing.interval
        if not due or not (is_outdated or beat.digest != self.digest()):
            return False
        entry.answered_at = now
        self._answers_sent += 1
        return True

    def _finish_changes(self, changes: list[Change]) -> tuple[Change, ...]:
        if changes:
            self._digest = None
        return tuple(changes)

    def _recover_from_pause(self, now: float) -> Iterator[Change]:
        pause = now - self._last_tick
        if pause <= self._timing.suspect_after:
            return
        # This process was frozen.  No heartbeats were read during the pause, and counting that
        # time would remove all members at once.  The others have removed this process in the
        # meantime, so it returns as a new incarnation.
        for entry in self._entries.values():
            entry.heartbeat_at += pause
            entry.updated_at += pause
        yield self._raise_incarnation(self.own.incarnation + 1)

    def _raise_incarnation(self, incarnation: int) -> Change:
        self.own = dataclasses.replace(self.own, incarnation=incarnation)
        return Change(ChangeKind.RENEWED, self.own)

    def _check_silence(self, entry: _Entry, now: float) -> Iterator[Change]:
        timing = self._timing
        silent = now - entry.updated_at
        match entry.member.standing:
            case Standing.ALIVE if now - entry.heartbeat_at > timing.suspect_after:
                yield Change(ChangeKind.SUSPECTED, entry.set_standing(Standing.SUSPECT))
            case Standing.SUSPECT | Standing.LEAVING if silent > timing.gone_after:
                yield Change(ChangeKind.GONE, entry.set_standing(Standing.GONE))
            case Standing.GONE if silent > timing.gone_after + timing.forget_after:
                del self._entries[entry.member.name]

    def _apply_sender_record(self, record: Record, now: float) -> Iterator[Change]:
        member = record.member
        entry = self._entries.get(member.name)
        if entry is None or member.incarnation > entry.member.incarnation:
            yield from self._add_member(record, now)
            yield from self._remove_predecessor(member)
            return
        if (member.incarnation, record.sequence) <= (entry.member.incarnation, entry.sequence):
            return  # delayed, replayed, or of an earlier incarnation
        if entry.member.standing is Standing.GONE:
            # A removed member does not return in the same incarnation: others may have acted on the
            # removal.  The sender gets an answer, and returns as a new incarnation.
            return
        entry.sequence = record.sequence
        entry.heartbeat_at = entry.updated_at = now
        yield from self._update_member(entry, member)

    def _update_member(self, entry: _Entry, member: Member) -> Iterator[Change]:
        before = entry.member.standing
        standing = Standing.LEAVING if before is Standing.LEAVING else member.standing
        entry.member = dataclasses.replace(member, standing=standing)
        entry.departed = standing is Standing.LEAVING
        if standing is before:
            return
        entry.relays_left = RELAY_ROUNDS
        kind = ChangeKind.LEAVING if standing is Standing.LEAVING else ChangeKind.REFUTED
        yield Change(kind, entry.member)

    def _add_member(self, record: Record, now: float) -> Iterator[Change]:
        member = record.member
        known = self._entries.get(member.name)
        if known is None and member.standing not in _PRESENT:
            return
        if member.standing is Standing.SUSPECT:
            member = dataclasses.replace(member, standing=Standing.ALIVE)
        self._entries[member.name] = _Entry(member, record.sequence, now, now)
        yield Change(ChangeKind.JOINED if known is None else ChangeKind.RETURNED, member)

    def _remove_predecessor(self, member: Member) -> Iterator[Change]:
        # A replacement host takes the address of its predecessor under another name.  The
        # predecessor is gone, and must not be counted until its timeout.
        for entry in self._entries.values():
            other = entry.member
            if other.name == member.name or other.standing is Standing.GONE:
                continue
            same = (other.address, other.port) == (member.address, member.port)
            if same and other.incarnation < member.incarnation:
                entry.departed = True
                yield Change(ChangeKind.GONE, entry.set_standing(Standing.GONE))

    def _apply_relayed_record(self, record: Record, now: float) -> Iterator[Change]:
        member = record.member
        if member.name == self.own.name:
            yield from self._refute(record)
            return
        entry = self._entries.get(member.name)
        if entry is None or member.incarnation > entry.member.incarnation:
            if member.standing is not Standing.GONE:
                yield from self._add_member(record, now)
            return
        if member.incarnation < entry.member.incarnation:
            return
        if entry.member.standing is Standing.GONE:
            return
        if member.standing is Standing.LEAVING:
            yield from self._update_member(entry, member)
        elif record.sequence > entry.sequence:
            entry.sequence = record.sequence
            entry.updated_at = now
            bundle = max(entry.member.bundle, member.bundle)
            entry.member = dataclasses.replace(entry.member, bundle=bundle)
        elif member.standing is Standing.SUSPECT and record.sequence < entry.sequence:
            # The newer sequence number known here refutes the suspicion.
            entry.relays_left = max(entry.relays_left, 1)

    def _refute(self, record: Record) -> Iterator[Change]:
        reported = record.member
        if reported.incarnation < self.own.incarnation or self.own.standing is Standing.LEAVING:
            return
        removed = reported.standing in (Standing.GONE, Standing.LEAVING)
        has_other_address = (reported.address, reported.port) != (self.own.address, self.own.port)
        if reported.incarnation > self.own.incarnation or removed or has_other_address:
            yield self._raise_incarnation(reported.incarnation + 1)


def _hash(member: Member) -> int:
    return xxhash.xxh64_intdigest(f"{member.name} {member.incarnation}".encode())
