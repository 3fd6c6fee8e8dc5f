"""
Datagrams of the inner protocol
===============================

Send and receive heartbeats over UDP.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterable

import logbook

from toucanpin.exception import WireError
from toucanpin.wire.codec import MAX_DATAGRAM, Purpose, encode
from toucanpin.wire.identity import Identity
from toucanpin.wire.keys import PeerKeys
from toucanpin.wire.messages import Heartbeat, Received

__all__ = ["DatagramSocket"]

_LARGEST_DATAGRAM = 65_535

_log = logbook.Logger("wire")


class DatagramSocket:
    """Exchange heartbeats; what can't be sent or trusted is dropped, as the network drops."""

    def __init__(self, address: str, port: int, identity: Identity, keys: PeerKeys) -> None:
        self._identity = identity
        self._keys = keys
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address, port))
        self._distrusted: set[str] = set()
        self.sent_bytes = 0

    @property
    def port(self) -> int:
        """Return the port that the socket is bound to."""
        return int(self._socket.getsockname()[1])

    def send(self, heartbeat: Heartbeat, endpoints: Iterable[tuple[str, int]]) -> None:
        """Send one heartbeat, as the same bytes, to each endpoint."""
        frame = encode(self._keys, Purpose.HEARTBEAT, self._identity.make_envelope(), heartbeat)
        if len(frame) > MAX_DATAGRAM:
            raise WireError(f"heartbeat of {len(frame)} bytes; at most {MAX_DATAGRAM} are allowed")
        for endpoint in endpoints:
            with contextlib.suppress(OSError, OverflowError):
                self.sent_bytes += self._socket.sendto(frame, endpoint)

    def receive(self, timeout: float) -> Received | None:
        """Wait at most ``timeout`` seconds for one datagram; None if it brought no heartbeat."""
        self._socket.settimeout(max(timeout, 0.001))
        try:
            frame, (address, _) = self._socket.recvfrom(_LARGEST_DATAGRAM)
        except OSError:
            return None
        try:
            return self._identity.open(self._keys, Purpose.HEARTBEAT, frame)
        except WireError as error:
            self._report(address, error)
            return None

    def close(self) -> None:
        """Release the port."""
        self._socket.close()

    def _report(self, address: str, error: WireError) -> None:
        # One line for each peer and kind of fault: a peer that can't be understood sends several
        # datagrams a second, and a log full of them hides the rest.
        key = f"{address} {error}"
        if key in self._distrusted or len(self._distrusted) >= 256:
            return
        self._distrusted.add(key)
        _log.error("heartbeats from {} dropped: {}", address, error)
