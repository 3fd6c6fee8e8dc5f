"""
Questions and offers
====================

What the spread of bundles asks of the daemon, and what it makes of an offered bundle.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from toucanpin.bundles.record import BundleRecord

__all__ = [
    "ReplicationAction",
    "OfferResult",
    "OfferStatus",
    "Peer",
    "PullFrom",
    "PushTo",
    "ReadTable",
    "Readiness",
    "Source",
    "ReplicationTiming",
]


@dataclass(frozen=True, slots=True)
class ReplicationTiming:
    """
    Time the spread; all in seconds.

    ``settle`` is how long a process that starts or was away listens to its peers when the table is
    silent, longer than it takes to suspect a member; ``catch_up`` how long a process serves on
    although it has seen a higher version; ``isolated`` how long one serves that reaches neither
    the table nor most of the others; ``outage`` how long one serves that reaches those, but none
    of them the table; ``pause`` the gap that shows that the process was frozen.  ``hop`` is added
    to the age of a confirmation at each process that it passes; it must exceed the delay of a
    heartbeat.
    """

    poll_period: float = 2.0
    retry_delay: float = 0.2
    settling_time: float = 3.0
    catch_up_time: float = 5.0
    isolation_timeout: float = 30.0
    outage_timeout: float = 2_100.0
    freeze_threshold: float = 2.0
    hop_delay: float = 1.0


class Source(enum.Enum):
    """Say where a record came from."""

    TABLE = "table"
    PEER = "peer"
    ACCEPTANCE = "acceptance"


class OfferStatus(enum.Enum):
    """Say what became of an offered bundle."""

    APPLIED = "applied"
    KEPT = "kept"
    KNOWN = "known"
    LOWER = "lower"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class OfferResult:
    """Report what became of an offered bundle, and why."""

    status: OfferStatus
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Peer:
    """Name a member that is there and the version that it last said to have in force."""

    name: str
    version: int


@dataclass(frozen=True, slots=True)
class ReadTable:
    """Read the current row if its version in the table is higher than ``after``."""

    after: int


@dataclass(frozen=True, slots=True)
class PullFrom:
    """Ask a peer for its bundle."""

    peer: str
    above: int


@dataclass(frozen=True, slots=True)
class PushTo:
    """Hand the bundle in force to a peer."""

    peer: str
    record: BundleRecord


ReplicationAction = ReadTable | PullFrom | PushTo


@dataclass(frozen=True, slots=True)
class Readiness:
    """Say whether the bundle in force may be served by, and if not, why."""

    ready: bool
    reason: str = ""
