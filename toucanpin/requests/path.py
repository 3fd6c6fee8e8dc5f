"""
Path of a request
=================

One generator takes a request from the front to its answer:

    front -> admission -> (claim) -> route -> forward -> verdict -> retry or answer

It yields typed actions and receives typed outcomes; the daemon drives it with sockets, tests and
benchmarks with a virtual clock.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

import msgspec

from toucanpin.requests.messages import (
    Answer,
    AttemptPending,
    AwaitAttempt,
    CallerFailed,
    Cancel,
    Claim,
    Claimed,
    Forward,
    Hedge,
    Interrupted,
    NotClaimed,
    Path,
    Refused,
    Relay,
    ReleaseClaim,
    Request,
    Responded,
    Response,
    TimedOut,
    WaitForSlot,
)
from toucanpin.requests.service import ServiceState
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["serve_request"]

MAX_ATTEMPTS = 3
BROKEN_STATUSES = frozenset({500, 502, 503, 504})
COME_BACK_SECONDS = 1.0

_Steps = Generator[Any, Any, Any]


def serve_request(request: Request, service: ServiceState) -> Path:
    """Lead one request to its one answer."""
    refusal = service.check(request.caller, request.deadline, request.arrived)
    if refusal is not None:
        yield Answer(refusal)
        return
    claimed = yield from _claim(request, service)
    if isinstance(claimed, NotClaimed):
        yield Answer(claimed.refusal)
        return
    now = request.arrived if claimed is None else claimed.at
    attempts = _Attempts(request, service, now)
    refusal = yield from attempts.run()
    if refusal is None:
        return
    if claimed is not None and refusal.verdict is Verdict.NOT_RUN:
        # Without this the caller, told that the request did not run, could never run it under
        # the same id.  It is safe because this path was the only holder and ends here.
        yield ReleaseClaim(claimed.claim)
    yield Answer(refusal)


def _claim(request: Request, service: ServiceState) -> _Steps:
    """Claim the id of a non-idempotent request; None if there is nothing to claim."""
    if request.idempotent or not request.request_id:
        return None
    service.admission.claiming += 1
    try:
        outcome = yield Claim(request.request_id, request.deadline)
    finally:
        service.admission.claiming -= 1
    assert isinstance(outcome, Claimed | NotClaimed)
    return outcome


class _Attempt(msgspec.Struct, frozen=True, eq=False):
    """Name an attempt that goes on, and its time."""

    instance: str
    started: float
    deadline: float


class _Attempts:
    """Try instances until one answers, or until nothing more may be tried."""

    __slots__ = ("_request", "_service", "_now", "_tried", "_may_have_run")

    def __init__(self, request: Request, service: ServiceState, now: float) -> None:
        self._request = request
        self._service = service
        self._now = now
        self._tried: frozenset[str] = frozenset()
        self._may_have_run = False

    def run(self) -> _Steps:
        """Return the refusal to answer with, None if an instance's answer was relayed."""
        self._service.budget.earn()
        last: Refusal | None = None
        while True:
            instance = yield from self._acquire()
            if isinstance(instance, Refusal):
                return self._conclude(last or instance)
            instance, outcome = yield from self._forward(instance)
            if isinstance(outcome, Responded):
                relayed = yield from self._relay(instance, outcome)
                if relayed:
                    return None
            last = self._explain(outcome)
            if not self._may_retry(outcome):
                return self._conclude(last)

    def _acquire(self) -> _Steps:
        """Take a slot of an instance, waiting for it if need be."""
        request, service = self._request, self._service
        ticket = service.request_slot(request.caller, request.deadline, self._tried, self._now)
        try:
            if not ticket.settled:
                outcome = yield WaitForSlot(ticket, request.deadline - service.admission.mean)
                self._now = outcome.at
        except GeneratorExit:
            service.abandon(ticket, self._now)
            raise
        if ticket.granted is not None:
            return ticket.granted
        service.admission.remove(ticket)
        return ticket.refusal or service.expire()

    def _forward(self, instance: str) -> _Steps:
        """Make one attempt, hedged if it takes long; return the instance and outcome that count."""
        first = _Attempt(instance, self._now, self._limit_attempt())
        running = {instance: first}
        try:
            outcome = yield Forward(
                instance, first.deadline, not self._request.idempotent, self._pick_hedge(first)
            )
            self._now = outcome.at
            if isinstance(outcome, AttemptPending):
                return (yield from self._hedge(first, running))
            self._end(running, instance, outcome)
            return instance, outcome
        finally:
            for attempt in running.values():
                self._service.give_back(attempt.instance, self._now, self._request.deadline)

    def _pick_hedge(self, first: _Attempt) -> float | None:
        """Return the instant at which a second attempt may start, None for never."""
        if not self._request.idempotent or len(self._tried) + 2 > MAX_ATTEMPTS:
            return None
        after = self._service.attempt_timing.hedge_delay(self._service.admission.mean)
        if after is None or first.started + after >= first.deadline:
            return None
        return first.started + after

    def _hedge(self, first: _Attempt, running: dict[str, _Attempt]) -> _Steps:
        """Start a second attempt beside the first if one may; the first good answer wins."""
        second = self._service.take_hedge(self._tried | {first.instance}, self._now)
        if second is None:
            ended = yield AwaitAttempt()
        else:
            running[second] = _Attempt(second, self._now, self._limit_attempt())
            ended = yield Hedge(second, running[second].deadline)
        spare = None
        while True:
            self._now = ended.outcome.at
            self._end(running, ended.instance, ended.outcome)
            if not running or _is_good(ended.outcome):
                break
            if isinstance(ended.outcome, Responded) and not ended.outcome.response.not_run:
                spare = ended
            ended = yield AwaitAttempt()
        if running:
            yield from self._cancel(first, running)
        elif spare is not None and not isinstance(ended.outcome, Responded):
            ended = spare
        return ended.instance, ended.outcome

    def _cancel(self, first: _Attempt, running: dict[str, _Attempt]) -> _Steps:
        """End the attempt that lost; its slot is free once the instance must have stopped."""
        service = self._service
        _, loser = running.popitem()
        try:
            yield Cancel()
        finally:
            # The instance may not notice that the connection closed, but it was told how long the
            # attempt lasts; given back at once, the slot would be used twice.
            service.give_back(loser.instance, self._now, loser.deadline)
        if loser is first:
            service.attempt_timing.observe(self._now - loser.started)
            service.router.fail(loser.instance, self._now, overtaken=True)

    def _end(self, running: dict[str, _Attempt], instance: str, outcome: Any) -> None:
        """Give back the slot of an attempt that ended and book its outcome."""
        attempt = running.pop(instance)
        # After an answer that never came, the instance may still be at work until the caller's
        # deadline; its slot isn't ours to use again before that.
        lost = isinstance(outcome, Interrupted | TimedOut)
        held_until = self._request.deadline if lost else None
        if not (isinstance(outcome, Responded) and outcome.response.remaining_body):
            self._service.give_back(instance, self._now, held_until)
        self._book(instance, outcome, attempt.started)
        self._tried |= {instance}

    def _limit_attempt(self) -> float:
        """Leave time for another attempt where one may follow."""
        request, service = self._request, self._service
        if not request.idempotent or not service.router.has_other(self._tried):
            return request.deadline
        if len(self._tried) + 1 >= MAX_ATTEMPTS or not service.budget.has_token:
            return request.deadline
        return self._now + service.attempt_timing.timeout(request.deadline - self._now)

    def _book(self, instance: str, outcome: Any, started: float) -> None:
        service = self._service
        match outcome:
            case Responded(response=Response(not_run=True, draining=draining)):
                service.router.avoid(instance, draining, self._now)
            case Responded(response=Response(status=status)):
                service.admission.observe(self._now - started)
                service.attempt_timing.observe(self._now - started)
                if status in BROKEN_STATUSES:
                    service.router.fail(instance, self._now)
                else:
                    service.router.succeed(instance, self._now)
            case Interrupted(stale=stale):
                self._may_have_run = True
                if not stale:
                    service.router.fail(instance, self._now)
            case TimedOut():
                self._may_have_run = True
                service.attempt_timing.observe(self._now - started)
                service.router.fail(instance, self._now)
            case Refused():
                service.router.fail(instance, self._now)

    def _relay(self, instance: str, outcome: Responded) -> _Steps:
        """Relay a true answer; return False if the instance says that it didn't run."""
        if outcome.response.not_run:
            return False
        try:
            yield Relay(outcome.response)
        finally:
            if outcome.response.remaining_body is not None:
                self._service.give_back(instance, self._now)
        return True

    def _may_retry(self, outcome: Any) -> bool:
        """
        Allow another attempt if it can't run the request twice, and time and budget allow it.

        Only an attempt before whose first byte the connection failed, or whose instance says so,
        certainly did not run.
        """
        request, service = self._request, self._service
        if isinstance(outcome, CallerFailed):
            return False
        certain = isinstance(outcome, Refused | Responded)
        if not certain and not request.idempotent:
            return False
        if len(self._tried) >= MAX_ATTEMPTS or not service.router.has_other(self._tried):
            return False
        if self._now + service.admission.mean >= request.deadline:
            return False
        return service.budget.spend()

    def _explain(self, outcome: Any) -> Refusal:
        wait = COME_BACK_SECONDS * self._service.rng.uniform(1.0, 2.0)
        may = Verdict.MAY_HAVE_RUN
        match outcome:
            case Refused(detail=detail):
                return Refusal(Verdict.NOT_RUN, Reason.UPSTREAM_REFUSED, detail, wait)
            case Responded():
                detail = "the instance did not run the request"
                return Refusal(Verdict.NOT_RUN, Reason.UPSTREAM_REFUSED, detail, wait)
            case TimedOut():
                detail = "the instance did not answer in time"
                return Refusal(may, Reason.UPSTREAM_TIMEOUT, detail)
            case CallerFailed(refusal=refusal):
                return refusal
            case _:
                return Refusal(may, Reason.UPSTREAM_BROKE, outcome.detail)

    def _conclude(self, refusal: Refusal) -> Refusal:
        """Raise the verdict if an earlier attempt may have run."""
        if self._may_have_run and refusal.verdict is Verdict.NOT_RUN:
            return Refusal(
                Verdict.MAY_HAVE_RUN, refusal.reason, refusal.detail, refusal.retry_after
            )
        return refusal


def _is_good(outcome: Any) -> bool:
    """Say whether an answer is worth more than what another attempt may still bring."""
    if not isinstance(outcome, Responded) or outcome.response.not_run:
        return False
    # A large answer can't be put aside while another attempt goes on.
    return (
        outcome.response.status not in BROKEN_STATUSES
        or outcome.response.remaining_body is not None
    )
