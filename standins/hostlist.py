"""
Core of the host list stand-in
==============================
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace

from toucanpin.platform.ports import ListedHost

__all__ = ["HostListCore"]


class HostListCore:
    """A host list whose readers see it as it was ``lag`` seconds ago."""

    def __init__(self, lag: float = 0.0) -> None:
        self.lag = lag
        self._visible: tuple[ListedHost, ...] = ()
        self._pending: deque[tuple[float, tuple[ListedHost, ...]]] = deque()

    def replace(self, now: float, hosts: tuple[ListedHost, ...]) -> None:
        """Replace the whole list; readers see the change after the lag."""
        self._pending.append((now + self.lag, hosts))

    def add(self, now: float, host: ListedHost) -> None:
        """Add a host, or replace the one with the same name."""
        others = tuple(other for other in self._newest() if other.name != host.name)
        self.replace(now, (*others, host))

    def mark_leaving(self, now: float, name: str) -> None:
        """Mark a host as leaving."""
        marked = (replace(it, leaving=True) if it.name == name else it for it in self._newest())
        self.replace(now, tuple(marked))

    def remove(self, now: float, name: str) -> None:
        """Remove a host from the list."""
        self.replace(now, tuple(host for host in self._newest() if host.name != name))

    def hosts(self, now: float) -> tuple[ListedHost, ...]:
        """Return the list that readers see at a time."""
        while self._pending and self._pending[0][0] <= now:
            self._visible = self._pending.popleft()[1]
        return self._visible

    def _newest(self) -> tuple[ListedHost, ...]:
        """Return the latest list, regardless of the lag."""
        return self._pending[-1][1] if self._pending else self._visible
