"""
Event codec
===========

Encode and decode events as JSON lines.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from toucanpin.decoding import decode_json
from toucanpin.exception import MalformedError
from toucanpin.timeline.event import Event
from toucanpin.timeline.faults import Unreadable

__all__ = ["decode_lines", "encode_lines"]

_ENCODER = msgspec.json.Encoder()


def encode_lines(events: Iterable[Event]) -> Iterator[bytes]:
    """Yield one JSON line for each event, newline included."""
    for event in events:
        yield _ENCODER.encode(event) + b"\n"


def decode_lines(source: str, body: bytes) -> Iterator[Event | Unreadable]:
    """
    Yield the event of each line, or an `Unreadable` for a line that can't be decoded.

    A process that crashes while sending leaves a truncated last line; the other lines are kept.
    """
    for number, line in enumerate(body.split(b"\n"), start=1):
        if not line.strip():
            continue
        try:
            yield decode_json(line, Event)
        except MalformedError as error:
            yield Unreadable(source, number, str(error))
