"""
Settings of an entry host
=========================

Settings of a process that come from its host, as plain types; times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Bounds", "HostSettings"]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds that the deployment guarantees or requires."""

    max_lease: float = 10.0
    stop: float = 0.2
    shutdown: float = 6.0
    job_retention: float = 120.0
    early: float = 0.25
    gang_wait: float = 3.0
    spread_factor: float = 3.0
    restore: float = 0.25
    checkpoint_period: float = 1.0
    contact: float = 3.0
    upkeep: float = 2.0
    machine_lease: float = 3.0
    evacuate: float = 5.0


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one process."""

    name: str
    address: str
    data_centre: str
    front: str
    readiness: str
    inner_port: int
    store: str
    advice: str
    machines: str
    heartbeat: float
    max_row: int
    bounds: Bounds
    cores: float = 1.0  # processor capacity of the host
