"""
Messages of a request's path
============================

The typed actions that a path yields and the typed outcomes that it receives.  Instants are seconds
of the process's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

import msgspec

from toucanpin.requests.admission import Ticket
from toucanpin.verdict import Refusal

__all__ = [
    "Action",
    "Answer",
    "Await",
    "Broke",
    "CallerFailed",
    "Cancel",
    "Claim",
    "Claimed",
    "Delivered",
    "Ended",
    "Forward",
    "Hedge",
    "HeldClaim",
    "NotClaimed",
    "Outcome",
    "Path",
    "Pending",
    "Refused",
    "Relay",
    "Release",
    "Request",
    "Response",
    "TimedOut",
    "Wait",
    "Whole",
    "Woken",
]


class Request(msgspec.Struct, frozen=True):
    """Describe a caller's request as far as decisions need it; empty ``request_id`` if none."""

    service: str
    caller: str
    request_id: str
    idempotent: bool
    arrived: float
    deadline: float


class Response(msgspec.Struct, frozen=True):
    """
    Hold an instance's answer; ``rest`` streams what follows ``body``, None if ``body`` is whole.

    ``not_run`` is True if the instance itself says that it did not run the request, ``draining``
    that it takes nothing new.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    rest: Any = None
    not_run: bool = False
    draining: bool = False


class HeldClaim(msgspec.Struct, frozen=True):
    """Name the claim row that this request inserted and the version that it received."""

    key: str
    version: int


class Claim(msgspec.Struct, frozen=True):
    """Insert a claim row for the request id, by the deadline."""

    request_id: str
    deadline: float


class Release(msgspec.Struct, frozen=True):
    """Delete a claim row, as the request certainly did not run; needs no outcome but an instant."""

    claim: HeldClaim


class Wait(msgspec.Struct, frozen=True):
    """Wait until the ticket is granted or refused, at the longest until the instant given."""

    ticket: Ticket
    until: float


class Forward(msgspec.Struct, frozen=True):
    """
    Send the request to an instance; its whole head and first part must be there by the deadline.

    ``fresh_connection`` forbids connections that were idle for long.  The outcome is ``Pending`` if
    ``pending_at`` passes before an answer begins and the request can be sent a second time.
    """

    instance: str
    deadline: float
    fresh_connection: bool
    pending_at: float | None = None


class Hedge(msgspec.Struct, frozen=True):
    """Begin a second attempt beside the pending one; the outcome is the first to have ended."""

    instance: str
    deadline: float


class Await(msgspec.Struct, frozen=True):
    """Wait for the attempt that goes on; the outcome is its end."""


class Cancel(msgspec.Struct, frozen=True):
    """Close the connection of the attempt that goes on; needs no outcome but an instant."""


class Answer(msgspec.Struct, frozen=True):
    """Answer the caller in place of the instance."""

    refusal: Refusal


class Relay(msgspec.Struct, frozen=True):
    """Hand the instance's answer to the caller."""

    response: Response


class Claimed(msgspec.Struct, frozen=True):
    """Say that the request id is this request's."""

    at: float
    claim: HeldClaim


class NotClaimed(msgspec.Struct, frozen=True):
    """Say that the request id isn't this request's, and what the caller is told."""

    at: float
    refusal: Refusal


class Woken(msgspec.Struct, frozen=True):
    """End a wait: the ticket tells why."""

    at: float


class Refused(msgspec.Struct, frozen=True):
    """Say that the attempt failed before its first byte was written to the instance."""

    at: float
    detail: str


class Broke(msgspec.Struct, frozen=True):
    """
    Say that the attempt failed after its first byte and before a whole answer.

    ``stale`` is True if a reused connection ended before the answer's first byte.
    """

    at: float
    detail: str
    stale: bool = False


class TimedOut(msgspec.Struct, frozen=True):
    """Say that the attempt's deadline passed after its first byte."""

    at: float


class Whole(msgspec.Struct, frozen=True):
    """Bring an answer that is whole, or whose rest streams."""

    at: float
    response: Response


class Pending(msgspec.Struct, frozen=True):
    """Say that an attempt goes on and has no answer yet."""

    at: float


class CallerFailed(msgspec.Struct, frozen=True):
    """Say that the caller's own body ended early, came late or grew too large."""

    at: float
    refusal: Refusal


class Ended(msgspec.Struct, frozen=True):
    """Say which of the attempts that went on has ended, and how."""

    instance: str
    outcome: Refused | Broke | TimedOut | Whole | CallerFailed


class Delivered(msgspec.Struct, frozen=True):
    """Say that the answer has left, or that ``cut`` ended it early."""

    at: float
    cut: bool = False


Action = Claim | Release | Wait | Forward | Hedge | Await | Cancel | Answer | Relay
Outcome = (
    Claimed
    | NotClaimed
    | Woken
    | Refused
    | Broke
    | TimedOut
    | Whole
    | Pending
    | Ended
    | CallerFailed
    | Delivered
)
Path = Generator[Action, Any, None]
