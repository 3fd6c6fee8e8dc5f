"""
Settings of an entry host
=========================

Settings of a process that come from its host, as plain types; times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["DEFAULT_DESCRIPTORS", "DEFAULT_MEMORY_MB", "Bounds", "HostSettings"]

DEFAULT_MEMORY_MB = 256.0
DEFAULT_DESCRIPTORS = 1_024.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds that the deployment guarantees or requires."""

    max_lease: float = 10.0
    stop_time: float = 0.2  # of a task on its worker
    shutdown_time: float = 6.0  # after which the platform kills a process
    job_retention: float = 120.0  # for which the state of an ended job is shown
    early: float = 0.25
    gang_timeout: float = 3.0
    spread_factor: float = 3.0
    restore_time: float = 0.25  # of a task from its checkpoint
    checkpoint_period: float = 1.0
    contact_timeout: float = 3.0
    upkeep_time: float = 2.0  # of a machine
    machine_lease: float = 3.0  # after which another owner may order upkeep
    evacuation_time: float = 5.0  # until an evacuation has to be in force


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
    memory_mb: float = DEFAULT_MEMORY_MB  # of the process
    descriptors: float = DEFAULT_DESCRIPTORS  # that the process may open
