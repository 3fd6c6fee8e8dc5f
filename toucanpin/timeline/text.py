"""
Text
====

A time line as plain text, one line for each event.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from toucanpin.timeline.event import Cause, Event

__all__ = ["describe", "render_text"]


def render_text(events: Iterable[Event]) -> Iterator[str]:
    """Yield one line for each event; times are in seconds after the first event's wall clock."""
    origin: float | None = None
    for event in events:
        origin = event.wall if origin is None else origin
        yield f"{event.wall - origin:10.3f}  {event.process:<18}  {describe(event)}"


def describe(event: Event) -> str:
    """Write what happened, to what, and what it followed."""
    ids = (f"{key}={_escape(value)}" for key, value in sorted(event.ids.items()))
    causes = (f"<- {_format_cause(cause)}" for cause in event.causes)
    detail = (_escape(event.detail),) if event.detail else ()
    return "  ".join((event.kind, *ids, *detail, *causes))


def _format_cause(cause: Cause) -> str:
    """Write where a cause is found."""
    incarnation = f"@{cause.incarnation}" if cause.incarnation else ""
    return f"{cause.process}{incarnation}#{cause.sequence}"


def _escape(text: str) -> str:
    """Escape what could be taken for another line or a terminal's control sequence."""
    # Details hold words of callers; a newline in one could forge an event for whoever reads on.
    return "".join(char if char.isprintable() else repr(char)[1:-1] for char in text)
