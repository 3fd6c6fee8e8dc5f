"""
Views of hosts
==============

What a decision about interference knows of one host.  Times are seconds of the owner's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Candidate", "HostView", "Resident", "ServiceLoad"]


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Give the newest known load of a service on a host, between 0 and 1."""

    service: str
    load: float


@dataclass(frozen=True, slots=True)
class Resident:
    """
    Describe a task on a host.

    ``processors`` is what it takes at full share: measured use where there is a measurement,
    declared size otherwise.  ``unsaved`` is the work since its checkpoint, in seconds.  A task that
    isn't ``batch`` is never throttled or evicted.
    """

    task: str
    job: str
    kind: str
    processors: float
    share: float = 1.0
    batch: bool = True
    unsaved: float = 0.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a task that waits for a place."""

    kind: str
    processors: float


@dataclass(frozen=True, slots=True)
class HostView:
    """Describe a host, the services on it and the tasks beside them."""

    host: str
    processors: int
    services: tuple[ServiceLoad, ...]
    residents: tuple[Resident, ...]
