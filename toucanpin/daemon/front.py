"""
Front end for callers
=====================

Accept callers' requests and run the path of each one with real sockets, threads and clocks.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import logbook
from cheroot import wsgi

from toucanpin.daemon.attempts import Attempts
from toucanpin.daemon.caller_answer import write_refusal, write_response
from toucanpin.daemon.caller_request import (
    SERVICES_PREFIX,
    IncomingRequest,
    make_caller_fault,
    read_request,
    split_target,
)
from toucanpin.daemon.caller_server import CallerServer
from toucanpin.daemon.claimer import Claimer
from toucanpin.daemon.forwarder import CallerFaultError
from toucanpin.daemon.interfaces import BundleView, EventSink, MembershipView, WsgiApp
from toucanpin.daemon.sweeper import Sweeper
from toucanpin.daemon.upstreams import ServiceEntry, Upstreams
from toucanpin.daemon.web import mount_apps
from toucanpin.platform.ports import ListedHost, Table
from toucanpin.requests.admission import Ticket
from toucanpin.requests.messages import (
    ActionDone,
    Answer,
    AwaitAttempt,
    CallerFailed,
    Cancel,
    Claim,
    Forward,
    Hedge,
    Relay,
    ReleaseClaim,
    Response,
    WaitEnded,
    WaitForSlot,
)
from toucanpin.requests.path import serve_request
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["Front", "FrontSettings"]

TICK_PERIOD_S = 0.05
DRAIN_POLL_PERIOD_S = 0.02
DRAIN_IDLE_S = 0.3  # time without a new request before a draining front closes
RESERVED_THREADS = 8  # in addition to those for requests in flight and queued
FORWARDED_EVENT, HEDGED_EVENT = "request.forwarded", "request.hedged"
NO_BUNDLE = Refusal(
    Verdict.NOT_RUN, Reason.NOT_READY, "this process does not know the bundle in force yet", 1.0
)
SHARE_UNKNOWN = Refusal(
    Verdict.NOT_RUN, Reason.NOT_READY, "this process does not know its share of slots yet", 1.0
)
BODY_CONSUMED = Refusal(
    Verdict.NOT_RUN, Reason.UPSTREAM_BROKE, "the streamed body can't be sent a second time"
)
INTERNAL_FAILURE = Refusal(Verdict.MAY_HAVE_RUN, Reason.INTERNAL, "this process failed")

log = logbook.Logger("toucanpin.front")


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """
    Settings of a front.

    ``name`` is this process's name among the members (``<host>/request``), ``incarnation``
    distinguishes its restarts; times are in seconds, sizes in bytes.  ``linger`` is how long a
    draining front still accepts requests from the balancer.  ``share_hold`` is how long this
    process waits before it uses slots that another process may still be using; None stands for the
    time in which members learn of each other plus each service's deadline.
    """

    name: str
    incarnation: str
    site: str
    address: str
    port: int
    threads: int = 128
    share_hold: float | None = None
    linger: float = 2.0
    max_header: int = 16_384
    max_body: int = 16_777_216


class Front:
    """
    Front that serves callers on one address.

    Parameters
    ----------
    settings : names, limits and times
    bundle : source of the bundle in force
    hosts : function that returns the platform's host list as last read
    members : source of the known members; the request processes among them share the slots
    table : table that stores the claims of request ids
    events : timeline of this process
    mounts : applications by path prefix, such as ``/v1/jobs``; ``PATH_INFO`` stays complete
    rng : random generator for routing and admission
    """

    def __init__(
        self,
        settings: FrontSettings,
        bundle: BundleView,
        hosts: Callable[[], tuple[ListedHost, ...]],
        members: MembershipView,
        table: Table,
        events: EventSink,
        mounts: dict[str, WsgiApp],
        rng: Random | None = None,
    ) -> None:
        self._settings = settings
        self._bundle = bundle
        self._events = events
        self._claimer = Claimer(table, f"{settings.name}:{settings.incarnation}")
        self._sweeper = Sweeper(table, settings.name, members)
        self._upstreams = Upstreams(
            settings.name,
            settings.site,
            settings.share_hold,
            bundle,
            hosts,
            members,
            rng or Random(),
            max(1, settings.threads - RESERVED_THREADS),
        )
        self._server = CallerServer(
            (settings.address, settings.port),
            self._make_gateway,
            settings.threads,
            settings.max_header,
            settings.max_body,
            settings.linger,
        )
        self._server.wsgi_app = mount_apps(mounts)
        self._draining = False
        self._stopped = threading.Event()
        self._in_flight = 0
        self._last_request = 0.0
        self._count_lock = threading.Lock()
        self.counts: Counter[str] = Counter()
        self._threads = [
            threading.Thread(target=self._server.serve, name="front", daemon=True),
            threading.Thread(target=self._tick, name="front-tick", daemon=True),
        ]

    @property
    def port(self) -> int:
        """Port on which callers are served."""
        return int(self._server.bind_addr[1])

    @property
    def ready(self) -> bool:
        """Whether a balancer should send requests to this process."""
        bundle_known = self._bundle.current() is not None
        shares_known = self._upstreams.knows_shares(time.monotonic())
        return bundle_known and shares_known and not self._draining

    def start(self) -> None:
        """Bind the port and start serving."""
        self._upstreams.refresh(time.monotonic())
        self._claimer.start()
        self._sweeper.start()
        self._server.prepare()
        for thread in self._threads:
            thread.start()

    def stop(self, grace: float) -> None:
        """
        Stop once every request in flight has been answered, at the latest after ``grace`` seconds.

        The process reports at once that it is not ready.  The balancer notices with a delay, so
        requests are still accepted for the lingering time; each answer then closes its connection.
        """
        self._draining = True
        started_at = time.monotonic()
        linger = min(self._settings.linger, grace / 2)
        while not self._is_drained(started_at, linger, grace):
            time.sleep(DRAIN_POLL_PERIOD_S)
        self._server.shutdown_timeout = max(0.1, started_at + grace - time.monotonic())
        self._server.stop()
        self._stopped.set()
        self._claimer.stop()
        self._sweeper.stop()
        self._upstreams.close()
        for thread in self._threads:
            thread.join(1.0)

    def _is_drained(self, started_at: float, linger: float, grace: float) -> bool:
        now = time.monotonic()
        if now >= started_at + grace:
            return True
        idle = now - max(started_at, self._last_request) >= DRAIN_IDLE_S
        return self._in_flight == 0 and now >= started_at + linger and idle

    def _tick(self) -> None:
        while not self._stopped.wait(TICK_PERIOD_S):
            try:
                self._upstreams.tick(time.monotonic())
                for service, instance in self._upstreams.take_ejected():
                    self._events.record("instance.ejected", {"host": instance}, service)
            except Exception:
                log.exception("failed to refresh the instances of the services")

    def _make_gateway(self, req: Any) -> Any:
        if req.uri.startswith(SERVICES_PREFIX):
            return _ServiceGateway(self, req)
        return wsgi.Gateway_10(req)

    def serve(self, req: Any) -> None:
        """Answer one request for a service; called by the server's threads."""
        with self._count_lock:
            self._in_flight += 1
            self._last_request = time.monotonic()
        try:
            self._serve(req)
        except CallerFaultError as fault:
            self._refuse(req, fault.refusal, "")
        except Exception:
            log.exception("failed to answer a request for a service")
            if req.sent_headers:
                req.close_connection = True
            else:
                self._refuse(req, INTERNAL_FAILURE, "")
        finally:
            with self._count_lock:
                self._in_flight -= 1

    def _serve(self, req: Any) -> None:
        arrived = time.monotonic()
        name, target = split_target(req.uri)
        bundle = self._bundle.current()
        if bundle is None:
            self._refuse(req, NO_BUNDLE, "")
            return
        entry = self._upstreams.find(name)
        if entry is None and any(service.name == name for service in bundle.services):
            self._refuse(req, SHARE_UNKNOWN, "")
            return
        if entry is None:
            raise make_caller_fault(
                Reason.UNKNOWN_SERVICE, "the bundle in force has no such service"
            )
        incoming = read_request(req, entry.state.service, target, arrived)
        if not self._upstreams.knows_shares(arrived, entry.state.service):
            self._refuse(req, SHARE_UNKNOWN, incoming.request.request_id)
            return
        self._run_path(req, incoming, entry)

    def _run_path(self, req: Any, incoming: IncomingRequest, entry: ServiceEntry) -> None:
        """Run a request path: decisions under the service's lock, actions outside it."""
        request = incoming.request
        path = serve_request(request, entry.state)
        attempts = Attempts(incoming.outgoing, entry.forwarders.__getitem__)
        outcome: Any = None
        try:
            while True:
                with entry.lock:
                    try:
                        action = path.send(outcome)
                    finally:
                        entry.wake()
                    if isinstance(action, WaitForSlot):
                        event = entry.add_waiter(action.ticket)
                match action:
                    case Forward() | Hedge() | AwaitAttempt() | Cancel():
                        outcome = self._attempt(incoming, attempts, action)
                    case Relay(response=response):
                        outcome = self._relay(req, response, request.request_id)
                    case WaitForSlot(ticket=ticket, until=until):
                        outcome = self._wait(entry, ticket, event, until)
                    case Claim(request_id=request_id, deadline=deadline):
                        outcome = self._claimer.claim(request_id, deadline)
                    case ReleaseClaim(claim=claim):
                        self._claimer.release(claim)
                        outcome = ActionDone(time.monotonic())
                    case Answer(refusal=refusal):
                        self._refuse(req, refusal, request.request_id)
                        outcome = ActionDone(time.monotonic())
        except StopIteration:
            return
        finally:
            attempts.cancel()
            with entry.lock:
                path.close()
                entry.wake()

    @staticmethod
    def _wait(
        entry: ServiceEntry, ticket: Ticket, event: threading.Event, until: float
    ) -> WaitEnded:
        event.wait(max(0.0, until - time.monotonic()))
        entry.remove_waiter(ticket)
        return WaitEnded(time.monotonic())

    def _relay(self, req: Any, response: Response, request_id: str) -> ActionDone:
        complete = write_response(req, response, self._draining)
        self._count("relayed" if complete else "cut")
        self._record_event("request.answered", request_id, str(response.status))
        return ActionDone(time.monotonic(), not complete)

    def _attempt(self, incoming: IncomingRequest, attempts: Attempts, action: Any) -> Any:
        match action:
            case AwaitAttempt():
                return attempts.wait()
            case Cancel():
                return attempts.cancel()
        if incoming.body_consumed:
            return CallerFailed(time.monotonic(), BODY_CONSUMED)
        hedged = isinstance(action, Hedge)
        self._count("hedges" if hedged else "attempts")
        self._record_event(
            HEDGED_EVENT if hedged else FORWARDED_EVENT,
            incoming.request.request_id,
            action.instance,
        )
        return attempts.hedge(action) if hedged else attempts.forward(action)

    def _count(self, name: str) -> None:
        with self._count_lock:
            self.counts[name] += 1

    def _record_event(self, kind: str, request_id: str, detail: str) -> None:
        """Record an event of a request whose caller gave it an id."""
        if request_id:
            self._events.record(kind, {"request": request_id}, detail)

    def _refuse(self, req: Any, refusal: Refusal, request_id: str) -> None:
        self._count(refusal.reason.value)
        ids = {"request": request_id} if request_id else {}
        detail = f"{refusal.verdict.value} {refusal.reason.value}: {refusal.detail}"
        self._events.record("request.refused", ids, detail)
        write_refusal(req, refusal, self._draining)


class _ServiceGateway:
    """Gateway that passes requests for services to the front without a WSGI environment."""

    __slots__ = ("_front", "_req")

    def __init__(self, front: Front, req: Any) -> None:
        self._front = front
        self._req = req

    def respond(self) -> None:
        """Answer the request."""
        self._front.serve(self._req)
