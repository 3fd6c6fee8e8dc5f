"""
Faults
======

Faults that the soak injects into a deployment; times are in s, hosts and workers are numbers.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from tools.soak.events import Signal

__all__ = [
    "BusiestWorkerCut",
    "ConfigurationChanges",
    "DataCentreEvacuated",
    "Fault",
    "HistoryDropped",
    "LinkMode",
    "LinkTrouble",
    "Mood",
    "OwnerEnds",
    "OwnerPauses",
    "ProcessEnds",
    "ProcessPauses",
    "SettingsChange",
    "StoreTrouble",
    "TimedFault",
    "WorkerCut",
    "WorkerEnds",
    "WorkerMood",
    "WorkerRestarts",
    "WritesUnanswered",
]


class LinkMode(enum.Enum):
    """How a link between a host and the store or a worker treats bytes."""

    OPEN = "open"
    DELAYED = "delayed"
    RESET = "reset"  # open and new connections
    REFUSED = "refused"  # open connections are reset, nobody listens for new ones
    CUT_THERE = "cut there"  # requests are held, answers pass
    CUT_BACK = "cut back"  # requests pass, answers are held
    SILENT = "silent"  # both are held


class Mood(enum.Enum):
    """How a worker misbehaves."""

    LATE = "late"  # orders get no answer and are carried out ``value`` s later
    REFUSES = "refuses"  # starts are answered with the status ``value``; 409 means no room
    FAILS = "fails"  # every task that it starts fails
    HANGS = "hangs"  # nothing is answered or carried out


@dataclass(frozen=True, slots=True)
class ProcessEnds:
    """End a process by SIGTERM or SIGKILL and restart the host ``away`` s later."""

    host: int
    signal: Signal
    away: float


@dataclass(frozen=True, slots=True)
class ProcessPauses:
    """Suspend a process with SIGSTOP and resume it with SIGCONT."""

    host: int
    lasts: float


@dataclass(frozen=True, slots=True)
class OwnerEnds:
    """End the process that owns a cell by SIGKILL, and restart its host ``away`` s later."""

    cell: int
    away: float


@dataclass(frozen=True, slots=True)
class OwnerPauses:
    """Suspend the process that owns a cell with SIGSTOP and resume it with SIGCONT."""

    cell: int
    lasts: float


@dataclass(frozen=True, slots=True)
class SettingsChange:
    """Rewrite a host's settings file and send SIGHUP."""

    host: int


@dataclass(frozen=True, slots=True)
class ConfigurationChanges:
    """Write a configuration with ``extra`` queues that no caller submits to."""

    extra: int


@dataclass(frozen=True, slots=True)
class DataCentreEvacuated:
    """Evacuate a data centre and end the evacuation ``lasts`` s later."""

    data_centre: str
    lasts: float


@dataclass(frozen=True, slots=True)
class StoreTrouble:
    """Make the store refuse some hosts with a status, answer them slowly, or not at all."""

    hosts: tuple[int, ...]
    lasts: float
    status: int = 0
    takes: float = 0.0
    silent: bool = False


@dataclass(frozen=True, slots=True)
class WritesUnanswered:
    """Commit transactions of a host without an answer, at once or ``late_by`` s later."""

    host: int
    writes: int
    late_by: float = 0.0


@dataclass(frozen=True, slots=True)
class HistoryDropped:
    """Make the store drop its history of changes."""


@dataclass(frozen=True, slots=True)
class LinkTrouble:
    """Disturb links of some hosts to some workers, or to the store if ``workers`` is None."""

    hosts: tuple[int, ...]
    workers: tuple[int, ...] | None
    mode: LinkMode
    lasts: float
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkerEnds:
    """
    End an incarnation of a worker, drained for ``drains`` s or abruptly if that is 0.

    The next incarnation starts ``away`` s later.
    """

    worker: int
    drains: float
    away: float


@dataclass(frozen=True, slots=True)
class WorkerRestarts:
    """End a worker's process abruptly and start the next ``away`` s later, under the same id."""

    worker: int
    away: float


@dataclass(frozen=True, slots=True)
class WorkerCut:
    """
    Cut a worker off from the store and all hosts; what it runs goes on under its leases.

    Its links to hosts have each of the ``modes`` for an equal part of ``lasts`` s; with none, only
    its reports are cut.  The last report arrived ``report_age`` s before.
    """

    worker: int
    modes: tuple[LinkMode, ...]
    lasts: float
    report_age: float


@dataclass(frozen=True, slots=True)
class BusiestWorkerCut:
    """Cut off the worker that runs the most tasks that last, as WorkerCut does."""

    modes: tuple[LinkMode, ...]
    lasts: float
    report_age: float


@dataclass(frozen=True, slots=True)
class WorkerMood:
    """Make a worker misbehave for ``lasts`` s."""

    worker: int
    lasts: float
    mood: Mood
    value: float = 0.0


Fault = (
    ProcessEnds
    | ProcessPauses
    | OwnerEnds
    | OwnerPauses
    | SettingsChange
    | ConfigurationChanges
    | DataCentreEvacuated
    | StoreTrouble
    | WritesUnanswered
    | HistoryDropped
    | LinkTrouble
    | WorkerEnds
    | WorkerRestarts
    | WorkerCut
    | BusiestWorkerCut
    | WorkerMood
)


@dataclass(frozen=True, slots=True)
class TimedFault:
    """A fault and the time at which it begins, in s since callers started."""

    at: float
    fault: Fault
