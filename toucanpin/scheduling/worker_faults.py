"""
Faults of workers
=================

Runs that were lost with their workers, and workers that are slow.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.orders import RunEnd
from toucanpin.scheduling.worker import Phase, Run, Silence, Worker

__all__ = ["Loss", "LossCause", "LostWorker", "Reappearance", "SlowWorker"]


class LossCause(enum.Enum):
    """
    Cause of a run's end that its worker did not report.

    The names of the members are values of a metric's label.
    """

    REPLACED = "another life answers at its worker's address"
    LAPSED = "its worker's lease has ended"
    GONE = "its worker seems to be gone, and its lease has ended"


@dataclass(frozen=True, slots=True)
class Loss:
    """
    Run that was lost with its worker.

    ``age`` is the time in s since its start was sent; ``crashes`` counts the workers that were lost
    while they ran its task.  ``lease_left`` is the time in s until its worker's lease has certainly
    ended, negative if it has; ``silent_for`` and ``unlisted_for`` tell in s for how long the worker
    hasn't answered and has had no entry, 0 if it has.  ``released_at`` is on the steady clock.
    """

    task: TaskKey
    attempt: int
    worker: str
    phase: Phase
    cause: LossCause
    age: float
    crashes: int
    lease_left: float
    silence: Silence | None
    silent_for: float
    unlisted_for: float
    released_at: float


@dataclass(frozen=True, slots=True)
class Reappearance:
    """
    Released run that its worker lists again, asked for it ``after`` s later.

    ``end`` is None if it still runs; an end may have come before the release.
    """

    loss: Loss
    end: RunEnd | None
    after: float


@dataclass(frozen=True, slots=True)
class LostWorker:
    """
    Incarnation of a worker that was lost, with the tasks that it ran.

    ``at`` is when it last answered, on the local steady clock; ``suspected`` tells that one of its
    tasks had been lost with another worker before.
    """

    worker: str
    at: float
    tasks: frozenset[TaskKey]
    suspected: bool


@dataclass(frozen=True, slots=True)
class SlowWorker:
    """A worker that runs all tasks ``factor`` times slower than usual; ``runs`` show it."""

    worker: Worker
    factor: float
    runs: tuple[Run, ...]
