"""
Faults of a timeline
====================

Defects of the collected events.  A fault is reported beside the timeline and doesn't end it: after
an incident events are often missing, and that is when the timeline is needed most.
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
    """Identifier of an event, unique among all processes."""

    process: str
    incarnation: str
    sequence: int

    def __str__(self) -> str:
        """Return the identifier as ``process@incarnation#sequence``."""
        return f"{self.process}@{self.incarnation}#{self.sequence}"


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Line that can't be decoded as an event."""

    source: str
    line: int
    detail: str


@dataclass(frozen=True, slots=True)
class Gap:
    """Missing events of one incarnation, ``first`` to ``last`` inclusive."""

    process: str
    incarnation: str
    first: int
    last: int


@dataclass(frozen=True, slots=True)
class MissingCause:
    """Event whose cause is not among the collected events."""

    event: EventId
    cause: Cause


@dataclass(frozen=True, slots=True)
class AmbiguousCause:
    """Cause that matches several incarnations, and the incarnation that was assumed."""

    event: EventId
    cause: Cause
    chosen: str


@dataclass(frozen=True, slots=True)
class Cycle:
    """Event that was emitted before its causes because they depend on it."""

    event: EventId


@dataclass(frozen=True, slots=True)
class ConflictingCopies:
    """Event of which two sources hold different copies."""

    event: EventId


Fault = Unreadable | Gap | MissingCause | AmbiguousCause | Cycle | ConflictingCopies


def explain_fault(fault: Fault) -> str:
    """Return a one-line description of a fault."""
    match fault:
        case Unreadable(source, line, detail):
            return f"{source}:{line}: unreadable event: {detail}"
        case Gap(process, incarnation, first, last):
            return f"{process}@{incarnation}: events {first} to {last} are missing"
        case MissingCause(event, cause):
            return f"{event}: its cause {cause.process}#{cause.sequence} is missing"
        case AmbiguousCause(event, cause, chosen):
            location = f"{cause.process}#{cause.sequence}"
            return f"{event}: its cause {location} matches several incarnations, assumed {chosen}"
        case Cycle(event):
            return f"{event}: is part of a cycle of causes"
        case ConflictingCopies(event):
            return f"{event}: sources hold different copies, kept one of them"
