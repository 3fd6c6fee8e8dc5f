"""
Events
======

Events of processes, with the events of other processes that caused them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Event", "Cause"]


@dataclass(frozen=True, slots=True)
class Cause:
    """
    Reference, by sequence number, to an earlier event of another process.

    Sequence numbers restart in each incarnation; an empty ``incarnation`` means unknown.
    """

    process: str
    sequence: int
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class Event:
    """
    Event of one process; ``monotonic`` and ``wall`` are clock readings in seconds.

    ``ids`` identify what the event concerns; their keys are ``request``, ``job``, ``host``,
    ``bundle``, ``cell`` or ``task``.
    """

    process: str
    incarnation: str
    sequence: int
    monotonic: float
    wall: float
    kind: str
    ids: dict[str, str] = field(default_factory=dict)
    detail: str = ""
    causes: tuple[Cause, ...] = ()
