"""
Operators' configuration
========================

Decode the document of queues and services that operators maintain in the store.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from toucanpin.decoding import Whole, decode_json
from toucanpin.exception import MalformedError, PlatformError
from toucanpin.scheduling.configuration import Configuration, Queue, Service

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_END_KEY",
    "OPERATORS_TABLE",
    "decode_configuration",
    "list_evacuated_data_centres",
]

OPERATORS_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
EVACUATION_END_KEY = "evacuate0"  # the first key after all with EVACUATION_PREFIX


class _Advice(msgspec.Struct, rename="camel"):
    """
    Advice service of a queue.

    A call takes ``decision_ms`` and ``period_ms`` more for each worker in it; its answer is valid
    for ``validity_ms``.
    """

    decision_ms: float = 0
    period_ms: float = 0
    validity_ms: float = 0


class _Route(msgspec.Struct, rename="camel"):
    """A route, the platform's term for a queue."""

    name: str = ""
    host: str = ""
    path_prefix: str = "/"
    service: str = ""
    priority: Whole = 0
    max_attempts: Whole = 1
    stretch: float = 2.0
    target_latency_ms: float = 1_000
    timeout_ms: float = 3_000
    advice: _Advice | None = None


class _Service(msgspec.Struct, rename="camel"):
    name: str = ""
    rejects_overload: bool = True
    standby: bool = False


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: Whole = 16_384
    max_body_bytes: Whole = 262_144


class _Document(msgspec.Struct, rename="camel"):
    version: Whole
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_configuration(value: bytes) -> Configuration:
    """
    Return the configuration in the operators' document.

    Raises
    ------
    PlatformError
        If the document is invalid.
    """
    try:
        document = decode_json(value, _Document)
    except MalformedError as error:
        raise PlatformError(f"operators' configuration can't be decoded: {error}") from error
    queues = tuple(_to_queue(route) for route in document.routes)
    services = {
        service.name: Service(service.name, service.rejects_overload, service.standby)
        for service in document.services
    }
    limits = document.limits
    return Configuration(
        document.version, queues, services, limits.max_header_bytes, limits.max_body_bytes
    )


def list_evacuated_data_centres(keys: Iterable[str]) -> frozenset[str]:
    """Return the data centres to evacuate, which the keys name; the rows' values don't matter."""
    named = (
        key.removeprefix(EVACUATION_PREFIX) for key in keys if key.startswith(EVACUATION_PREFIX)
    )
    return frozenset(named)


def _to_queue(route: _Route) -> Queue:
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        max_failures=max(1, route.max_attempts),
        stretch=route.stretch,
        aim=int(route.target_latency_ms),
        timeout=int(route.timeout_ms),
        advised=route.advice is not None,
    )
