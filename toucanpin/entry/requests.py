"""
Callers' requests
=================

Accept, show, count and cancel jobs.  A request is confirmed only after its effect is in the table.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from typing import TypeVar

import logbook
import msgspec

from toucanpin.entry.clocks import Clocks, steady_time
from toucanpin.entry.configuration import MAX_LOOKUP_AGE_S, ConfigurationWatch
from toucanpin.entry.job_lookup import JobLookup
from toucanpin.entry.metrics import REFUSED_JOBS, REQUEST_TIME, REQUESTS
from toucanpin.entry.refusal_log import log_refusal
from toucanpin.entry.submissions import (
    REFUSE_AFTER_S,
    SubmissionOutcome,
    Submissions,
    WriteFailure,
    write_rows,
)
from toucanpin.entry.tables import JOBS_TABLE, cancel_key, job_part
from toucanpin.http import Request, Response
from toucanpin.platform.job_messages import (
    DEADLINE_HEADER,
    JobSyntaxError,
    decode_submission,
    encode_count,
    encode_state,
    is_job_id,
)
from toucanpin.platform.store import Conflict, ExpectedVersion, Put, Store
from toucanpin.scheduling.admission import Refuse, decide_admission
from toucanpin.scheduling.configuration import Queue
from toucanpin.scheduling.forecast import KnownForecast
from toucanpin.scheduling.job import find_job_fault
from toucanpin.scheduling.load_shedding import would_exceed_time_limit

__all__ = ["USED_HEADERS", "RequestHandler"]

_log = logbook.Logger("requests")
T = TypeVar("T")
HOST_HEADER = "host"
USED_HEADERS = frozenset({HOST_HEADER, DEADLINE_HEADER})
MAX_LOGGED_PATH = 200  # characters
DEFAULT_DEADLINE_S = 3.0  # for callers that don't send one
RESPONSE_MARGIN_S = 0.15  # time for an answer to reach the caller
# Time since the configuration was last confirmed to be the newest.  A version has to be in force 2
# to 3 s after it was written.
MAX_CONFIGURATION_AGE_S = 2.0
RETRY_AFTER_S = 1  # for callers that were refused
# Callers make only a few attempts.  An outage of the table that lasts a second usually lasts 4 to
# 10 s, and a caller that retries every second would use up its attempts before the end.
LONG_RETRY_AFTER_S = 2
MIN_OUTAGE_S = 1.5  # without the table, after which callers get the longer delay


def _no_backlog(service: str) -> Mapping[int, int]:
    return {}


def _no_forecast(service: str) -> KnownForecast | None:
    return None


class RequestHandler:
    """Handler of callers' requests about jobs."""

    __slots__ = (
        "_clocks",
        "_configuration",
        "_lookup",
        "_read_backlog",
        "_read_forecast",
        "_store",
        "_submissions",
    )

    def __init__(
        self,
        store: Store,
        configuration: ConfigurationWatch,
        clocks: Clocks,
        read_backlog: Callable[[str], Mapping[int, int]] = _no_backlog,
        read_forecast: Callable[[str], KnownForecast | None] | None = None,
    ) -> None:
        self._store = store
        self._submissions = Submissions(store, clocks, fenced=read_forecast is not None)
        self._read_forecast = read_forecast or _no_forecast
        self._read_backlog = read_backlog
        self._configuration = configuration
        self._clocks = clocks
        self._lookup = JobLookup(store)

    async def handle(self, request: Request) -> Response | None:
        """Answer a request; server errors are logged."""
        begun = steady_time()
        response = await self._answer(request, self._store.version)
        took = steady_time() - begun
        REQUESTS.add(1, {"method": request.method, "status": response.status if response else 0})
        REQUEST_TIME.record(took, {"method": request.method})
        if response is not None and response.status >= 500:
            _log.warning(
                "request failed",
                event="request.unserved",
                method=request.method,
                path=request.path[:MAX_LOGGED_PATH],
                status=response.status,
                took=round(took, 3),
                configuration_age=round(begun - self._configuration.confirmed, 3),
            )
        return response

    async def _answer(self, request: Request, known_version: int) -> Response | None:
        path = request.path.partition("?")[0]
        host = request.headers.get(HOST_HEADER, "")
        deadline = time.monotonic() + _read_deadline(request) - RESPONSE_MARGIN_S
        # With an outdated configuration accepted jobs can still be read, but no job is accepted, as
        # its queue may have been removed.
        if request.method == "POST" and not await self._has_current_configuration(deadline):
            return Response(503, retry_after=self._choose_retry_after())
        queue = await self._configuration.find(host, path, deadline - time.monotonic())
        if self._configuration.current is None:
            return Response(503, retry_after=self._choose_retry_after())
        if queue is None:
            if steady_time() - self._configuration.confirmed > 2 * MAX_LOOKUP_AGE_S:
                return Response(503, retry_after=self._choose_retry_after())
            return Response(404)
        suffix = path[len(queue.prefix) :].strip("/")
        match request.method:
            case "POST" if is_job_id(suffix):
                return await self._submit(queue, suffix, request.body, known_version, deadline)
            case "GET" if is_job_id(suffix):
                return await self._show(queue, suffix, deadline)
            case "DELETE" if is_job_id(suffix):
                return await self._cancel(queue, suffix, deadline)
            case "GET" if not suffix:
                return await self._count(queue, deadline)
            case "POST" | "GET" | "DELETE":
                return Response(404)
        return Response(405)

    async def _has_current_configuration(self, deadline: float) -> bool:
        """
        Return whether the configuration is recent enough, after one refresh if needed.

        There is only one: with repeated refreshes in an outage, the table got so many calls that
        writes of other callers were sent to it too, and ended without a definite answer.
        """
        time_limit = min(REFUSE_AFTER_S, deadline - time.monotonic())
        return await self._configuration.refresh(MAX_CONFIGURATION_AGE_S, time_limit)

    def _choose_retry_after(self) -> int:
        """Return the delay in s after which a refused caller should retry."""
        outage = steady_time() - self._configuration.confirmed
        return LONG_RETRY_AFTER_S if outage > MIN_OUTAGE_S else RETRY_AFTER_S

    async def _submit(
        self, queue: Queue, identifier: str, body: bytes, known_version: int, deadline: float
    ) -> Response | None:
        try:
            job = decode_submission(identifier, queue, body, self._clocks.now().table)
            fault = find_job_fault(job)
        except JobSyntaxError as error:
            fault = str(error)
        if fault:
            _log.info("invalid job refused", event="job.malformed", job=identifier, reason=fault)
            return Response(400, msgspec.json.encode({"error": fault}))
        if would_exceed_time_limit(job, self._read_backlog(queue.service)):
            return await self._refuse_overload(queue, identifier, deadline)
        known = self._read_forecast(queue.service)
        match decide_admission(job, known):
            case Refuse() as refusal:
                log_refusal(queue, identifier, refusal, known)
                return await self._refuse(queue, identifier, refusal.retry_after, deadline)
        outcome = await self._submissions.submit(job, known_version, deadline)
        _log.info(
            "job submitted",
            event="job.submitted",
            job=identifier,
            queue=queue.name,
            tasks=sum(step.count for step in job.steps),
            outcome=outcome.name.lower(),
        )
        return self._answer_submission(outcome, self._choose_retry_after())

    def _answer_submission(self, outcome: SubmissionOutcome, retry_after: int) -> Response:
        match outcome:
            case SubmissionOutcome.STORED:
                return Response(200)
            case SubmissionOutcome.REFUSED | SubmissionOutcome.NOT_WRITTEN:
                return Response(503, retry_after=retry_after)
        # A write may still be applied, so neither an acceptance nor a refusal would be correct.
        return Response(504)

    async def _refuse(
        self, queue: Queue, identifier: str, retry_after: int, deadline: float
    ) -> Response:
        """Refuse a job for want of room, unless an earlier attempt has stored it."""
        outcome = await self._submissions.refuse(queue.service, identifier, deadline)
        if outcome is SubmissionOutcome.NOT_WRITTEN:
            # Nothing shows that no earlier attempt was or will be written.
            outcome = SubmissionOutcome.UNKNOWN
        return self._answer_submission(outcome, retry_after)

    async def _refuse_overload(self, queue: Queue, identifier: str, deadline: float) -> Response:
        """
        Refuse a job that can't finish in time, unless an earlier attempt has submitted it.

        If a retry of an accepted job were refused, its caller would submit the work again.
        """
        accepted = await self._lookup.find_job(queue.service, identifier, deadline)
        _log.info(
            "job refused: it can't finish in time",
            event="job.hopeless",
            job=identifier,
            queue=queue.name,
        )
        REFUSED_JOBS.add(1, {"queue": queue.name, "reason": "owner behind"})
        if not accepted.answered:
            return Response(504)
        return Response(200) if accepted.value else Response(503, retry_after=LONG_RETRY_AFTER_S)

    async def _cancel(self, queue: Queue, identifier: str, deadline: float) -> Response:
        found = await self._lookup.find_job(queue.service, identifier, deadline)
        if not found.answered:
            return Response(503, retry_after=self._choose_retry_after())
        if not found.value:
            return Response(410)
        key = cancel_key(identifier)
        result = await write_rows(
            self._store,
            job_part(queue.service, identifier),
            (ExpectedVersion(JOBS_TABLE, key, 0),),
            (Put(JOBS_TABLE, key, b"1"),),
            deadline,
        )
        match result:
            case WriteFailure(uncertain=uncertain):
                written = None if uncertain else False
            case Conflict(rows=rows):
                # The row exists, from an earlier attempt or request.
                written = any(row.version for row in rows)
            case _:
                written = True
        _log.info("job cancelled", event="job.cancelled", job=identifier, written=written)
        return Response(200) if written else Response(503, retry_after=self._choose_retry_after())

    async def _show(self, queue: Queue, identifier: str, deadline: float) -> Response:
        found = await self._lookup.find_state(queue.service, identifier, deadline)
        if not found.answered:
            return Response(503, retry_after=self._choose_retry_after())
        state = found.value
        return Response(410) if state is None else Response(200, encode_state(state))

    async def _count(self, queue: Queue, deadline: float) -> Response:
        begun = steady_time()
        await self._configuration.refresh(MAX_LOOKUP_AGE_S, deadline - time.monotonic())
        if begun - self._configuration.confirmed > MAX_CONFIGURATION_AGE_S:
            return Response(503, retry_after=self._choose_retry_after())
        if not self._configuration.has_queue(queue.name):
            return Response(404)
        count, view_age = await self._lookup.count_pending(queue, deadline) or (-1, -1)
        _log.info(
            "pending jobs counted",
            event="jobs.counted",
            queue=queue.name,
            count=count,
            view_age=view_age / 1_000,
            took=round(steady_time() - begun, 3),
            configuration_age=round(begun - self._configuration.confirmed, 3),
        )
        if count < 0:
            return Response(503, retry_after=self._choose_retry_after())
        return Response(200, encode_count(count))


def _read_deadline(request: Request) -> float:
    try:
        return min(30.0, float(request.headers.get(DEADLINE_HEADER, "")) / 1_000)
    except ValueError:
        return DEFAULT_DEADLINE_S
