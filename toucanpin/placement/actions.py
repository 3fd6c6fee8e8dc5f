"""
Actions of decisions
====================

Typed actions through which placement decisions do their input and output.  A decision is a
generator that yields one action at a time and is sent its `Answer`.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from typing import Any, TypeVar

from toucanpin.placement.records import ControllerId
from toucanpin.platform.ports import ListedHost, Poll, Transaction

__all__ = [
    "Action",
    "Answer",
    "AskStandstill",
    "Commit",
    "Decision",
    "PollAll",
    "Read",
    "RecordEvent",
    "Scan",
    "WorkerPoll",
]

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit a transaction; answered with ``Result[Committed, CommitFault]``."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class Read:
    """Read one row; answered with ``Result[Row | None, StoreFault]``."""

    key: str


@dataclass(frozen=True, slots=True)
class Scan:
    """Read the rows below a prefix; answered with ``Result[tuple[Row, ...], StoreFault]``."""

    prefix: str
    after: int = 0


@dataclass(frozen=True, slots=True)
class WorkerPoll:
    """Poll addressed to one worker."""

    host: ListedHost
    poll: Poll


@dataclass(frozen=True, slots=True)
class PollAll:
    """Poll many workers at once; answered with ``Result[Report, WorkerFault]`` for each."""

    polls: tuple[WorkerPoll, ...]


@dataclass(frozen=True, slots=True)
class AskStandstill:
    """Ask peers not to fence ``holder``; answered with the frozenset of those that promised."""

    holder: ControllerId
    peers: tuple[ControllerId, ...]


@dataclass(frozen=True, slots=True)
class RecordEvent:
    """Record one event on the timeline; answered with None."""

    kind: str
    ids: dict[str, str]
    detail: str = ""


Action = Commit | Read | Scan | PollAll | AskStandstill | RecordEvent


@dataclass(frozen=True, slots=True)
class Answer:
    """Outcome of an action and the monotonic time (s) at which it was known."""

    now: float
    value: Any


Decision = Generator[Action, Answer, T]
