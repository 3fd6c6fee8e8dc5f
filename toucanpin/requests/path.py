"""
Request path
============

One generator makes all decisions about a request from its arrival to its answer:

    front -> admission -> (claim) -> route -> forward -> verdict -> retry or answer

It yields typed actions and receives typed outcomes; the daemon drives it with sockets, tests and
benchmarks drive it with a virtual clock.
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
FAILURE_STATUSES = frozenset({500, 502, 503, 504})
RETRY_AFTER_S = 1.0

_Steps = Generator[Any, Any, Any]


def serve_request(request: Request, service: ServiceState) -> Path:
    """Serve one request: yield actions until it has been answered."""
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
        # Without this the caller, informed that the request did not run, could never run it under
        # the same id.  It is safe because only this path held the claim, and it ends here.
        yield ReleaseClaim(claimed.claim)
    yield Answer(refusal)


def _claim(request: Request, service: ServiceState) -> _Steps:
    """Claim the id of a non-idempotent request; None if there is nothing to claim."""
    if request.idempotent or not request.request_id:
        return None
    service.admission.claims_in_progress += 1
    try:
        outcome = yield Claim(request.request_id, request.deadline)
    finally:
        service.admission.claims_in_progress -= 1
    assert isinstance(outcome, Claimed | NotClaimed)
    return outcome


class _Attempt(msgspec.Struct, frozen=True, eq=False):
    """A running attempt."""

    instance: str
    started: float
    deadline: float


class _Attempts:
    """Attempts of a request, until an instance answers or no other attempt is allowed."""

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
        last_refusal: Refusal | None = None
        while True:
            instance = yield from self._acquire_slot()
            if isinstance(instance, Refusal):
                return self._correct_verdict(last_refusal or instance)
            instance, outcome = yield from self._forward(instance)
            if isinstance(outcome, Responded):
                relayed = yield from self._relay(instance, outcome)
                if relayed:
                    return None
            last_refusal = self._make_refusal(outcome)
            if not self._may_retry(outcome):
                return self._correct_verdict(last_refusal)

    def _acquire_slot(self) -> _Steps:
        """Take a slot, waiting if none is free; return its instance or a refusal."""
        request, service = self._request, self._service
        ticket = service.request_slot(request.caller, request.deadline, self._tried, self._now)
        try:
            if not ticket.settled:
                outcome = yield WaitForSlot(
                    ticket, request.deadline - service.admission.mean_hold_time
                )
                self._now = outcome.at
        except GeneratorExit:
            service.abandon(ticket, self._now)
            raise
        if ticket.granted is not None:
            return ticket.granted
        service.admission.remove(ticket)
        return ticket.refusal or service.refuse_no_slot()

    def _forward(self, instance: str) -> _Steps:
        """Make one attempt, hedged if it takes long; return the deciding instance and outcome."""
        first = _Attempt(instance, self._now, self._compute_deadline())
        running = {instance: first}
        try:
            outcome = yield Forward(
                instance,
                first.deadline,
                not self._request.idempotent,
                self._compute_hedge_time(first),
            )
            self._now = outcome.at
            if isinstance(outcome, AttemptPending):
                return (yield from self._hedge(first, running))
            self._end_attempt(running, instance, outcome)
            return instance, outcome
        finally:
            for attempt in running.values():
                self._service.release_slot(attempt.instance, self._now, self._request.deadline)

    def _compute_hedge_time(self, first: _Attempt) -> float | None:
        """Return the instant at which a second attempt may start, None for never."""
        if not self._request.idempotent or len(self._tried) + 2 > MAX_ATTEMPTS:
            return None
        delay = self._service.attempt_timing.hedge_delay(self._service.admission.mean_hold_time)
        if delay is None or first.started + delay >= first.deadline:
            return None
        return first.started + delay

    def _hedge(self, first: _Attempt, running: dict[str, _Attempt]) -> _Steps:
        """Start a second attempt in parallel if allowed; the first final answer wins."""
        second = self._service.take_hedge_slot(self._tried | {first.instance}, self._now)
        if second is None:
            ended = yield AwaitAttempt()
        else:
            running[second] = _Attempt(second, self._now, self._compute_deadline())
            ended = yield Hedge(second, running[second].deadline)
        fallback = None
        while True:
            self._now = ended.outcome.at
            self._end_attempt(running, ended.instance, ended.outcome)
            if not running or _is_final(ended.outcome):
                break
            if isinstance(ended.outcome, Responded) and not ended.outcome.response.not_run:
                fallback = ended
            ended = yield AwaitAttempt()
        if running:
            yield from self._cancel(first, running)
        elif fallback is not None and not isinstance(ended.outcome, Responded):
            ended = fallback
        return ended.instance, ended.outcome

    def _cancel(self, first: _Attempt, running: dict[str, _Attempt]) -> _Steps:
        """Cancel the slower attempt; its slot is held until the instance must have stopped."""
        service = self._service
        _, loser = running.popitem()
        try:
            yield Cancel()
        finally:
            # The instance may not notice that the connection closed, but it knows the attempt's
            # deadline.  Released at once, the slot could be used twice.
            service.release_slot(loser.instance, self._now, loser.deadline)
        if loser is first:
            service.attempt_timing.observe(self._now - loser.started)
            service.router.record_failure(loser.instance, self._now, lost_to_hedge=True)

    def _end_attempt(self, running: dict[str, _Attempt], instance: str, outcome: Any) -> None:
        """Release the slot of an attempt that ended and record its outcome."""
        attempt = running.pop(instance)
        # Without an answer, the instance may still be running the request until the caller's
        # deadline; its slot must not be used again before that.
        may_be_running = isinstance(outcome, Interrupted | TimedOut)
        held_until = self._request.deadline if may_be_running else None
        if not (isinstance(outcome, Responded) and outcome.response.remaining_body):
            self._service.release_slot(instance, self._now, held_until)
        self._record_outcome(instance, outcome, attempt.started)
        self._tried |= {instance}

    def _compute_deadline(self) -> float:
        """Return the deadline of an attempt, with time left for another where one may follow."""
        request, service = self._request, self._service
        if not request.idempotent or not service.router.has_untried(self._tried):
            return request.deadline
        if len(self._tried) + 1 >= MAX_ATTEMPTS or not service.budget.has_token:
            return request.deadline
        return self._now + service.attempt_timing.timeout(request.deadline - self._now)

    def _record_outcome(self, instance: str, outcome: Any, started: float) -> None:
        service = self._service
        match outcome:
            case Responded(response=Response(not_run=True, draining=draining)):
                service.router.avoid(instance, draining, self._now)
            case Responded(response=Response(status=status)):
                service.admission.observe(self._now - started)
                service.attempt_timing.observe(self._now - started)
                if status in FAILURE_STATUSES:
                    service.router.record_failure(instance, self._now)
                else:
                    service.router.record_success(instance, self._now)
            case Interrupted(stale=stale):
                self._may_have_run = True
                if not stale:
                    service.router.record_failure(instance, self._now)
            case TimedOut():
                self._may_have_run = True
                service.attempt_timing.observe(self._now - started)
                service.router.record_failure(instance, self._now)
            case Refused():
                service.router.record_failure(instance, self._now)

    def _relay(self, instance: str, outcome: Responded) -> _Steps:
        """Relay an answer; return False if the instance says that it did not run the request."""
        if outcome.response.not_run:
            return False
        try:
            yield Relay(outcome.response)
        finally:
            if outcome.response.remaining_body is not None:
                self._service.release_slot(instance, self._now)
        return True

    def _may_retry(self, outcome: Any) -> bool:
        """
        Return whether to make another attempt, and take its token from the retry budget.

        A non-idempotent request is tried again only if the attempt certainly did not run: its
        connection failed before the first byte was written, or the instance says so.
        """
        request, service = self._request, self._service
        if isinstance(outcome, CallerFailed):
            return False
        certainly_not_run = isinstance(outcome, Refused | Responded)
        if not certainly_not_run and not request.idempotent:
            return False
        if len(self._tried) >= MAX_ATTEMPTS or not service.router.has_untried(self._tried):
            return False
        if self._now + service.admission.mean_hold_time >= request.deadline:
            return False
        return service.budget.spend()

    def _make_refusal(self, outcome: Any) -> Refusal:
        wait = RETRY_AFTER_S * self._service.rng.uniform(1.0, 2.0)
        may_have_run = Verdict.MAY_HAVE_RUN
        match outcome:
            case Refused(detail=detail):
                return Refusal(Verdict.NOT_RUN, Reason.UPSTREAM_REFUSED, detail, wait)
            case Responded():
                detail = "the instance did not run the request"
                return Refusal(Verdict.NOT_RUN, Reason.UPSTREAM_REFUSED, detail, wait)
            case TimedOut():
                detail = "the instance did not answer in time"
                return Refusal(may_have_run, Reason.UPSTREAM_TIMEOUT, detail)
            case CallerFailed(refusal=refusal):
                return refusal
            case _:
                return Refusal(may_have_run, Reason.UPSTREAM_BROKE, outcome.detail)

    def _correct_verdict(self, refusal: Refusal) -> Refusal:
        """Change the verdict to "may have run" if an earlier attempt may have."""
        if self._may_have_run and refusal.verdict is Verdict.NOT_RUN:
            return Refusal(
                Verdict.MAY_HAVE_RUN, refusal.reason, refusal.detail, refusal.retry_after
            )
        return refusal


def _is_final(outcome: Any) -> bool:
    """Return whether an answer is relayed without waiting for the other attempt."""
    if not isinstance(outcome, Responded) or outcome.response.not_run:
        return False
    # An answer with a streamed body can't be set aside while another attempt is running.
    return (
        outcome.response.status not in FAILURE_STATUSES
        or outcome.response.remaining_body is not None
    )
