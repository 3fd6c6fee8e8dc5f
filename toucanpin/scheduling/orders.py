"""
Orders and answers
==================

Messages between the owner of a cell and its workers.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from toucanpin.scheduling.job import TaskKey

__all__ = [
    "EndedRun",
    "PaceOrder",
    "PollAnswer",
    "PollOrder",
    "RefusalReason",
    "RunEnd",
    "RunningTask",
    "StartAnswer",
    "StartOrder",
    "StopOrder",
    "WorkerEntry",
]


class RunEnd(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "broken"  # another member of its gang ended
    GANG_INCOMPLETE = "alone"  # other members of its gang did not start in time


class RefusalReason(enum.Enum):
    """Why a worker refused an order."""

    FENCED = "fenced"
    OLD_ATTEMPT = "old attempt"
    LATE = "late"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """
    A worker's entry in the table.

    Sizes have the units of a step's.  ``cold_time_left`` is the time in s for which the worker is
    still cold, ``time_left`` that until it shuts down.  ``born`` is the number of its incarnation,
    which grows with each restart under its id; 0 if it isn't known.
    """

    id: str
    service: str
    address: str
    data_centre: str
    ready: bool
    cpu: int
    memory: int
    accelerators: int
    labels: tuple[str, ...] = ()
    cold_time_left: float = 0.0
    machine: str = ""
    time_left: float = 0.0
    born: int = 0


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A running task; ``measure`` is its tail latency in ms or the CPU that it uses."""

    task: TaskKey
    attempt: int
    checkpoint: str
    percent: int
    measure: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """End of a run, which its worker lists until it is acknowledged."""

    sequence: int
    task: TaskKey
    attempt: int
    end: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class PollAnswer:
    """A worker's answer to a poll: its clock in ms, its running tasks and ended runs."""

    clock: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    born: int = 0  # of the incarnation that answers, 0 if it isn't known


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """A worker's answer to a start; ``refused`` is None if the task was started."""

    clock: int
    refused: RefusalReason | None
    born: int = 0  # of the incarnation that answers, 0 if it isn't known


@dataclass(frozen=True, slots=True)
class PollOrder:
    """Renew a lease until ``deadline`` on the worker's clock (0: no renewal); wait for an end."""

    acknowledged: int
    deadline: int
    wait: float


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start one attempt of a task on a worker."""

    worker: str
    task: TaskKey
    attempt: int


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop one attempt of a task on a worker, even if its start arrives later."""

    worker: str
    task: TaskKey
    attempt: int
    reason: str


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Limit a task's speed to a percentage."""

    worker: str
    task: TaskKey
    attempt: int
    percent: int
