"""
Recorder
========

The bounded buffer of one process's events.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from toucanpin.timeline.event import Cause, Event

__all__ = ["DEFAULT_CAPACITY", "Excerpt", "Recorder"]

DEFAULT_CAPACITY = 20_000


@dataclass(frozen=True, slots=True)
class Excerpt:
    """Hold consecutive events and how many asked for before them were already dropped."""

    events: tuple[Event, ...]
    missed: int


class Recorder:
    """
    Keep the newest events of one incarnation; safe to use from any thread.

    Parameters
    ----------
    process, incarnation
        Name the life of the process that the events belong to.
    monotonic, wall
        Read the clocks, in seconds.
    capacity
        Bound the number of events kept; the oldest are dropped and counted.
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
        """Name the process."""
        return self._process

    @property
    def incarnation(self) -> str:
        """Name the life of the process."""
        return self._incarnation

    @property
    def last_sequence(self) -> int:
        """Return the sequence number of the newest event, 0 before the first."""
        with self._lock:
            return self._last_sequence

    @property
    def dropped(self) -> int:
        """Count the events that the buffer had no room to keep."""
        with self._lock:
            return self._last_sequence - len(self._events)

    def observe(self, cause: Cause) -> None:
        """Let the next event come after an event of another process, named by a message."""
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
        # The clocks are read under the lock: otherwise two threads could record a later reading
        # under a lower sequence number, and the process's own order would contradict its clock.
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
        """Return the events after a sequence number, the oldest ``limit`` of them if given."""
        with self._lock:
            first = self._last_sequence - len(self._events) + 1
            wanted = max(sequence, 0) + 1
            skipped = max(wanted - first, 0)
            stop = None if limit is None else skipped + limit
            events = tuple(islice(self._events, skipped, stop))
            return Excerpt(events, missed=max(first - wanted, 0))


def _is_newer(cause: Cause, known: Cause) -> bool:
    """Say whether a cause is news; of two lives of a process the one heard last counts."""
    return cause.incarnation != known.incarnation or cause.sequence > known.sequence
