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
from toucanpin.wire.codec import MAX_DATAGRAM_BYTES, Purpose, encode
from toucanpin.wire.identity import Identity
from toucanpin.wire.keys import PeerKeys
from toucanpin.wire.messages import Heartbeat, Received

__all__ = ["DatagramSocket"]

_RECEIVE_BUFFER_BYTES = 65_535

_log = logbook.Logger("wire")


class DatagramSocket:
    """
    UDP socket for heartbeats.

    Heartbeats that can't be sent or authenticated are dropped, like datagrams lost on the network.
    """

    def __init__(self, address: str, port: int, identity: Identity, keys: PeerKeys) -> None:
        self._identity = identity
        self._keys = keys
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address, port))
        self._reported_faults: set[str] = set()
        self.sent_bytes = 0

    @property
    def port(self) -> int:
        """Return the port that the socket is bound to."""
        return int(self._socket.getsockname()[1])

    def send(self, heartbeat: Heartbeat, endpoints: Iterable[tuple[str, int]]) -> None:
        """Send the same encoded heartbeat to each endpoint."""
        frame = encode(self._keys, Purpose.HEARTBEAT, self._identity.make_envelope(), heartbeat)
        if len(frame) > MAX_DATAGRAM_BYTES:
            raise WireError(
                f"heartbeat of {len(frame)} bytes; at most {MAX_DATAGRAM_BYTES} are allowed"
            )
        for endpoint in endpoints:
            with contextlib.suppress(OSError, OverflowError):
                self.sent_bytes += self._socket.sendto(frame, endpoint)

    def receive(self, timeout: float) -> Received | None:
        """
        Wait at most ``timeout`` seconds for one datagram.

        Return None if there was none or it was no valid heartbeat.
        """
        self._socket.settimeout(max(timeout, 0.001))
        try:
            frame, (address, _) = self._socket.recvfrom(_RECEIVE_BUFFER_BYTES)
        except OSError:
            return None
        try:
            return self._identity.open(self._keys, Purpose.HEARTBEAT, frame)
        except WireError as error:
            self._log_fault(address, error)
            return None

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _log_fault(self, address: str, error: WireError) -> None:
        # Each fault of a peer is logged once, since a faulty peer sends several datagrams a second
        # and would flood the log.
        key = f"{address} {error}"
        if key in self._reported_faults or len(self._reported_faults) >= 256:
            return
        self._reported_faults.add(key)
        _log.error("heartbeats from {} dropped: {}", address, error)
