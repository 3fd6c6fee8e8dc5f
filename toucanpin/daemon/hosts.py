"""
Cache of the host list
======================

Keep the newest host list of the platform.  The list is only a hint: it may still contain hosts
that are gone and lack hosts that are up.
"""

from __future__ import annotations

import threading

import logbook
from expression import Error, Ok, Result

from toucanpin.daemon.logs import EventId
from toucanpin.platform.ports import HostList, HostRole, ListedHost, StoreFault, Unavailable

__all__ = ["HostListCache"]

log = logbook.Logger("toucanpin.hosts")


class HostListCache:
    """Cache of the platform's host list, refreshed periodically."""

    __slots__ = ("_hosts", "_period", "_source", "_stopping", "_thread")

    def __init__(self, source: HostList, period: float) -> None:
        """Initialize to read ``source`` every ``period`` seconds."""
        self._source = source
        self._period = period
        self._hosts: tuple[ListedHost, ...] | None = None
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="hosts", daemon=True)

    def start(self) -> None:
        """Start the thread that refreshes the list."""
        self._thread.start()

    def stop(self, grace: float) -> None:
        """Stop the thread that refreshes the list."""
        self._stopping.set()
        self._thread.join(grace)

    def is_known(self) -> bool:
        """Return whether the list was read at least once."""
        return self._hosts is not None

    def hosts(self) -> Result[tuple[ListedHost, ...], StoreFault]:
        """Return the newest list, or a fault if none was read yet."""
        if self._hosts is None:
            return Error(Unavailable("the host list was not read yet"))
        return Ok(self._hosts)

    def all(self) -> tuple[ListedHost, ...]:
        """Return the newest list, empty if none was read yet."""
        return self._hosts or ()

    def workers(self) -> tuple[ListedHost, ...]:
        """Return the listed workers."""
        return tuple(host for host in self.all() if host.role is HostRole.WORKER)

    def instances(self) -> tuple[ListedHost, ...]:
        """Return the listed instances of services."""
        return tuple(host for host in self.all() if host.role is HostRole.INSTANCE)

    def entry_names(self) -> frozenset[str]:
        """Return the names of the listed entry hosts, empty if no list was read yet."""
        return frozenset(host.name for host in self.all() if host.role is HostRole.ENTRY)

    def _run(self) -> None:
        """Refresh the list each period until stopped."""
        while True:
            self._refresh()
            if self._stopping.wait(self._period):
                return

    def _refresh(self) -> None:
        """Read the list once; a failed read keeps the old list, which is only a hint anyway."""
        match self._source.hosts():
            case Result(tag="ok", ok=hosts):
                self._hosts = hosts
            case Result(error=fault):
                log.warning(
                    "host list could not be read: {}", fault, extra={"event": EventId.HOSTS_STALE}
                )
