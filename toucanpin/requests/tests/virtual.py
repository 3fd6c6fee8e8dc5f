"""Drive real paths of requests on a virtual clock, with instances that are plain functions."""

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

GRANT_SECONDS = 0.05


@dataclass(slots=True)
class Attempt:
    """
    Say how an instance treats one attempt: ``kind`` after ``seconds``, with this status.

    After "lost" the instance works on until the attempt's deadline.
    """

    seconds: float
    kind: str = "whole"
    status: int = 200


@dataclass(slots=True)
class Record:
    """Keep what one caller saw."""

    request: Request
    answered: float = 0.0
    outcome: Any = None

    @property
    def ok(self) -> bool:
        """Say whether the caller got a good answer."""
        return isinstance(self.outcome, Response) and self.outcome.status == 200


Behave = Callable[[str, float], Attempt]


class Clock:
    """Run callbacks in the order of their virtual instants."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], Any]]] = []
        self._numbers = itertools.count()

    def at(self, instant: float, call: Callable[[], Any]) -> None:
        """Run a callback at an instant."""
        heapq.heappush(self._events, (max(instant, self.now), next(self._numbers), call))

    def run(self) -> None:
        """Run until nothing is left."""
        while self._events:
            self.now, _, call = heapq.heappop(self._events)
            call()


@dataclass(slots=True)
class Load:
    """
    Count what each instance got, and the most that it had at one time.

    ``cut`` counts the attempts that had no answer by their deadline.
    """

    sent: dict[str, int] = field(default_factory=dict)
    busy: dict[str, int] = field(default_factory=dict)
    most: dict[str, int] = field(default_factory=dict)
    cut: int = 0


class VirtualFront:
    """Serve one service as one entry host would."""

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
        """Take in instances and shares."""
        self.state.update(shares, self.clock.now)
        self._wake()

    def ask(self, idempotent: bool = True, limit: float = 2.0, **options: str) -> Record:
        """Begin one request now."""
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
                    record.answered, record.outcome = self.clock.now, result
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
                    self._later(0.005, path, record, partial(_hold_claim, name))
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

    def _later(
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
            self.clock.at(self.clock.now + GRANT_SECONDS, self._grant)

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
            self._later(ends - self.clock.now, path, record, lambda _: outcome)
            return
        self._running[path] = [AttemptEnded(action.instance, outcome)]
        self._later(pending_at - self.clock.now, path, record, AttemptPending)

    def _hedge(self, path: Path, record: Record, action: Hedge) -> None:
        _, outcome = self._begin(action)
        self._running[path].append(AttemptEnded(action.instance, outcome))
        self._await(path, record)

    def _await(self, path: Path, record: Record) -> None:
        running = self._running[path]
        first = min(running, key=lambda ended: ended.outcome.at)
        running.remove(first)
        self._later(first.outcome.at - self.clock.now, path, record, lambda _: first)

    def _begin(self, action: Forward | Hedge) -> tuple[float, Any]:
        """Begin an attempt; return when it ends, and how if nobody cancels it."""
        name = action.instance
        self.load.sent[name] = self.load.sent.get(name, 0) + 1
        self.load.busy[name] = self.load.busy.get(name, 0) + 1
        self.load.most[name] = max(self.load.most.get(name, 0), self.load.busy[name])
        attempt = self._behave(name, self.clock.now)
        late = self.clock.now + attempt.seconds > action.deadline
        ends = min(self.clock.now + attempt.seconds, action.deadline)
        self.load.cut += late

        def leave() -> None:
            self.load.busy[name] -= 1

        # A cancelled attempt keeps its instance busy all the same, the worst case.
        self.clock.at(action.deadline if attempt.kind == "lost" else ends, leave)
        return ends, TimedOut(ends) if late else _make_outcome(attempt, ends)


def _hold_claim(name: str, at: float) -> Claimed:
    return Claimed(at, HeldClaim(name, 1))


def _make_outcome(attempt: Attempt, at: float) -> Any:
    match attempt.kind:
        case "refused":
            return Refused(at, "refused")
        case "broke" | "lost":
            return Interrupted(at, "broke")
        case "not run":
            return Responded(at, Response(503, "", (), b"", None, True))
        case _:
            return Responded(at, Response(attempt.status, "", (), b""))


def share_evenly(names: list[str], slots: int = 8) -> tuple[InstanceShare, ...]:
    """Give a front the same number of slots of each instance."""
    return tuple(InstanceShare(name, "casco", slots) for name in names)
