"""
Messages of the job interface
=============================

Decode the jobs that callers submit and encode the states and counts that they read.
"""

from __future__ import annotations

import re

import msgspec

from toucanpin.decoding import decode_json
from toucanpin.exception import MalformedError, ToucanpinError
from toucanpin.scheduling.configuration import Queue
from toucanpin.scheduling.job import Job, Step
from toucanpin.scheduling.progress import JobState

__all__ = ["JobSyntaxError", "decode_submission", "encode_count", "encode_state", "is_job_id"]

DEADLINE_HEADER = "x-deadline-ms"
MAX_SPEC_BYTES = 4_000  # the platform's limit
_JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
_STATE_NAMES = {
    JobState.PENDING: "pending",
    JobState.ACTIVE: "active",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "canceled",
}


class JobSyntaxError(ToucanpinError):
    """Raised if a submitted job can't be decoded."""


class _Step(msgspec.Struct, rename="camel"):
    """A step of a job; ``fill_count`` arrives as a number or a boolean."""

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fill_count: bool | int = False
    lossy: int = 0


class _Submission(msgspec.Struct, rename="camel"):
    spec: str
    pipeline: list[_Step]
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


def is_job_id(text: str) -> bool:
    """Return whether ``text`` is a job id."""
    return _JOB_ID.fullmatch(text) is not None


def decode_submission(identifier: str, queue: Queue, body: bytes, clock: int) -> Job:
    """
    Return the job in ``body``, accepted into ``queue`` at ``clock``, the store's time in ms.

    Raises
    ------
    JobSyntaxError
        If the body is not a valid job.
    """
    try:
        submission = decode_json(body, _Submission, strict=False)
    except MalformedError as error:
        raise JobSyntaxError(str(error)) from error
    if len(submission.spec.encode()) > MAX_SPEC_BYTES:
        raise JobSyntaxError(f"spec has more than {MAX_SPEC_BYTES} bytes")
    return Job(
        id=identifier,
        queue=queue.name,
        cell=queue.service,
        spec=submission.spec,
        steps=tuple(_to_step(step) for step in submission.pipeline),
        priority=queue.priority,
        max_failures=queue.max_failures,
        stretch=queue.stretch,
        aim=queue.aim,
        accepted=clock,
        repeats=submission.repeat_count,
        start_at=submission.start_at_ms,
        interval=submission.interval_ms,
        advised=queue.advised,
    )


def encode_state(state: JobState) -> bytes:
    """Return the JSON form of a job's state."""
    return msgspec.json.encode({"state": _STATE_NAMES[state]})


def encode_count(count: int) -> bytes:
    """Return the JSON form of the number of pending jobs in a queue."""
    return msgspec.json.encode({"pendingJobs": count})


def _to_step(step: _Step) -> Step:
    return Step(
        count=step.count,
        cpu=step.cpu,
        memory=step.mem_mb,
        accelerators=step.gpu,
        estimate=int(step.estimate_ms),
        after=step.after,
        checkpoints=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.requires,
        rack=step.affinity,
        per_worker=step.anti_affinity,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        target=int(step.target_ms),
        best_effort=bool(step.fill_count),
        max_unavailable=step.lossy,
    )
