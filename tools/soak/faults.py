"""
Vocabulary of faults
====================

What the soak does to a deployment from outside; times are in s, hosts and workers are numbers.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = [
    "Fault",
    "HangUp",
    "Kill",
    "Link",
    "LinkMode",
    "Pause",
    "Reconfigure",
    "StoreForgets",
    "StoreLate",
    "StoreLoses",
    "StoreRefuses",
    "StoreSilent",
    "StoreSlow",
    "Terminate",
    "Timed",
    "WorkerCrash",
    "WorkerFails",
    "WorkerLate",
    "WorkerLeaves",
    "WorkerRefuses",
]

Hosts = tuple[int, ...]


class LinkMode(enum.Enum):
    """Say what a connection between a host and the store or a worker does to bytes."""

    OPEN = "open"
    DELAYED = "delayed"
    RESET = "reset"
    CUT_THERE = "cut there"  # requests are held back, answers pass
    CUT_BACK = "cut back"  # requests pass, answers are held back
    SILENT = "silent"  # both are held back


@dataclass(frozen=True, slots=True)
class Terminate:
    """Send SIGTERM, and start the host anew once it has been away for a while."""

    host: int
    away: float


@dataclass(frozen=True, slots=True)
class Kill:
    """Send SIGKILL, and start the host anew after a while."""

    host: int
    away: float


@dataclass(frozen=True, slots=True)
class Pause:
    """Send SIGSTOP, and SIGCONT later."""

    host: int
    lasts: float


@dataclass(frozen=True, slots=True)
class HangUp:
    """Write the settings file anew and send SIGHUP."""

    host: int


@dataclass(frozen=True, slots=True)
class Reconfigure:
    """Write a configuration with so many queues beside those that are used."""

    extra: int


@dataclass(frozen=True, slots=True)
class StoreRefuses:
    """Let the store answer some hosts with a status."""

    hosts: Hosts
    lasts: float
    status: int


@dataclass(frozen=True, slots=True)
class StoreSlow:
    """Let the store take longer for each answer to some hosts."""

    hosts: Hosts
    lasts: float
    takes: float


@dataclass(frozen=True, slots=True)
class StoreSilent:
    """Let the store leave some hosts without answers and do nothing."""

    hosts: Hosts
    lasts: float


@dataclass(frozen=True, slots=True)
class StoreLoses:
    """Let some transactions of a host take effect without an answer."""

    host: int
    writes: int


@dataclass(frozen=True, slots=True)
class StoreLate:
    """Let some transactions of a host take effect later, without an answer."""

    host: int
    writes: int
    by: float


@dataclass(frozen=True, slots=True)
class StoreForgets:
    """Let the store drop its history."""


@dataclass(frozen=True, slots=True)
class Link:
    """
    Trouble the connections of some hosts to the store, or to some workers.

    ``workers`` is None for the store.
    """

    hosts: Hosts
    workers: tuple[int, ...] | None
    mode: LinkMode
    lasts: float
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkerCrash:
    """End a worker without a word; another life comes at its address after a while."""

    worker: int
    away: float


@dataclass(frozen=True, slots=True)
class WorkerLeaves:
    """Let a worker drain and go; another life comes at its address after a while."""

    worker: int
    drains: float
    away: float


@dataclass(frozen=True, slots=True)
class WorkerLate:
    """Let a worker leave orders unanswered and carry them out later, for a while."""

    worker: int
    lasts: float
    by: float


@dataclass(frozen=True, slots=True)
class WorkerRefuses:
    """Let a worker refuse starts with a status for a while; 409 is for want of room."""

    worker: int
    lasts: float
    status: int


@dataclass(frozen=True, slots=True)
class WorkerFails:
    """Let a worker fail every task that it starts for a while."""

    worker: int
    lasts: float


Fault = (
    Terminate
    | Kill
    | Pause
    | HangUp
    | Reconfigure
    | StoreRefuses
    | StoreSlow
    | StoreSilent
    | StoreLoses
    | StoreLate
    | StoreForgets
    | Link
    | WorkerCrash
    | WorkerLeaves
    | WorkerLate
    | WorkerRefuses
    | WorkerFails
)


@dataclass(frozen=True, slots=True)
class Timed:
    """Hold a fault and the time at which it begins, in s since callers came."""

    at: float
    fault: Fault
