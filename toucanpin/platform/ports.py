"""
Interfaces to the platform
==========================

The four interfaces through which the platform is used: the transactional table, the object store,
the host list and the workers.  An adapter for another platform implements these protocols; nothing
else depends on the platform's messages.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from expression import Result

__all__ = [
    "ABSENT",
    "MAX_TRANSACTION_ROWS",
    "Committed",
    "Conflict",
    "CommitFault",
    "HostList",
    "HostRole",
    "ListedHost",
    "ObjectStore",
    "Order",
    "Poll",
    "Report",
    "Row",
    "Size",
    "Start",
    "Stop",
    "Throttle",
    "Checkpoint",
    "Forget",
    "StoreFault",
    "Table",
    "TaskReport",
    "TaskState",
    "Transaction",
    "Unavailable",
    "Unknown",
    "UsageSample",
    "WorkerFault",
    "Workers",
    "Write",
]

ABSENT = 0  # version expected of a row that must not exist
MAX_TRANSACTION_ROWS = 64


@dataclass(frozen=True, slots=True)
class Row:
    """
    A row of the table.

    Versions are positions in the table's single commit order, so they increase across all rows.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Write:
    """
    A write of one row, conditional on the row's version.

    ``expected`` is ABSENT for a row that must not exist; ``value`` is None to delete the row.
    With ``check_only`` the version is checked and the row isn't written.
    """

    key: str
    expected: int
    value: bytes | None
    check_only: bool = False


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes to apply atomically; ``token`` is unique to this attempt and identifies it in logs."""

    token: str
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """A transaction was applied; ``version`` is the new version of all its rows."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """
    A transaction was refused, as rows were not at their expected versions.

    ``rows`` holds these rows in their current state; a row that doesn't exist has version 0.
    """

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The operation certainly had no effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The operation's answer was lost; it may have taken effect or may still do so."""

    detail: str


StoreFault = Unavailable | Unknown
CommitFault = Conflict | Unavailable | Unknown


class Table(Protocol):
    """The transactional table; a commit counts as one write against the write budget."""

    def read(self, key: str) -> Result[Row | None, StoreFault]:
        """Return one row, None if it doesn't exist."""
        ...

    def scan(self, prefix: str, after: int = 0) -> Result[tuple[Row, ...], StoreFault]:
        """Return, in key order, the rows with a prefix whose version is above ``after``."""
        ...

    def commit(self, transaction: Transaction) -> Result[Committed, CommitFault]:
        """Apply a transaction of at most MAX_TRANSACTION_ROWS rows atomically."""
        ...


class ObjectStore(Protocol):
    """Byte strings stored under names."""

    def put(self, name: str, body: bytes) -> Result[None, StoreFault]:
        """Store an object, replacing any of the same name."""
        ...

    def get(self, name: str) -> Result[bytes | None, StoreFault]:
        """Return an object, None if it doesn't exist."""
        ...

    def names(self, prefix: str) -> Result[tuple[str, ...], StoreFault]:
        """Return the names of objects with a prefix."""
        ...


@dataclass(frozen=True, slots=True)
class Size:
    """Resources of a task or a host: processors, memory in MiB, accelerators."""

    processors: int
    memory: int
    accelerators: int = 0


class HostRole(enum.Enum):
    """Role of a listed host."""

    ENTRY = "entry"
    WORKER = "worker"
    INSTANCE = "instance"


@dataclass(frozen=True, slots=True)
class ListedHost:
    """
    A host in the platform's list.

    The list is delayed: it may lack new hosts and hold hosts that are gone.  ``service`` names the
    service of an instance; ``size`` is the capacity of a worker.
    """

    name: str
    role: HostRole
    site: str
    rack: str
    address: str
    port: int
    leaving: bool = False
    service: str = ""
    size: Size = Size(0, 0, 0)
    slots: int = 0
    connections: int = 0


class HostList(Protocol):
    """The hosts that the platform considers live or leaving."""

    def hosts(self) -> Result[tuple[ListedHost, ...], StoreFault]:
        """Return all hosts."""
        ...


class TaskState(enum.Enum):
    """State of an attempt of a task on a worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Start:
    """
    Order to start an attempt.

    The worker refuses it unless its number is higher than that of every attempt it has seen of the
    task.  ``checkpoint`` names the object to resume from, empty for none; ``output`` names the
    object that receives the result; ``standing`` tasks run until they are stopped.
    """

    task: str
    attempt: int
    kind: str
    size: Size
    payload: bytes
    checkpoint: str
    output: str
    standing: bool


@dataclass(frozen=True, slots=True)
class Stop:
    """
    Order to stop an attempt and to refuse any later start of it.

    If ``checkpoint`` isn't empty, the attempt's progress is first written to the object it names.
    """

    task: str
    attempt: int
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class Throttle:
    """Order to limit a running attempt to a share of its processors, from 0.05 to 1.0."""

    task: str
    attempt: int
    share: float


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Order to write a running attempt's progress to the object ``name``."""

    task: str
    attempt: int
    name: str


@dataclass(frozen=True, slots=True)
class Forget:
    """Order to drop an ended attempt, whose outcome is in the table, from the reports."""

    task: str
    attempt: int


Order = Start | Stop | Throttle | Checkpoint | Forget


@dataclass(frozen=True, slots=True)
class Poll:
    """
    A message that renews a worker's lease, gives it orders and requests its report.

    The lease ends at ``lease_until`` on the worker's monotonic clock, in milliseconds.  It is
    computed from a clock reading in an earlier report, so a delayed poll can't extend the lease.
    With 0 the lease isn't renewed.  A worker refuses the whole poll if ``epoch`` is lower than the
    highest it has seen, or if ``incarnation`` is neither empty nor its own.
    """

    epoch: int
    incarnation: str
    lease_until: int
    orders: tuple[Order, ...]


@dataclass(frozen=True, slots=True)
class TaskReport:
    """
    State, latest checkpoint and resource usage of an attempt.

    ``progress`` is in the task's own units of work; ``processors`` and ``memory`` (MiB) are the
    usage measured at ``sampled_at`` on the worker's clock, in milliseconds.
    """

    task: str
    attempt: int
    state: TaskState
    progress: int
    checkpoint: str
    detail: str
    processors: float
    memory: int
    sampled_at: int


@dataclass(frozen=True, slots=True)
class UsageSample:
    """Load and p99 latency, in milliseconds, of a service on the worker at ``sampled_at``."""

    service: str
    sampled_at: int
    latency_p99: float
    load: float


@dataclass(frozen=True, slots=True)
class Report:
    """
    Answer to a poll; ``accepted`` is False if the poll was refused and had no effect.

    ``clock`` is the worker's monotonic clock, in milliseconds, when the report was made; ``epoch``
    is the highest epoch it has seen.  ``lapsed`` is True once its lease has expired: the worker has
    then stopped every task, and takes new ones once it has a new lease.
    """

    worker: str
    incarnation: str
    clock: int
    epoch: int
    accepted: bool
    lapsed: bool
    size: Size
    tasks: tuple[TaskReport, ...]
    samples: tuple[UsageSample, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkerFault:
    """A worker gave no answer; ``reached`` is True if it may have acted on the poll."""

    detail: str
    reached: bool


class Workers(Protocol):
    """The agents on the workers."""

    def poll(self, host: ListedHost, poll: Poll) -> Result[Report, WorkerFault]:
        """Send one poll and return the worker's report."""
        ...
