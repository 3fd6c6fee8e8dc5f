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

from toucanpin.requests.messages import (
    Answer,
    Broke,
    CallerFailed,
    Claim,
    Claimed,
    Forward,
    NotClaimed,
    Path,
    Refused,
    Relay,
    Release,
    Request,
    Response,
    TimedOut,
    Wait,
    Whole,
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
        yield Release(claimed.claim)
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
            outcome = yield from self._forward(instance)
            if isinstance(outcome, Whole):
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
                outcome = yield Wait(ticket, request.deadline - service.admission.mean)
                self._now = outcome.at
        except GeneratorExit:
            service.abandon(ticket, self._now)
            raise
        if ticket.granted is not None:
            return ticket.granted
        service.admission.remove(ticket)
        return ticket.refusal or service.expire()

    def _forward(self, instance: str) -> _Steps:
        """Make one attempt and book its outcome on the instance."""
        request, service = self._request, self._service
        started = self._now
        deadline = self._limit_attempt()
        held_until: float | None = request.deadline
        try:
            outcome = yield Forward(instance, deadline, not request.idempotent)
            self._now = outcome.at
            if not isinstance(outcome, Broke | TimedOut):
                held_until = None
        finally:
            # After an answer that never came, the instance may still be at work until the
            # caller's deadline; its slot isn't ours to use again before that.
            if not (held_until is None and isinstance(outcome, Whole) and outcome.response.rest):
                service.give_back(instance, self._now, held_until)
        self._book(instance, outcome, started)
        self._tried |= {instance}
        return outcome

    def _limit_attempt(self) -> float:
        """Leave time for another attempt where one may follow."""
        request, service = self._request, self._service
        if not request.idempotent or not service.router.has_other(self._tried):
            return request.deadline
        if len(self._tried) + 1 >= MAX_ATTEMPTS or not service.budget.affords:
            return request.deadline
        return self._now + service.patience.limit(request.deadline - self._now)

    def _book(self, instance: str, outcome: Any, started: float) -> None:
        service = self._service
        match outcome:
            case Whole(response=Response(not_run=True, draining=draining)):
                service.router.avoid(instance, draining, self._now)
            case Whole(response=Response(status=status)):
                service.admission.observe(self._now - started)
                service.patience.observe(self._now - started)
                if status in BROKEN_STATUSES:
                    service.router.fail(instance, self._now)
                else:
                    service.router.succeed(instance, self._now)
            case Broke(stale=stale):
                self._may_have_run = True
                if not stale:
                    service.router.fail(instance, self._now)
            case TimedOut():
                self._may_have_run = True
                service.patience.observe(self._now - started)
                service.router.fail(instance, self._now)
            case Refused():
                service.router.fail(instance, self._now)

    def _relay(self, instance: str, outcome: Whole) -> _Steps:
        """Relay a true answer; return False if the instance says that it didn't run."""
        if outcome.response.not_run:
            return False
        try:
            yield Relay(outcome.response)
        finally:
            if outcome.response.rest is not None:
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
        certain = isinstance(outcome, Refused | Whole)
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
            case Whole():
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
