"""
Callers of the demonstration
============================

Send requests through all entry hosts, repeat them only where that is safe, and compare each answer
with the expected one.
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

__all__ = ["CallerRequest", "RequestCounts", "send_requests"]

CALLERS = 12
MAX_TRIES = 40
RETRY_DELAY_S = 0.25
ANSWER_TIMEOUT_S = 5.0
OK = 200


@dataclass(slots=True)
class RequestCounts:
    """Counts of requests by outcome; ``uncertain`` ones got no answer and may have run."""

    asked: int = 0
    right: int = 0
    wrong: int = 0
    not_run: int = 0
    uncertain: int = 0
    repeated: int = 0


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A numbered request; every second one is not idempotent."""

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
        """Return the digest that the correct answer contains."""
        content = f"{self.method} {self.path}\n".encode() + self.body
        return hashlib.sha256(content).hexdigest()

    def is_answered_by(self, body: bytes) -> bool:
        """Return whether a body is the complete answer to this request."""
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
    """Send requests in parallel; call ``after`` with the number of ended ones after each."""
    counts = RequestCounts()
    lock = threading.Lock()
    pool = urllib3.PoolManager(retries=False, maxsize=CALLERS)

    def send_one(number: int) -> None:
        """Send one request and count its outcome."""
        outcome = _send_until_known(pool, entries, CallerRequest(number), counts, lock)
        with lock:
            counts.asked += 1
            setattr(counts, outcome, getattr(counts, outcome) + 1)
            ended = counts.asked
        after(ended)

    with ThreadPoolExecutor(CALLERS) as threads:
        list(threads.map(send_one, range(count)))
    return counts


def _send_until_known(
    pool: urllib3.PoolManager,
    entries: tuple[Entry, ...],
    request: CallerRequest,
    counts: RequestCounts,
    lock: threading.Lock,
) -> str:
    """Send a request, with retries at the next entry host where safe; return the counter's name."""
    for attempt in range(MAX_TRIES):
        entry = entries[(request.number + attempt) % len(entries)]
        outcome = _send_once(pool, entry, request)
        if outcome in ("right", "wrong"):
            return outcome
        if outcome == "may-have-run" and request.method == "POST":
            # A repeat under the same id is safe, but would only be answered as a duplicate.
            return "uncertain"
        with lock:
            counts.repeated += 1
        time.sleep(RETRY_DELAY_S)
    return "not_run"


def _send_once(pool: urllib3.PoolManager, entry: Entry, request: CallerRequest) -> str:
    """Send a request once, to one entry host."""
    url = f"{entry.callers}/v1/services/{SERVICE}{request.path}"
    headers = {"Toucanpin-Request-Id": f"request-{request.number}"}
    try:
        answer = pool.request(
            request.method,
            url,
            body=request.body or None,
            headers=headers,
            timeout=urllib3.Timeout(connect=1.0, read=ANSWER_TIMEOUT_S),
        )
    except (NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
        return "not-run"
    except HTTPError:
        return "may-have-run"
    if answer.status != OK:
        return answer.headers.get("Toucanpin-Verdict", "may-have-run")
    return "right" if request.is_answered_by(answer.data) else "wrong"
