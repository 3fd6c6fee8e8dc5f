"""
Plain-text timeline
===================

Render a timeline as text, one line for each event.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from toucanpin.timeline.event import Cause, Event

__all__ = ["describe", "render_text"]


def render_text(events: Iterable[Event]) -> Iterator[str]:
    """Yield one line for each event, with its wall-clock time in seconds since the first event."""
    origin: float | None = None
    for event in events:
        origin = event.wall if origin is None else origin
        yield f"{event.wall - origin:10.3f}  {event.process:<18}  {describe(event)}"


def describe(event: Event) -> str:
    """Return the kind of an event, its ids, its detail and its causes as text."""
    ids = (f"{key}={_escape(value)}" for key, value in sorted(event.ids.items()))
    causes = (f"<- {_format_cause(cause)}" for cause in event.causes)
    detail = (_escape(event.detail),) if event.detail else ()
    return "  ".join((event.kind, *ids, *detail, *causes))


def _format_cause(cause: Cause) -> str:
    """Return a cause as ``process@incarnation#sequence``."""
    incarnation = f"@{cause.incarnation}" if cause.incarnation else ""
    return f"{cause.process}{incarnation}#{cause.sequence}"


def _escape(text: str) -> str:
    """Escape line breaks, terminal control sequences and other unprintable characters."""
    # Details contain text of callers, in which a line break could forge an event.
    return "".join(char if char.isprintable() else repr(char)[1:-1] for char in text)
