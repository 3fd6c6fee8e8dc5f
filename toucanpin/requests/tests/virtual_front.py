"""Drive request paths on a virtual clock, with instances simulated by plain functions."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from toucanpin.bundles.schema import Service
from toucanpin.requests.messages import (
    ActionDone,
    Answer,
    AttemptEnded,
    AttemptPending,
    AwaitAttempt,
    Cancel,
    Claim,
    Claimed,
    Forward,
    Hedge,
    HeldClaim,
    Interrupted,
    Path,
    Refused,
    Relay,
    ReleaseClaim,
    Request,
    Responded,
    Response,
    TimedOut,
    WaitEnded,
    WaitForSlot,
)
from toucanpin.requests.path import serve_request
from toucanpin.requests.routing import InstanceShare
from toucanpin.requests.service import ServiceState

GRANT_INTERVAL_S = 0.05


@dataclass(slots=True)
class Attempt:
    """
    How an instance treats one attempt: it ends as ``kind`` after ``seconds``, with ``status``.

    An attempt that is "lost" ends for the front, while the instance runs it until its deadline.
    """

    seconds: float
    kind: str = "answered"
    status: int = 200


@dataclass(slots=True)
class Record:
    """A caller's request and its outcome."""

    request: Request
    answered_at: float = 0.0
    outcome: Any = None

    @property
    def ok(self) -> bool:
        """Return whether the caller got a good answer."""
        return isinstance(self.outcome, Response) and self.outcome.status == 200


Behave = Callable[[str, float], Attempt]


class Clock:
    """Virtual clock that runs callbacks in the order of their instants."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], Any]]] = []
        self._numbers = itertools.count()

    def at(self, instant: float, call: Callable[[], Any]) -> None:
        """Run a callback at an instant."""
        heapq.heappush(self._events, (max(instant, self.now), next(self._numbers), call))

    def run(self) -> None:
        """Run until no callbacks are left."""
        while self._events:
            self.now, _, call = heapq.heappop(self._events)
            call()


@dataclass(slots=True)
class Load:
    """
    Attempts by instance: all, those in flight and the highest number in flight at one time.

    ``timed_out`` counts the attempts without an answer by their deadline.
    """

    sent: dict[str, int] = field(default_factory=dict)
    in_flight: dict[str, int] = field(default_factory=dict)
    peak: dict[str, int] = field(default_factory=dict)
    timed_out: int = 0


class VirtualFront:
    """Simulated front of one entry host for one service."""

    def __init__(
        self, clock: Clock, service: Service, behave: Behave, load: Load, seed: int = 1
    ) -> None:
        self.clock = clock
        self.state = ServiceState(service, 0.1, "casco", Random(seed))
        self.records: list[Record] = []
        self.load = load
        self._behave = behave
        self._waiting: dict[Any, tuple[Path, Record]] = {}
        self._granting = False
        self._running: dict[Path, list[AttemptEnded]] = {}

    def update(self, shares: tuple[InstanceShare, ...]) -> None:
        """Set instances and shares."""
        self.state.update(shares, self.clock.now)
        self._wake()

    def submit(self, idempotent: bool = True, limit: float = 2.0, **options: str) -> Record:
        """Start one request now."""
        now = self.clock.now
        caller = options.get("caller", "c")
        request_id = options.get("request_id", "")
        request = Request(self.state.service.name, caller, request_id, idempotent, now, now + limit)
        record = Record(request)
        self.records.append(record)
        self._step(serve_request(request, self.state), record, None)
        return record

    def _step(self, path: Path, record: Record, outcome: Any) -> None:
        while True:
            try:
                action = path.send(outcome)
            except StopIteration:
                self._wake()
                return
            match action:
                case Answer(refusal=result) | Relay(response=result):
                    record.answered_at, record.outcome = self.clock.now, result
                    outcome = ActionDone(self.clock.now)
                    continue
                case ReleaseClaim():
                    outcome = ActionDone(self.clock.now)
                    continue
                case Cancel():
                    self._running.pop(path).clear()
                    outcome = ActionDone(self.clock.now)
                    continue
                case Claim(request_id=name):
                    self._resume_after(0.005, path, record, partial(_make_claimed, name))
                case Forward():
                    self._forward(path, record, action)
                case Hedge():
                    self._hedge(path, record, action)
                case AwaitAttempt():
                    self._await(path, record)
                case WaitForSlot(ticket=ticket, until=until):
                    self._wait(path, record, ticket, until)
            self._wake()
            return

    def _resume_after(
        self, seconds: float, path: Path, record: Record, make: Callable[[float], Any]
    ) -> None:
        at = self.clock.now + seconds
        self.clock.at(at, lambda: self._step(path, record, make(at)))

    def _wait(self, path: Path, record: Record, ticket: Any, until: float) -> None:
        self._waiting[ticket] = (path, record)
        self.clock.at(until, lambda: self._end_wait(ticket))
        self._grant_later()

    def _end_wait(self, ticket: Any) -> None:
        waiting = self._waiting.pop(ticket, None)
        if waiting is not None:
            self._step(*waiting, WaitEnded(self.clock.now))

    def _wake(self) -> None:
        settled, self.state.settled_tickets[:] = list(self.state.settled_tickets), []
        for ticket in settled:
            self.clock.at(self.clock.now, partial(self._end_wait, ticket))

    def _grant_later(self) -> None:
        if not self._granting:
            self._granting = True
            self.clock.at(self.clock.now + GRANT_INTERVAL_S, self._grant)

    def _grant(self) -> None:
        self._granting = False
        self.state.grant(self.clock.now)
        self._wake()
        if self._waiting:
            self._grant_later()

    def _forward(self, path: Path, record: Record, action: Forward) -> None:
        ends, outcome = self._begin(action)
        pending_at = action.pending_at
        if pending_at is None or ends <= pending_at:
            self._resume_after(ends - self.clock.now, path, record, lambda _: outcome)
            return
        self._running[path] = [AttemptEnded(action.instance, outcome)]
        self._resume_after(pending_at - self.clock.now, path, record, AttemptPending)

    def _hedge(self, path: Path, record: Record, action: Hedge) -> None:
        _, outcome = self._begin(action)
        self._running[path].append(AttemptEnded(action.instance, outcome))
        self._await(path, record)

    def _await(self, path: Path, record: Record) -> None:
        running = self._running[path]
        first = min(running, key=lambda ended: ended.outcome.at)
        running.remove(first)
        self._resume_after(first.outcome.at - self.clock.now, path, record, lambda _: first)

    def _begin(self, action: Forward | Hedge) -> tuple[float, Any]:
        """Start an attempt; return when it ends, and its outcome if it is not cancelled."""
        name = action.instance
        self.load.sent[name] = self.load.sent.get(name, 0) + 1
        self.load.in_flight[name] = self.load.in_flight.get(name, 0) + 1
        self.load.peak[name] = max(self.load.peak.get(name, 0), self.load.in_flight[name])
        attempt = self._behave(name, self.clock.now)
        times_out = self.clock.now + attempt.seconds > action.deadline
        ended_at = min(self.clock.now + attempt.seconds, action.deadline)
        self.load.timed_out += times_out

        def finish() -> None:
            self.load.in_flight[name] -= 1

        # In the worst case, simulated here, a cancelled attempt keeps its instance busy.
        self.clock.at(action.deadline if attempt.kind == "lost" else ended_at, finish)
        return ended_at, TimedOut(ended_at) if times_out else _make_outcome(attempt, ended_at)


def _make_claimed(name: str, at: float) -> Claimed:
    return Claimed(at, HeldClaim(name, 1))


def _make_outcome(attempt: Attempt, at: float) -> Any:
    match attempt.kind:
        case "refused":
            return Refused(at, "refused")
        case "interrupted" | "lost":
            return Interrupted(at, "interrupted")
        case "not run":
            return Responded(at, Response(503, "", (), b"", None, True))
        case _:
            return Responded(at, Response(attempt.status, "", (), b""))


def share_evenly(names: list[str], slots: int = 8) -> tuple[InstanceShare, ...]:
    """Return shares with the same number of slots of each instance."""
    return tuple(InstanceShare(name, "casco", slots) for name in names)
