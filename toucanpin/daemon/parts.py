"""
Seams between the parts of the daemon
=====================================

The narrow interfaces through which the parts of one process see each other.  The composition root
connects them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from toucanpin.bundles.schema import Bundle
from toucanpin.membership.member import Member
from toucanpin.timeline.event import Cause, Event

__all__ = ["BundleView", "EventSink", "MembershipView", "Part", "WsgiApp"]

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class Part(Protocol):
    """Run threads or sockets of one concern."""

    def start(self) -> None:
        """Start and return at once."""
        ...

    def stop(self, grace: float) -> None:
        """Finish what is in flight within ``grace`` seconds and release everything."""
        ...


class EventSink(Protocol):
    """Take the events of this process."""

    def record(
        self, kind: str, ids: dict[str, str], detail: str = "", causes: tuple[Cause, ...] = ()
    ) -> Event:
        """Append one event to the time line."""
        ...


class BundleView(Protocol):
    """Show the bundle in force in this process."""

    def current(self) -> Bundle | None:
        """Return the bundle in force, None while it isn't known."""
        ...


class MembershipView(Protocol):
    """Show the processes that this one believes to be there."""

    def members(self) -> tuple[Member, ...]:
        """Return every known member, this process included."""
        ...
