"""
Interfaces between the components of the daemon
===============================================

Protocols through which the components of one process use each other.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from toucanpin.bundles.schema import Bundle
from toucanpin.membership.member import Member
from toucanpin.timeline.event import Cause, Event

__all__ = ["BundleView", "Component", "EventSink", "MembershipView", "WsgiApp"]

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class Component(Protocol):
    """Component of a process that owns threads or sockets."""

    def start(self) -> None:
        """Start and return at once."""
        ...

    def stop(self, grace: float) -> None:
        """Finish work in flight within ``grace`` seconds and release all resources."""
        ...


class EventSink(Protocol):
    """Recorder of the events of this process."""

    def record(
        self, kind: str, ids: dict[str, str], detail: str = "", causes: tuple[Cause, ...] = ()
    ) -> Event:
        """Append one event to the timeline and return it."""
        ...


class BundleView(Protocol):
    """Read access to the bundle in force in this process."""

    def current(self) -> Bundle | None:
        """Return the bundle in force, None while it is unknown."""
        ...


class MembershipView(Protocol):
    """Read access to the members known to this process."""

    def members(self) -> tuple[Member, ...]:
        """Return every known member, this process included."""
        ...
