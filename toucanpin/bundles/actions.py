"""
Actions of bundle replication
=============================

The actions that a bundle replica asks its daemon to perform, and the results of offered bundles.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from toucanpin.bundles.record import BundleRecord

__all__ = [
    "OfferResult",
    "OfferStatus",
    "Peer",
    "PullFrom",
    "PushTo",
    "ReadTable",
    "Readiness",
    "ReplicationAction",
    "ReplicationTiming",
    "Source",
]


@dataclass(frozen=True, slots=True)
class ReplicationTiming:
    """
    Periods and timeouts of replication, in seconds.

    Attributes
    ----------
    poll_period
        Period of table reads.
    retry_delay
        Delay before the next pull after a failed one.
    settling_time
        Time for which a process listens to its peers after a start, a freeze or an isolation while
        the table is unavailable; longer than it takes to suspect a member.
    catch_up_time
        Time for which a process keeps serving after it has seen a higher version.
    isolation_timeout
        Time for which a process keeps serving that reaches neither the table nor a majority of the
        other processes.
    outage_timeout
        Time for which a process keeps serving that reaches a majority, none of which reaches the
        table.
    freeze_threshold
        Gap between two calls that shows that the process was frozen.
    hop_delay
        Added to the age of a confirmation by each process that receives it; it must exceed the
        delay of a heartbeat.
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
    """Origin of a record."""

    TABLE = "table"
    PEER = "peer"
    ACCEPTANCE = "acceptance"


class OfferStatus(enum.Enum):
    """
    Outcome of an offered bundle.

    KEPT is a verified bundle that isn't in force yet, since a newer one may exist.
    """

    APPLIED = "applied"
    KEPT = "kept"
    KNOWN = "known"
    LOWER = "lower"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class OfferResult:
    """Outcome of an offered bundle, and its reason."""

    status: OfferStatus
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Peer:
    """Reachable member, and the version in force in its last heartbeat."""

    name: str
    version: int


@dataclass(frozen=True, slots=True)
class ReadTable:
    """Read the current row if its version in the table is higher than ``after``."""

    after: int


@dataclass(frozen=True, slots=True)
class PullFrom:
    """Request a peer's bundle if its version is higher than ``above``."""

    peer: str
    above: int


@dataclass(frozen=True, slots=True)
class PushTo:
    """Send the bundle in force to a peer."""

    peer: str
    record: BundleRecord


ReplicationAction = ReadTable | PullFrom | PushTo


@dataclass(frozen=True, slots=True)
class Readiness:
    """Whether requests may be served with the bundle in force, and if not, why."""

    ready: bool
    reason: str = ""
