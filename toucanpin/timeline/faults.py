"""
Faults of a time line
=====================

What is wrong with the events that were gathered.  A fault is reported beside the time line and
never ends it: an incident leaves holes, and its time line is needed most then.
"""

from __future__ import annotations

from dataclasses import dataclass

from toucanpin.timeline.event import Cause

__all__ = [
    "AmbiguousCause",
    "Cycle",
    "ConflictingCopies",
    "EventId",
    "Fault",
    "Gap",
    "MissingCause",
    "Unreadable",
    "explain_fault",
]


@dataclass(frozen=True, slots=True, order=True)
class EventId:
    """Name one event among those of every process."""

    process: str
    incarnation: str
    sequence: int

    def __str__(self) -> str:
        """Write the name as people read it."""
        return f"{self.process}@{self.incarnation}#{self.sequence}"


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Report a line that holds no event."""

    source: str
    line: int
    detail: str


@dataclass(frozen=True, slots=True)
class Gap:
    """Report events of one incarnation that are missing, ``first`` to ``last`` inclusive."""

    process: str
    incarnation: str
    first: int
    last: int


@dataclass(frozen=True, slots=True)
class MissingCause:
    """Report an event whose cause was not gathered."""

    event: EventId
    cause: Cause


@dataclass(frozen=True, slots=True)
class AmbiguousCause:
    """Report a cause that fits several incarnations and the one that was taken."""

    event: EventId
    cause: Cause
    chosen: str


@dataclass(frozen=True, slots=True)
class Cycle:
    """Report an event that was let through although its causes wait for it."""

    event: EventId


@dataclass(frozen=True, slots=True)
class ConflictingCopies:
    """Report one event of which two sources tell different things."""

    event: EventId


Fault = Unreadable | Gap | MissingCause | AmbiguousCause | Cycle | ConflictingCopies


def explain_fault(fault: Fault) -> str:
    """Write a fault as one line."""
    match fault:
        case Unreadable(source, line, detail):
            return f"{source}:{line}: unreadable event: {detail}"
        case Gap(process, incarnation, first, last):
            return f"{process}@{incarnation}: events {first} to {last} are missing"
        case MissingCause(event, cause):
            return f"{event}: its cause {cause.process}#{cause.sequence} is missing"
        case AmbiguousCause(event, cause, chosen):
            location = f"{cause.process}#{cause.sequence}"
            return f"{event}: its cause {location} fits several incarnations, took {chosen}"
        case Cycle(event):
            return f"{event}: waits for events that wait for it"
        case ConflictingCopies(event):
            return f"{event}: two sources differ, the first was kept"
