"""
Callers of the demonstration
============================

Send requests through every entry host, behave as a careful caller where an answer fails, and
compare each answer with what its request must get.
"""

from __future__ import annotations

import hashlib
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from tools.demo.topology import SERVICE, Entry

__all__ = ["Question", "RequestCounts", "send_requests"]

CALLERS = 12
TRIES = 40
PAUSE_SECONDS = 0.25
ANSWER_SECONDS = 5.0
OK = 200


@dataclass(slots=True)
class RequestCounts:
    """Count what callers saw; ``uncertain`` requests got no answer and may have run."""

    asked: int = 0
    right: int = 0
    wrong: int = 0
    not_run: int = 0
    uncertain: int = 0
    repeated: int = 0


@dataclass(frozen=True, slots=True)
class Question:
    """Hold one request; every second one is not idempotent."""

    number: int

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return "POST" if self.number % 2 else "GET"

    @property
    def path(self) -> str:
        """Return the path below the service."""
        return f"/verify/feeder-{self.number}"

    @property
    def body(self) -> bytes:
        """Return the body."""
        return f"reel {self.number}".encode() if self.method == "POST" else b""

    @property
    def digest(self) -> str:
        """Return the digest that the right answer carries."""
        content = f"{self.method} {self.path}\n".encode() + self.body
        return hashlib.sha256(content).hexdigest()

    def is_answered_by(self, body: bytes) -> bool:
        """Say whether an answer belongs to this request and is whole."""
        try:
            fields = msgspec.json.decode(body)
            return bool(
                fields["request"] == f"request-{self.number}" and fields["digest"] == self.digest
            )
        except (msgspec.DecodeError, KeyError, TypeError):
            return False


def send_requests(
    entries: tuple[Entry, ...], count: int, after: Callable[[int], None]
) -> RequestCounts:
    """Send requests in parallel and call ``after`` with the number of those that ended."""
    counts = RequestCounts()
    lock = threading.Lock()
    pool = urllib3.PoolManager(retries=False, maxsize=CALLERS)

    def ask(number: int) -> None:
        """Ask one question and count its end."""
        outcome = _ask_until_known(pool, entries, Question(number), counts, lock)
        with lock:
            counts.asked += 1
            setattr(counts, outcome, getattr(counts, outcome) + 1)
            ended = counts.asked
        after(ended)

    with ThreadPoolExecutor(CALLERS) as threads:
        list(threads.map(ask, range(count)))
    return counts


def _ask_until_known(
    pool: urllib3.PoolManager,
    entries: tuple[Entry, ...],
    question: Question,
    counts: RequestCounts,
    lock: threading.Lock,
) -> str:
    """Ask, at the next entry host after each failure that allows it; return what to count."""
    for attempt in range(TRIES):
        entry = entries[(question.number + attempt) % len(entries)]
        outcome = _ask_once(pool, entry, question)
        if outcome in ("right", "wrong"):
            return outcome
        if outcome == "may-have-run" and question.method == "POST":
            # Asking again under the same id is safe, but could only learn that it is a duplicate.
            return "uncertain"
        with lock:
            counts.repeated += 1
        time.sleep(PAUSE_SECONDS)
    return "not_run"


def _ask_once(pool: urllib3.PoolManager, entry: Entry, question: Question) -> str:
    """Ask one entry host once."""
    url = f"{entry.callers}/v1/services/{SERVICE}{question.path}"
    headers = {"Toucanpin-Request-Id": f"request-{question.number}"}
    try:
        answer = pool.request(
            question.method,
            url,
            body=question.body or None,
            headers=headers,
            timeout=urllib3.Timeout(connect=1.0, read=ANSWER_SECONDS),
        )
    except (NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
        return "not-run"
    except HTTPError:
        return "may-have-run"
    if answer.status != OK:
        return answer.headers.get("Toucanpin-Verdict", "may-have-run")
    return "right" if question.is_answered_by(answer.data) else "wrong"
