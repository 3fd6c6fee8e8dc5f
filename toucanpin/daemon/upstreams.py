"""
Upstreams
=========

Keep the decision state, its lock and the connections to the instances of each service, and
refresh them from the bundle, the host list and the membership.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from random import Random

from toucanpin.bundles.schema import Bundle, Service
from toucanpin.daemon.forwarder import Forwarder
from toucanpin.daemon.interfaces import BundleView, MembershipView
from toucanpin.membership.member import Standing
from toucanpin.platform.ports import HostRole, ListedHost
from toucanpin.requests.admission import Ticket
from toucanpin.requests.routing import InstanceShare
from toucanpin.requests.service import ServiceState
from toucanpin.requests.shares import MAX_HOLD_S, MAX_UPDATE_GAP_S, SlotShares

__all__ = ["ServiceEntry", "Upstreams"]

REQUEST_ROLE = "request"
REFRESH_PERIOD_S = 0.2
MEMBERSHIP_SPREAD_S = 1.0


class ServiceEntry:
    """One service: state, lock, forwarders by instance and the events of waiting threads."""

    __slots__ = ("state", "lock", "forwarders", "_events")

    def __init__(self, state: ServiceState) -> None:
        self.state = state
        self.lock = threading.Lock()
        self.forwarders: dict[str, Forwarder] = {}
        self._events: dict[Ticket, threading.Event] = {}

    def add_waiter(self, ticket: Ticket) -> threading.Event:
        """Return the event that is set when a ticket is settled; call with the lock held."""
        event = self._events[ticket] = threading.Event()
        if ticket.settled:
            event.set()
        return event

    def wake(self) -> None:
        """Wake the threads whose tickets have been settled; call with the lock held."""
        settled = self.state.settled_tickets
        while settled:
            event = self._events.get(settled.pop())
            if event is not None:
                event.set()

    def remove_waiter(self, ticket: Ticket) -> None:
        """Remove a ticket's event."""
        with self.lock:
            self._events.pop(ticket, None)


class Upstreams:
    """
    Entries of all services, kept up to date.

    ``share_hold`` is the time in seconds before slots that another process may still be using are
    used; None derives it from each service's deadline.  ``max_requests`` is the number of requests
    that the process can serve at one time, in flight and queued.
    """

    def __init__(
        self,
        name: str,
        site: str,
        share_hold: float | None,
        bundle: BundleView,
        hosts: Callable[[], tuple[ListedHost, ...]],
        members: MembershipView,
        rng: Random,
        max_requests: int,
    ) -> None:
        self._max_requests = max_requests
        self._site = site
        self._bundle = bundle
        self._hosts = hosts
        self._members = members
        self._rng = rng
        self._slot_shares = SlotShares(name, MEMBERSHIP_SPREAD_S)
        self._share_hold = share_hold
        self._entries: dict[str, ServiceEntry] = {}
        self._refreshed = 0.0

    def find(self, name: str) -> ServiceEntry | None:
        """Return the entry of a service, None if the bundle has no such service."""
        return self._entries.get(name)

    def knows_shares(self, now: float, service: Service | None = None) -> bool:
        """
        Return whether this process knows its current shares of slots, of one service or of all.

        After a pause it doesn't until the next refresh: other processes may have taken over the
        shares that it remembers.
        """
        if now - self._refreshed > MAX_UPDATE_GAP_S:
            return False
        bundle = self._bundle.current()
        if bundle is None or (bundle.services and not self._entries):
            # A new process learns of the bundle shortly before its services are set up.  Without
            # this check it would report itself ready while there is no service to check, and refuse
            # every request.
            return False
        services = (service,) if service else bundle.services
        return all(
            self._slot_shares.owns_any_with_hold(self._compute_hold(each)) for each in services
        )

    def tick(self, now: float) -> None:
        """Grant slots that have become available, and refresh once per period."""
        if now - self._refreshed >= REFRESH_PERIOD_S:
            self.refresh(now)
        for entry in list(self._entries.values()):
            with entry.lock:
                entry.state.grant(now)
                entry.wake()

    def take_ejected(self) -> list[tuple[str, str]]:
        """Return service and instance of each ejection since the previous call."""
        ejections: list[tuple[str, str]] = []
        for name, entry in list(self._entries.items()):
            with entry.lock:
                ejected = entry.state.router.ejected
                ejections += [(name, instance) for instance in ejected]
                ejected.clear()
        return ejections

    def refresh(self, now: float) -> None:
        """Apply the current bundle, host list and membership."""
        self._refreshed = now
        names = tuple(
            member.name
            for member in self._members.members()
            if member.role == REQUEST_ROLE and member.standing is not Standing.GONE
        )
        self._slot_shares.update(names, now)
        bundle = self._bundle.current()
        if bundle is None:
            return
        hosts = [host for host in self._hosts() if host.role is HostRole.INSTANCE]
        entries = {
            service.name: self._refresh_service(bundle, service, hosts, now)
            for service in bundle.services
        }
        removed = [entry for name, entry in self._entries.items() if name not in entries]
        self._entries = entries
        for entry in removed:
            _close(entry)

    def close(self) -> None:
        """Close all idle connections and keep none that are returned later."""
        for entry in self._entries.values():
            _close(entry)

    def _refresh_service(
        self, bundle: Bundle, service: Service, hosts: list[ListedHost], now: float
    ) -> ServiceEntry:
        entry = self._entries.get(service.name)
        if entry is None:
            rng = Random(self._rng.random())
            share = bundle.limits.retry_share
            entry = ServiceEntry(ServiceState(service, share, self._site, rng, self._max_requests))
        instances = [host for host in hosts if host.service == service.name]
        shares = tuple(self._make_instance_share(host, service) for host in instances)
        listed = {host.name for host in instances}
        with entry.lock:
            for host in instances:
                self._refresh_forwarder(entry, host, service)
            for name in [name for name in entry.forwarders if name not in listed]:
                entry.forwarders[name].limit = 0
                if not entry.state.router.has_instance(name):
                    del entry.forwarders[name]
            if entry.state.service != service:
                entry.state.configure(service)
            entry.state.update(shares, now)
            entry.wake()
        for forwarder in list(entry.forwarders.values()):
            forwarder.close_idle()
        return entry

    def _make_instance_share(self, host: ListedHost, service: Service) -> InstanceShare:
        slots = self._slot_shares.share(
            host.name, host.slots or service.slots, self._compute_hold(service)
        )
        return InstanceShare(host.name, host.site, slots, host.leaving)

    def _refresh_forwarder(self, entry: ServiceEntry, host: ListedHost, service: Service) -> None:
        forwarder = entry.forwarders.get(host.name)
        if forwarder is None or (forwarder.address, forwarder.port) != (host.address, host.port):
            if forwarder is not None:
                forwarder.limit = 0
                forwarder.close_idle(include_recent=True)
            forwarder = entry.forwarders[host.name] = Forwarder(host.address, host.port)
        total = host.connections or service.connections
        forwarder.limit = self._slot_shares.share(host.name, total, self._compute_hold(service))

    def _compute_hold(self, service: Service) -> float:
        if self._share_hold is not None:
            return self._share_hold
        return min(MAX_HOLD_S, MEMBERSHIP_SPREAD_S + service.deadline_ms / 1_000)


def _close(entry: ServiceEntry) -> None:
    for forwarder in entry.forwarders.values():
        forwarder.limit = 0
        forwarder.close_idle(include_recent=True)
