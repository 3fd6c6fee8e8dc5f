"""
Request processes
=================

Run the request path on the virtual clock, with simulated service instances.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from scenarios.kernel import CallFailure, Reply
from scenarios.model import SendRequest, ServedService
from scenarios.observations import RequestRun
from scenarios.peer import PeerProcess, SimulationContext
from scenarios.simulation import Process
from standins.instance import InstanceCore, Outcome
from toucanpin.bundles.schema import Bundle, Service
from toucanpin.membership.member import Standing
from toucanpin.platform.ports import ListedHost, Transaction, Write
from toucanpin.requests import claims, messages
from toucanpin.requests.admission import Ticket
from toucanpin.requests.claims import insert_claims, prepare_claim
from toucanpin.requests.messages import HeldClaim
from toucanpin.requests.path import serve_request
from toucanpin.requests.routing import InstanceShare
from toucanpin.requests.service import ServiceState
from toucanpin.requests.shares import SlotShares
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["RequestProcess", "SimulatedInstance"]

REFRESH_PERIOD_S = 0.2
GRANT_PERIOD_S = 0.05
SHARES_SETTLE_S = 2.0
NOT_READY = Refusal(Verdict.NOT_RUN, Reason.NOT_READY, "not ready yet", 1.0)
STORE_TIMED_OUT = Refusal(Verdict.NOT_RUN, Reason.STORE_UNCERTAIN, "the store is late", 2.0)


@dataclass(frozen=True, slots=True)
class InstanceRequest:
    """A request as received by an instance."""

    request: str
    deadline: float


class SimulatedInstance(Process):
    """An instance that runs as many concurrent requests of a service as it has slots."""

    def __init__(
        self, context: SimulationContext, name: str, incarnation: int, served: ServedService
    ) -> None:
        super().__init__(context.kernel, context.network, name, incarnation)
        self.core = InstanceCore(served.service.name, name, served.service.slots)
        self._service_time = served.service_time
        self._observations = context.observations
        self._running = 0
        self._waiting: deque[tuple[InstanceRequest, Reply]] = deque()

    def handle(self, received: InstanceRequest, answer: Reply) -> None:
        """Run a request when a slot is free."""
        self._waiting.append((received, answer))
        self._start_next()

    def end(self) -> None:
        """End without a graceful shutdown."""
        self.alive = False
        self.network.remove(self.name)

    def _start_next(self) -> None:
        """Start waiting requests while there are free slots; drop those past their deadline."""
        while self._waiting and self._running < self.core.slots:
            received, answer = self._waiting.popleft()
            if self.kernel.now >= received.deadline:
                answer(None)
                continue
            self._running += 1
            run = RequestRun(received.request, self.name, self.kernel.now)
            self._observations.request_runs.append(run)
            outcome = self.core.run(received.request, "POST", f"/{received.request}", b"", 0)
            self.after(self._service_time, partial(self._finish, outcome, answer))

    def _finish(self, outcome: Outcome, answer: Reply) -> None:
        """Answer a request and start the next one."""
        self._running -= 1
        answer(outcome)
        self._start_next()


class RequestProcess(PeerProcess):
    """One incarnation of a request process."""

    def __init__(self, context: SimulationContext, name: str, incarnation: int, site: str) -> None:
        super().__init__(context, name, incarnation, site)
        self._slot_shares = SlotShares(name, SHARES_SETTLE_S)
        self._states: dict[str, ServiceState] = {}
        self._waiters: dict[Ticket, Callable[[], None]] = {}
        self._random = Random(context.kernel.random.random())
        self._in_flight = 0
        self._draining = False
        self._claims = 0
        self._refresh()
        self._grant_slots()

    def shut_down(self) -> None:
        """Accept no new requests, and end once none is in flight."""
        super().shut_down()
        self._draining = True

    def serve(self, sent: SendRequest, answer: Reply) -> None:
        """Serve a caller's request."""
        state = self._states.get(sent.service)
        ready = self.current() is not None and self._slot_shares.owns_any and not self._draining
        if state is None or not ready:
            answer(NOT_READY)
            return
        now = self.read_clock()
        request = messages.Request(
            sent.service, "caller", sent.request, sent.idempotent, now, now + sent.deadline
        )
        self._in_flight += 1
        perform = partial(self._perform, state, sent, answer)
        self.drive(serve_request(request, state), perform, partial(self._finish_request, state))

    def _finish_request(self, state: ServiceState, _: object) -> None:
        """Count the end of a request."""
        self._in_flight -= 1
        self._wake(state)

    def _perform(
        self,
        state: ServiceState,
        sent: SendRequest,
        answer: Reply,
        action: messages.Action,
        reply: Reply,
    ) -> None:
        """Perform an action of the request path."""
        self._wake(state)
        match action:
            case messages.Claim(request_id, deadline):
                self._claim(request_id, deadline, reply)
            case messages.ReleaseClaim(claim):
                self._release(claim)
                self.after(0.0, lambda: reply(messages.ActionDone(self.read_clock())))
            case messages.WaitForSlot(ticket, until):
                self._wait(ticket, until, reply)
            case messages.Forward(instance, deadline):
                self._forward(sent, instance, deadline, reply)
            case messages.Answer(refusal):
                detail = f"{refusal.verdict.value} {refusal.reason.value}"
                self.recorder.record("request.refused", {"request": sent.request}, detail)
                answer(refusal)
                self.after(0.0, lambda: reply(messages.ActionDone(self.read_clock())))
            case messages.Relay(response):
                answer(response)
                self.after(0.0, lambda: reply(messages.ActionDone(self.read_clock())))

    def _wait(self, ticket: Ticket, until: float, reply: Reply) -> None:
        """Wait until a ticket is settled or a time has passed."""

        def wake() -> None:
            """End the wait, once."""
            if self._waiters.pop(ticket, None) is not None:
                reply(messages.WaitEnded(self.read_clock()))

        self._waiters[ticket] = wake
        self.after(0.0 if ticket.settled else max(0.0, until - self.read_clock()), wake)

    def _wake(self, state: ServiceState) -> None:
        """End the waits of tickets that were settled."""
        while state.settled_tickets:
            waiter = self._waiters.get(state.settled_tickets.pop())
            if waiter is not None:
                self.after(0.0, waiter)

    def _forward(self, sent: SendRequest, instance: str, deadline: float, reply: Reply) -> None:
        """Make one attempt at an instance."""
        left = max(0.001, deadline - self.read_clock())
        received = InstanceRequest(sent.request, self.kernel.now + left)
        self.recorder.record("request.forwarded", {"request": sent.request, "host": instance})

        def handle(respond: Reply) -> None:
            """Deliver the request to the current instance with the name."""
            self.context.instances[instance].handle(received, respond)

        def on_outcome(outcome: object) -> None:
            """Reply with the outcome of the attempt."""
            now = self.read_clock()
            match outcome:
                case CallFailure(detail, False):
                    reply(messages.Refused(now, detail))
                case CallFailure():
                    reply(messages.TimedOut(now))
                case Outcome(request=request):
                    body = request.encode()
                    reply(messages.Responded(now, messages.Response(200, "OK", (), body)))
                case _:
                    late = messages.Response(503, "", (), b"", not_run=True)
                    reply(messages.Responded(now, late))

        self.network.request(self.name, instance, handle, self.guard(on_outcome), timeout=left)

    def _claim(self, request_id: str, deadline: float, reply: Reply) -> None:
        """Claim a request id, giving up at the deadline."""
        given_up = [False]
        pending = prepare_claim(request_id, self._make_token())

        def give_up() -> None:
            """Reply that the store did not answer in time."""
            if not given_up[0]:
                given_up[0] = True
                reply(messages.NotClaimed(self.read_clock(), STORE_TIMED_OUT))

        def settle(outcomes: dict[bytes, Any]) -> None:
            """Reply with the outcome, or release a claim that came too late."""
            outcome = outcomes[pending.token]
            if given_up[0]:
                if isinstance(outcome, HeldClaim):
                    self._release(outcome)
                return
            given_up[0] = True
            now = self.read_clock()
            match outcome:
                case HeldClaim():
                    reply(messages.Claimed(now, outcome))
                case _:
                    reply(messages.NotClaimed(now, outcome))

        self.after(max(0.0, deadline - self.read_clock()), give_up)
        self.drive(insert_claims((pending,), self._make_token), self._perform_claim, settle)

    def _perform_claim(self, action: claims.Commit | claims.ReadRow, reply: Reply) -> None:
        """Perform an action of a claim."""
        match action:
            case claims.Commit(transaction):
                self.context.platform.commit(self, transaction, reply)
            case claims.ReadRow(key):
                self.context.platform.read(self, key, reply)

    def _release(self, claim: HeldClaim) -> None:
        """Delete a claim row."""
        write = Write(claim.key, claim.version, None)
        transaction = Transaction(self._make_token(), (write,))
        self.context.platform.commit(self, transaction, lambda outcome: None)

    def _refresh(self) -> None:
        """Update the slot shares and services from the members, hosts and bundle."""
        now = self.read_clock()
        names = tuple(
            member.name
            for member in self.members()
            if member.role == "request" and member.standing is not Standing.GONE
        )
        self._slot_shares.update(names, now)
        bundle = self.current()
        if bundle is not None:
            for service in bundle.services:
                self._refresh_service(bundle, service, now)
        if self._draining and not self._in_flight:
            self.end(graceful=True)
        self.after(REFRESH_PERIOD_S, self._refresh)

    def _refresh_service(self, bundle: Bundle, service: Service, now: float) -> None:
        """Update the state of one service and its instances."""
        state = self._states.get(service.name)
        if state is None:
            share = bundle.limits.retry_share
            state = ServiceState(service, share, self.site, Random(self._random.random()))
            self._states[service.name] = state
        state.configure(service)
        mine = (host for host in self.hosts if host.service == service.name)
        state.update(tuple(self._share(host, service) for host in mine), now)
        self._wake(state)

    def _share(self, host: ListedHost, service: Service) -> InstanceShare:
        """Return this process's share of one instance."""
        slots = self._slot_shares.share(host.name, host.slots or service.slots)
        return InstanceShare(host.name, host.site, slots, host.leaving)

    def _grant_slots(self) -> None:
        """Grant the slots that became free."""
        for state in self._states.values():
            state.grant(self.read_clock())
            self._wake(state)
        self.after(GRANT_PERIOD_S, self._grant_slots)
