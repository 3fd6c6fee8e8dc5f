"""
Lookup of jobs
==============

Read from the table what callers ask about jobs, with retries until their time is over.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import logbook

from toucanpin.entry.pending_counts import read_pending
from toucanpin.entry.row_reader import DECODE_ERRORS, RowReader
from toucanpin.entry.submissions import INITIAL_BACKOFF_S, MAX_BACKOFF_S
from toucanpin.entry.tables import JOBS_TABLE, PROGRESS_TABLE, job_part
from toucanpin.exception import PlatformError
from toucanpin.http import CallError
from toucanpin.platform.store import Row, Store
from toucanpin.scheduling.configuration import Queue
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.progress_rows import decode_state

__all__ = ["JobLookup", "ReadResult"]

_log = logbook.Logger("requests")
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class ReadResult(Generic[T]):
    """Result of a read; ``answered`` is False if there was no answer."""

    answered: bool
    value: T | None


class JobLookup:
    """Reads of the rows of jobs; deadlines are times of the monotonic clock."""

    __slots__ = ("_reader", "_store")

    def __init__(self, store: Store) -> None:
        self._store = store
        self._reader = RowReader()

    async def find_job(self, service: str, identifier: str, deadline: float) -> ReadResult[bool]:
        """Return whether a job was accepted."""

        async def find() -> bool:
            return await self._has_job(service, identifier)

        return await _read_with_retries(find, deadline)

    async def find_state(
        self, service: str, identifier: str, deadline: float
    ) -> ReadResult[JobState]:
        """Return the state of a job, None if it is unknown."""

        async def find() -> JobState | None:
            end = identifier + "\0"
            page = await self._store.read(PROGRESS_TABLE, service, identifier, end)
            if page.rows:
                return _read_state(page.rows[0])
            # Neither row exists: the job is unknown, or it ended and was deleted between the two
            # reads.
            return JobState.PENDING if await self._has_job(service, identifier) else None

        return await _read_with_retries(find, deadline)

    async def count_pending(self, queue: Queue, deadline: float) -> tuple[int, int] | None:
        """Return a queue's pending jobs and the age of this view in ms, None if not known."""

        async def find() -> tuple[int, int] | None:
            return await read_pending(self._store, self._reader, queue.service, queue.name)

        return (await _read_with_retries(find, deadline)).value

    async def _has_job(self, service: str, identifier: str) -> bool:
        part = job_part(service, identifier)
        page = await self._store.read(JOBS_TABLE, part, identifier, identifier + "\0")
        return bool(page.rows)


async def _read_with_retries(
    find: Callable[[], Awaitable[T | None]], deadline: float
) -> ReadResult[T]:
    """Read, with retries until there is an answer or the deadline has passed."""
    backoff = INITIAL_BACKOFF_S
    while time.monotonic() < deadline:
        try:
            return ReadResult(True, await find())
        except PlatformError as error:
            _log.error("row not read", event="store.fault", reason=error)
            return ReadResult(False, None)
        except CallError:
            await asyncio.sleep(backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_S)
    return ReadResult(False, None)


def _read_state(row: Row) -> JobState:
    try:
        return decode_state(row.value)
    except DECODE_ERRORS as error:
        raise PlatformError(f"the progress of {row.key} can't be read: {error}") from error
