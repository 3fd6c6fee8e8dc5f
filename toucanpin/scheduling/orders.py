"""
Orders and reports
==================

What the owner of a cell tells its workers, and what they answer.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from toucanpin.scheduling.job import TaskKey

__all__ = [
    "RunEnd",
    "EndedRun",
    "PollAnswer",
    "PollOrder",
    "PaceOrder",
    "RefusalReason",
    "RunningTask",
    "StartOrder",
    "StartAnswer",
    "StopOrder",
    "WorkerEntry",
]


class RunEnd(enum.Enum):
    """Say how a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RefusalReason(enum.Enum):
    """Say why a worker didn't do what it was told."""

    FENCED = "fenced"
    OLD_ATTEMPT = "old attempt"
    LATE = "late"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """Hold what a worker says of itself; sizes as in a step, ``cold`` and ``left`` in seconds."""

    id: str
    service: str
    address: str
    data_centre: str
    ready: bool
    cpu: int
    memory: int
    accelerators: int
    labels: tuple[str, ...] = ()
    cold: float = 0.0
    machine: str = ""
    left: float = 0.0


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Hold one running task; ``measure`` is its tail latency in ms or the cpu that it uses."""

    task: TaskKey
    attempt: int
    checkpoint: str
    percent: int
    measure: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """Hold one end that the worker keeps until it is acknowledged."""

    sequence: int
    task: TaskKey
    attempt: int
    end: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class PollAnswer:
    """Hold a worker's answer: its clock in ms, what runs and what has ended."""

    clock: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Hold a worker's answer to a start; ``refused`` is None if the run is there."""

    clock: int
    refused: RefusalReason | None


@dataclass(frozen=True, slots=True)
class PollOrder:
    """Renew a lease until ``deadline`` on the worker's clock (0: only look); wait for an end."""

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
    """Stop one attempt of a task on a worker, also one that may only start later."""

    worker: str
    task: TaskKey
    attempt: int
    reason: str


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Let a task work at a share of its speed, in percent."""

    worker: str
    task: TaskKey
    attempt: int
    percent: int
