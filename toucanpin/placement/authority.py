"""
Authority of control processes
==============================

Decide how long a control process may grant leases, how its authority is extended during an outage
of the table, and when another process may rely on its end.

A control process renews its own row by compare-and-set.  Its authority ends one term after the
*start* of the last renewal that is known to have succeeded.  During an outage it asks every process
on its roster for a standstill: a promise not to fence it for one term.  A process that isn't on
the roster has to wait for ``max_authority``, which bounds any chain of promises.
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

RENEWAL_RETRIES_PER_TERM = 9  # while the table does not answer


class Authority:
    """Authority of this process: its row and the time until which it may grant leases."""

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
        """Return whether leases may be granted."""
        return not self.fenced and now < self.until

    def renew(
        self, now: float, roster: tuple[ControllerId, ...], ceded: dict[str, int]
    ) -> Decision[bool]:
        """
        Renew the row when due; extend the authority by promises if the table does not answer.

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
        # A write whose answer is lost may still take effect.  Until a renewal is known to have
        # succeeded, the processes of every roster that the row may hold have to promise.
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
                self._next_renewal = now + self.terms.authority / RENEWAL_RETRIES_PER_TERM
                yield from self._extend_by_promises(answer.now)
        return True

    def _adopt_own_row(self, rows: tuple[Row, ...]) -> Decision[None]:
        """Adopt the stored row: the result of an own write whose answer was lost, or of a fence."""
        for row in rows:
            self._version = row.version
            if row.version == ABSENT:
                # The row was deleted as expired: no cell names this process as an owner any more.
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
        """Extend the authority by a term if every process that could fence us promises not to."""
        peers = tuple(sorted(self._possible_roster - {self.controller_id}))
        limit = self._renewed_at + self.terms.max_authority
        if self.fenced or self._version == ABSENT or now >= self.until or now >= limit:
            return
        promised: frozenset[ControllerId] = frozenset()
        if peers:
            answer = yield AskStandstill(self.controller_id, peers)
            promised = answer.value
        if promised >= frozenset(peers):
            # Counted from before the question was sent, so the promises end later than this.
            self.until = max(self.until, min(now + self.terms.authority, limit))
        else:
            missing = ", ".join(peer.process for peer in peers if peer not in promised)
            yield RecordEvent("authority.promise-missing", {}, missing)

    def release(self) -> Decision[None]:
        """Release the authority, after all cells have been released."""
        self.until = 0.0
        row = AuthorityRow(self.controller_id, self._renewal + 1, (), released=True)
        write = Write(authority_key(self.controller_id), self._version, encode(row))
        token = f"{self.controller_id.process}/{self.controller_id.incarnation}/release"
        yield Commit(Transaction(token, (write,)))


@dataclass(slots=True)
class ObservedRow:
    """Authority row of another process and when (own clock, s) this version was first read."""

    row: AuthorityRow
    version: int
    since: float


class AuthorityWatch:
    """
    Observer of the authority rows of other processes, which fences them or promises not to.

    ``answer_standstill`` is called by another thread between the steps of a decision.  Fences are
    therefore marked as in flight before the transaction is sent.
    """

    def __init__(self, controller_id: ControllerId, terms: LeaseTerms) -> None:
        """Start without any observed row."""
        self.controller_id = controller_id
        self.terms = terms
        self.table_reachable = False
        self.read_at = 0.0
        self._observed: dict[ControllerId, ObservedRow] = {}
        self._promised: dict[ControllerId, float] = {}
        self._fencing: dict[ControllerId, int] = {}

    def observe(self, rows: Iterable[Row], now: float) -> None:
        """Record rows that were read at or before ``now``."""
        for row in rows:
            stored = decode(row.value, AuthorityRow)
            observed = self._observed.get(stored.holder)
            if observed is None or observed.version < row.version:
                self._observed[stored.holder] = ObservedRow(stored, row.version, now)

    def unchanged_for(self, controller: ControllerId, now: float) -> float | None:
        """Return for how long (s) a process's row has been unchanged, None if never read."""
        observed = self._observed.get(controller)
        return None if observed is None else now - observed.since

    def has_no_authority(self, controller: ControllerId) -> bool:
        """Return whether a process's row says that it has been fenced or released."""
        observed = self._observed.get(controller)
        return observed is not None and (observed.row.fenced or observed.row.released)

    def has_ended(self, controller: ControllerId, cell: str, epoch: int, now: float) -> bool:
        """Return whether a process is proven unable to renew leases of a cell at an epoch."""
        observed = self._observed.get(controller)
        if observed is None:
            return False
        if observed.row.fenced or observed.row.ceded.get(cell, 0) >= epoch:
            return True
        if observed.row.released and now - observed.since >= self.terms.add_drift(self.terms.lease):
            return True
        # This bounds every chain of promises, so it holds for processes off the roster too.
        return now - observed.since >= self.terms.add_drift(self.terms.max_authority)

    def may_fence(self, controller: ControllerId, now: float) -> bool:
        """Return whether this process, as a member of the roster, may fence another one now."""
        observed = self._observed.get(controller)
        if observed is None or observed.row.fenced or self.controller_id not in observed.row.roster:
            return False
        if now < self._promised.get(controller, 0.0):
            return False
        return now - observed.since >= self.terms.add_drift(self.terms.authority)

    def fence(self, controller: ControllerId, now: float) -> Decision[None]:
        """Mark the row of a process as fenced, unless it has changed since it was last read."""
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
        # The write would break a promise that is given while it is in flight or after its answer
        # was lost, so the mark stays until the row is read at a higher version.
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
        """Return the processes that have ended for good, with the versions of their rows."""
        absent = (
            (controller, observed)
            for controller, observed in self._observed.items()
            if controller not in present
        )
        return tuple(
            (controller, observed.version)
            for controller, observed in absent
            if self._is_expired(observed, now)
        )

    def _is_expired(self, observed: ObservedRow, now: float) -> bool:
        wait = self.terms.max_authority
        if observed.row.fenced or observed.row.released:
            wait = self.terms.authority
        return now - observed.since >= self.terms.add_drift(wait)

    def forget(self, controller: ControllerId) -> None:
        """Drop a process whose row was deleted."""
        self._observed.pop(controller, None)
        self._promised.pop(controller, None)
        self._fencing.pop(controller, None)

    def answer_standstill(self, holder: ControllerId, now: float) -> bool:
        """Promise not to fence a holder for one term, or refuse if the table is reachable here."""
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
