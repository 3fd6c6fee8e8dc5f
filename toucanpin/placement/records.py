"""
Table records
=============

Typed rows of jobs, queues, cells and authority, and their keys.  A task's record is stored in
exactly one row, a queue row or a cell row, and moves between them in one transaction.
"""

from __future__ import annotations

import enum
from typing import TypeVar

import msgspec

from toucanpin.decoding import decode_json
from toucanpin.platform.ports import Size

__all__ = [
    "AuthorityRow",
    "CancelRow",
    "CellRow",
    "ControllerId",
    "JobRow",
    "JobState",
    "QueueRow",
    "StandingRow",
    "TaskRecord",
    "WorkerRow",
    "WorkerState",
    "authority_key",
    "cancel_key",
    "cell_key",
    "decode",
    "encode",
    "job_key",
    "payload_key",
    "queue_key",
    "queue_prefix",
    "standing_key",
]

PLAN_PREFIX = "plan/"
AUTHORITY_PREFIX = PLAN_PREFIX + "control/"
CELL_PREFIX = PLAN_PREFIX + "cell/"
STANDING_PREFIX = PLAN_PREFIX + "standing/"
JOB_PREFIX = "job/"


class ControllerId(msgspec.Struct, frozen=True, order=True):
    """Identity of a control process: its name and incarnation."""

    process: str
    incarnation: int


class WorkerState(enum.Enum):
    """States of a worker; only an active one receives new tasks."""

    ACTIVE = "active"
    LEAVING = "leaving"
    QUARANTINED = "quarantined"
    LOST = "lost"


class JobState(enum.Enum):
    """States of a job; all but ACCEPTED are final."""

    ACCEPTED = "accepted"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


class WorkerRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Worker of a cell; ``faults`` counts consecutive failures of distinct tasks."""

    name: str
    site: str
    rack: str
    address: str
    port: int
    size: Size
    incarnation: str = ""
    state: WorkerState = WorkerState.ACTIVE
    faults: int = 0


class TaskRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Record of a task that is queued or committed to a worker.

    ``attempt`` is the number of the newest commitment.  ``order`` and ``job_version`` are row
    versions, zero until the task is first committed; then both are the version of its queue row.
    ``checkpoint`` is the newest accepted one, and ``lost`` counts the workers lost since then.
    ``bundle`` is the version of the bundle that describes a standing task.  A task with a
    higher ``priority`` is more important.
    """

    task: str
    kind: str
    team: str
    size: Size
    standing: bool = False
    urgent: bool = False
    priority: int = 0
    digest: str = ""
    attempt: int = 0
    worker: str = ""
    incarnation: str = ""
    checkpoint: str = ""
    order: int = 0
    job_version: int = 0
    failures: int = 0
    failed_on: tuple[str, ...] = ()
    evictions: int = 0
    lost: int = 0
    moves: int = 0
    bundle: int = 0
    submitted: float = 0.0
    has_payload: bool = False


class QueueRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Waiting task; ``payload`` is set from submission until the first commitment."""

    record: TaskRecord
    payload: bytes = b""


class CancelRow(msgspec.Struct, frozen=True):
    """Request to the owner of a cell to stop a task whose job has been cancelled."""

    task: str


class CellRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Cell: its owner, workers and committed tasks.

    ``owner`` is None after a release.  ``unproven`` lists, with their epochs, earlier owners that
    may still renew the lease of a worker that no newer owner has reached.
    """

    epoch: int
    owner: ControllerId | None
    workers: dict[str, WorkerRow]
    tasks: dict[str, TaskRecord]
    unproven: tuple[tuple[ControllerId, int], ...] = ()


class JobRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Job as shown to its submitter; ``cell`` is where it waits or runs while accepted."""

    job: str
    state: JobState
    record: TaskRecord
    cell: str
    attempt: int = 0
    result: str = ""
    reason: str = ""


class StandingRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Location of a standing task's only record.

    ``removed`` is the version of the bundle that removed the task, zero while it is wanted.
    Without it a process with an older bundle would add the task again.  ``attempt`` is then the
    last attempt: workers refuse attempts that they have seen, so a task that is added again
    continues the numbering.
    """

    task: str
    cell: str
    bundle: int
    removed: int = 0
    attempt: int = 0


class AuthorityRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Authority of a control process to grant leases.

    ``ceded`` maps each lost cell in which all leases of the holder have ended to the holder's last
    epoch there.
    """

    holder: ControllerId
    renewal: int
    roster: tuple[ControllerId, ...]
    fenced: bool = False
    released: bool = False
    ceded: dict[str, int] = {}


R = TypeVar("R", bound=msgspec.Struct)

_encoder = msgspec.json.Encoder()


def encode(row: msgspec.Struct) -> bytes:
    """Return a row encoded as JSON."""
    return _encoder.encode(row)


def decode(value: bytes, kind: type[R]) -> R:
    """Return the decoded row; unknown fields of newer writers are ignored."""
    return decode_json(value, kind)


def authority_key(controller: ControllerId) -> str:
    """Return the key of a control process's authority row."""
    return f"{AUTHORITY_PREFIX}{controller.process}/{controller.incarnation}"


def cell_key(cell: str) -> str:
    """Return the key of a cell's row."""
    return f"{CELL_PREFIX}{cell}"


def queue_prefix(cell: str) -> str:
    """Return the prefix of a cell's waiting tasks and cancellation requests."""
    return f"queue/{cell}/"


def queue_key(cell: str, task: str) -> str:
    """Return the key of a waiting task's row."""
    return f"queue/{cell}/task/{task}"


def cancel_key(cell: str, task: str) -> str:
    """Return the key of a cancellation request, below the same prefix as the waiting tasks."""
    return f"queue/{cell}/cancel/{task}"


def job_key(job: str) -> str:
    """Return the key of a job's row."""
    return f"{JOB_PREFIX}{job}"


def payload_key(job: str) -> str:
    """Return the key of a job's payload, which is immutable."""
    return f"payload/{job}"


def standing_key(task: str) -> str:
    """Return the key of a standing task's row."""
    return f"{STANDING_PREFIX}{task}"
