"""
Callers' requests
=================

Accept, show, count and cancel jobs: every answer stands in the table before it is given.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

import logbook
import msgspec

from toucanpin.entry.clocks import Clocks, steady_time
from toucanpin.entry.configuration import FRESH, ConfigurationWatch
from toucanpin.entry.counts import read_pending
from toucanpin.entry.entries import UNREADABLE, EntryReader
from toucanpin.entry.metrics import REQUEST_TIME, REQUESTS
from toucanpin.entry.rows import JOBS, PROGRESS, cancel_key, job_part
from toucanpin.exception import PlatformError
from toucanpin.http import CallError, Request, Response
from toucanpin.platform.job_messages import (
    DEADLINE_HEADER,
    JobSyntaxError,
    decode_submission,
    encode_count,
    encode_state,
    is_job_id,
)
from toucanpin.platform.store import Committed, ExpectedVersion, Put, Row, Store
from toucanpin.scheduling.configuration import Queue
from toucanpin.scheduling.job import encode_job, find_job_fault
from toucanpin.scheduling.progress import JobState, decode_progress
from toucanpin.scheduling.shedding import would_exceed_time_limit

__all__ = ["Requests"]

_log = logbook.Logger("requests")
T = TypeVar("T")
DEFAULT_DEADLINE = 3.0  # s, for callers that don't say how long they wait
ANSWER_MARGIN = 0.15  # s that an answer needs to reach a caller
FIRST_PAUSE = 0.03  # s before the second try at the table; doubled each time
LONGEST_PAUSE = 0.25  # s
TRY_TIMEOUT = 1.8  # s for one try at the table; a slow one takes 0.6 s, and a peer may follow
REFUSE_AFTER = 0.5  # s of certain refusals by the table after which a caller is sent away
# A version has to be in force 2 to 3 s after it was written.
OLDEST = 2.0  # s since a configuration was known to be the newest
COME_BACK = 1  # s after which a caller that was refused should try again
# Callers try a handful of times.  Outages of the table last 4 to 10 s once they last a second, and
# callers that come back each second have used their tries before the end.
COME_BACK_LATER = 2
OUTAGE = 1.5  # s without the table that count as an outage


@dataclass(frozen=True, slots=True)
class _Found(Generic[T]):
    """Hold what a read gave, if it was answered."""

    answered: bool
    value: T | None


def _no_backlog(service: str) -> Mapping[int, int]:
    return {}


class Requests:
    """Answer callers' requests about jobs."""

    __slots__ = ("_clocks", "_configuration", "_entries", "_read_backlog", "_store")

    def __init__(
        self,
        store: Store,
        configuration: ConfigurationWatch,
        clocks: Clocks,
        read_backlog: Callable[[str], Mapping[int, int]] = _no_backlog,
    ) -> None:
        self._store = store
        self._read_backlog = read_backlog
        self._configuration = configuration
        self._clocks = clocks
        self._entries = EntryReader()

    async def handle(self, request: Request) -> Response | None:
        """Answer one request of a caller; one that isn't served leaves a line."""
        begun = steady_time()
        response = await self._answer(request)
        took = steady_time() - begun
        REQUESTS.add(1, {"method": request.method, "status": response.status if response else 0})
        REQUEST_TIME.record(took, {"method": request.method})
        if response is not None and response.status >= 500:
            _log.warning(
                "request not served",
                event="request.unserved",
                method=request.method,
                path=request.path,
                status=response.status,
                took=round(took, 3),
                configuration_age=round(begun - self._configuration.confirmed, 3),
            )
        return response

    async def _answer(self, request: Request) -> Response | None:
        path = request.path.partition("?")[0]
        host = request.headers.get("host", "")
        deadline = time.monotonic() + _read_deadline(request) - ANSWER_MARGIN
        # Reads of what was accepted go on; nothing new is accepted of a queue that may be dropped.
        if request.method == "POST" and not await self._is_current(deadline):
            return Response(503, retry_after=self._come_back())
        queue = await self._configuration.find(host, path, deadline - time.monotonic())
        if self._configuration.current is None:
            return Response(503, retry_after=self._come_back())
        if queue is None:
            if steady_time() - self._configuration.confirmed > 2 * FRESH:
                return Response(503, retry_after=self._come_back())
            return Response(404)
        rest = path[len(queue.prefix) :].strip("/")
        match request.method:
            case "POST" if is_job_id(rest):
                return await self._submit(queue, rest, request.body, deadline)
            case "GET" if is_job_id(rest):
                return await self._show(queue, rest, deadline)
            case "DELETE" if is_job_id(rest):
                return await self._cancel(queue, rest, deadline)
            case "GET" if not rest:
                return await self._count(queue, deadline)
            case "POST" | "GET" | "DELETE":
                return Response(404)
        return Response(405)

    async def _is_current(self, deadline: float) -> bool:
        """
        Tell whether the configuration may still be in force, after one look if that is needed.

        Looked at again and again in an outage, the table was tried by so many calls that writes of
        other callers went to it too, and got no answer that told whether they were done.
        """
        patience = min(REFUSE_AFTER, deadline - time.monotonic())
        return await self._configuration.refresh(OLDEST, patience)

    def _come_back(self) -> int:
        """Return after how many seconds a refused caller should try again."""
        away = steady_time() - self._configuration.confirmed
        return COME_BACK_LATER if away > OUTAGE else COME_BACK

    async def _submit(
        self, queue: Queue, identifier: str, body: bytes, deadline: float
    ) -> Response | None:
        try:
            job = decode_submission(identifier, queue, body, self._clocks.now().table)
            fault = find_job_fault(job)
        except JobSyntaxError as error:
            fault = str(error)
        if fault:
            _log.info("job refused", event="job.malformed", job=identifier, reason=fault)
            return Response(400, msgspec.json.encode({"error": fault}))
        if would_exceed_time_limit(job, self._read_backlog(queue.service)):
            return await self._turn_away(queue, identifier, deadline)
        put = Put(JOBS, identifier, encode_job(job))
        written = await self._write(job_part(queue.service, identifier), put, deadline)
        _log.info(
            "job handed in",
            event="job.submitted",
            job=identifier,
            queue=queue.name,
            tasks=sum(step.count for step in job.steps),
            written=written,
        )
        match written:
            case True:
                return Response(200)
            case False:
                return Response(503, retry_after=self._come_back())
        # The row may still be written, so neither an acceptance nor a refusal would be true.
        return Response(504)

    async def _turn_away(self, queue: Queue, identifier: str, deadline: float) -> Response:
        """
        Refuse a job that couldn't be in time, unless an earlier try has handed it in.

        Told that it never runs, a caller whose first answer was lost would hand it in anew.
        """
        accepted = await self._find_job(queue, identifier, deadline)
        _log.info("job turned away", event="job.hopeless", job=identifier, queue=queue.name)
        if not accepted.answered:
            return Response(504)
        return Response(200) if accepted.value else Response(503, retry_after=COME_BACK_LATER)

    async def _find_job(self, queue: Queue, identifier: str, deadline: float) -> _Found[bool]:
        async def find() -> bool:
            part = job_part(queue.service, identifier)
            page = await self._store.read(JOBS, part, identifier, identifier + "\0")
            return bool(page.rows)

        return await self._try(find, deadline)

    async def _cancel(self, queue: Queue, identifier: str, deadline: float) -> Response:
        found = await self._find_job(queue, identifier, deadline)
        if not found.answered:
            return Response(503, retry_after=self._come_back())
        if not found.value:
            return Response(410)
        written = await self._write(
            job_part(queue.service, identifier),
            Put(JOBS, cancel_key(identifier), b"1"),
            deadline,
        )
        _log.info("job cancelled", event="job.cancelled", job=identifier, written=written)
        return Response(200) if written else Response(503, retry_after=self._come_back())

    async def _show(self, queue: Queue, identifier: str, deadline: float) -> Response:
        async def find() -> JobState | None:
            end = identifier + "\0"
            page = await self._store.read(PROGRESS, queue.service, identifier, end)
            if page.rows:
                return _read_state(page.rows[0])
            part = job_part(queue.service, identifier)
            page = await self._store.read(JOBS, part, identifier, end)
            if page.rows:
                return JobState.PENDING
            # Between the two reads the job may have ended and been forgotten, never begun.
            return None

        found = await self._try(find, deadline)
        if not found.answered:
            return Response(503, retry_after=self._come_back())
        state = found.value
        return Response(410) if state is None else Response(200, encode_state(state))

    async def _count(self, queue: Queue, deadline: float) -> Response:
        async def find() -> tuple[int, int] | None:
            return await read_pending(self._store, self._entries, queue.service, queue.name)

        begun = steady_time()
        await self._configuration.refresh(FRESH, deadline - time.monotonic())
        if begun - self._configuration.confirmed > OLDEST:
            return Response(503, retry_after=self._come_back())
        if not self._configuration.has_queue(queue.name):
            return Response(404)
        count, view_age = (await self._try(find, deadline)).value or (-1, -1)
        _log.info(
            "waiting jobs counted",
            event="jobs.counted",
            queue=queue.name,
            count=count,
            view_age=view_age / 1_000,
            took=round(steady_time() - begun, 3),
            configuration_age=round(begun - self._configuration.confirmed, 3),
        )
        if count < 0:
            return Response(503, retry_after=self._come_back())
        return Response(200, encode_count(count))

    async def _write(self, part: str, put: Put, deadline: float) -> bool | None:
        """
        Write a row that mustn't exist; None if it isn't known whether it was written.

        A try without an answer may be carried out late, so after one of these only finding the
        row settles the matter, however certain the later refusals are.
        """
        begun = time.monotonic()
        pause = FIRST_PAUSE
        unsure = False
        while True:
            left = deadline - time.monotonic()
            if left <= 0 or (not unsure and time.monotonic() - begun > REFUSE_AFTER):
                return None if unsure else False
            expected = (ExpectedVersion(put.table, put.key, 0),)
            try:
                result = await self._store.transact(part, expected, (put,), min(left, TRY_TIMEOUT))
            except CallError as error:
                unsure = unsure or not error.certain
            except PlatformError as error:
                _log.error("write refused", event="store.fault", key=put.key, reason=error)
                return None if unsure else False
            else:
                # A conflict says that the row is there: this try's, or the same request's earlier.
                return isinstance(result, Committed) or any(row.version for row in result.rows)
            await asyncio.sleep(min(pause, max(0.0, deadline - time.monotonic())))
            pause = min(2 * pause, LONGEST_PAUSE)

    async def _try(self, find: Callable[[], Awaitable[T]], deadline: float) -> _Found[T]:
        """Repeat a read until it is answered, within the deadline."""
        pause = FIRST_PAUSE
        while time.monotonic() < deadline:
            try:
                return _Found(True, await find())
            except PlatformError as error:
                _log.error("row not read", event="store.fault", reason=error)
                return _Found(False, None)
            except CallError:
                await asyncio.sleep(pause)
                pause = min(2 * pause, LONGEST_PAUSE)
        return _Found(False, None)


def _read_state(row: Row) -> JobState:
    try:
        return JobState(decode_progress(row.value).state)
    except UNREADABLE as error:
        raise PlatformError(f"the progress of {row.key} can't be read: {error}") from error


def _read_deadline(request: Request) -> float:
    try:
        return min(30.0, float(request.headers.get(DEADLINE_HEADER, "")) / 1_000)
    except ValueError:
        return DEFAULT_DEADLINE
