"""
Configuration
=============

Queues and services as operators configure them, and the routing of requests to queues.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["Configuration", "Queue", "QueueIndex", "Service"]


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue; ``timeout`` and ``aim`` are in ms."""

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
    """A service; ``guarded`` workers refuse tasks that don't fit."""

    name: str
    guarded: bool = True
    standby: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    max_headers: int = 16_384
    max_body: int = 262_144


class QueueIndex:
    """Index of queues by host and path prefix."""

    __slots__ = ("_by_route", "_lengths", "_names")

    def __init__(self, queues: Iterable[Queue]) -> None:
        self._names: set[str] = set()
        self._by_route: dict[tuple[str, str], tuple[int, Queue]] = {}
        for order, queue in enumerate(queues):
            self._names.add(queue.name)
            self._by_route.setdefault((queue.host.lower(), queue.prefix), (order, queue))
        self._lengths = sorted({len(prefix) for _, prefix in self._by_route}, reverse=True)

    def has(self, name: str) -> bool:
        """Return whether a queue of this name exists."""
        return name in self._names

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path, for its host or for any host."""
        name = host.partition(":")[0].lower()
        for length in self._lengths:
            if length > len(path):
                continue
            prefix = path[:length]
            found = [self._by_route.get((route_host, prefix)) for route_host in (name, "")]
            matches = [entry for entry in found if entry is not None]
            if matches:
                return min(matches, key=lambda entry: entry[0])[1]
        return None
