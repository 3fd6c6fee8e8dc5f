"""
Write batches
=============

Content of one transaction of a cell's owner, and the actions that follow once it is written.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.progress_rows import encode_rows, list_piece_keys
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = [
    "MAX_FORGOTTEN",
    "WriteBatch",
    "WrittenEnd",
    "apply_batch",
    "has_pending_writes",
    "take_batch",
]

MAX_ROWS = 85  # of a transaction's 100 entries; the owner's row and deletes take some
MAX_FORGOTTEN = 5  # jobs per transaction
MAX_BYTES = 400_000  # of a transaction's 1 MB, which base64 makes a third larger


@dataclass(frozen=True, slots=True)
class WrittenEnd:
    """
    Newest end of one incarnation of a worker in a batch.

    A worker that restarts during the write counts its ends anew, so its id alone would acknowledge
    ends that aren't written.
    """

    worker: Worker
    sequence: int


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """
    Content of one transaction and the actions that depend on it.

    ``records`` has the rows of jobs' progress by key; ``forgotten`` are the keys of rows that are
    deleted; ``placed`` are runs to be started and ``ends`` the newest written end of each worker.
    """

    records: dict[str, bytes]
    forgotten: tuple[str, ...]
    placed: tuple[Run, ...]
    ends: tuple[WrittenEnd, ...]


def has_pending_writes(cell: Cell) -> bool:
    """Return whether anything is to be written."""
    return bool(cell.dirty or cell.end_sequences or cell.progress_rows_to_delete)


def take_batch(cell: Cell) -> WriteBatch:
    """Remove pending writes from the cell, up to the limits of one transaction."""
    records: dict[str, bytes] = {}
    size = 0
    unused: list[str] = []
    for identifier in list(cell.dirty):
        rows = encode_rows(identifier, cell.jobs[identifier].progress, cell.max_row)
        size += sum(map(len, rows.values()))
        if records and (len(records) + len(rows) + len(unused) > MAX_ROWS or size > MAX_BYTES):
            break
        del cell.dirty[identifier]
        records |= rows
        unused += _replace_pieces(cell, identifier, len(rows) - 1)
    # Ends and starts depend on the rows of all jobs that they changed.
    complete = not cell.dirty
    placed = [run for run in cell.placed if complete or run.task.job not in cell.dirty]
    cell.placed = [run for run in cell.placed if not complete and run.task.job in cell.dirty]
    ends = tuple(_take_ends(cell)) if complete else ()
    ended = cell.progress_rows_to_delete[:MAX_FORGOTTEN]
    del cell.progress_rows_to_delete[: len(ended)]
    unused += [key for job in ended for key in (job, *_replace_pieces(cell, job, 0))]
    return WriteBatch(records, tuple(unused), tuple(placed), ends)


def apply_batch(cell: Cell, batch: WriteBatch) -> list[Run]:
    """Apply a batch that is written; return the runs that may be started."""
    for end in batch.ends:
        end.worker.acknowledged_sequence = max(end.worker.acknowledged_sequence, end.sequence)
    started = []
    for run in batch.placed:
        # A job may have been cancelled while its placements were written.
        if run.phase is Phase.PLACED:
            run.phase = Phase.ORDERED
            started.append(run)
    return started


def _replace_pieces(cell: Cell, job: str, count: int) -> Iterable[str]:
    """Record the number of a job's pieces; return the keys of those that aren't used any more."""
    before = cell.progress_pieces.pop(job, 0)
    if count:
        cell.progress_pieces[job] = count
    return list_piece_keys(job, before, count)


def _take_ends(cell: Cell) -> Iterator[WrittenEnd]:
    """Remove the ends that aren't written yet from the cell."""
    for identifier, sequence in cell.end_sequences.items():
        worker = cell.workers.get(identifier)
        if worker is not None:
            yield WrittenEnd(worker, sequence)
    cell.end_sequences.clear()
