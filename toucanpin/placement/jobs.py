"""
Status and cancellation of jobs
===============================

Show, list and cancel jobs, and list standing tasks with their hosts.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from toucanpin.placement.actions import Commit, Decision, Read, Scan
from toucanpin.placement.records import (
    CELL_PREFIX,
    JOB_PREFIX,
    STANDING_PREFIX,
    CancelRow,
    CellRow,
    JobRow,
    JobState,
    StandingRow,
    TaskRecord,
    cancel_key,
    cell_key,
    decode,
    encode,
    job_key,
)
from toucanpin.platform.ports import (
    ABSENT,
    Committed,
    Conflict,
    Row,
    Transaction,
    Unavailable,
    Write,
)
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = [
    "JobFilter",
    "JobStatus",
    "StandingStatus",
    "cancel_job",
    "list_jobs",
    "list_standing",
    "read_status",
    "refuse",
    "show_job",
]

RETRY_AFTER_S = 2.0
MAX_TRIES = 3


class JobStatus(msgspec.Struct, frozen=True):
    """Status of a job; ``state`` is queued or running while the job is accepted."""

    job: str
    state: str
    kind: str
    team: str
    attempt: int
    evictions: int = 0
    failures: int = 0
    host: str = ""
    result: str = ""
    reason: str = ""


class StandingStatus(msgspec.Struct, frozen=True):
    """Status of a standing task, which is running on a host or queued in a cell."""

    task: str
    state: str
    cell: str
    host: str = ""
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class JobFilter:
    """Filter of jobs to list; an empty string matches every job."""

    team: str = ""
    kind: str = ""
    state: str = ""
    limit: int = 1000

    def matches(self, status: JobStatus) -> bool:
        """Return whether a job passes the filter."""
        fields = ((self.team, status.team), (self.kind, status.kind), (self.state, status.state))
        return all(not value or value == found for value, found in fields)


def refuse(reason: Reason, detail: str, retry_after: float | None = None) -> Refusal:
    """Return a refusal of a request that has had no effect."""
    return Refusal(Verdict.NOT_RUN, reason, detail, retry_after)


def show_job(job: JobRow, cell: CellRow | None) -> JobStatus:
    """Return the status of a job by its row and, while it is accepted, its cell's row."""
    record = job.record
    state = job.state.value
    if job.state is JobState.ACCEPTED:
        committed = cell.tasks.get(job.job) if cell else None
        record = committed or record
        state = "running" if committed else "queued"
    return JobStatus(
        job.job,
        state,
        record.kind,
        record.team,
        record.attempt,
        record.evictions,
        record.failures,
        record.worker,
        job.result,
        job.reason,
    )


def read_job(job: str) -> Decision[Result[tuple[JobRow, int], Refusal]]:
    """Read a job's row and its version."""
    answer = yield Read(job_key(job))
    match answer.value:
        case Result(tag="ok", ok=Row() as row):
            return Ok((decode(row.value, JobRow), row.version))
        case Result(tag="ok"):
            return Error(refuse(Reason.NOT_FOUND, f"there is no job {job}"))
        case _:
            detail = answer.value.error.detail
            return Error(refuse(Reason.STORE_UNAVAILABLE, detail, RETRY_AFTER_S))


def read_status(job: str) -> Decision[Result[JobStatus, Refusal]]:
    """Read the status of a job."""
    found = yield from read_job(job)
    if found.is_error():
        return Error(found.error)
    row, _ = found.ok
    if row.state is not JobState.ACCEPTED:
        return Ok(show_job(row, None))
    answer = yield Read(cell_key(row.cell))
    match answer.value:
        case Result(tag="ok", ok=Row() as stored):
            return Ok(show_job(row, decode(stored.value, CellRow)))
        case _:
            return Ok(show_job(row, None))


def list_jobs(job_filter: JobFilter) -> Decision[Result[tuple[JobStatus, ...], Refusal]]:
    """List the newest jobs that match a filter, in order of submission."""
    cells: dict[str, CellRow] = {}
    answer = yield Scan(CELL_PREFIX)
    if answer.value.is_ok():
        for row in answer.value.ok:
            cells[row.key.removeprefix(CELL_PREFIX)] = decode(row.value, CellRow)
    answer = yield Scan(JOB_PREFIX)
    if answer.value.is_error():
        detail = answer.value.error.detail
        return Error(refuse(Reason.STORE_UNAVAILABLE, detail, RETRY_AFTER_S))
    jobs = sorted((decode(it.value, JobRow) for it in answer.value.ok), key=_submission_time)
    shown = (show_job(job, cells.get(job.cell)) for job in jobs)
    return Ok(tuple([it for it in shown if job_filter.matches(it)][-job_filter.limit :]))


def list_standing() -> Decision[Result[tuple[StandingStatus, ...], Refusal]]:
    """List the standing tasks that the bundle contains."""
    rows: list[tuple[Row, ...]] = []
    for prefix in (STANDING_PREFIX, CELL_PREFIX):
        answer = yield Scan(prefix)
        if answer.value.is_error():
            detail = answer.value.error.detail
            return Error(refuse(Reason.STORE_UNAVAILABLE, detail, RETRY_AFTER_S))
        rows.append(answer.value.ok)
    committed = {
        task: record
        for row in rows[1]
        for task, record in decode(row.value, CellRow).tasks.items()
        if record.standing
    }
    standing_rows = (decode(row.value, StandingRow) for row in rows[0])
    return Ok(
        tuple(_show_standing(it, committed.get(it.task)) for it in standing_rows if not it.removed)
    )


def _show_standing(row: StandingRow, record: TaskRecord | None) -> StandingStatus:
    if record is None:
        return StandingStatus(row.task, "queued", row.cell)
    return StandingStatus(row.task, "running", row.cell, record.worker, record.attempt)


def _submission_time(job: JobRow) -> float:
    return job.record.submitted


def cancel_job(job: str) -> Decision[Result[JobStatus, Refusal]]:
    """
    Cancel a job, or return its status if it has already ended.

    A finish and a cancellation both change the job's row from the same version, so the later one
    conflicts and returns the outcome of the other.
    """
    uncertain = False
    for _ in range(MAX_TRIES):
        found = yield from read_job(job)
        if found.is_error():
            return Error(_refuse_uncertain_cancellation() if uncertain else found.error)
        row, version = found.ok
        if row.state is not JobState.ACCEPTED:
            return Ok(show_job(row, None))
        cancelled = msgspec.structs.replace(row, state=JobState.CANCELLED, reason="cancelled")
        writes = (
            Write(job_key(job), version, encode(cancelled)),
            Write(cancel_key(row.cell, job), ABSENT, encode(CancelRow(job))),
        )
        answer = yield Commit(Transaction(f"cancel/{job}/{version}", writes))
        match answer.value:
            case Result(tag="ok", ok=Committed()):
                return Ok(show_job(cancelled, None))
            case Result(tag="error", error=Unavailable(detail)):
                if not uncertain:
                    return Error(refuse(Reason.STORE_UNAVAILABLE, detail, RETRY_AFTER_S))
            case Result(tag="error", error=Conflict()):
                continue
            case _:
                uncertain = True
    if uncertain:
        return Error(_refuse_uncertain_cancellation())
    return Error(refuse(Reason.CONFLICT, "the job moves between cells: repeat", RETRY_AFTER_S))


def _refuse_uncertain_cancellation() -> Refusal:
    detail = "the job may have been cancelled: read its status"
    return Refusal(Verdict.MAY_HAVE_RUN, Reason.STORE_UNCERTAIN, detail, RETRY_AFTER_S)
