"""
Calls through peers
===================

Call a service of the platform through another host.
"""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from toucanpin.entry.frames import decode_frame, encode_frame, read_payload, read_size
from toucanpin.exception import WireError
from toucanpin.http import Answer, CallError
from toucanpin.verdict import Verdict

if TYPE_CHECKING:
    from toucanpin.entry.peers import Peer, Peers
    from toucanpin.wire.messages import RelayAnswer

__all__ = ["ADVICE", "STORE", "PeerCaller"]

STORE = "store"
ADVICE = "advice"
CONNECT_TIMEOUT_S = 0.3  # of a connection to a peer


class PeerCaller:
    """Client of one service of the platform that calls through a peer."""

    __slots__ = ("_name", "_peer", "_peers", "_service")

    def __init__(self, name: str, peers: Peers, peer: Peer, service: str) -> None:
        self._name = name
        self._peers = peers
        self._peer = peer
        self._service = service

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer:
        """
        Call the service.

        Raises
        ------
        CallError
            If the peer or the service gave no answer.
        """
        answer = await _call_peer(
            self._name, self._peers.secret, self._peer, method, path, body, timeout, self._service
        )
        if answer.status:
            return Answer(answer.status, {}, answer.body)
        verdict = Verdict.NOT_RUN if answer.certain else Verdict.MAY_HAVE_RUN
        raise CallError(verdict, f"{self._peer.name} didn't reach the {self._service} either")


async def _call_peer(
    name: str,
    secret: bytes,
    peer: Peer,
    method: str,
    path: str,
    body: bytes,
    time_limit: float,
    service: str,
) -> RelayAnswer:
    from toucanpin.wire.codec import Purpose
    from toucanpin.wire.messages import RelayAnswer, RelayCall

    nonce = secrets.randbelow(2**62) + 1
    try:
        async with asyncio.timeout(min(time_limit, CONNECT_TIMEOUT_S)):
            reader, writer = await asyncio.open_connection(peer.address, peer.port)
    except (OSError, TimeoutError) as error:
        raise CallError(Verdict.NOT_RUN, f"{peer.name} can't be reached: {error}") from error
    try:
        async with asyncio.timeout(time_limit):
            call = RelayCall(method, path, body, max(0.05, time_limit - 0.02), service)
            writer.write(encode_frame(name, secret, Purpose.REQUEST, nonce, call))
            await writer.drain()
            size = await read_size(reader)
        frame = await read_payload(reader, size, time_limit)
        received = decode_frame(secret, Purpose.ANSWER, frame)
    except (OSError, TimeoutError, WireError, asyncio.IncompleteReadError) as error:
        raise CallError(Verdict.MAY_HAVE_RUN, f"{peer.name}: {error!r}") from error
    finally:
        writer.close()
    match received.message:
        case RelayAnswer() if received.envelope.nonce == nonce:
            return received.message
    raise CallError(Verdict.MAY_HAVE_RUN, f"{peer.name} answered with another message or nonce")
