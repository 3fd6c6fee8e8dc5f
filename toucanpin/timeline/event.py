"""
Events
======

One thing that happened in one process, ordered against other processes by sequence numbers.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Event", "Cause"]


@dataclass(frozen=True, slots=True)
class Cause:
    """
    Point at the event of another process that came before, by its sequence number.

    Sequence numbers start anew in each incarnation; an empty ``incarnation`` leaves it open.
    """

    process: str
    sequence: int
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class Event:
    """
    Record one event; ``monotonic`` and ``wall`` are in seconds, ``ids`` name what it concerns.

    Keys of ``ids`` are ``request``, ``job``, ``host``, ``bundle``, ``cell`` or ``task``.
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
