"""
Admission
=========

The bounded queue of one service, aware of deadlines and fair among callers.  Requests that cannot
be served before their deadline are refused at once, with a time after which to retry.
"""

from __future__ import annotations

from collections import deque
from random import Random

from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["AdmissionQueue", "Ticket", "refuse_overload"]

HOLD_TIME_WEIGHT = 0.05
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0


class Ticket:
    """A request's place in the queue; ``granted`` is the instance once a slot is granted."""

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
        """Return whether a slot was granted or refused."""
        return self.granted is not None or self.refusal is not None


def refuse_overload(detail: str, wait: float, rng: Random) -> Refusal:
    """Return a refusal as not run, to be retried after ``wait`` seconds with jitter."""
    base = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))
    seconds = base * rng.uniform(1.0, 2.0)
    return Refusal(Verdict.NOT_RUN, Reason.OVERLOAD, detail, retry_after=seconds)


class AdmissionQueue:
    """Queue of tickets: first in, first out for each caller, round-robin among callers."""

    __slots__ = (
        "limit",
        "_rng",
        "_queues",
        "_callers",
        "_length",
        "claims_in_progress",
        "slots",
        "mean_hold_time",
    )

    def __init__(self, limit: int, rng: Random) -> None:
        self.limit = limit
        self._rng = rng
        self._queues: dict[str, deque[Ticket]] = {}
        self._callers: deque[str] = deque()
        self._length = 0
        self.claims_in_progress = 0
        self.slots = 0
        self.mean_hold_time = 0.0

    def __len__(self) -> int:
        return self._length

    def observe(self, seconds: float) -> None:
        """Record how long a slot was held."""
        self.mean_hold_time = (
            seconds
            if self.mean_hold_time == 0.0
            else self.mean_hold_time + (seconds - self.mean_hold_time) * HOLD_TIME_WEIGHT
        )

    def estimate_wait(self) -> float:
        """Return the expected wait in seconds of a request that arrives now and finds no slot."""
        return (
            (self._length + self.claims_in_progress + 1) * self.mean_hold_time / max(1, self.slots)
        )

    def check(self, caller: str, deadline: float, now: float, free: bool) -> Refusal | None:
        """Refuse a request that cannot be served in time or that finds the queue full."""
        if deadline <= now:
            return Refusal(Verdict.NOT_RUN, Reason.DEADLINE, "the deadline has passed")
        if free:
            return None
        wait = self.estimate_wait()
        if now + wait + self.mean_hold_time > deadline:
            return refuse_overload("the queue is too long for the deadline", wait, self._rng)
        if (
            self._length + self.claims_in_progress < self.limit
            or self._find_longer_queue(caller) is not None
        ):
            return None
        return refuse_overload("the queue is full", wait, self._rng)

    def enqueue(self, ticket: Ticket, at_front: bool = False) -> Ticket | None:
        """
        Queue a ticket and return the ticket refused in exchange, if any.

        If the queue is full, the newest ticket of the caller with the most tickets is refused in
        favour of a caller with fewer, so that one caller can't starve the others.
        """
        displaced = None
        if self._length >= self.limit and not at_front:
            longer = self._find_longer_queue(ticket.caller)
            displaced = ticket if longer is None else self._queues[longer][-1]
            displaced.refusal = refuse_overload(
                "the queue is full", self.estimate_wait(), self._rng
            )
            if displaced is ticket:
                return displaced
            self.remove(displaced)
        queue = self._queues.get(ticket.caller)
        if queue is None:
            queue = self._queues[ticket.caller] = deque()
            self._callers.append(ticket.caller)
        if at_front:
            queue.appendleft(ticket)
        else:
            queue.append(ticket)
        ticket.queued = True
        self._length += 1
        return displaced

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket from the queue if it is queued."""
        if not ticket.queued:
            return
        ticket.queued = False
        queue = self._queues[ticket.caller]
        queue.remove(ticket)
        self._length -= 1
        if not queue:
            self._remove_caller(ticket.caller)

    def peek(self) -> Ticket | None:
        """Return the next ticket, None if the queue is empty."""
        return self._queues[self._callers[0]][0] if self._callers else None

    def pop(self) -> None:
        """Remove the next ticket and move its caller behind the others."""
        caller = self._callers[0]
        ticket = self._queues[caller].popleft()
        ticket.queued = False
        self._length -= 1
        if self._queues[caller]:
            self._callers.rotate(-1)
        else:
            self._remove_caller(caller)

    def _remove_caller(self, caller: str) -> None:
        del self._queues[caller]
        self._callers.remove(caller)

    def _find_longer_queue(self, caller: str) -> str | None:
        own = len(self._queues.get(caller, ()))
        longest = max(self._queues, key=lambda name: len(self._queues[name]), default=None)
        if longest is None or len(self._queues[longest]) <= own + 1:
            return None
        return longest
