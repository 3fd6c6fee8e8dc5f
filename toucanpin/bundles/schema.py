"""
Schema of a bundle
==================

The configuration that operators sign and roll out: services, standing tasks, teams with quotas,
policy weights and limits.
"""

from __future__ import annotations

import msgspec

__all__ = ["Bundle", "Limits", "Service", "StandingTask", "Team", "Weights"]


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service; times are in milliseconds, sizes in bytes."""

    name: str
    slots: int = 8
    connections: int = 64
    deadline_ms: int = 2_000
    max_body: int = 1_048_576
    queue: int = 64


class StandingTask(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Task that must always be running on some host; ``memory`` is in MiB."""

    name: str
    team: str
    kind: str
    processors: int
    memory: int
    accelerators: int = 0
    payload: str = ""


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Team, and the quota of the resources that its tasks use at one time; ``memory`` is in MiB."""

    name: str
    processors: int
    memory: int
    accelerators: int = 0


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Relative weights of tail latency, batch throughput and evictions."""

    latency: float = 1.0
    throughput: float = 0.5
    evictions: float = 0.2


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of retries (share of requests), header and payload sizes (bytes) and attempts."""

    retry_share: float = 0.1
    max_header: int = 16_384
    max_job_payload: int = 65_536
    max_attempts: int = 5


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One version of the complete configuration of a deployment."""

    deployment: str
    version: int
    services: tuple[Service, ...] = ()
    standing: tuple[StandingTask, ...] = ()
    teams: tuple[Team, ...] = ()
    weights: Weights = Weights()
    limits: Limits = Limits()
