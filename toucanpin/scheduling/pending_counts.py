"""
Counts of what waits
====================

How many jobs of each queue have been accepted and not begun, and of which moment that is true.
"""

from __future__ import annotations

from collections import Counter

import msgspec

from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.progress import JobState

__all__ = [
    "PendingCounts",
    "TableView",
    "count_pending",
    "decode_counts",
    "encode_counts",
    "is_recent",
]

# Callers may be told a count of two seconds ago; what is younger needs no look at newer jobs.
MAX_COUNT_AGE_MS = 1_500  # ms
MAX_ROW_BYTES = 48_000  # of a row's 64 KB: some 2,000 queues with jobs that wait


class TableView(msgspec.Struct, frozen=True, array_like=True):
    """
    Tell which jobs their owner has taken up: all of those up to a version of the table.

    ``clock`` is the table's as it had that version, in ms.
    """

    version: int = 0
    clock: int = 0


class PendingCounts(msgspec.Struct, frozen=True, array_like=True):
    """Hold how many jobs of each queue wait; a queue that isn't named has none."""

    view: TableView
    jobs: dict[str, int]


def count_pending(cell: Cell) -> dict[str, int]:
    """Return the number of jobs of each queue none of whose tasks has begun."""
    counts: Counter[str] = Counter()
    for live in cell.jobs.values():
        counts[live.job.queue] += live.progress.state == JobState.PENDING
    return dict(counts)


def is_recent(view: TableView, clock: int) -> bool:
    """Tell whether counts of a view may be given as they are at a moment of the table's clock."""
    return clock - view.clock <= MAX_COUNT_AGE_MS


def encode_counts(view: TableView, jobs: dict[str, int]) -> bytes:
    """
    Return counts as they stand in their row.

    Where they are too many for one row they aren't written, and callers are told that the count
    isn't known; a count without some queues would be wrong.
    """
    waiting = {queue: count for queue, count in jobs.items() if count}
    value = msgspec.msgpack.encode(PendingCounts(view, waiting))
    if len(value) <= MAX_ROW_BYTES:
        return value
    return msgspec.msgpack.encode(PendingCounts(TableView(), {}))


def decode_counts(value: bytes) -> PendingCounts:
    """Read counts from their row."""
    return msgspec.msgpack.decode(value, type=PendingCounts)
