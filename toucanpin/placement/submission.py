"""
Submission of jobs
==================

Accept jobs in one transaction, so that an accepted job is durable.  The job's id is derived from
the idempotency key, so a repeated submission finds the first one.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

import msgspec
from expression import Error, Ok, Result

from toucanpin.bundles.schema import Bundle
from toucanpin.placement.actions import Commit, Decision
from toucanpin.placement.jobs import (
    JobStatus,
    StandingStatus,
    cancel_job,
    refuse,
    show_job,
)
from toucanpin.placement.queue import CellShape, Quotas, choose_cell
from toucanpin.placement.records import (
    JobRow,
    JobState,
    QueueRow,
    TaskRecord,
    decode,
    encode,
    job_key,
    payload_key,
    queue_key,
)
from toucanpin.platform.ports import (
    ABSENT,
    Committed,
    Conflict,
    Row,
    Size,
    Transaction,
    Unavailable,
    Write,
)
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = [
    "JobStatus",
    "StandingStatus",
    "Submission",
    "cancel_job",
    "name_job",
    "submit_job",
]

RETRY_AFTER_S = 2.0
MAX_TRIES = 3
MAX_KEY_LENGTH = 256
MAX_PRIORITY = 9


class Submission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Job as submitted; ``memory`` is in MiB, ``payload`` is passed to the worker."""

    kind: str
    team: str
    processors: int
    memory: int
    accelerators: int = 0
    priority: int = 0
    urgent: bool = False
    payload: str = ""

    def size(self) -> Size:
        """Return the declared size."""
        return Size(self.processors, self.memory, self.accelerators)


def name_job(team: str, key: str) -> str:
    """Return the id of a team's job with an idempotency key."""
    return hashlib.blake2b(f"{team}\0{key}".encode(), digest_size=12).hexdigest()


def check_submission(
    request: Submission, key: str, shapes: Sequence[CellShape], bundle: Bundle | None
) -> Refusal | None:
    """Return the refusal of a job that can't be accepted or can never run, None if it can."""
    if bundle is None or not shapes:
        detail = "the bundle in force or the host list isn't known yet"
        return refuse(Reason.NOT_READY, detail, RETRY_AFTER_S)
    size = request.size()
    if not key or len(key) > MAX_KEY_LENGTH:
        return refuse(
            Reason.BAD_REQUEST, f"the idempotency key must have 1 to {MAX_KEY_LENGTH} letters"
        )
    if request.processors < 1 or request.memory < 1 or request.accelerators < 0:
        return refuse(Reason.BAD_REQUEST, "processors and memory must be at least 1")
    if not 0 <= request.priority <= MAX_PRIORITY:
        return refuse(Reason.BAD_REQUEST, f"priority must be between 0 and {MAX_PRIORITY}")
    if len(request.payload.encode()) > bundle.limits.max_job_payload:
        detail = f"the payload is larger than {bundle.limits.max_job_payload} bytes"
        return refuse(Reason.TOO_LARGE, detail)
    if bundle.teams and all(it.name != request.team for it in bundle.teams):
        return refuse(Reason.FORBIDDEN, f"the bundle names no team {request.team!r}")
    if not Quotas(bundle.teams, {}).allows(request.team, size):
        return refuse(Reason.NEVER_FITS, f"larger than the whole quota of {request.team}")
    if not any(shape.can_hold(size) for shape in shapes):
        return refuse(Reason.NEVER_FITS, explain_misfit(size, shapes))
    return None


def explain_misfit(size: Size, shapes: Sequence[CellShape]) -> str:
    """Return why a size fits on no worker: too large in one component, or only in combination."""
    workers = [it for shape in shapes for it in shape.sizes]
    for part in ("processors", "memory", "accelerators"):
        most = max(getattr(it, part) for it in workers)
        if getattr(size, part) > most:
            return f"needs {getattr(size, part)} {part}, the largest worker has {most}"
    return "no worker has its processors, memory and accelerators together"


def submit_job(
    request: Submission,
    key: str,
    shapes: Sequence[CellShape],
    bundle: Bundle | None,
    submitted: float,
) -> Decision[Result[JobStatus, Refusal]]:
    """
    Accept a job durably, once per key; ``submitted`` is the wall time in seconds.

    After a lost answer the same conditional insert is repeated: if the first one took effect, the
    second conflicts and returns the job.
    """
    refusal = check_submission(request, key, shapes, bundle)
    if refusal is not None:
        return Error(refusal)
    job = name_job(request.team, key)
    record = _make_record(request, job, submitted)
    cell = choose_cell(job, record.size, shapes)
    assert cell is not None
    transaction = Transaction(f"submit/{job}", _make_inserts(request, record, cell))
    certain = True
    for _ in range(MAX_TRIES):
        answer = yield Commit(transaction)
        match answer.value:
            case Result(tag="ok", ok=Committed()):
                return Ok(show_job(JobRow(job, JobState.ACCEPTED, record, cell), None))
            case Result(tag="error", error=Conflict(rows)):
                return _resolve_conflict(job, record, rows)
            case Result(tag="error", error=Unavailable(detail)):
                if certain:
                    return Error(refuse(Reason.STORE_UNAVAILABLE, detail, RETRY_AFTER_S))
            case _:
                certain = False
    return Error(
        Refusal(
            Verdict.MAY_HAVE_RUN,
            Reason.STORE_UNCERTAIN,
            "the job may have been accepted: repeat with the same Idempotency-Key",
            RETRY_AFTER_S,
        )
    )


def _make_record(request: Submission, job: str, submitted: float) -> TaskRecord:
    digest = hashlib.blake2b(msgspec.json.encode(request), digest_size=8).hexdigest()
    return TaskRecord(
        job,
        request.kind,
        request.team,
        request.size(),
        urgent=request.urgent,
        priority=request.priority,
        digest=digest,
        submitted=submitted,
        has_payload=bool(request.payload),
    )


def _make_inserts(request: Submission, record: TaskRecord, cell: str) -> tuple[Write, ...]:
    """Return the inserts of a job; a row of its own keeps the payload out of later writes."""
    job = JobRow(record.task, JobState.ACCEPTED, record, cell)
    payload = request.payload.encode()
    writes: tuple[Write, ...] = (
        Write(job_key(record.task), ABSENT, encode(job)),
        Write(queue_key(cell, record.task), ABSENT, encode(QueueRow(record, payload))),
    )
    if payload:
        writes += (Write(payload_key(record.task), ABSENT, payload),)
    return writes


def _resolve_conflict(
    job: str, record: TaskRecord, rows: Sequence[Row]
) -> Result[JobStatus, Refusal]:
    """Return the status of the job that already has the key, or refuse if it differs."""
    for row in rows:
        if row.key != job_key(job) or row.version == ABSENT:
            continue
        found = decode(row.value, JobRow)
        if found.record.digest == record.digest:
            return Ok(show_job(found, None))
        detail = f"the key belongs to job {job}, which differs"
        return Error(refuse(Reason.CONFLICT, detail))
    return Error(refuse(Reason.INTERNAL, f"rows of job {job} stand without it", RETRY_AFTER_S))
