"""
Counts of what waits, as callers are told
=========================================

Read what the owner of a cell has counted, and add what has been handed in since it last looked.
"""

from __future__ import annotations

from collections.abc import Iterable

from toucanpin.entry.cell_rows import decode_job_row
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.tables import COUNTS_KEY, COUNTS_TABLE, JOBS_TABLE, list_job_parts, split_key
from toucanpin.platform.store import Row, Store
from toucanpin.scheduling.counting import PendingCounts, decode_counts, is_recent

__all__ = ["read_pending"]


async def read_pending(
    store: Store, reader: RowReader, service: str, queue: str
) -> tuple[int, int] | None:
    """
    Return how many jobs of a queue wait, and the age of their owner's view in ms.

    None stands for a count that isn't known.  An owner that reads its jobs late, or is being
    replaced, has counted those that it knows: what was handed in since then is counted here, and
    where the table has forgotten its changes nothing is said.

    Raises
    ------
    CallError
        If the table gave no answer.
    PlatformError
        If an answer can't be understood.
    """
    page = await store.read(COUNTS_TABLE, service, COUNTS_KEY, COUNTS_KEY + "\0")
    counts = reader.read_one(page.rows, _decode_counts)
    if counts is None or not counts.view.version:
        return None
    known = counts.jobs.get(queue, 0)
    # On a full link all answers come late, so the newest of them doesn't tell the time either.
    clock = store.read_clock()
    age = clock - counts.view.clock
    if is_recent(counts.view, clock):
        return known, age
    rows = await _read_newer(store, counts.view.version, page.version)
    if rows is None:
        return None
    return known + _count_new(rows, reader, service, queue), age


async def _read_newer(store: Store, version: int, last: int) -> list[Row] | None:
    """
    Return the jobs' rows that have changed after a version, at least those up to ``last``.

    None if that isn't known.
    """
    rows: list[Row] = []
    while True:
        page = await store.follow(JOBS_TABLE, version, 0.0)
        if page is None:
            return None
        rows += page.rows
        # Jobs may come faster than answers, and then none would be without rows.
        if not page.rows or page.version >= last:
            return rows
        version = page.version


def _count_new(rows: Iterable[Row], reader: RowReader, service: str, queue: str) -> int:
    parts = frozenset(list_job_parts(service))
    own = [row for row in rows if row.part in parts and not row.deleted]
    cancelled = {split_key(row.key)[0] for row in own if split_key(row.key)[1]}
    jobs = reader.read((row for row in own if not split_key(row.key)[1]), decode_job_row)
    return len({job.id for _, job in jobs if job.queue == queue} - cancelled)


def _decode_counts(row: Row) -> PendingCounts:
    return decode_counts(row.value)
