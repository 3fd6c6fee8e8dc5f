"""
Event filters
=============

Select the events that concern one request, job, host, bundle or task.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from toucanpin.timeline.event import Event

__all__ = ["Filter", "select"]


@dataclass(frozen=True, slots=True)
class Filter:
    """Criteria that an event must meet; an empty field matches every event."""

    request: str = ""
    job: str = ""
    host: str = ""
    bundle: str = ""
    task: str = ""
    kind: str = ""

    def accepts(self, event: Event) -> bool:
        """Return whether an event meets every criterion."""
        exact = (
            ("request", self.request),
            ("job", self.job),
            ("bundle", self.bundle),
            ("task", self.task),
        )
        return (
            all(event.ids.get(key) == wanted for key, wanted in exact if wanted)
            and (not self.host or _concerns_host(event, self.host))
            and (not self.kind or _has_kind(event, self.kind))
        )


def select(events: Iterable[Event], wanted: Filter) -> Iterator[Event]:
    """Yield the events that a filter accepts."""
    return (event for event in events if wanted.accepts(event))


def _concerns_host(event: Event, host: str) -> bool:
    """Return whether an event happened on a host or concerns it."""
    return event.ids.get("host") == host or event.process.split("/", 1)[0] == host


def _has_kind(event: Event, kind: str) -> bool:
    """Return whether an event is of a kind or family, as ``task.placed`` is of ``task``."""
    return event.kind == kind or event.kind.startswith(f"{kind}.")
