"""
Heartbeats
==========

Contents of heartbeats: the state of the sender and its view of the other members.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from toucanpin.membership.member import Member

__all__ = ["Beat", "Change", "ChangeKind", "Record", "Timing"]


@dataclass(frozen=True, slots=True)
class Record:
    """State of one member; ``sequence`` is the highest known of this incarnation."""

    member: Member
    sequence: int


@dataclass(frozen=True, slots=True)
class Beat:
    """
    One heartbeat: the sender's own record, a digest of its view and the records that changed.

    ``sequence`` in ``sender`` only grows within one incarnation.
    """

    sender: Record
    digest: int
    records: tuple[Record, ...] = ()


class ChangeKind(enum.Enum):
    """Kind of a change of a member in this process's view."""

    JOINED = "joined"
    RETURNED = "returned"
    SUSPECTED = "suspected"
    REFUTED = "refuted"
    LEAVING = "leaving"
    GONE = "gone"
    RENEWED = "renewed"


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the view."""

    kind: ChangeKind
    member: Member


@dataclass(frozen=True, slots=True)
class Timing:
    """
    Intervals and timeouts of membership, in seconds.

    A member is suspected after ``suspect_after`` without a heartbeat from it, gone after
    ``gone_after`` without any newer record of it, and forgotten ``forget_after`` later.
    """

    interval: float = 0.5
    suspect_after: float = 2.0
    gone_after: float = 6.0
    forget_after: float = 3_600.0
