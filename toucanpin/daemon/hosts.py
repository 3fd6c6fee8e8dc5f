"""
Host list of a process
======================

Keep the newest host list that the platform gave; it is a hint that lags both ways.
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
    """Read the host list again and again and show the newest."""

    __slots__ = ("_every", "_halt", "_hosts", "_port", "_thread")

    def __init__(self, port: HostList, every: float) -> None:
        """Prepare to read ``port`` every so many seconds."""
        self._port = port
        self._every = every
        self._hosts: tuple[ListedHost, ...] | None = None
        self._halt = threading.Event()
        self._thread = threading.Thread(target=self._run, name="hosts", daemon=True)

    def start(self) -> None:
        """Start reading."""
        self._thread.start()

    def stop(self, grace: float) -> None:
        """Stop reading."""
        self._halt.set()
        self._thread.join(grace)

    def is_known(self) -> bool:
        """Say whether the list was read at least once."""
        return self._hosts is not None

    def hosts(self) -> Result[tuple[ListedHost, ...], StoreFault]:
        """Return the newest list, so that other parts of this process need not read it again."""
        if self._hosts is None:
            return Error(Unavailable("the host list was not read yet"))
        return Ok(self._hosts)

    def all(self) -> tuple[ListedHost, ...]:
        """Return the newest list, empty while none is known."""
        return self._hosts or ()

    def workers(self) -> tuple[ListedHost, ...]:
        """Return the listed workers."""
        return tuple(host for host in self.all() if host.role is HostRole.WORKER)

    def instances(self) -> tuple[ListedHost, ...]:
        """Return the listed instances of services."""
        return tuple(host for host in self.all() if host.role is HostRole.INSTANCE)

    def entry_names(self) -> frozenset[str]:
        """Return the names of the listed entry hosts, empty while none are known."""
        return frozenset(host.name for host in self.all() if host.role is HostRole.ENTRY)

    def _run(self) -> None:
        """Read until halted."""
        while True:
            self._read()
            if self._halt.wait(self._every):
                return

    def _read(self) -> None:
        """Read once; a failed read keeps the older list, which is a hint anyway."""
        match self._port.hosts():
            case Result(tag="ok", ok=hosts):
                self._hosts = hosts
            case Result(error=fault):
                log.warning("host list not read: {}", fault, extra={"event": EventId.HOSTS_STALE})
