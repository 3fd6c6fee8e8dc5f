"""
Counts of pending jobs
======================

Read the counts that the owner of a cell has written, and add the jobs submitted since.
"""

from __future__ import annotations

from collections.abc import Iterable

from toucanpin.entry.cell_rows import decode_job_row
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.tables import COUNTS_KEY, COUNTS_TABLE, JOBS_TABLE, list_job_parts, split_key
from toucanpin.platform.store import Row, Store
from toucanpin.scheduling.pending_counts import PendingCounts, decode_counts, is_recent

__all__ = ["read_pending"]


async def read_pending(
    store: Store, reader: RowReader, service: str, queue: str
) -> tuple[int, int] | None:
    """
    Return the number of pending jobs of a queue, and the age of the owner's view in ms.

    The result is None if the count is unknown.  An owner that reads its jobs late, or is being
    replaced, has counted only the jobs that it knows.  Jobs submitted later are counted here from
    the table's feed of changes; if that history is gone, the count is unknown.

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
    # On a saturated link all answers are late, so the clock in the newest one is outdated too.
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
    Return the rows of jobs that changed after a version, at least up to the version ``last``.

    The result is None if that history is gone.
    """
    rows: list[Row] = []
    while True:
        page = await store.follow(JOBS_TABLE, version, 0.0)
        if page is None:
            return None
        rows += page.rows
        # Jobs may be submitted faster than the store answers; then no answer would be empty.
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
