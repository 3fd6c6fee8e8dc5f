"""
Counts of pending jobs
======================

Number of accepted jobs of each queue that haven't begun, as of a version of the table.
"""

from __future__ import annotations

from collections import Counter

import msgspec

from toucanpin.decoding import decode_msgpack
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

# Callers may receive counts that are two seconds old; more recent ones need no update with newer
# jobs.
MAX_COUNT_AGE_MS = 1_500
MAX_ROW_BYTES = 48_000  # of a row's 64 KB: some 2,000 queues with pending jobs


class TableView(msgspec.Struct, frozen=True, array_like=True):
    """
    The jobs known to the owner: all jobs up to a version of the table.

    ``clock`` is the table's clock in ms at that version.
    """

    version: int = 0
    clock: int = 0


class PendingCounts(msgspec.Struct, frozen=True, array_like=True):
    """Number of pending jobs of each queue; a queue that isn't listed has none."""

    view: TableView
    jobs: dict[str, int]


def count_pending(cell: Cell) -> dict[str, int]:
    """Return the number of jobs of each queue none of whose tasks has begun."""
    counts: Counter[str] = Counter()
    for live in cell.jobs.values():
        counts[live.job.queue] += live.progress.state == JobState.PENDING
    return dict(counts)


def is_recent(view: TableView, clock: int) -> bool:
    """Return whether counts of a view may be returned unchanged at a time on the table's clock."""
    return clock - view.clock <= MAX_COUNT_AGE_MS


def encode_counts(view: TableView, jobs: dict[str, int]) -> bytes:
    """
    Return the encoded row of counts.

    Counts that exceed one row aren't written, and callers get no count; counts without some queues
    would be wrong.
    """
    waiting = {queue: count for queue, count in jobs.items() if count}
    value = msgspec.msgpack.encode(PendingCounts(view, waiting))
    if len(value) <= MAX_ROW_BYTES:
        return value
    return msgspec.msgpack.encode(PendingCounts(TableView(), {}))


def decode_counts(value: bytes) -> PendingCounts:
    """Decode counts from their row."""
    return decode_msgpack(value, PendingCounts)
