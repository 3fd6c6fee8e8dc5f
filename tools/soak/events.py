"""
Events
======

What callers and workers see, and what the soak does, each with its time in s of the steady clock.
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
]


class RequestKind(enum.Enum):
    """Name what a caller asks for."""

    SUBMIT = "submit"
    STATE = "state"
    COUNT = "count"
    CANCEL = "cancel"


class Loss(enum.Enum):
    """Say what became of an answer that did not come whole."""

    LATE = "late"  # the caller gave up
    CLOSED = "closed"  # the other side ended the connection before any of it
    CUT = "cut"  # the other side ended the connection in its middle
    MALFORMED = "malformed"
    UNREAD = "unread"  # an earlier answer on the connection said that it is the last


class Signal(enum.Enum):
    """Name what is done to a process."""

    TERMINATE = "SIGTERM"
    KILL = "SIGKILL"
    STOP = "SIGSTOP"
    CONTINUE = "SIGCONT"
    HANG_UP = "SIGHUP"


@dataclass(frozen=True, slots=True)
class JobOffered:
    """Tell of a job that callers are about to hand in."""

    at: float
    job: JobPlan


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """Tell that a caller is about to cancel a job."""

    at: float
    job: str


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """
    Tell of a whole answer; ``subject`` is the id of a job, or the name of a queue.

    ``value`` is the state or the count that was told, None where the body holds neither.
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
    """Tell of a request without a whole answer."""

    at: float
    sent: float
    process: str
    kind: RequestKind
    subject: str
    loss: Loss


@dataclass(frozen=True, slots=True)
class WorkerJoined:
    """Tell of a life of a worker; sizes as in a job's step."""

    at: float
    worker: str
    cpu: int
    memory: int
    data_centre: str = ""


@dataclass(frozen=True, slots=True)
class WorkerDraining:
    """Tell that the store accepted a worker's report that it drains."""

    at: float
    worker: str


@dataclass(frozen=True, slots=True)
class EvacuationsChanged:
    """Tell which data centres operators have evacuated, as the store accepted it."""

    at: float
    data_centres: frozenset[str]


@dataclass(frozen=True, slots=True)
class WorkerGone:
    """Tell that a life of a worker is over, with all that it ran."""

    at: float
    worker: str


@dataclass(frozen=True, slots=True)
class RunStarted:
    """Tell that a worker began a run."""

    at: float
    worker: str
    task: TaskKey
    attempt: int


@dataclass(frozen=True, slots=True)
class RunEnded:
    """Tell that a run ended on its worker."""

    at: float
    worker: str
    task: TaskKey
    attempt: int
    end_kind: str


@dataclass(frozen=True, slots=True)
class EndAcknowledged:
    """Tell that a worker was told to forget an end."""

    at: float
    worker: str
    task: TaskKey
    attempt: int
    end_kind: str


@dataclass(frozen=True, slots=True)
class SignalSent:
    """Tell that the soak sent a signal to a process."""

    at: float
    process: str
    signal: Signal


@dataclass(frozen=True, slots=True)
class ProcessExited:
    """Tell that a process has ended; ``code`` is minus the signal that ended it."""

    at: float
    process: str
    code: int


@dataclass(frozen=True, slots=True)
class DisturbanceSeen:
    """
    Tell of trouble at this moment.

    ``orders`` says that it only delays orders to workers; else the store, a host or the machine
    itself is in trouble.
    """

    at: float
    orders: bool = False


@dataclass(frozen=True, slots=True)
class ConfigurationWritten:
    """Tell which queues are there, as the store accepted them."""

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
    | ConfigurationWritten
)
