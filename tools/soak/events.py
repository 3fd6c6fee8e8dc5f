"""
Events
======

What callers and workers observe and what the soak does, with times in s of the monotonic clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from tools.soak.jobs import JobPlan
from toucanpin.scheduling.job import TaskKey

__all__ = [
    "EndAcknowledged",
    "AnswerReceived",
    "AnswerLost",
    "CancelRequested",
    "ConfigurationWritten",
    "WorkerDraining",
    "RunEnded",
    "EvacuationsChanged",
    "Event",
    "WorkerGone",
    "WorkerJoined",
    "RequestKind",
    "ProcessExited",
    "Loss",
    "JobOffered",
    "Signal",
    "SignalSent",
    "RunStarted",
    "DisturbanceSeen",
    "WorkerTroubleSeen",
]


class RequestKind(enum.Enum):
    """Kind of a caller's request."""

    SUBMIT = "submit"
    STATE = "state"
    COUNT = "count"
    CANCEL = "cancel"


class Loss(enum.Enum):
    """Why a request has no complete answer."""

    LATE = "late"  # the caller timed out
    CLOSED = "closed"  # the connection was closed before the answer began
    CUT = "cut"  # the connection was closed in the middle of the answer
    MALFORMED = "malformed"
    UNREAD = "unread"  # an earlier answer announced the end of the connection


class Signal(enum.Enum):
    """Signal that the soak sends to a process."""

    TERMINATE = "SIGTERM"
    KILL = "SIGKILL"
    STOP = "SIGSTOP"
    CONTINUE = "SIGCONT"
    HANG_UP = "SIGHUP"


@dataclass(frozen=True, slots=True)
class JobOffered:
    """A caller is about to submit a job."""

    at: float
    job: JobPlan


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """A caller is about to cancel a job."""

    at: float
    job: str


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """
    A complete answer; ``subject`` is the id of a job or the name of a queue.

    ``value`` is the state or the count in the answer, None where the body holds neither.
    """

    at: float
    sent: float
    process: str
    kind: RequestKind
    subject: str
    status: int
    value: str | int | None = None


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """A request got no complete answer."""

    at: float
    sent: float
    process: str
    kind: RequestKind
    subject: str
    loss: Loss


@dataclass(frozen=True, slots=True)
class WorkerJoined:
    """An incarnation of a worker started; sizes are in the units of a job's step."""

    at: float
    worker: str
    cpu: int
    memory: int
    data_centre: str = ""
    service: str = ""


@dataclass(frozen=True, slots=True)
class WorkerDraining:
    """The store accepted a worker's report that it drains."""

    at: float
    worker: str


@dataclass(frozen=True, slots=True)
class EvacuationsChanged:
    """The store accepted a new set of evacuated data centres."""

    at: float
    data_centres: frozenset[str]


@dataclass(frozen=True, slots=True)
class WorkerGone:
    """An incarnation of a worker ended, with all of its runs."""

    at: float
    worker: str


@dataclass(frozen=True, slots=True)
class RunStarted:
    """A worker began a run."""

    at: float
    worker: str
    task: TaskKey
    attempt: int


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A run ended on its worker."""

    at: float
    worker: str
    task: TaskKey
    attempt: int
    end_kind: str


@dataclass(frozen=True, slots=True)
class EndAcknowledged:
    """A worker received the acknowledgement of a run's end."""

    at: float
    worker: str
    task: TaskKey
    attempt: int
    end_kind: str


@dataclass(frozen=True, slots=True)
class SignalSent:
    """The soak sent a signal to a process."""

    at: float
    process: str
    signal: Signal


@dataclass(frozen=True, slots=True)
class ProcessExited:
    """A process exited; ``code`` is the exit code, or minus the signal that ended it."""

    at: float
    process: str
    code: int


@dataclass(frozen=True, slots=True)
class DisturbanceSeen:
    """
    A disturbance was active at this time.

    With ``orders`` it only delays orders to workers; otherwise it affects the store, a host or this
    machine.
    """

    at: float
    orders: bool = False


@dataclass(frozen=True, slots=True)
class WorkerTroubleSeen:
    """Some workers misbehaved at this time."""

    at: float


@dataclass(frozen=True, slots=True)
class ConfigurationWritten:
    """The store accepted a configuration with these queues."""

    at: float
    queues: frozenset[str]


Event = (
    JobOffered
    | CancelRequested
    | AnswerReceived
    | AnswerLost
    | WorkerJoined
    | WorkerDraining
    | EvacuationsChanged
    | WorkerGone
    | RunStarted
    | RunEnded
    | EndAcknowledged
    | SignalSent
    | ProcessExited
    | DisturbanceSeen
    | WorkerTroubleSeen
    | ConfigurationWritten
)
