"""
Records of the table
====================

The typed rows of jobs, queues, cells and authority, and the keys under which they stand.  A task's
record stands in exactly one row, a queue row or a cell row, and moves in one transaction.
"""

from __future__ import annotations

import enum
from typing import TypeVar

import msgspec

from toucanpin.platform.ports import Size

__all__ = [
    "AuthorityRow",
    "CancelRow",
    "CellRow",
    "JobRow",
    "JobState",
    "ControllerId",
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
    """Name one life of a process: its name and incarnation."""

    process: str
    incarnation: int


class WorkerState(enum.Enum):
    """Say whether a worker may receive new work."""

    ACTIVE = "active"
    LEAVING = "leaving"
    QUARANTINED = "quarantined"
    LOST = "lost"


class JobState(enum.Enum):
    """Say how far a job has come; all but ACCEPTED are final."""

    ACCEPTED = "accepted"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


class WorkerRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describe one worker of a cell; ``faults`` counts failures of distinct tasks in a row."""

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
    Describe one task, queued or committed to a worker.

    ``attempt`` is that of the newest commitment.  ``order`` and ``job_version`` are versions of
    rows, zero until the task is first committed: then both are the version of its queue row.
    ``checkpoint`` is the newest accepted one; ``lost`` counts the workers lost since it was
    accepted.  ``bundle`` is the version that asked for a standing task.  ``priority`` grows with
    importance.
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
    """Hold a task that waits; ``payload`` is there from submission until the first commitment."""

    record: TaskRecord
    payload: bytes = b""


class CancelRow(msgspec.Struct, frozen=True):
    """Tell the owner of a cell to stop a task whose job is already cancelled."""

    task: str


class CellRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Hold one cell: who may order its workers and everything that is committed there.

    ``owner`` is None after a release.  ``unproven`` are earlier owners whose leases may still be
    renewed at a worker that no newer owner has reached, with the epoch that each had.
    """

    epoch: int
    owner: ControllerId | None
    workers: dict[str, WorkerRow]
    tasks: dict[str, TaskRecord]
    unproven: tuple[tuple[ControllerId, int], ...] = ()


class JobRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold one job for its submitter; ``cell`` is where it waits or runs while accepted."""

    job: str
    state: JobState
    record: TaskRecord
    cell: str
    attempt: int = 0
    result: str = ""
    reason: str = ""


class StandingRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Hold the place of a standing task's one record.

    ``removed`` is the bundle version that took it out, zero while it is wanted: a process with an
    older bundle would otherwise bring it back.  ``attempt`` is then its last one: a task that comes
    back must go on counting, as workers refuse the attempts that they have seen.
    """

    task: str
    cell: str
    bundle: int
    removed: int = 0
    attempt: int = 0


class AuthorityRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """
    Bound what one life of a control process may grant.

    ``ceded`` holds the last own epoch of cells that are lost and whose own leases have all ended.
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
    """Return the bytes of a row."""
    return _encoder.encode(row)


def decode(value: bytes, kind: type[R]) -> R:
    """Return the row of a kind; fields of newer writers are ignored."""
    return msgspec.json.decode(value, type=kind)


def authority_key(controller: ControllerId) -> str:
    """Return the key of a life's authority row."""
    return f"{AUTHORITY_PREFIX}{controller.process}/{controller.incarnation}"


def cell_key(cell: str) -> str:
    """Return the key of a cell's row."""
    return f"{CELL_PREFIX}{cell}"


def queue_prefix(cell: str) -> str:
    """Return the prefix of what waits for a cell's owner: tasks and wishes to cancel."""
    return f"queue/{cell}/"


def queue_key(cell: str, task: str) -> str:
    """Return the key of a waiting task."""
    return f"queue/{cell}/task/{task}"


def cancel_key(cell: str, task: str) -> str:
    """Return the key of a wish to cancel, in the same prefix as the cell's waiting tasks."""
    return f"queue/{cell}/cancel/{task}"


def job_key(job: str) -> str:
    """Return the key of a job's row."""
    return f"{JOB_PREFIX}{job}"


def payload_key(job: str) -> str:
    """Return the key of a job's payload, which never changes."""
    return f"payload/{job}"


def standing_key(task: str) -> str:
    """Return the key of a standing task's row."""
    return f"{STANDING_PREFIX}{task}"
