"""
Ports of the platform
=====================

The four narrow interfaces behind which the platform stands: the transactional table, the object
store, the host list and the workers.  An adapter for another dialect of the platform implements
these protocols and changes nothing else.
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

ABSENT = 0
MAX_TRANSACTION_ROWS = 64


@dataclass(frozen=True, slots=True)
class Row:
    """
    Hold one row of the table.

    Versions are positions in the table's one commit order: they only grow, also over rows.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Write:
    """
    Change one row if its version is still the expected one.

    ``expected`` is ABSENT for a row that must not exist; ``value`` is None to delete the row.
    With ``check_only`` the version is compared and the row left as it is.
    """

    key: str
    expected: int
    value: bytes | None
    check_only: bool = False


@dataclass(frozen=True, slots=True)
class Transaction:
    """Commit all writes or none; ``token`` is unique to this attempt and names it in logs."""

    token: str
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """Give the one version that all rows of a transaction received."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Give the rows, as they stand, that were not at the expected version (absent: version 0)."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Say that the store could not be asked: the operation certainly had no effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """Say that the answer was lost: the operation may have taken effect, or may still do so."""

    detail: str


StoreFault = Unavailable | Unknown
CommitFault = Conflict | Unavailable | Unknown


class Table(Protocol):
    """Read and change rows; a commit counts as one write of the budget."""

    def read(self, key: str) -> Result[Row | None, StoreFault]:
        """Read one row, None if absent."""
        ...

    def scan(self, prefix: str, after: int = 0) -> Result[tuple[Row, ...], StoreFault]:
        """Read, in key order, the rows below a prefix whose version is greater than ``after``."""
        ...

    def commit(self, transaction: Transaction) -> Result[Committed, CommitFault]:
        """Apply a transaction of at most MAX_TRANSACTION_ROWS rows, all or nothing."""
        ...


class ObjectStore(Protocol):
    """Keep immutable byte strings by name."""

    def put(self, name: str, body: bytes) -> Result[None, StoreFault]:
        """Store an object; storing the same name again replaces it."""
        ...

    def get(self, name: str) -> Result[bytes | None, StoreFault]:
        """Read an object, None if absent."""
        ...

    def names(self, prefix: str) -> Result[tuple[str, ...], StoreFault]:
        """List the names below a prefix."""
        ...


@dataclass(frozen=True, slots=True)
class Size:
    """Measure what a task takes or a host has: processors, memory in MiB, accelerators."""

    processors: int
    memory: int
    accelerators: int = 0


class HostRole(enum.Enum):
    """Say what a listed host is for."""

    ENTRY = "entry"
    WORKER = "worker"
    INSTANCE = "instance"


@dataclass(frozen=True, slots=True)
class ListedHost:
    """
    Describe one host as the platform lists it; the list lags behind reality both ways.

    ``service`` names the service of an instance; ``size`` is the capacity of a worker.
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
    """List the hosts that the platform believes live or leaving."""

    def hosts(self) -> Result[tuple[ListedHost, ...], StoreFault]:
        """Read the whole list."""
        ...


class TaskState(enum.Enum):
    """Say what a worker last did with one attempt of a task."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Start:
    """
    Start one attempt, which the worker refuses unless it is higher than any it saw of the task.

    ``checkpoint`` names the object to resume from, empty for none; ``output`` names the object
    that receives the result; ``standing`` tasks have no end of their own.
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
    """Stop an attempt, after writing ``checkpoint`` if it is named, and refuse it from then on."""

    task: str
    attempt: int
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class Throttle:
    """Limit a running attempt to a share of its processors, between 0.05 and 1.0."""

    task: str
    attempt: int
    share: float


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Write the attempt's progress to the named object and let it run on."""

    task: str
    attempt: int
    name: str


@dataclass(frozen=True, slots=True)
class Forget:
    """Drop an ended attempt from the worker's reports, once its outcome is in the table."""

    task: str
    attempt: int


Order = Start | Stop | Throttle | Checkpoint | Forget


@dataclass(frozen=True, slots=True)
class Poll:
    """
    Renew a worker's lease, give it orders and ask for its report, in one message.

    The lease ends at ``lease_until`` on the worker's own monotonic clock (milliseconds), computed
    from a clock reading in an earlier report, so a delayed poll can't lengthen it.  Zero renews
    nothing.  A worker refuses the whole poll if ``epoch`` is lower than the highest it has seen,
    or if ``incarnation`` is neither empty nor its own.
    """

    epoch: int
    incarnation: str
    lease_until: int
    orders: tuple[Order, ...]


@dataclass(frozen=True, slots=True)
class TaskReport:
    """
    Report one attempt: its state, the newest checkpoint written and its usage.

    ``progress`` is in the task's own units of work; ``processors`` and ``memory`` (MiB) are
    measured use, as of ``sampled_at`` on the worker's clock (milliseconds).
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
    """Measure the p99 latency in milliseconds of a service on this host at a past instant."""

    service: str
    sampled_at: int
    latency_p99: float
    load: float


@dataclass(frozen=True, slots=True)
class Report:
    """
    Answer a poll; ``accepted`` is False if the poll was refused and changed nothing.

    ``clock`` is the worker's monotonic clock (milliseconds) when the report was made, ``epoch``
    the highest epoch it has seen.  ``lapsed`` is True once its lease has run out: its guard has
    then stopped every task, and a new lease starts it afresh.
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
    """Say that a worker gave no answer; ``reached`` is True if it may have acted on the poll."""

    detail: str
    reached: bool


class Workers(Protocol):
    """Speak with the workers' own agents."""

    def poll(self, host: ListedHost, poll: Poll) -> Result[Report, WorkerFault]:
        """Send one poll and wait for its report."""
        ...
