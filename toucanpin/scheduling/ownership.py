"""
Ownership of a cell
===================

Election of the owner of a cell through one row, which is written with every commit of its owner.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from toucanpin.decoding import decode_msgpack
from toucanpin.scheduling.forecast import Forecast

__all__ = [
    "MIN_HANDOVER_INTERVAL_S",
    "MAX_LOADING_S",
    "MIN_TENURE_S",
    "OwnerRecord",
    "OwnerWatch",
    "decode_owner",
    "encode_owner",
    "plan_next_read",
    "plan_rank",
    "plan_takeover",
    "record_failed_read",
    "record_read",
]

OWNER_TIMEOUT_S = 1.3  # without a new write; an owner writes every 0.35 s
TAKEOVER_SPREAD_S = 0.12  # over which hosts spread their attempts to take a cell without owner
OWNER_WRITE_INTERVAL_S = 0.35  # of an owner without other writes
# On a weak host the orders and answers of hundreds of workers take all processor time: jobs are
# read late, and tasks of jobs that were cancelled meanwhile are started.
WEAK_HOST_DELAY_S = 1.4  # for which a weak host leaves a cell to stronger ones
MIN_TENURE_S = 4.0  # after which a weak owner may hand its cell to a stronger host
MAX_LOADING_S = 1.0  # after which a weak owner that places nothing yet gives up its cell
MIN_HANDOVER_INTERVAL_S = 20.0  # between two handovers by one host
SUCCESSOR_POLL_INTERVAL_S = 0.4  # between reads of the owner's row by the next hosts in the order
POLL_INTERVAL_S = 1.2  # between reads by the other hosts
SUCCESSOR_COUNT = 16  # hosts; most of them may fail together with the owner
READ_TIME_FACTOR = 3.0  # by which an owner's write may exceed a read while the store is slow
# Slower reads, or longer times without one, are outages; a slow store takes 0.6 s to answer.
MAX_READ_TIME_S = 1.0
MAX_READ_GAP_S = POLL_INTERVAL_S + MAX_READ_TIME_S
MIN_READ_INTERVAL_S = 0.05  # between the last reads before a takeover
MIN_LATER_RANK = 0.3  # of all hosts but the first in the order of succession


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """
    The owner of a cell.

    ``life`` names the incarnation of the host's process; ``token`` grows with each owner and fences
    earlier ones; ``sequence`` grows with each write, so that no earlier write can apply after a
    later one. An empty ``host`` means that the last owner has resigned. ``backlog`` is the waiting
    time in ms of new tasks by priority; it is empty unless the owner is overloaded.  ``forecast``
    is None unless entry hosts shall decide on admission by it.  ``authority`` is how long after
    this write its owner may grant leases, in ms, 0 if unknown; ``earlier_end`` tells in how many ms
    the leases of earlier owners will have ended, and ``lease_ends`` those of workers that don't
    answer.
    """

    host: str
    life: str
    token: int
    sequence: int
    backlog: dict[int, int] = {}
    forecast: Forecast | None = None
    authority: int = 0
    lease_ends: dict[str, int] = {}
    earlier_end: int = 0


@dataclass(slots=True)
class OwnerWatch:
    """
    Observed state of the owner's row.

    ``changed_at`` is when its version was first read, ``silent_time`` the time since then in which
    the row could be read, and ``timeout`` the silent time at which this host takes the cell.
    ``failed`` is true after a failed read, ``excused`` once an outage has restarted the silent time
    of the present version.
    """

    version: int = -1
    record: OwnerRecord | None = None
    changed_at: float = 0.0
    seen_at: float = 0.0
    read_time: float = 0.0
    silent_time: float = 0.0
    timeout: float = 0.0
    failed: bool = False
    excused: bool = False


def record_failed_read(watch: OwnerWatch) -> None:
    """Record that the row couldn't be read, neither directly nor through other hosts."""
    watch.failed = True


def record_read(
    watch: OwnerWatch, version: int, record: OwnerRecord | None, took: float, now: float
) -> None:
    """Record a read of the row that took ``took`` seconds."""
    gap = now - watch.seen_at
    is_outage = watch.failed or took > MAX_READ_TIME_S or gap > MAX_READ_GAP_S
    watch.seen_at = now
    watch.failed = False
    if version != watch.version:
        watch.version = version
        watch.record = record
        watch.changed_at = now
        watch.silent_time = 0.0
        watch.excused = False
        if is_outage:
            return
    elif is_outage and not watch.excused:
        # The owner may have been alive all the time.  It needs as long to write again as an owner
        # that is well, since its last write may have been cut off by the outage as well.  Only once
        # for each write, or a host whose reads are always slow would never take a cell.
        watch.silent_time = 0.0
        watch.excused = True
        return
    else:
        # Only time in which the row could be read counts.
        watch.silent_time += min(gap, 2 * OWNER_WRITE_INTERVAL_S + took)
    watch.read_time = max(took, watch.read_time * 0.8)


def plan_rank(position: int, spread: float) -> float:
    """
    Return the rank of a host for ``plan_takeover``.

    ``position`` is the number of live hosts before it in the order of succession, without the
    owner; ``spread`` is a random number of the host from 0 to 1.  The first in the order is the
    strongest, and doesn't wait for others.
    """
    return 0.0 if position == 0 else MIN_LATER_RANK + (1 - MIN_LATER_RANK) * spread


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
    watch.timeout = (
        OWNER_TIMEOUT_S
        + rank * OWNER_WRITE_INTERVAL_S
        + READ_TIME_FACTOR * watch.read_time
        + weak_delay
    )
    return 0.0 if watch.silent_time >= watch.timeout else None


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
    left = watch.timeout - watch.silent_time if owned and watch.silent_time else 0.0
    if left > 0:
        return min(SUCCESSOR_POLL_INTERVAL_S, max(MIN_READ_INTERVAL_S, left))
    return SUCCESSOR_POLL_INTERVAL_S


def encode_owner(record: OwnerRecord) -> bytes:
    """Return the encoded row of an owner."""
    return msgspec.msgpack.encode(record)


def decode_owner(value: bytes) -> OwnerRecord:
    """Decode an owner from its row."""
    return decode_msgpack(value, OwnerRecord)
