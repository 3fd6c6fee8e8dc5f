"""
Relay of calls
==============

Forward calls of other hosts to the platform's services.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import logbook

from toucanpin.clients import UNLIMITED, Budget, Intake, Limits, Listener, Reason
from toucanpin.entry.frame_session import FrameSession
from toucanpin.entry.frames import MAX_FRAME_BYTES, decode_frame, encode_frame
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

    __slots__ = ("_intake", "_listener", "_name", "_peers", "_services", "_store", "budget")

    def __init__(
        self,
        store: RelayedStore,
        direct: Client,
        peers: Peers,
        name: str,
        advice: Client | None = None,
        limits: Limits = UNLIMITED,
        intake: Intake | None = None,
    ) -> None:
        self.budget = Budget(limits, time.monotonic)
        self.budget.reserve(2 * MAX_FRAME_BYTES)  # a call and its answer
        self._intake = intake or Intake()
        self._listener = Listener(self.budget, self._make_session)
        self._store = store
        self._services = {STORE: direct}
        if advice is not None:
            self._services[ADVICE] = advice
        self._peers = peers
        self._name = name

    async def listen(self, address: str, port: int) -> None:
        """Listen for peers."""
        self._listener.listen(address, port)

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _make_session(self) -> FrameSession:
        return FrameSession(self._answer, self.budget, self._intake)

    async def _answer(self, frame: bytes) -> bytes | None:
        """Return the frame of the answer to a frame, None if it isn't answered."""
        from toucanpin.wire.codec import Purpose
        from toucanpin.wire.messages import RelayCall

        try:
            received = decode_frame(self._peers.secret, Purpose.REQUEST, frame)
            match received.message:
                case RelayCall():
                    answer = await self._call(received.message)
                    nonce = received.envelope.nonce
                    return encode_frame(
                        self._name, self._peers.secret, Purpose.ANSWER, nonce, answer
                    )
        except WireError as error:
            self.budget.counts[Reason.MALFORMED] += 1
            _log.info("relayed call refused", event="relay.refused", reason=error)
        return None

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
