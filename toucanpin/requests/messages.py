"""
Actions and outcomes of a request path
======================================

The typed actions that a request path yields and the typed outcomes that it receives.  Instants are
seconds of the process's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

import msgspec

from toucanpin.requests.admission import Ticket
from toucanpin.verdict import Refusal

__all__ = [
    "Action",
    "ActionDone",
    "Answer",
    "AttemptEnded",
    "AttemptPending",
    "AwaitAttempt",
    "CallerFailed",
    "Cancel",
    "Claim",
    "Claimed",
    "Forward",
    "Hedge",
    "HeldClaim",
    "Interrupted",
    "NotClaimed",
    "Outcome",
    "Path",
    "Refused",
    "Relay",
    "ReleaseClaim",
    "Request",
    "Responded",
    "Response",
    "TimedOut",
    "WaitEnded",
    "WaitForSlot",
]


class Request(msgspec.Struct, frozen=True):
    """A caller's request as far as decisions need it; ``request_id`` is empty if there is none."""

    service: str
    caller: str
    request_id: str
    idempotent: bool
    arrived: float
    deadline: float


class Response(msgspec.Struct, frozen=True):
    """
    An instance's answer.

    ``remaining_body`` streams what follows ``body``, None if ``body`` is complete.  ``not_run`` is
    True if the instance itself states that it did not run the request, ``draining`` if it states
    that it accepts no new requests.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining_body: Any = None
    not_run: bool = False
    draining: bool = False


class HeldClaim(msgspec.Struct, frozen=True):
    """The claim row that this request inserted, and the version that the row received."""

    key: str
    version: int


class Claim(msgspec.Struct, frozen=True):
    """Insert a claim row for the request id before the deadline."""

    request_id: str
    deadline: float


class ReleaseClaim(msgspec.Struct, frozen=True):
    """Delete a claim row, as the request certainly did not run; the outcome is ``ActionDone``."""

    claim: HeldClaim


class WaitForSlot(msgspec.Struct, frozen=True):
    """Wait until the ticket is granted or refused, at the latest until ``until``."""

    ticket: Ticket
    until: float


class Forward(msgspec.Struct, frozen=True):
    """
    Send the request to an instance.

    The head and the first part of the answer must be received by the deadline.
    ``fresh_connection`` forbids connections that were idle for long.  The outcome is
    ``AttemptPending`` if ``pending_at`` passes before an answer begins and the request can be sent
    a second time.
    """

    instance: str
    deadline: float
    fresh_connection: bool
    pending_at: float | None = None


class Hedge(msgspec.Struct, frozen=True):
    """Begin a second attempt in parallel; the outcome is the end of whichever ends first."""

    instance: str
    deadline: float


class AwaitAttempt(msgspec.Struct, frozen=True):
    """Wait for the attempt that is still running; the outcome is its end."""


class Cancel(msgspec.Struct, frozen=True):
    """Close the connection of the running attempt; the outcome is ``ActionDone``."""


class Answer(msgspec.Struct, frozen=True):
    """Answer the caller with a refusal."""

    refusal: Refusal


class Relay(msgspec.Struct, frozen=True):
    """Relay the instance's answer to the caller."""

    response: Response


class Claimed(msgspec.Struct, frozen=True):
    """The request id was claimed for this request."""

    at: float
    claim: HeldClaim


class NotClaimed(msgspec.Struct, frozen=True):
    """The request id was not claimed; ``refusal`` is the answer to the caller."""

    at: float
    refusal: Refusal


class WaitEnded(msgspec.Struct, frozen=True):
    """A wait for a slot has ended; the ticket says how."""

    at: float


class Refused(msgspec.Struct, frozen=True):
    """The attempt failed before its first byte was written to the instance."""

    at: float
    detail: str


class Interrupted(msgspec.Struct, frozen=True):
    """
    The attempt failed after its first byte was written and before its answer was received.

    ``stale`` is True if a reused connection ended before the answer's first byte.
    """

    at: float
    detail: str
    stale: bool = False


class TimedOut(msgspec.Struct, frozen=True):
    """The attempt's deadline passed after its first byte was written."""

    at: float


class Responded(msgspec.Struct, frozen=True):
    """An answer was received, completely or up to a body that is streamed."""

    at: float
    response: Response


class AttemptPending(msgspec.Struct, frozen=True):
    """The attempt is still running and has no answer yet."""

    at: float


class CallerFailed(msgspec.Struct, frozen=True):
    """The caller's request body ended early, was late or was too large."""

    at: float
    refusal: Refusal


class AttemptEnded(msgspec.Struct, frozen=True):
    """One of the running attempts has ended with this outcome."""

    instance: str
    outcome: Refused | Interrupted | TimedOut | Responded | CallerFailed


class ActionDone(msgspec.Struct, frozen=True):
    """The action is done; ``truncated`` is True if the caller did not get the complete answer."""

    at: float
    truncated: bool = False


Action = (
    Claim | ReleaseClaim | WaitForSlot | Forward | Hedge | AwaitAttempt | Cancel | Answer | Relay
)
Outcome = (
    Claimed
    | NotClaimed
    | WaitEnded
    | Refused
    | Interrupted
    | TimedOut
    | Responded
    | AttemptPending
    | AttemptEnded
    | CallerFailed
    | ActionDone
)
Path = Generator[Action, Any, None]
