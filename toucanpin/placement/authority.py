"""
Authority of control processes
==============================

How long a control process may grant leases, how it goes on through an outage of the table, and when
another may take for proven that it has ended.

A life renews its own row by compare-and-set; its authority ends one term after the *start* of the
last renewal that surely succeeded.  In an outage every life on its roster is asked for a standstill
promise not to fence it for one term.  Whoever isn't on the roster waits the long hold, which no
chain of promises outlives.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from expression import Result

from toucanpin.placement.actions import AskStandstill, Commit, Decision, RecordEvent
from toucanpin.placement.leases import LeaseTerms
from toucanpin.placement.records import AuthorityRow, ControllerId, authority_key, decode, encode
from toucanpin.platform.ports import (
    ABSENT,
    Committed,
    Conflict,
    Row,
    Transaction,
    Unavailable,
    Unknown,
    Write,
)

__all__ = ["Authority", "AuthorityWatch", "ObservedRow"]

RETRIES_PER_TERM = 9


class Authority:
    """Keep this life's own row and the end of what it may grant."""

    def __init__(self, controller_id: ControllerId, terms: LeaseTerms) -> None:
        """Start without authority."""
        self.controller_id = controller_id
        self.terms = terms
        self.until = 0.0
        self.fenced = False
        self.table_answered = False
        self._version = ABSENT
        self._renewal = 0
        self._renewed_at = 0.0
        self._next_renewal = 0.0
        self._possible_roster: frozenset[ControllerId] = frozenset()

    def holds(self, now: float) -> bool:
        """Tell whether leases may be granted."""
        return not self.fenced and now < self.until

    def renew(
        self, now: float, roster: tuple[ControllerId, ...], ceded: dict[str, int]
    ) -> Decision[bool]:
        """
        Renew the row when it is due; go on by standstill promises if the table is out.

        Return whether the table was asked; ``table_answered`` then says whether it answered.
        """
        if now < self._next_renewal:
            return False
        self._renewal += 1
        row = AuthorityRow(self.controller_id, self._renewal, roster, ceded=ceded)
        token = (
            f"{self.controller_id.process}/{self.controller_id.incarnation}/"
            f"renew/{self._renewal}"
        )
        write = Write(authority_key(self.controller_id), self._version, encode(row))
        # A write whose answer is lost may take effect, also later: until a renewal surely succeeds
        # the lives of every roster that may stand in the row have to promise.
        self._possible_roster |= frozenset(roster)
        answer = yield Commit(Transaction(token, (write,)))
        self.table_answered = True
        match answer.value:
            case Result(tag="ok", ok=Committed(version)):
                self._version = version
                self._renewed_at = now
                self._possible_roster = frozenset(roster)
                self.until = max(self.until, now + self.terms.authority)
                self.fenced = False
                self._next_renewal = now + self.terms.renew_every
            case Result(tag="error", error=Conflict(rows)):
                yield from self._adopt_own_row(rows)
            case Result(tag="error", error=Unavailable() | Unknown()):
                self.table_answered = False
                self._next_renewal = now + self.terms.authority / RETRIES_PER_TERM
                yield from self._extend_by_promises(answer.now)
        return True

    def _adopt_own_row(self, rows: tuple[Row, ...]) -> Decision[None]:
        """Learn what stands in our row: an own write whose answer was lost, or a fence."""
        for row in rows:
            self._version = row.version
            if row.version == ABSENT:
                # The row was collected: nothing refers to this life as an owner any more.
                self.fenced = True
                self.until = 0.0
                continue
            stored = decode(row.value, AuthorityRow)
            self._renewal = max(self._renewal, stored.renewal)
            if stored.fenced:
                self.fenced = True
                self.until = 0.0
                yield RecordEvent("authority.fenced", {}, self.controller_id.process)

    def _extend_by_promises(self, now: float) -> Decision[None]:
        """Go on for a term if every life that could fence us has promised not to."""
        peers = tuple(sorted(self._possible_roster - {self.controller_id}))
        limit = self._renewed_at + self.terms.max_authority
        if self.fenced or self._version == ABSENT or now >= self.until or now >= limit:
            return
        promised: frozenset[ControllerId] = frozenset()
        if peers:
            answer = yield AskStandstill(self.controller_id, peers)
            promised = answer.value
        if promised >= frozenset(peers):
            # Counted from before the question, the promise began later and ends later for them.
            self.until = max(self.until, min(now + self.terms.authority, limit))
        else:
            missing = ", ".join(peer.process for peer in peers if peer not in promised)
            yield RecordEvent("authority.promise-missing", {}, missing)

    def release(self) -> Decision[None]:
        """Give up all authority, after the cells were released."""
        self.until = 0.0
        row = AuthorityRow(self.controller_id, self._renewal + 1, (), released=True)
        write = Write(authority_key(self.controller_id), self._version, encode(row))
        token = f"{self.controller_id.process}/{self.controller_id.incarnation}/release"
        yield Commit(Transaction(token, (write,)))


@dataclass(slots=True)
class ObservedRow:
    """Hold another life's row and since when (own clock, seconds) its version is unchanged."""

    row: AuthorityRow
    version: int
    since: float


class AuthorityWatch:
    """
    Watch the rows of other lives, fence them, and promise not to.

    ``answer_standstill`` is called by another thread between steps of a decision; the fences that
    are under way are therefore marked before the transaction is sent.
    """

    def __init__(self, controller_id: ControllerId, terms: LeaseTerms) -> None:
        """Start without having seen any row."""
        self.controller_id = controller_id
        self.terms = terms
        self.table_reachable = False
        self.read_at = 0.0
        self._observed: dict[ControllerId, ObservedRow] = {}
        self._promised: dict[ControllerId, float] = {}
        self._fencing: dict[ControllerId, int] = {}

    def observe(self, rows: Iterable[Row], now: float) -> None:
        """Take in rows read at or before ``now``."""
        for row in rows:
            stored = decode(row.value, AuthorityRow)
            observed = self._observed.get(stored.holder)
            if observed is None or observed.version < row.version:
                self._observed[stored.holder] = ObservedRow(stored, row.version, now)

    def unchanged_for(self, controller: ControllerId, now: float) -> float | None:
        """Return for how many seconds a life's row has stood unchanged, None if never seen."""
        observed = self._observed.get(controller)
        return None if observed is None else now - observed.since

    def has_no_authority(self, controller: ControllerId) -> bool:
        """Tell whether a life's row says that it grants nothing any more."""
        observed = self._observed.get(controller)
        return observed is not None and (observed.row.fenced or observed.row.released)

    def has_ended(self, controller: ControllerId, cell: str, epoch: int, now: float) -> bool:
        """Tell whether a life can certainly not renew a lease of a cell at an epoch any more."""
        observed = self._observed.get(controller)
        if observed is None:
            return False
        if observed.row.fenced or observed.row.ceded.get(cell, 0) >= epoch:
            return True
        if observed.row.released and now - observed.since >= self.terms.add_drift(self.terms.lease):
            return True
        # The long hold bounds every chain of promises, so it needs no place on the roster.
        return now - observed.since >= self.terms.add_drift(self.terms.max_authority)

    def may_fence(self, controller: ControllerId, now: float) -> bool:
        """Tell whether a life's authority has ended as far as this member of its roster knows."""
        observed = self._observed.get(controller)
        if observed is None or observed.row.fenced or self.controller_id not in observed.row.roster:
            return False
        if now < self._promised.get(controller, 0.0):
            return False
        return now - observed.since >= self.terms.add_drift(self.terms.authority)

    def fence(self, controller: ControllerId, now: float) -> Decision[None]:
        """Mark a life's row as fenced if it still stands as it was seen."""
        if not self.may_fence(controller, now):
            return
        observed = self._observed[controller]
        fenced = AuthorityRow(
            controller,
            observed.row.renewal,
            observed.row.roster,
            fenced=True,
            ceded=observed.row.ceded,
        )
        token = (
            f"{self.controller_id.process}/{self.controller_id.incarnation}/"
            f"fence/{controller.process}/{observed.version}"
        )
        write = Write(authority_key(controller), observed.version, encode(fenced))
        # A promise given while this write is under way, or after its answer was lost, would be
        # broken by the write: the mark stays until the row is seen at another version.
        self._fencing[controller] = observed.version
        answer = yield Commit(Transaction(token, (write,)))
        match answer.value:
            case Result(tag="ok", ok=Committed(version)):
                self._observed[controller] = ObservedRow(fenced, version, answer.now)
                yield RecordEvent("authority.fence", {}, controller.process)
            case Result(tag="error", error=Conflict(rows)):
                self.observe((row for row in rows if row.version != ABSENT), answer.now)
            case Result(tag="error", error=Unavailable()):
                del self._fencing[controller]

    def find_expired(
        self, now: float, present: frozenset[ControllerId]
    ) -> tuple[tuple[ControllerId, int], ...]:
        """Return the lives, with the versions of their rows, that are gone for good."""
        gone = (
            (controller, observed)
            for controller, observed in self._observed.items()
            if controller not in present
        )
        return tuple(
            (controller, observed.version)
            for controller, observed in gone
            if self._is_expired(observed, now)
        )

    def _is_expired(self, observed: ObservedRow, now: float) -> bool:
        wait = self.terms.max_authority
        if observed.row.fenced or observed.row.released:
            wait = self.terms.authority
        return now - observed.since >= self.terms.add_drift(wait)

    def forget(self, controller: ControllerId) -> None:
        """Drop a life whose row was deleted."""
        self._observed.pop(controller, None)
        self._promised.pop(controller, None)
        self._fencing.pop(controller, None)

    def answer_standstill(self, holder: ControllerId, now: float) -> bool:
        """Promise not to fence a holder for one term, unless the table can be read here."""
        observed = self._observed.get(holder)
        if self.table_reachable or self._is_fencing(holder) or (observed and observed.row.fenced):
            return False
        until = now + self.terms.add_drift(self.terms.authority)
        self._promised[holder] = max(until, self._promised.get(holder, 0.0))
        return True

    def _is_fencing(self, holder: ControllerId) -> bool:
        version = self._fencing.get(holder)
        if version is None:
            return False
        observed = self._observed.get(holder)
        return observed is None or observed.version <= version
