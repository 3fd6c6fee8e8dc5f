"""
Admission
=========

The bounded queue of one service.  It is aware of deadlines and fair among callers; what can't be
served in time is refused at once, with the time to come back.
"""

from __future__ import annotations

from collections import deque
from random import Random

from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["Admission", "Ticket", "refuse_overload"]

MEAN_WEIGHT = 0.05
MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 30.0


class Ticket:
    """Stand in the queue; ``granted`` names the instance once there is a slot."""

    __slots__ = ("caller", "deadline", "tried", "granted", "refusal", "queued")

    def __init__(self, caller: str, deadline: float, tried: frozenset[str]) -> None:
        self.caller = caller
        self.deadline = deadline
        self.tried = tried
        self.granted: str | None = None
        self.refusal: Refusal | None = None
        self.queued = False

    @property
    def settled(self) -> bool:
        """Say whether the wait is over."""
        return self.granted is not None or self.refusal is not None


def refuse_overload(detail: str, wait: float, rng: Random) -> Refusal:
    """Refuse as not run, to come back after about ``wait`` seconds, jittered."""
    base = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
    seconds = base * rng.uniform(1.0, 2.0)
    return Refusal(Verdict.NOT_RUN, Reason.OVERLOAD, detail, retry_after=seconds)


class Admission:
    """Queue tickets: first in, first out for each caller, callers in turn."""

    __slots__ = ("limit", "_rng", "_lines", "_turns", "_length", "claiming", "slots", "mean")

    def __init__(self, limit: int, rng: Random) -> None:
        self.limit = limit
        self._rng = rng
        self._lines: dict[str, deque[Ticket]] = {}
        self._turns: deque[str] = deque()
        self._length = 0
        self.claiming = 0
        self.slots = 0
        self.mean = 0.0

    def __len__(self) -> int:
        return self._length

    def observe(self, seconds: float) -> None:
        """Take in how long a slot was held."""
        self.mean = seconds if self.mean == 0.0 else self.mean + (seconds - self.mean) * MEAN_WEIGHT

    def expect_wait(self) -> float:
        """Estimate the wait of a request that came now and found no slot, in seconds."""
        return (self._length + self.claiming + 1) * self.mean / max(1, self.slots)

    def check(self, caller: str, deadline: float, now: float, free: bool) -> Refusal | None:
        """Refuse what can't be served in time, or what the queue can't hold."""
        if deadline <= now:
            return Refusal(Verdict.NOT_RUN, Reason.DEADLINE, "the deadline has passed")
        if free:
            return None
        wait = self.expect_wait()
        if now + wait + self.mean > deadline:
            return refuse_overload("the queue is too long for the deadline", wait, self._rng)
        if self._length + self.claiming < self.limit or self._find_heavier(caller) is not None:
            return None
        return refuse_overload("the queue is full", wait, self._rng)

    def enter(self, ticket: Ticket, urgent: bool = False) -> Ticket | None:
        """
        Queue a ticket and return the one that it pushed out, if any.

        With the queue full, the newest ticket of the caller with the longest line gives way to a
        caller with a shorter one, so one caller can't lock the others out.
        """
        loser = None
        if self._length >= self.limit and not urgent:
            heavier = self._find_heavier(ticket.caller)
            loser = ticket if heavier is None else self._lines[heavier][-1]
            loser.refusal = refuse_overload("the queue is full", self.expect_wait(), self._rng)
            if loser is ticket:
                return loser
            self.remove(loser)
        line = self._lines.get(ticket.caller)
        if line is None:
            line = self._lines[ticket.caller] = deque()
            self._turns.append(ticket.caller)
        if urgent:
            line.appendleft(ticket)
        else:
            line.append(ticket)
        ticket.queued = True
        self._length += 1
        return loser

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out of the queue if it is there."""
        if not ticket.queued:
            return
        ticket.queued = False
        line = self._lines[ticket.caller]
        line.remove(ticket)
        self._length -= 1
        if not line:
            self._drop(ticket.caller)

    def peek(self) -> Ticket | None:
        """Return the ticket whose turn it is."""
        return self._lines[self._turns[0]][0] if self._turns else None

    def pop(self) -> None:
        """Take out the ticket whose turn it is and let the next caller have its turn."""
        caller = self._turns[0]
        ticket = self._lines[caller].popleft()
        ticket.queued = False
        self._length -= 1
        if self._lines[caller]:
            self._turns.rotate(-1)
        else:
            self._drop(caller)

    def _drop(self, caller: str) -> None:
        del self._lines[caller]
        self._turns.remove(caller)

    def _find_heavier(self, caller: str) -> str | None:
        own = len(self._lines.get(caller, ()))
        heaviest = max(self._lines, key=lambda name: len(self._lines[name]), default=None)
        if heaviest is None or len(self._lines[heaviest]) <= own + 1:
            return None
        return heaviest
