"""
State of one service
====================

What one request process keeps of one service: queue, routing and retry budget, put together.
"""

from __future__ import annotations

from random import Random

from toucanpin.bundles.schema import Service
from toucanpin.requests.admission import Admission, Ticket
from toucanpin.requests.attempt_timing import AttemptTiming
from toucanpin.requests.retry_budget import RetryBudget
from toucanpin.requests.routing import InstanceShare, Router
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["ServiceState"]

ABSENT_RETRY_SECONDS = 2.0
MAX_HEDGING_LOAD = 0.75
MANY_PLACES = 1 << 30


class ServiceState:
    """
    Put the decisions about one service together.

    Not safe for threads: the daemon takes a lock around each step.  ``settled`` collects the
    tickets whose wait ended in this step, for the daemon to wake.  ``places`` is how many requests
    the process can keep at one time, in flight and queued.
    """

    __slots__ = (
        "service",
        "places",
        "rng",
        "admission",
        "router",
        "budget",
        "attempt_timing",
        "settled",
    )

    def __init__(
        self,
        service: Service,
        retry_share: float,
        site: str,
        rng: Random,
        places: int = MANY_PLACES,
    ) -> None:
        self.service = service
        self.places = places
        self.rng = rng
        self.admission = Admission(service.queue, rng)
        self.router = Router(site, rng)
        self.budget = RetryBudget(retry_share)
        self.attempt_timing = AttemptTiming()
        self.settled: list[Ticket] = []

    def configure(self, service: Service) -> None:
        """Take in a changed description of the service."""
        self.service = service

    def update(self, shares: tuple[InstanceShare, ...], now: float) -> None:
        """Take in instances and shares, and grant what they allow."""
        self.router.update(shares, now)
        self.admission.slots = self.router.owned
        # A request that finds no thread would wait unseen, and be refused late or never.
        room = max(1, self.places - self.router.owned)
        self.admission.limit = min(self.service.queue, room)
        self.grant(now)

    def check(self, caller: str, deadline: float, now: float) -> Refusal | None:
        """Refuse at the door what can't be served."""
        if self.router.known == 0:
            return self.refuse_absent()
        free = not len(self.admission) and self.router.has_free(now)
        return self.admission.check(caller, deadline, now, free)

    def refuse_absent(self) -> Refusal:
        """Refuse because the service has no instance."""
        wait = ABSENT_RETRY_SECONDS * self.rng.uniform(1.0, 2.0)
        detail = "the service has no instance"
        return Refusal(Verdict.NOT_RUN, Reason.NO_UPSTREAM, detail, retry_after=wait)

    def request_slot(
        self, caller: str, deadline: float, tried: frozenset[str], now: float
    ) -> Ticket:
        """Take a slot at once if one is free, or queue for it; retries go before first attempts."""
        ticket = Ticket(caller, deadline, tried)
        if tried or not len(self.admission):
            ticket.granted = self.router.take(tried, now)
        if ticket.granted is None:
            loser = self.admission.enter(ticket, urgent=bool(tried))
            if loser is not None and loser is not ticket:
                self.settled.append(loser)
        return ticket

    def take_hedge(self, tried: frozenset[str], now: float) -> str | None:
        """
        Take a slot and a token for a second attempt; None if nobody may have them.

        A hedge pays like a retry.  With few slots free it would only push out first attempts: they
        wait for the slots that it and the attempt it overtakes hold.
        """
        if len(self.admission) or not self.budget.has_token:
            return None
        if self.router.count_taken(now) > MAX_HEDGING_LOAD * self.router.owned:
            return None
        instance = self.router.take(tried, now)
        if instance is not None:
            self.budget.spend()
        return instance

    def give_back(self, instance: str, now: float, held_until: float | None = None) -> None:
        """Return a slot and grant it to whose turn it is."""
        self.router.give_back(instance, now, held_until)
        self.grant(now)

    def grant(self, now: float) -> None:
        """Grant free slots in turn; tickets too late to be served are refused at once."""
        while (ticket := self.admission.peek()) is not None:
            if now + self.admission.mean > ticket.deadline:
                ticket.refusal = self.expire()
            else:
                ticket.granted = self.router.take(ticket.tried, now)
                if ticket.granted is None:
                    return
            self.admission.pop()
            self.settled.append(ticket)

    def abandon(self, ticket: Ticket, now: float) -> None:
        """Take back a ticket whose holder has gone."""
        self.admission.remove(ticket)
        if ticket.granted is not None:
            self.give_back(ticket.granted, now)

    def expire(self) -> Refusal:
        """Refuse because no slot came free in time."""
        wait = max(1.0, self.admission.expect_wait()) * self.rng.uniform(1.0, 2.0)
        return Refusal(Verdict.NOT_RUN, Reason.OVERLOAD, "no slot came free in time", wait)
