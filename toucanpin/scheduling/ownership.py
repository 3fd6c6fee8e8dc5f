"""
Ownership of a cell
===================

Who decides about a cell: one row, written with every commit of its owner.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

__all__ = [
    "MIN_TENURE_S",
    "MIN_HANDOVER_INTERVAL_S",
    "OwnerRecord",
    "OwnerWatch",
    "decode_owner",
    "encode_owner",
    "record_read",
    "plan_next_read",
    "plan_takeover",
]

OWNER_TIMEOUT_S = (
    1.3  # s without a new write after which an owner counts as gone; it writes each 0.35 s
)
TAKEOVER_SPREAD_S = 0.12  # s over which hosts spread their grip at a cell that nobody owns
OWNER_WRITE_INTERVAL_S = 0.35  # s between writes of an owner that has nothing else to write
# A weak host is used up by the orders and answers of hundreds of workers, reads its jobs late, and
# starts tasks of jobs that were cancelled meanwhile.
WEAK_HOST_DELAY_S = 0.6  # s for which a weak host leaves a cell to stronger ones
MIN_TENURE_S = 4.0  # s after which a weak owner hands its cell to a stronger host
MIN_HANDOVER_INTERVAL_S = 20.0  # s until a host that did so may do it again
SUCCESSOR_POLL_INTERVAL_S = (
    0.4  # s between looks at an owner's row by the hosts that are next in line
)
POLL_INTERVAL_S = 1.2  # s between looks by the others
SUCCESSOR_COUNT = 16  # hosts; most of them may be lost with the owner
READ_TIME_FACTOR = (
    3.0  # reads of the row that an owner's write may take longer, while the store is slow
)


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """
    Name the owner of a cell.

    ``life`` differs between starts of one host; ``token`` grows with each owner and fences the
    earlier ones; ``sequence`` grows with each write, so no earlier write can apply after a later.
    An empty ``host`` says that the last owner has resigned.  ``backlog`` holds by priority for how
    many ms new tasks will wait for an owner that can't follow; it is empty for one that can.
    """

    host: str
    life: str
    token: int
    sequence: int
    backlog: dict[int, int] = {}


@dataclass(slots=True)
class OwnerWatch:
    """Follow the owner's row; ``changed_at`` is when it was first seen as it is."""

    version: int = -1
    record: OwnerRecord | None = None
    changed_at: float = 0.0
    seen_at: float = 0.0
    read_time: float = 0.0
    silent_time: float = 0.0


def record_read(
    watch: OwnerWatch, version: int, record: OwnerRecord | None, took: float, now: float
) -> None:
    """Take note of a read of the row that took ``took`` seconds."""
    gap = now - watch.seen_at
    watch.seen_at = now
    watch.read_time = max(took, watch.read_time * 0.8)
    if version != watch.version:
        watch.version = version
        watch.record = record
        watch.changed_at = now
        watch.silent_time = 0.0
        return
    # Only time in which the row could be read counts: after an outage of the table its owner
    # needs a moment to write again, and was as well as anybody until then.
    watch.silent_time += min(gap, 2 * OWNER_WRITE_INTERVAL_S + took)


def plan_takeover(
    watch: OwnerWatch, rank: float, host: str = "", life: str = "", weak: bool = False
) -> float | None:
    """
    Return after how many seconds to take the cell, None if it has an owner.

    ``rank`` is from 0 to 1 and spreads the hosts that would take it at the same moment; a ``weak``
    host leaves it to stronger ones for a while.
    """
    if watch.version < 0:
        return None
    yielding = WEAK_HOST_DELAY_S if weak else 0.0
    if watch.record is None or not watch.record.host:
        return rank * TAKEOVER_SPREAD_S + yielding
    # A host runs one process, so an earlier life of this one is over.  Waiting for its silence
    # would cost the leases of all workers whenever every host restarts.
    if watch.record.host == host and watch.record.life != life:
        return 0.0
    patience = (
        OWNER_TIMEOUT_S
        + rank * OWNER_WRITE_INTERVAL_S
        + READ_TIME_FACTOR * watch.read_time
        + yielding
    )
    return 0.0 if watch.silent_time >= patience else None


def plan_next_read(watch: OwnerWatch, place: int) -> float:
    """
    Return after how many seconds to look at the row again.

    ``place`` counts the hosts that would sooner be the owner.  Where there are a hundred hosts the
    store would answer mostly these looks.  One that is far behind needs to look closely only once
    the owner is silent.
    """
    owned = watch.record is not None and bool(watch.record.host)
    if owned and not watch.silent_time and place >= SUCCESSOR_COUNT:
        return POLL_INTERVAL_S
    return SUCCESSOR_POLL_INTERVAL_S


def encode_owner(record: OwnerRecord) -> bytes:
    """Return a record as it stands in its row."""
    return msgspec.msgpack.encode(record)


def decode_owner(value: bytes) -> OwnerRecord:
    """Read a record from its row."""
    return msgspec.msgpack.decode(value, type=OwnerRecord)
