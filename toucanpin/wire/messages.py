"""
Messages of the inner protocol
==============================

The typed messages that processes of the system exchange, each preceded by one envelope.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "Envelope",
    "Heartbeat",
    "MemberRecord",
    "Message",
    "PullAnswer",
    "PullBundle",
    "PushAnswer",
    "PushBundle",
    "Received",
    "Refused",
    "RelayAnswer",
    "RelayCall",
    "Standstill",
    "StandstillAnswer",
    "UNCONFIRMED",
]

UNCONFIRMED = -1


@dataclass(frozen=True, slots=True)
class Envelope:
    """
    Say who sends a message and what it had seen by then.

    ``sequence`` only grows within one incarnation of a sender; ``event`` is the sequence number
    of the newest event on the sender's time line; ``bundle`` is the version that it has in force.
    ``audience`` names the one receiver, empty for any; ``nonce`` ties an answer to its request.
    """

    minor: int
    deployment: str
    sender: str
    site: str
    incarnation: int
    sequence: int
    bundle: int
    event: int
    audience: str = ""
    nonce: int = 0


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Tell what the sender knows of one member; ``sequence`` is the newest one heard of."""

    name: str
    site: str
    incarnation: int
    sequence: int
    address: str
    port: int
    standing: str
    bundle: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """
    Say that the sender is there and what changed in its view.

    ``digest`` summarizes the names and incarnations in the sender's view; ``confirmed_age`` is
    the time in milliseconds since the table confirmed the bundle in force, to the sender or to a
    process that it heard, and UNCONFIRMED if that never happened.
    """

    address: str
    port: int
    leaving: bool
    digest: int
    confirmed_age: int
    records: tuple[MemberRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class PushBundle:
    """Hand over the record of an accepted bundle."""

    version: int
    record: bytes


@dataclass(frozen=True, slots=True)
class PushAnswer:
    """Say which version is in force after a push, and why the pushed one is not."""

    version: int
    applied: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class PullBundle:
    """Ask for the bundle in force if its version is higher than ``above``."""

    above: int


@dataclass(frozen=True, slots=True)
class PullAnswer:
    """Give the bundle in force; ``record`` is empty if it isn't higher than was asked for."""

    version: int
    record: bytes


@dataclass(frozen=True, slots=True)
class Standstill:
    """Ask for the promise not to fence ``owner`` for some seconds."""

    owner: str
    seconds: float


@dataclass(frozen=True, slots=True)
class StandstillAnswer:
    """Give or refuse the promise."""

    promised: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Refused:
    """Say that the request was not handled, and why."""

    reason: str


@dataclass(frozen=True, slots=True)
class RelayCall:
    """Ask a member to call a service of the platform in the sender's place, within some seconds."""

    method: str
    path: str
    body: bytes
    timeout: float
    target: str = "store"


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """
    Hand over the service's answer.

    ``status`` is 0 where there was none; ``certain`` then says that the service did nothing.
    """

    status: int
    body: bytes
    certain: bool


Message = (
    Heartbeat
    | PushBundle
    | PushAnswer
    | PullBundle
    | PullAnswer
    | Standstill
    | StandstillAnswer
    | Refused
    | RelayCall
    | RelayAnswer
)


@dataclass(frozen=True, slots=True)
class Received:
    """Hold one authenticated message."""

    envelope: Envelope
    message: Message
