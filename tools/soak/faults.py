"""
Vocabulary of faults
====================

What the soak does to a deployment from outside; times are in s, hosts and workers are numbers.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from tools.soak.events import Signal

__all__ = [
    "ConfigurationChanges",
    "DataCentreEvacuated",
    "Fault",
    "HistoryDropped",
    "LinkMode",
    "LinkTrouble",
    "Mood",
    "ProcessEnds",
    "ProcessPauses",
    "SettingsChange",
    "StoreTrouble",
    "TimedFault",
    "WorkerEnds",
    "WorkerMood",
    "WritesUnanswered",
]


class LinkMode(enum.Enum):
    """Say what a connection between a host and the store or a worker does to bytes."""

    OPEN = "open"
    DELAYED = "delayed"
    RESET = "reset"
    CUT_THERE = "cut there"  # requests are held back, answers pass
    CUT_BACK = "cut back"  # requests pass, answers are held back
    SILENT = "silent"  # both are held back


class Mood(enum.Enum):
    """Say how a worker misbehaves."""

    LATE = "late"  # orders aren't answered, and are carried out ``value`` s later
    REFUSES = "refuses"  # starts are answered with the status ``value``; 409 is for want of room
    FAILS = "fails"  # every task that it starts fails


@dataclass(frozen=True, slots=True)
class ProcessEnds:
    """End a process by SIGTERM or SIGKILL, and start the host anew after a while."""

    host: int
    signal: Signal
    away: float


@dataclass(frozen=True, slots=True)
class ProcessPauses:
    """Send SIGSTOP, and SIGCONT later."""

    host: int
    lasts: float


@dataclass(frozen=True, slots=True)
class SettingsChange:
    """Write a host's settings file anew and send SIGHUP."""

    host: int


@dataclass(frozen=True, slots=True)
class ConfigurationChanges:
    """Write a configuration with so many queues beside those that are used."""

    extra: int


@dataclass(frozen=True, slots=True)
class DataCentreEvacuated:
    """Have operators evacuate a data centre, and take it back after a while."""

    data_centre: str
    lasts: float


@dataclass(frozen=True, slots=True)
class StoreTrouble:
    """Let the store refuse some hosts with a status, take longer for them, or stay silent."""

    hosts: tuple[int, ...]
    lasts: float
    status: int = 0
    takes: float = 0.0
    silent: bool = False


@dataclass(frozen=True, slots=True)
class WritesUnanswered:
    """Let transactions of a host take effect without an answer, at once or ``late_by`` later."""

    host: int
    writes: int
    late_by: float = 0.0


@dataclass(frozen=True, slots=True)
class HistoryDropped:
    """Let the store drop its history."""


@dataclass(frozen=True, slots=True)
class LinkTrouble:
    """Trouble connections of some hosts to some workers, or to the store if these are None."""

    hosts: tuple[int, ...]
    workers: tuple[int, ...] | None
    mode: LinkMode
    lasts: float
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkerEnds:
    """
    End a worker's life, after it has drained or without a word; the next one comes after a while.
    """

    worker: int
    drains: float
    away: float


@dataclass(frozen=True, slots=True)
class WorkerMood:
    """Let a worker misbehave for a while."""

    worker: int
    lasts: float
    mood: Mood
    value: float = 0.0


Fault = (
    ProcessEnds
    | ProcessPauses
    | SettingsChange
    | ConfigurationChanges
    | DataCentreEvacuated
    | StoreTrouble
    | WritesUnanswered
    | HistoryDropped
    | LinkTrouble
    | WorkerEnds
    | WorkerMood
)


@dataclass(frozen=True, slots=True)
class TimedFault:
    """Hold a fault and the time at which it begins, in s since callers came."""

    at: float
    fault: Fault
