"""
Configuration in force
======================

The queues and services that operators describe, and the queue that a request names.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Configuration", "Queue", "Service", "find_queue"]


@dataclass(frozen=True, slots=True)
class Queue:
    """Describe one queue; ``timeout`` and ``aim`` are in ms."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_failures: int = 1
    stretch: float = 2.0
    aim: int = 1_000
    timeout: int = 3_000
    advised: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """Describe one service; ``guarded`` workers refuse what doesn't fit."""

    name: str
    guarded: bool = True
    standby: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of what operators wrote."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    max_headers: int = 16_384
    max_body: int = 262_144


def find_queue(configuration: Configuration, host: str, path: str) -> Queue | None:
    """Return the queue of a request: the longest prefix of its path, among those of its host."""
    name = host.partition(":")[0].lower()
    fitting = (
        queue
        for queue in configuration.queues
        if path.startswith(queue.prefix) and queue.host.lower() in ("", name)
    )
    return max(fitting, key=lambda queue: len(queue.prefix), default=None)
