"""
Settings of a process
=====================

Define every setting with its type, unit, limits, default and meaning.  The definitions are printed
by ``toucanpin config explain``, and ``settings_reader`` checks a file against them.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

__all__ = [
    "Access",
    "Control",
    "Keys",
    "Listen",
    "Log",
    "Peers",
    "Platform",
    "Process",
    "Requests",
    "Settings",
    "Telemetry",
    "Tls",
]

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
EndpointText = Annotated[str, Meta(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$")]
Url = Annotated[str, Meta(pattern=r"^https?://\d+\.\d+\.\d+\.\d+:\d+$")]
Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]


class Process(msgspec.Struct, frozen=True, kw_only=True):
    """Identity of this process."""

    deployment: Annotated[Name, Meta(description="deployment whose bundles this process applies")]
    host: Annotated[Name, Meta(description="name of this entry host")]
    site: Annotated[Name, Meta(description="data centre of this entry host")]
    role: Annotated[
        Literal["request", "control"], Meta(description="what this process does on its host")
    ]


class Listen(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoints on which this process listens."""

    operators: Annotated[EndpointText, Meta(description="HTTP for operators, metrics and probes")]
    inner: Annotated[EndpointText, Meta(description="inner protocol, TCP and UDP on the same port")]
    callers: Annotated[
        EndpointText | None, Meta(description="HTTP for callers; required by the request role")
    ] = None


class Platform(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoints and timings of the platform's services."""

    table: Annotated[Url, Meta(description="transactional table service")]
    objects: Annotated[Url, Meta(description="object store")]
    hosts: Annotated[Url, Meta(description="host list")]
    timeout_ms: Annotated[
        Milliseconds, Meta(description="timeout of one request", extra={"unit": "ms"})
    ] = 2_000
    hosts_every_ms: Annotated[
        Milliseconds, Meta(description="time between reads of the host list", extra={"unit": "ms"})
    ] = 1_000


class Peers(msgspec.Struct, frozen=True, kw_only=True):
    """Discovery and authentication of the other processes of the system."""

    key_file: Annotated[str, Meta(description="file with the keys of the inner protocol")]
    seeds: Annotated[
        tuple[EndpointText, ...], Meta(description="inner endpoints of some other processes")
    ] = ()
    heartbeat_ms: Annotated[
        Milliseconds, Meta(description="time between heartbeats", extra={"unit": "ms"})
    ] = 500


class Keys(msgspec.Struct, frozen=True, kw_only=True):
    """Keys that are trusted to sign bundles."""

    ring_file: Annotated[str, Meta(description="key ring that is trusted at start")]


class Control(msgspec.Struct, frozen=True, kw_only=True):
    """Durations of the control role."""

    turn_ms: Annotated[
        Milliseconds, Meta(description="time between turns of placement", extra={"unit": "ms"})
    ] = 400
    lease_ms: Annotated[
        Milliseconds, Meta(description="term of a worker's lease", extra={"unit": "ms"})
    ] = 6_000
    authority_ms: Annotated[
        Milliseconds, Meta(description="term of an owner's authority", extra={"unit": "ms"})
    ] = 10_000
    hold_ms: Annotated[
        Milliseconds,
        Meta(
            description="wait before a takeover by a process that is not on the owner's roster",
            extra={"unit": "ms"},
        ),
    ] = 2_100_000


class Requests(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the request role."""

    threads: Annotated[
        int, Meta(ge=1, le=1_024, description="callers' requests served concurrently")
    ] = 64
    drain_ms: Annotated[
        Milliseconds,
        Meta(
            description="longest wait for requests in flight when the process stops",
            extra={"unit": "ms"},
        ),
    ] = 30_000


class Log(msgspec.Struct, frozen=True, kw_only=True):
    """Level and format of the log."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"], Meta(description="lowest level written")
    ] = "info"
    format: Annotated[Literal["json", "text"], Meta(description="JSON lines, or lines of text")] = (
        "json"
    )


class Telemetry(msgspec.Struct, frozen=True, kw_only=True):
    """Push of metrics, in addition to the operators' HTTP."""

    collector: Annotated[Url | None, Meta(description="OTLP collector, none if unset")] = None
    every_ms: Annotated[
        Milliseconds, Meta(description="time between pushes", extra={"unit": "ms"})
    ] = 10_000


class Tls(msgspec.Struct, frozen=True, kw_only=True):
    """
    Certificate of the operators' HTTP; plain HTTP if unset.

    The platform's load balancer terminates the TLS of callers.
    """

    certificate: Annotated[
        str | None, Meta(description="certificate chain of operators' HTTP, PEM")
    ] = None
    key: Annotated[str | None, Meta(description="private key, PEM, readable by its owner only")] = (
        None
    )


class Access(msgspec.Struct, frozen=True, kw_only=True):
    """Operators who may access this process."""

    operators_file: Annotated[
        str | None, Meta(description="operators, digests of their tokens, roles; open if unset")
    ] = None


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one process."""

    process: Process
    listen: Listen
    platform: Platform
    peers: Peers
    keys: Keys
    control: Control = Control()
    requests: Requests = Requests()
    log: Log = Log()
    telemetry: Telemetry = Telemetry()
    tls: Tls = Tls()
    access: Access = Access()
