"""
State of one service
====================

State that a request process keeps for one service: queue, routing, retry budget and timing.
"""

from __future__ import annotations

from random import Random

from toucanpin.bundles.schema import Service
from toucanpin.requests.admission import AdmissionQueue, Ticket
from toucanpin.requests.attempt_timing import AttemptTiming
from toucanpin.requests.retry_budget import RetryBudget
from toucanpin.requests.routing import InstanceShare, Router
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["ServiceState"]

NO_INSTANCE_RETRY_AFTER_S = 2.0
MAX_HEDGING_LOAD = 0.75
UNLIMITED_REQUESTS = 1 << 30


class ServiceState:
    """
    Admission, routing and retries of one service.

    Not thread-safe: the daemon takes a lock around each step.  ``settled_tickets`` collects the
    tickets whose wait ended in this step, so that the daemon wakes their threads.
    ``max_requests`` is how many requests the process can serve at one time, in flight and queued.
    """

    __slots__ = (
        "service",
        "max_requests",
        "rng",
        "admission",
        "router",
        "budget",
        "attempt_timing",
        "settled_tickets",
    )

    def __init__(
        self,
        service: Service,
        retry_share: float,
        site: str,
        rng: Random,
        max_requests: int = UNLIMITED_REQUESTS,
    ) -> None:
        self.service = service
        self.max_requests = max_requests
        self.rng = rng
        self.admission = AdmissionQueue(service.queue, rng)
        self.router = Router(site, rng)
        self.budget = RetryBudget(retry_share)
        self.attempt_timing = AttemptTiming()
        self.settled_tickets: list[Ticket] = []

    def configure(self, service: Service) -> None:
        """Set a changed description of the service."""
        self.service = service

    def update(self, shares: tuple[InstanceShare, ...], now: float) -> None:
        """Set instances and shares, and grant the slots that they free."""
        self.router.update(shares, now)
        self.admission.slots = self.router.owned_slots
        # A request for which the process has no thread would wait unseen by this queue, and be
        # refused late or never.
        max_queue = max(1, self.max_requests - self.router.owned_slots)
        self.admission.limit = min(self.service.queue, max_queue)
        self.grant(now)

    def check(self, caller: str, deadline: float, now: float) -> Refusal | None:
        """Return a refusal if a new request cannot be served, None if it is admitted."""
        if self.router.instance_count == 0:
            return self.refuse_no_instance()
        free = not len(self.admission) and self.router.has_free_slot(now)
        return self.admission.check(caller, deadline, now, free)

    def refuse_no_instance(self) -> Refusal:
        """Return the refusal for a service without instances."""
        wait = NO_INSTANCE_RETRY_AFTER_S * self.rng.uniform(1.0, 2.0)
        detail = "the service has no instance"
        return Refusal(Verdict.NOT_RUN, Reason.NO_UPSTREAM, detail, retry_after=wait)

    def request_slot(
        self, caller: str, deadline: float, tried: frozenset[str], now: float
    ) -> Ticket:
        """Take a free slot or queue for one; retries are queued before first attempts."""
        ticket = Ticket(caller, deadline, tried)
        if tried or not len(self.admission):
            ticket.granted = self.router.take_slot(tried, now)
        if ticket.granted is None:
            displaced = self.admission.enqueue(ticket, at_front=bool(tried))
            if displaced is not None and displaced is not ticket:
                self.settled_tickets.append(displaced)
        return ticket

    def take_hedge_slot(self, tried: frozenset[str], now: float) -> str | None:
        """
        Take a slot and a token for a second attempt; None if there is none for hedges.

        A hedge costs a token like a retry.  With few slots free it would only delay first attempts,
        which wait for the slots that the hedge and the attempt that it replaces hold.
        """
        if len(self.admission) or not self.budget.has_token:
            return None
        if self.router.count_used(now) > MAX_HEDGING_LOAD * self.router.owned_slots:
            return None
        instance = self.router.take_slot(tried, now)
        if instance is not None:
            self.budget.spend()
        return instance

    def release_slot(self, instance: str, now: float, held_until: float | None = None) -> None:
        """Release a slot and grant it to the next ticket."""
        self.router.release_slot(instance, now, held_until)
        self.grant(now)

    def grant(self, now: float) -> None:
        """Grant free slots to the next tickets; refuse those that can't be served in time."""
        while (ticket := self.admission.peek()) is not None:
            if now + self.admission.mean_hold_time > ticket.deadline:
                ticket.refusal = self.refuse_no_slot()
            else:
                ticket.granted = self.router.take_slot(ticket.tried, now)
                if ticket.granted is None:
                    return
            self.admission.pop()
            self.settled_tickets.append(ticket)

    def abandon(self, ticket: Ticket, now: float) -> None:
        """Remove a ticket whose request has ended, and release its slot if it has one."""
        self.admission.remove(ticket)
        if ticket.granted is not None:
            self.release_slot(ticket.granted, now)

    def refuse_no_slot(self) -> Refusal:
        """Return the refusal for a request that got no slot in time."""
        wait = max(1.0, self.admission.estimate_wait()) * self.rng.uniform(1.0, 2.0)
        return Refusal(Verdict.NOT_RUN, Reason.OVERLOAD, "no slot came free in time", wait)
