"""
Submissions
===========

Write accepted jobs to the table, and refusals in such a way that they stay true.

Notes
-----
A refusal says that the job never runs.  An earlier attempt of the same request may have written the
job through another host, or its write may still be under way: a write without an answer may be
applied seconds later.  To find no row isn't enough then.  So a refusal is a row too, written only
while there is no job; and a job is written only if the row of its refusal is as it was before the
request.  Whichever is written first makes the other one fail.

A caller that returns after a refusal replaces the refusal by its job.  Its request came after the
refusal was written, so the host knew a version of the table that is at least as new.
"""

from __future__ import annotations

import asyncio
import enum
import time
from collections.abc import Sequence
from dataclasses import dataclass

import logbook
import msgspec

from toucanpin.decoding import decode_json
from toucanpin.entry.clocks import Clocks
from toucanpin.entry.tables import JOBS_TABLE, REFUSALS_TABLE, job_part, list_job_parts
from toucanpin.exception import MalformedError, PlatformError
from toucanpin.http import CallError
from toucanpin.platform.store import Committed, Conflict, ExpectedVersion, Put, Row, Store
from toucanpin.scheduling.job import Job, encode_job

__all__ = [
    "SubmissionOutcome",
    "Submissions",
    "WriteFailure",
    "sweep_refusals",
    "write_rows",
]

_log = logbook.Logger("requests")
INITIAL_BACKOFF_S = 0.03  # before the second attempt; doubled each time
MAX_BACKOFF_S = 0.25
ATTEMPT_TIMEOUT_S = 1.8  # a slow store takes 0.6 s, and a call through a peer may follow
REFUSE_AFTER_S = 0.5  # a caller is refused after the table has refused for this time
# A write without an answer is applied within seconds; after this time none is under way.
REFUSAL_RETENTION_MS = 60_000
SWEEP_PERIOD_S = 20.0  # between deletions of old refusals
SWEEP_PAUSE_S = 0.2  # between pages, so that callers' writes are not delayed
# Rows of one transaction, and of the page before it: each row takes two of its 100 entries.
MAX_DELETIONS = 50


class SubmissionOutcome(enum.Enum):
    """Outcome of writing a job or its refusal."""

    STORED = "the job's row exists"
    REFUSED = "the job isn't stored, and no write of an attempt so far can store it any more"
    NOT_WRITTEN = "the table refused each write for certain"
    UNKNOWN = "a write may still be applied"


@dataclass(frozen=True, slots=True)
class WriteFailure:
    """No definite answer; ``uncertain`` is whether a write may still be applied."""

    uncertain: bool


class Submissions:
    """
    Writer of jobs and refusals.

    ``fenced`` is whether refusals are written; otherwise a job depends on its own row alone.
    """

    __slots__ = ("_clocks", "_fenced", "_store")

    def __init__(self, store: Store, clocks: Clocks, fenced: bool) -> None:
        self._store = store
        self._clocks = clocks
        self._fenced = fenced

    async def submit(self, job: Job, known_version: int, deadline: float) -> SubmissionOutcome:
        """
        Write a job; ``known_version`` is the table's version known as its request came.

        The outcome is ``REFUSED`` if another attempt was refused after that.
        """
        puts = [Put(JOBS_TABLE, job.id, encode_job(job))]
        if not self._fenced:
            return _interpret(await self._write(job.cell, job.id, [], puts, deadline))
        fence = [ExpectedVersion(REFUSALS_TABLE, job.id, 0)]
        result = await self._write(job.cell, job.id, fence, puts, deadline)
        refusal = _find_refusal(result)
        if not 0 < refusal <= known_version:
            return _interpret(result)
        fence = [ExpectedVersion(REFUSALS_TABLE, job.id, refusal)]
        puts.append(Put(REFUSALS_TABLE, job.id, None))
        return _interpret(await self._write(job.cell, job.id, fence, puts, deadline))

    async def refuse(self, cell: str, job: str, deadline: float) -> SubmissionOutcome:
        """Write the refusal of a job unless an earlier attempt has stored the job."""
        value = msgspec.json.encode(self._clocks.now().table)
        puts = [Put(REFUSALS_TABLE, job, value)]
        result = await self._write(cell, job, [], puts, deadline)
        if isinstance(result, Committed):
            return SubmissionOutcome.REFUSED
        return _interpret(result)

    async def _write(
        self,
        cell: str,
        job: str,
        fence: Sequence[ExpectedVersion],
        puts: Sequence[Put],
        deadline: float,
    ) -> Committed | Conflict | WriteFailure:
        """Write rows of a job that isn't stored yet."""
        expected = (ExpectedVersion(JOBS_TABLE, job, 0), *fence)
        return await write_rows(self._store, job_part(cell, job), expected, puts, deadline)


async def write_rows(
    store: Store,
    part: str,
    expected: Sequence[ExpectedVersion],
    puts: Sequence[Put],
    deadline: float,
) -> Committed | Conflict | WriteFailure:
    """
    Write rows on a condition, with retries until ``deadline``.

    An attempt without an answer may still be applied later.  After one, only an answer about the
    rows proves the outcome, even if later attempts are refused for certain.
    """
    begun = time.monotonic()
    backoff = INITIAL_BACKOFF_S
    uncertain = False
    while True:
        remaining = deadline - time.monotonic()
        if remaining <= 0 or (not uncertain and time.monotonic() - begun > REFUSE_AFTER_S):
            return WriteFailure(uncertain)
        try:
            return await store.transact(part, expected, puts, min(remaining, ATTEMPT_TIMEOUT_S))
        except CallError as error:
            uncertain = uncertain or not error.certain
        except PlatformError as error:
            _log.error("write refused", event="store.fault", key=puts[0].key, reason=error)
            return WriteFailure(uncertain)
        await asyncio.sleep(min(backoff, max(0.0, deadline - time.monotonic())))
        backoff = min(2 * backoff, MAX_BACKOFF_S)


async def sweep_refusals(store: Store, clocks: Clocks, cell: str) -> None:
    """Delete a cell's old refusals periodically, until cancelled."""
    while True:
        await asyncio.sleep(SWEEP_PERIOD_S)
        for part in list_job_parts(cell):
            try:
                await _sweep_part(store, part, clocks.now().table - REFUSAL_RETENTION_MS)
            except (CallError, PlatformError) as error:
                _log.warning(
                    "refusals not deleted", event="refusals.unswept", part=part, reason=error
                )


async def _sweep_part(store: Store, part: str, limit: int) -> None:
    """Delete the refusals of a part that were written before ``limit`` on the table's clock."""
    start = ""
    while True:
        page = await store.read(REFUSALS_TABLE, part, start, limit=MAX_DELETIONS)
        old = [row for row in page.rows if _read_time(row) < limit]
        if old:
            expected = [ExpectedVersion(REFUSALS_TABLE, row.key, row.version) for row in old]
            puts = [Put(REFUSALS_TABLE, row.key, None) for row in old]
            await store.transact(part, expected, puts)
        if not page.more or not page.rows:
            return
        start = page.rows[-1].key + "\0"
        await asyncio.sleep(SWEEP_PAUSE_S)


def _read_time(row: Row) -> int:
    """Return when a refusal was written, in ms on the table's clock, 0 if it can't be decoded."""
    try:
        return decode_json(row.value, int)
    except MalformedError:
        return 0


def _find_refusal(result: Committed | Conflict | WriteFailure) -> int:
    """Return the version of the refusal that a job's write conflicts with, 0 if there is none."""
    if not isinstance(result, Conflict) or _find_version(result, JOBS_TABLE):
        return 0
    return _find_version(result, REFUSALS_TABLE)


def _find_version(conflict: Conflict, table: str) -> int:
    return max((row.version for row in conflict.rows if row.table == table), default=0)


def _interpret(result: Committed | Conflict | WriteFailure) -> SubmissionOutcome:
    match result:
        case Committed():
            return SubmissionOutcome.STORED
        case WriteFailure(uncertain=False):
            return SubmissionOutcome.NOT_WRITTEN
        case Conflict() if _find_version(result, JOBS_TABLE):
            # The row is from an earlier attempt or request.
            return SubmissionOutcome.STORED
        case Conflict() if _find_version(result, REFUSALS_TABLE):
            return SubmissionOutcome.REFUSED
    # A refusal that was deleted meanwhile shows neither.
    return SubmissionOutcome.UNKNOWN
