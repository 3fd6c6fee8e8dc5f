"""
Budget of a listener's clients
==============================

Count connections and what each holds, and choose which client gives way when it is too much.

Notes
-----
A complete request never gives way to an incomplete one.  Among the others, clients without progress
for ``STALL_S`` give way first, the one that stands still for longest before the rest.  If all make
progress, the request that began last gives way: a crowd of new clients can't push out one that
sends slowly but steadily.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from toucanpin.clients.limits import BASE_BYTES, Limits

__all__ = ["Account", "Budget", "Reason"]

STALL_S = 2.0  # without progress, after which a client gives way before all that make some
REQUEST_TIMEOUT_S = 30.0  # from a request's first byte to its last; no caller waits for longer
ANSWER_TIMEOUT_S = 30.0  # for which a client may read nothing of its answers
IDLE_TIMEOUT_S = 600.0  # without a request, after which a connection is closed


class Reason(enum.Enum):
    """Reason for which a client was refused or its connection closed."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    REQUEST_TIMEOUT = "request timeout"
    ANSWER_TIMEOUT = "answer timeout"
    IDLE = "idle"
    MALFORMED = "malformed"
    SIZE = "size"
    PIPELINED = "pipelined"


@dataclass(slots=True, eq=False)
class Account:
    """
    What one connection holds; times are of the budget's clock.

    ``give_way`` drops the connection's incomplete request and unread answers, and counts anew what
    it holds.
    """

    give_way: Callable[[Reason], None]
    changed_at: float  # when input arrived or answers were read last
    held: int = 0  # bytes above BASE_BYTES
    answering: bool = False  # whether there are complete requests without an answer
    receiving_since: float | None = None  # when the first byte of an incomplete request arrived
    blocked_since: float | None = None  # since when the client has read nothing of its answers

    @property
    def can_give_way(self) -> bool:
        """Return whether the client can be refused without breaking off a complete request."""
        return self.receiving_since is not None or self.blocked_since is not None


class Budget:
    """Accounts of one listener, and what they hold together."""

    __slots__ = ("_clock", "_largest", "accounts", "counts", "held", "limits")

    def __init__(self, limits: Limits, clock: Callable[[], float]) -> None:
        self.limits = limits
        self.accounts: set[Account] = set()
        self.held = 0  # bytes above BASE_BYTES of each connection
        self.counts: Counter[Reason] = Counter()
        self._clock = clock
        self._largest = 0

    def reserve(self, largest: int) -> None:
        """Let a single client hold ``largest`` bytes, whatever the limit."""
        self._largest = largest

    def open(self, give_way: Callable[[Reason], None]) -> Account | None:
        """Return an account for a new connection, None if no other one can be closed for it."""
        if len(self.accounts) >= self.limits.connections:
            self.counts[Reason.CONNECTIONS] += 1
            replaced = self._choose_replaced()
            if replaced is None:
                return None
            self.close(replaced)
            replaced.give_way(Reason.CONNECTIONS)
        account = Account(give_way, self._clock())
        self.accounts.add(account)
        return account

    def close(self, account: Account) -> None:
        """Forget a connection and what it held."""
        if account in self.accounts:
            self.accounts.discard(account)
            self.held -= account.held
            account.held = 0

    def record_progress(self, account: Account, receiving: bool) -> None:
        """Record input of a connection, and whether a request is incomplete after it."""
        account.changed_at = self._clock()
        if not receiving:
            account.receiving_since = None
        elif account.receiving_since is None:
            account.receiving_since = account.changed_at

    def record_unread(self, account: Account, unread: bool) -> None:
        """Record whether the client leaves answers unread."""
        if not unread:
            account.blocked_since = None
        elif account.blocked_since is None:
            account.blocked_since = self._clock()

    def hold(self, account: Account, size: int) -> None:
        """Set what a connection holds in bytes; others or itself give way if it is too much."""
        if account not in self.accounts:
            return
        held = max(0, size - BASE_BYTES)
        self.held += held - account.held
        account.held = held
        while not self.has_room():
            victim = self._choose_victim()
            if victim is None:
                return
            self.refuse(victim, Reason.MEMORY)

    def has_room(self) -> bool:
        """Return whether all that is held is within the limit."""
        return self.held <= max(self.limits.held, self._largest)

    def sweep(self) -> None:
        """Let the clients give way whose time is over."""
        now = self._clock()
        for account in tuple(self.accounts):
            reason = _find_timeout(account, now)
            if reason is not None:
                self.refuse(account, reason)

    def refuse(self, account: Account, reason: Reason) -> None:
        """Let a client give way."""
        self.counts[reason] += 1
        account.receiving_since = None
        account.blocked_since = None
        account.give_way(reason)

    def _choose_victim(self) -> Account | None:
        """Return the client that gives way, None if only complete requests are held."""
        holding = [it for it in self.accounts if it.held and it.can_give_way]
        # An answer that was just written is on its way, also to a client that reads.
        blocked_before = self._clock() - STALL_S
        return self._choose(
            [it for it in holding if it.blocked_since is None or it.blocked_since < blocked_before]
        )

    def _choose_replaced(self) -> Account | None:
        """Return the connection that is closed for a new one, None if all are being answered."""
        unanswering = [
            it for it in self.accounts if not it.answering or it.blocked_since is not None
        ]
        stalled_before = self._clock() - STALL_S
        unused = [it for it in unanswering if not it.can_give_way or it.changed_at < stalled_before]
        if unused:
            return min(unused, key=_get_change)
        return max(unanswering, key=_get_begin, default=None)

    def _choose(self, accounts: list[Account]) -> Account | None:
        """Return the one that stands still for longest, or else the one that began last."""
        oldest = min(accounts, key=_get_change, default=None)
        if oldest is None or oldest.changed_at < self._clock() - STALL_S:
            return oldest
        return max(accounts, key=_get_begin)


def _get_change(account: Account) -> float:
    return account.changed_at


def _get_begin(account: Account) -> float:
    return account.receiving_since or account.blocked_since or account.changed_at


def _find_timeout(account: Account, now: float) -> Reason | None:
    if account.receiving_since is not None and now - account.receiving_since > REQUEST_TIMEOUT_S:
        return Reason.REQUEST_TIMEOUT
    if account.blocked_since is not None and now - account.blocked_since > ANSWER_TIMEOUT_S:
        return Reason.ANSWER_TIMEOUT
    waits = account.answering or account.can_give_way
    if not waits and now - account.changed_at > IDLE_TIMEOUT_S:
        return Reason.IDLE
    return None
