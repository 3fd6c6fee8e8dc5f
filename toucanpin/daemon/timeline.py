"""
Timeline of the daemon
======================

Serve the events of this process over HTTP and stream them to the object store, where they outlive
the process.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import logbook
import msgspec

from toucanpin.daemon.interfaces import WsgiApp
from toucanpin.platform.ports import ObjectStore
from toucanpin.timeline.codec import encode_lines
from toucanpin.timeline.recorder import Recorder
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["TimelineStreamer", "make_object_name", "make_timeline_app"]

SEND_PERIOD_S = 2.0
MAX_BACKOFF_S = 60.0
MAX_BATCH_EVENTS = 2_000
_JITTER = 0.2
_MAX_SEQUENCE_DIGITS = 18

_log = logbook.Logger("timeline")


def make_timeline_app(recorder: Recorder) -> WsgiApp:
    """Return the application that serves ``GET /v1/timeline?after=N`` as JSON lines."""

    def answer(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        """Serve one request."""
        if environ.get("REQUEST_METHOD", "GET") not in ("GET", "HEAD"):
            return _refuse(start_response, "405 Method Not Allowed", "only GET is answered here")
        after = _parse_after(environ.get("QUERY_STRING", ""))
        if after is None:
            return _refuse(start_response, "400 Bad Request", "after is not a whole number >= 0")
        excerpt = recorder.read_after(after)
        headers = [
            ("Content-Type", "application/x-ndjson"),
            ("Toucanpin-Timeline-Process", recorder.process),
            ("Toucanpin-Timeline-Incarnation", recorder.incarnation),
            ("Toucanpin-Timeline-Missed", str(excerpt.missed)),
        ]
        start_response("200 OK", headers)
        return () if environ.get("REQUEST_METHOD") == "HEAD" else encode_lines(excerpt.events)

    return answer


def make_object_name(recorder: Recorder, first: int) -> str:
    """Return the name of the object that holds events from ``first`` on; names sort by number."""
    return f"timeline/{recorder.process}/{recorder.incarnation}/{first:012d}"


class TimelineStreamer:
    """
    Thread that sends new events to the object store every ``period`` seconds and when stopped.

    While the store is unavailable, events stay in the recorder's bounded buffer.  If it
    overflows, the oldest events are lost, which shows as a gap in the sequence numbers.
    """

    __slots__ = (
        "_failures",
        "_objects",
        "_period",
        "_random",
        "_recorder",
        "_sent",
        "_stopping",
        "_thread",
    )

    def __init__(
        self,
        recorder: Recorder,
        objects: ObjectStore,
        random_source: random.Random,
        period: float = SEND_PERIOD_S,
    ) -> None:
        self._recorder = recorder
        self._objects = objects
        self._random = random_source
        self._period = period
        self._sent = 0
        self._failures = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self.run, name="timeline", daemon=True)

    @property
    def sent(self) -> int:
        """Return the sequence number of the newest event that the store is known to hold."""
        return self._sent

    def start(self) -> None:
        """Start the thread that sends events."""
        self._thread.start()

    def stop(self, grace: float) -> None:
        """Send the remaining events within ``grace`` seconds."""
        self._stopping.set()
        self._thread.join(grace)

    def send(self) -> bool:
        """Send one batch; return whether the store is known to hold it, or none was due."""
        excerpt = self._recorder.read_after(self._sent, limit=MAX_BATCH_EVENTS)
        if not excerpt.events:
            return True
        # After a lost answer the next batch starts at the same event, so it overwrites the object
        # of that name with the same or more events: no event is lost or stored twice.
        name = make_object_name(self._recorder, excerpt.events[0].sequence)
        stored = self._objects.put(name, b"".join(encode_lines(excerpt.events)))
        if stored.is_error():
            self._failures += 1
            if self._failures == 1:
                _log.warning("timeline.store_unreachable {}", stored.error)
            return False
        if self._failures:
            _log.info("timeline.store_reached again after {} failures", self._failures)
        self._failures = 0
        self._sent = excerpt.events[-1].sequence
        return True

    def choose_delay(self) -> float:
        """Return the seconds until the next batch, with exponential back-off after failures."""
        delay = self._period * 2.0 ** min(self._failures, 10)
        jitter = 1.0 + _JITTER * (2.0 * self._random.random() - 1.0)
        return min(delay, MAX_BACKOFF_S) * jitter

    def run(self) -> None:
        """Send periodically until stopped, then send the rest until the store fails."""
        while not self._stopping.wait(self.choose_delay()):
            self.send()
        while self._sent < self._recorder.last_sequence and self.send():
            pass


def _parse_after(query: str) -> int | None:
    """Return the sequence number of a query, 0 if it has none, None if it is invalid."""
    text = parse_qs(query, keep_blank_values=True).get("after", ["0"])[-1]
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_SEQUENCE_DIGITS):
        return None
    return int(text)


def _refuse(start_response: Callable[..., Any], status: str, detail: str) -> Iterable[bytes]:
    """Respond with a refusal."""
    body = msgspec.json.encode(Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail))
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return (body,)
