"""
Event recorder
==============

A bounded in-memory buffer of the events of one process.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from toucanpin.timeline.event import Cause, Event

__all__ = ["DEFAULT_CAPACITY", "Excerpt", "Recorder"]

DEFAULT_CAPACITY = 20_000  # events


@dataclass(frozen=True, slots=True)
class Excerpt:
    """Consecutive events, and how many requested ones before them had been dropped."""

    events: tuple[Event, ...]
    missed: int


class Recorder:
    """
    Thread-safe buffer of the newest events of one incarnation of a process.

    Parameters
    ----------
    process, incarnation
        Process, and its incarnation, that the events belong to.
    monotonic, wall
        Clocks, in seconds.
    capacity
        Maximum number of events; when it is exceeded, the oldest are dropped and counted.
    """

    __slots__ = (
        "_events",
        "_incarnation",
        "_last_sequence",
        "_lock",
        "_monotonic",
        "_observed",
        "_pending_causes",
        "_process",
        "_wall",
    )

    def __init__(
        self,
        process: str,
        incarnation: str,
        monotonic: Callable[[], float],
        wall: Callable[[], float],
        capacity: int = DEFAULT_CAPACITY,
    ) -> None:
        self._process = process
        self._incarnation = incarnation
        self._monotonic = monotonic
        self._wall = wall
        self._events: deque[Event] = deque(maxlen=capacity)
        self._last_sequence = 0
        self._observed: dict[str, Cause] = {}
        self._pending_causes: dict[str, Cause] = {}
        self._lock = threading.Lock()

    @property
    def process(self) -> str:
        """Return the name of the process."""
        return self._process

    @property
    def incarnation(self) -> str:
        """Return the incarnation of the process."""
        return self._incarnation

    @property
    def last_sequence(self) -> int:
        """Return the sequence number of the newest event, 0 before the first."""
        with self._lock:
            return self._last_sequence

    @property
    def dropped(self) -> int:
        """Return the number of events dropped because the buffer was full."""
        with self._lock:
            return self._last_sequence - len(self._events)

    def observe(self, cause: Cause) -> None:
        """Make an event of another process, referenced by a message, a cause of the next event."""
        if cause.sequence == 0 or cause.process == self._process:
            return
        with self._lock:
            known = self._observed.get(cause.process)
            if known is None or _is_newer(cause, known):
                self._observed[cause.process] = cause
                self._pending_causes[cause.process] = cause

    def record(
        self, kind: str, ids: dict[str, str], detail: str = "", causes: tuple[Cause, ...] = ()
    ) -> Event:
        """Append one event; the first of an incarnation has sequence number 1."""
        # The clocks are read under the lock: otherwise the later of two readings could get the
        # lower sequence number, and the sequence would contradict the clock.
        with self._lock:
            self._last_sequence += 1
            observed = tuple(self._pending_causes.values())
            self._pending_causes.clear()
            event = Event(
                process=self._process,
                incarnation=self._incarnation,
                sequence=self._last_sequence,
                monotonic=self._monotonic(),
                wall=self._wall(),
                kind=kind,
                ids=dict(ids),
                detail=detail,
                causes=(*causes, *observed),
            )
            self._events.append(event)
            return event

    def read_after(self, sequence: int, limit: int | None = None) -> Excerpt:
        """Return the events after a sequence number, at most the oldest ``limit`` of them."""
        with self._lock:
            first = self._last_sequence - len(self._events) + 1
            wanted = max(sequence, 0) + 1
            skipped = max(wanted - first, 0)
            stop = None if limit is None else skipped + limit
            events = tuple(islice(self._events, skipped, stop))
            return Excerpt(events, missed=max(first - wanted, 0))


def _is_newer(cause: Cause, known: Cause) -> bool:
    """Return whether a cause is new; another incarnation supersedes the known one."""
    return cause.incarnation != known.incarnation or cause.sequence > known.sequence
