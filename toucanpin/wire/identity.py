"""
Identity of a process
=====================

Create the envelopes of a process's messages.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from toucanpin.wire.codec import MINOR_VERSION, Purpose, decode
from toucanpin.wire.keys import PeerKeys
from toucanpin.wire.messages import Envelope, Received

__all__ = ["Identity"]


def _zero() -> int:
    return 0


def _ignore(envelope: Envelope) -> None:
    return None


@dataclass(slots=True)
class Identity:
    """
    Identity of one process, shared by all of its channels.

    ``incarnation``, ``bundle`` and ``event`` are called for each message sent; ``on_message`` is
    called with the envelope of each valid message received.
    """

    deployment: str
    name: str
    site: str
    incarnation: Callable[[], int]
    bundle: Callable[[], int] = _zero
    event: Callable[[], int] = _zero
    on_message: Callable[[Envelope], None] = _ignore
    _sequences: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    def make_envelope(self, audience: str = "", nonce: int = 0) -> Envelope:
        """Return the envelope of the next message."""
        return Envelope(
            MINOR_VERSION,
            self.deployment,
            self.name,
            self.site,
            self.incarnation(),
            next(self._sequences),
            self.bundle(),
            self.event(),
            audience,
            nonce,
        )

    def open(self, keys: PeerKeys, purpose: Purpose, frame: bytes) -> Received:
        """
        Return the message of a received frame.

        Raises
        ------
        WireError
            If the frame is invalid or not authentic.
        """
        received = decode(keys, purpose, self.deployment, frame)
        self.on_message(received.envelope)
        return received
