"""
Relay of calls
==============

Forward calls of other hosts to the platform's services.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from toucanpin.entry.frames import decode_frame, encode_frame, read_frame
from toucanpin.entry.peer_calls import ADVICE, STORE
from toucanpin.entry.relayed_store import RelayedStore
from toucanpin.exception import WireError
from toucanpin.http import CallError, Client

if TYPE_CHECKING:
    from toucanpin.entry.peers import Peers
    from toucanpin.wire.messages import RelayAnswer, RelayCall

__all__ = ["RelayServer"]

_log = logbook.Logger("relay")


class RelayServer:
    """Server that forwards calls of peers that can't reach a service, or spread their calls."""

    __slots__ = ("_name", "_peers", "_server", "_services", "_store")

    def __init__(
        self,
        store: RelayedStore,
        direct: Client,
        peers: Peers,
        name: str,
        advice: Client | None = None,
    ) -> None:
        self._store = store
        self._services = {STORE: direct}
        if advice is not None:
            self._services[ADVICE] = advice
        self._peers = peers
        self._name = name
        self._server: asyncio.Server | None = None

    async def listen(self, address: str, port: int) -> None:
        """Listen for peers."""
        self._server = await asyncio.start_server(self._handle_connection, address, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        from toucanpin.wire.codec import Purpose
        from toucanpin.wire.messages import RelayCall

        try:
            frame = await read_frame(reader)
            received = decode_frame(self._peers.secret, Purpose.REQUEST, frame)
            match received.message:
                case RelayCall():
                    answer = await self._call(received.message)
                    nonce = received.envelope.nonce
                    writer.write(
                        encode_frame(self._name, self._peers.secret, Purpose.ANSWER, nonce, answer)
                    )
                    await writer.drain()
        except (WireError, OSError, asyncio.IncompleteReadError) as error:
            _log.info("relayed call refused", event="relay.refused", reason=error)
        finally:
            writer.close()

    async def _call(self, call: RelayCall) -> RelayAnswer:
        from toucanpin.wire.messages import RelayAnswer

        client = self._services.get(call.target)
        if client is None or (call.target == STORE and not self._store.direct_works):
            return RelayAnswer(0, b"", True)
        try:
            answer = await client.call(call.method, call.path, call.body, timeout=call.timeout)
        except CallError as error:
            return RelayAnswer(0, b"", error.certain)
        return RelayAnswer(answer.status, answer.body, True)
