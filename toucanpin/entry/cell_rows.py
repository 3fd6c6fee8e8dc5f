"""
Rows of a cell
==============

Read and write the persistent state of one cell on behalf of its owner.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable, Sequence

import logbook
import msgspec

from toucanpin.decoding import decode_msgpack
from toucanpin.entry.cell_reading import RETRY_DELAY_S, CellReader, join_pages
from toucanpin.entry.clocks import steady_time
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.tables import (
    COUNTS_KEY,
    COUNTS_TABLE,
    EFFECTS_TABLE,
    HANDOVERS_TABLE,
    JOBS_TABLE,
    OWNER_KEY,
    OWNERS_TABLE,
    PROGRESS_TABLE,
    cancel_key,
    job_part,
    list_job_parts,
    split_key,
)
from toucanpin.exception import PlatformError
from toucanpin.http import CallError
from toucanpin.platform.store import Committed, ExpectedVersion, Page, Put, Row, Store
from toucanpin.scheduling.authority import choose_authority
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.fencing import find_newest_token
from toucanpin.scheduling.forecast import Forecast
from toucanpin.scheduling.intake import cancel_job, restore_job, submit_job
from toucanpin.scheduling.interference_model import InterferenceModel, LearnedModel
from toucanpin.scheduling.job import Job, decode_job, find_job_fault
from toucanpin.scheduling.lease_ends import (
    confirm_lease_ends,
    count_ms_until,
    forget_lease_ends,
    list_lease_ends,
    withhold_leases,
)
from toucanpin.scheduling.ownership import OwnerRecord, decode_owner, encode_owner
from toucanpin.scheduling.pending_counts import TableView, count_pending, encode_counts
from toucanpin.scheduling.progress import Progress, matches_job
from toucanpin.scheduling.progress_rows import decode_progress, find_max_value
from toucanpin.scheduling.progress_rows import split_key as split_progress_key
from toucanpin.scheduling.write_batches import WriteBatch

__all__ = ["CellRows", "OwnershipLostError", "decode_job_row"]

_log = logbook.Logger("rows")
INITIAL_BACKOFF_S = 0.02  # before a commit is repeated; doubled each time
MAX_BACKOFF_S = 0.2
COMMIT_TIMEOUT_S = 2.0  # of one attempt; a store that is 60 times slower than usual takes 0.6 s
SLICE_ROWS = 50  # decoded at a time by a new owner
COUNTS_PERIOD_S = 0.5  # between writes of the counts of pending jobs
EFFECTS_PERIOD_S = 3.0  # between writes of the learned effects and durations


class OwnershipLostError(Exception):
    """Raised if another process owns the cell, or this one has resigned."""


class CellRows:
    """
    Rows of one cell.

    ``record`` is the owner's row as last written, at ``version``, and ``written_at`` the time at
    which that write was sent.  ``blocked`` are the jobs whose progress can't be read: their tasks
    may have run already, so none is started.  ``view`` is the state of the table up to which jobs
    are known.
    """

    def __init__(
        self,
        store: Store,
        cell: Cell,
        interference: InterferenceModel,
        record: OwnerRecord,
        version: int,
        written_at: float,
        reader: RowReader,
    ) -> None:
        self._reader = reader
        self._cell_reader = CellReader(store, cell.name)
        self.blocked: set[str] = set()
        self._store = store
        self._cell = cell
        self._interference = interference
        self.record = record
        self._version = version
        self.written_at = written_at
        self._counts_written_at = 0.0
        self.view = TableView()
        self._effects_written_at = 0.0
        self.backlog: dict[int, int] = {}  # written with the owner's row
        self.forecast: Forecast | None = None  # written with the owner's row

    async def load(self, now: Callable[[], Now]) -> int:
        """Read all rows of the cell; return the version from which to follow the jobs."""
        # The order doesn't matter: from its first write on, only this owner changes the progress.
        name = self._cell.name
        reads = [(JOBS_TABLE, part) for part in list_job_parts(name)]
        reads += [(PROGRESS_TABLE, name), (EFFECTS_TABLE, name)]
        *job_pages, progress, learned = await self._cell_reader.read_parts(reads)
        jobs = join_pages(job_pages)
        effects = self._reader.read_one(learned.rows, _decode_learned)
        if effects is not None:
            self._interference.restore(effects, now().steady)
            self._cell.durations.fits = effects.durations
            self._cell.task_times = effects.task_times
        known = self._decode_progress(progress.rows)
        await self._add_jobs(jobs.rows, known, now())
        forget_lease_ends(self._cell)
        self.view = TableView(jobs.version, jobs.clock)
        _log.info(
            "cell owned",
            event="cell.owned",
            cell=self._cell.name,
            token=self._cell.token,
            jobs=len(self._cell.jobs),
        )
        return jobs.version

    def _decode_progress(self, rows: Sequence[Row]) -> dict[str, Progress]:
        """Return the progress of jobs by id; those whose rows can't be decoded are blocked."""
        first: list[Row] = []
        pieces: dict[str, list[bytes]] = defaultdict(list)  # in the order of their keys
        for row in rows:
            job, is_piece = split_progress_key(row.key)
            if is_piece:
                pieces[job].append(row.value)
            else:
                first.append(row)

        def decode(row: Row) -> Progress:
            return decode_progress(row.value, pieces.get(row.key, ()))

        known = {row.key: it for row, it in self._reader.read(first, decode)}
        self.blocked = {row.key for row in first if row.key not in known}
        self._cell.progress_pieces = {job: len(values) for job, values in pieces.items()}
        return known

    async def _add_jobs(self, rows: Sequence[Row], known: dict[str, Progress], now: Now) -> None:
        job_rows = [row for row in rows if not split_key(row.key)[1]]
        for count, (row, job) in enumerate(self._reader.read(job_rows, decode_job_row), 1):
            if count % SLICE_ROWS == 0:
                await asyncio.sleep(0)  # lets the renewals of leases and of the ownership run
            progress = known.get(row.key)
            if progress is not None and not matches_job(progress, job):
                self.blocked.add(row.key)
                _log.error("progress doesn't match its job", event="job.blocked", job=row.key)
            elif row.key in self.blocked:
                _log.error("progress can't be read", event="job.blocked", job=row.key)
            elif progress is not None:
                restore_job(self._cell, job, progress, now)
            else:
                submit_job(self._cell, job, now)
        for identifier, is_cancel in map(split_key, (row.key for row in rows)):
            if is_cancel:
                cancel_job(self._cell, identifier, now)

    async def read_jobs(self, throttle: Callable[[float], Awaitable[None]] | None = None) -> Page:
        """Read the jobs of all parts; see ``CellReader.read_jobs``."""
        return await self._cell_reader.read_jobs(throttle)

    async def write(self, batch: WriteBatch, resigning: bool) -> None:
        """
        Write a batch, with retries; batches are written in order.

        Raises
        ------
        OwnershipLostError
            If another process owns the cell.
        """
        puts = [Put(PROGRESS_TABLE, key, value) for key, value in batch.records.items()]
        puts += [Put(PROGRESS_TABLE, identifier, None) for identifier in batch.forgotten]
        puts += self._put_counts()
        puts += self._put_effects()
        await self._commit(puts, resigning)

    async def renew(self, resigning: bool) -> None:
        """
        Write the owner's row alone, to renew the ownership or to resign.

        Used until the cell's rows are read; counts and effects would be incomplete before.

        Raises
        ------
        OwnershipLostError
            If another process owns the cell.
        """
        await self._commit([], resigning)

    async def _commit(self, puts: Sequence[Put], resigning: bool) -> None:
        host = "" if resigning else self.record.host
        sequence = self.record.sequence + 1
        authority = choose_authority(self._cell.owned_since, steady_time())
        lease_ends = list_lease_ends(self._cell, steady_time())
        withhold_leases(self._cell, lease_ends)
        record = OwnerRecord(
            host,
            self.record.life,
            find_newest_token(self._cell),
            sequence,
            self.backlog,
            self.forecast,
            int(authority * 1_000),
            lease_ends,
            count_ms_until(self._cell.earlier_leases_end, steady_time()),
        )
        puts = [Put(OWNERS_TABLE, OWNER_KEY, encode_owner(record)), *puts]
        if resigning:
            puts.append(Put(HANDOVERS_TABLE, OWNER_KEY, record.life.encode()))
        pause = INITIAL_BACKOFF_S
        first_sent_at = steady_time()
        while True:
            expected = (ExpectedVersion(OWNERS_TABLE, OWNER_KEY, self._version),)
            sent_at = steady_time()
            try:
                result = await self._store.transact(
                    self._cell.name, expected, puts, COMMIT_TIMEOUT_S
                )
            except CallError as error:
                _log.warning("no answer to a commit", event="commit.unanswered", reason=error)
                await asyncio.sleep(pause)
                pause = min(MAX_BACKOFF_S, 2 * pause)
                continue
            if isinstance(result, Committed):
                self._version = result.version
                break
            row = result.rows[0]
            found = self._reader.read_one((row,), _decode_owner) if row.version else None
            if found == record:
                # An earlier attempt, whose answer was lost, was applied.  A successor may have seen
                # it at once, and counts the leases from then on.
                sent_at = first_sent_at
                self._version = row.version
                break
            if found == self.record:
                self._version = row.version
                continue
            raise OwnershipLostError(f"owned by {found}")
        self.record = record
        self.written_at = sent_at
        self._cell.confirmed_at = sent_at
        self._cell.authority = authority
        confirm_lease_ends(self._cell, lease_ends)

    async def drop_jobs(self, identifiers: Sequence[str]) -> None:
        """Delete the rows of ended jobs and of their cancel requests, with retries."""
        await asyncio.gather(*(self._drop_job(identifier) for identifier in identifiers))

    async def _drop_job(self, identifier: str) -> None:
        """Delete a job's row before its progress; the other order would make it look new."""
        drops = (Put(JOBS_TABLE, identifier, None), Put(JOBS_TABLE, cancel_key(identifier), None))
        while True:
            try:
                await self._store.transact(job_part(self._cell.name, identifier), (), drops)
                return
            except CallError:
                await asyncio.sleep(RETRY_DELAY_S)

    def _put_effects(self) -> list[Put]:
        if steady_time() < self._effects_written_at + EFFECTS_PERIOD_S:
            return []
        self._effects_written_at = steady_time()
        model = self._interference.export(self._cell.durations, self._cell.task_times)
        learned = msgspec.msgpack.encode(model)
        if len(learned) > find_max_value(self._cell.max_row):
            # The next owner can learn them anew; a row that is refused would end this one.
            _log.warning(
                "learned effects don't fit a row", event="effects.large", size=len(learned)
            )
            return []
        return [Put(EFFECTS_TABLE, OWNER_KEY, learned)]

    def _put_counts(self) -> list[Put]:
        if steady_time() < self._counts_written_at + COUNTS_PERIOD_S:
            return []
        self._counts_written_at = steady_time()
        value = encode_counts(self.view, count_pending(self._cell))
        return [Put(COUNTS_TABLE, COUNTS_KEY, value)]


def decode_job_row(row: Row) -> Job:
    """
    Decode a job's row.

    Raises
    ------
    PlatformError
        If the job is invalid, or its id isn't the row's key.
    """
    job = decode_job(row.value)
    fault = find_job_fault(job)
    if fault or job.id != row.key:
        raise PlatformError(fault or f"the row holds the job {job.id!r}")
    return job


def _decode_learned(row: Row) -> LearnedModel:
    return decode_msgpack(row.value, LearnedModel)


def _decode_owner(row: Row) -> OwnerRecord:
    return decode_owner(row.value)
