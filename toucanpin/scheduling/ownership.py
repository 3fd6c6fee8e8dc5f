"""
Ownership of a cell
===================

Election of the owner of a cell through one row, which is written with every commit of its owner.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from toucanpin.scheduling.forecast import Forecast

__all__ = [
    "MIN_HANDOVER_INTERVAL_S",
    "MIN_TENURE_S",
    "OwnerRecord",
    "OwnerWatch",
    "decode_owner",
    "encode_owner",
    "plan_next_read",
    "plan_takeover",
    "record_read",
]

OWNER_TIMEOUT_S = 1.3  # without a new write; an owner writes every 0.35 s
TAKEOVER_SPREAD_S = 0.12  # over which hosts spread their attempts to take a cell without owner
OWNER_WRITE_INTERVAL_S = 0.35  # of an owner without other writes
# On a weak host the orders and answers of hundreds of workers take all processor time: jobs are
# read late, and tasks of jobs that were cancelled meanwhile are started.
WEAK_HOST_DELAY_S = 0.6  # for which a weak host leaves a cell to stronger ones
MIN_TENURE_S = 4.0  # after which a weak owner may hand its cell to a stronger host
MIN_HANDOVER_INTERVAL_S = 20.0  # between two handovers by one host
SUCCESSOR_POLL_INTERVAL_S = 0.4  # between reads of the owner's row by the next hosts in the order
POLL_INTERVAL_S = 1.2  # between reads by the other hosts
SUCCESSOR_COUNT = 16  # hosts; most of them may fail together with the owner
READ_TIME_FACTOR = 3.0  # by which an owner's write may exceed a read while the store is slow


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """
    The owner of a cell.

    ``life`` names the incarnation of the host's process; ``token`` grows with each owner and fences
    earlier ones; ``sequence`` grows with each write, so that no earlier write can apply after a
    later one. An empty ``host`` means that the last owner has resigned. ``backlog`` is the waiting
    time in ms of new tasks by priority; it is empty unless the owner is overloaded.  ``forecast``
    is None unless entry hosts shall decide on admission by it.
    """

    host: str
    life: str
    token: int
    sequence: int
    backlog: dict[int, int] = {}
    forecast: Forecast | None = None


@dataclass(slots=True)
class OwnerWatch:
    """Observed state of the owner's row; ``changed_at`` is when its version was first read."""

    version: int = -1
    record: OwnerRecord | None = None
    changed_at: float = 0.0
    seen_at: float = 0.0
    read_time: float = 0.0
    silent_time: float = 0.0


def record_read(
    watch: OwnerWatch, version: int, record: OwnerRecord | None, took: float, now: float
) -> None:
    """Record a read of the row that took ``took`` seconds."""
    gap = now - watch.seen_at
    watch.seen_at = now
    watch.read_time = max(took, watch.read_time * 0.8)
    if version != watch.version:
        watch.version = version
        watch.record = record
        watch.changed_at = now
        watch.silent_time = 0.0
        return
    # Only time in which the row could be read counts: after an outage of the table the owner needs
    # a moment to write again, and may have been alive all the time.
    watch.silent_time += min(gap, 2 * OWNER_WRITE_INTERVAL_S + took)


def plan_takeover(
    watch: OwnerWatch, rank: float, host: str = "", life: str = "", weak: bool = False
) -> float | None:
    """
    Return the delay in seconds until taking over the cell, None if it has an owner.

    ``rank`` is between 0 and 1 and spreads the hosts that would take it at the same time; a
    ``weak`` host leaves it to stronger ones for a while.
    """
    if watch.version < 0:
        return None
    weak_delay = WEAK_HOST_DELAY_S if weak else 0.0
    if watch.record is None or not watch.record.host:
        return rank * TAKEOVER_SPREAD_S + weak_delay
    # A host runs one process, so an earlier process of this host has ended. Waiting for its timeout
    # would let the leases of all workers expire whenever all hosts restart.
    if watch.record.host == host and watch.record.life != life:
        return 0.0
    timeout = (
        OWNER_TIMEOUT_S
        + rank * OWNER_WRITE_INTERVAL_S
        + READ_TIME_FACTOR * watch.read_time
        + weak_delay
    )
    return 0.0 if watch.silent_time >= timeout else None


def plan_next_read(watch: OwnerWatch, position: int) -> float:
    """
    Return the delay in seconds until the next read of the row.

    ``position`` is the number of hosts that precede this one as successors. With a hundred hosts
    these reads would be most of the store's load. A host far down the order needs frequent reads
    only once the owner is silent.
    """
    owned = watch.record is not None and bool(watch.record.host)
    if owned and not watch.silent_time and position >= SUCCESSOR_COUNT:
        return POLL_INTERVAL_S
    return SUCCESSOR_POLL_INTERVAL_S


def encode_owner(record: OwnerRecord) -> bytes:
    """Return the encoded row of an owner."""
    return msgspec.msgpack.encode(record)


def decode_owner(value: bytes) -> OwnerRecord:
    """Decode an owner from its row."""
    return msgspec.msgpack.decode(value, type=OwnerRecord)
