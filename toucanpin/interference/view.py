"""
Views of hosts
==============

The state of one host as input of interference decisions.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Candidate", "HostView", "Resident", "ServiceLoad"]


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Latest known load of a service on a host, between 0 and 1."""

    service: str
    load: float


@dataclass(frozen=True, slots=True)
class Resident:
    """
    Task on a host.

    ``processors`` is its usage at full share: the measured one if there is a measurement, otherwise
    the declared size.  ``unsaved`` is the work since its checkpoint, in seconds.  A task that isn't
    ``batch`` is never throttled or evicted.
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
    """Task that waits for placement."""

    kind: str
    processors: float


@dataclass(frozen=True, slots=True)
class HostView:
    """Host with its services and the tasks colocated with them."""

    host: str
    processors: int
    services: tuple[ServiceLoad, ...]
    residents: tuple[Resident, ...]
