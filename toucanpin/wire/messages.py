"""
Messages of the inner protocol
==============================

Typed messages between the processes of a deployment, each sent after an envelope.
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

UNCONFIRMED = -1  # value of Heartbeat.confirmed_age


@dataclass(frozen=True, slots=True)
class Envelope:
    """
    The sender of a message and its state at the time.

    ``sequence`` increases within one incarnation of the sender; ``event`` is the sequence number
    of the latest event on the sender's timeline; ``bundle`` is the version in force there.
    ``audience`` names the only receiver, empty for any; ``nonce`` ties an answer to its request.
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
    """The sender's view of one member; ``sequence`` is the highest known."""

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
    Shows that the sender is alive, and what changed in its view of the members.

    ``digest`` is a digest of the names and incarnations in the sender's view.  ``confirmed_age``
    is the time in milliseconds since the table confirmed the bundle in force, to the sender or to
    a process that it received messages from; it is UNCONFIRMED if that never happened.
    """

    address: str
    port: int
    leaving: bool
    digest: int
    confirmed_age: int
    records: tuple[MemberRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class PushBundle:
    """Delivers the record of an accepted bundle."""

    version: int
    record: bytes


@dataclass(frozen=True, slots=True)
class PushAnswer:
    """Answer to a push: the version in force, and why the pushed one isn't if it was refused."""

    version: int
    applied: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class PullBundle:
    """Request for the bundle in force if its version is higher than ``above``."""

    above: int


@dataclass(frozen=True, slots=True)
class PullAnswer:
    """Answer to a pull; ``record`` is empty if ``version`` isn't higher than ``above``."""

    version: int
    record: bytes


@dataclass(frozen=True, slots=True)
class Standstill:
    """Request for a promise not to fence ``owner`` for some seconds."""

    owner: str
    seconds: float


@dataclass(frozen=True, slots=True)
class StandstillAnswer:
    """Answer to a Standstill: the promise, or the reason for its refusal."""

    promised: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not handled, with the reason."""

    reason: str


@dataclass(frozen=True, slots=True)
class RelayCall:
    """Request to call a service of the platform for the sender, within ``timeout`` seconds."""

    method: str
    path: str
    body: bytes
    timeout: float
    target: str = "store"


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """
    The service's answer to a relayed call.

    ``status`` is 0 if the service gave none; ``certain`` then states that the call had no effect.
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
    """An authenticated message with its envelope."""

    envelope: Envelope
    message: Message
