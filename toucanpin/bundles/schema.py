"""
Schema of a bundle
==================

Everything that operators sign off and roll out: services, standing tasks, teams with quotas, the
weights of the policy and the limits.
"""

from __future__ import annotations

import msgspec

__all__ = ["Bundle", "Limits", "Service", "StandingTask", "Team", "Weights"]


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a service; times are in milliseconds, sizes in bytes."""

    name: str
    slots: int = 8
    connections: int = 64
    deadline_ms: int = 2_000
    max_body: int = 1_048_576
    queue: int = 64


class StandingTask(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a task that must always be running somewhere; ``memory`` is in MiB."""

    name: str
    team: str
    kind: str
    processors: int
    memory: int
    accelerators: int = 0
    payload: str = ""


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit what a team's tasks hold at one time; ``memory`` is in MiB."""

    name: str
    processors: int
    memory: int
    accelerators: int = 0


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weigh tail latency, batch throughput and evictions against each other."""

    latency: float = 1.0
    throughput: float = 0.5
    evictions: float = 0.2


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit retries (share of requests), header and body sizes (bytes) and failed attempts."""

    retry_share: float = 0.1
    max_header: int = 16_384
    max_job_payload: int = 65_536
    max_attempts: int = 5


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold one version of the whole configuration of one deployment."""

    deployment: str
    version: int
    services: tuple[Service, ...] = ()
    standing: tuple[StandingTask, ...] = ()
    teams: tuple[Team, ...] = ()
    weights: Weights = Weights()
    limits: Limits = Limits()
