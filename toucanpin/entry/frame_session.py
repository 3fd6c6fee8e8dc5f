"""
Session of a peer
=================

Connection on which one frame arrives and at most one is sent in answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from toucanpin.clients import Budget, Intake, Reason, Session
from toucanpin.entry.frames import LENGTH_BYTES, decode_size
from toucanpin.exception import WireError

__all__ = ["FrameSession"]

Answer = Callable[[bytes], Awaitable[bytes | None]]


class FrameSession(Session):
    """Connection of one peer, which hasn't shown the key before its frame is whole."""

    def __init__(self, answer: Answer, budget: Budget, intake: Intake) -> None:
        super().__init__(budget, intake)
        self._answer = answer
        self._buffer = bytearray()
        self._size = 0  # of the frame and its header, 0 while it isn't known
        self._task: asyncio.Task[None] | None = None

    def connection_lost(self, error: Exception | None) -> None:
        self._aborted = True
        self._ignores_input = True
        if self._task is None:
            self._buffer.clear()
            self._budget.close(self._account)

    def eof_received(self) -> bool:
        """Keep the sending side open for the answer."""
        return self._task is not None

    def parse(self, data: memoryview) -> None:
        """Take a part of the frame."""
        if self._ignores_input:
            return
        self._buffer += data
        if not self._size and len(self._buffer) >= LENGTH_BYTES:
            try:
                self._size = LENGTH_BYTES + decode_size(bytes(self._buffer[:LENGTH_BYTES]))
            except WireError:
                self._budget.refuse(self._account, Reason.SIZE)
                return
        complete = 0 < self._size <= len(self._buffer)
        self._budget.record_progress(self._account, not complete)
        if complete:
            self._ignores_input = True
            self._task = asyncio.ensure_future(self._handle())
            self._account.answering = True
        self._count()

    def pause_writing(self) -> None:
        self._budget.record_unread(self._account, True)

    def resume_writing(self) -> None:
        self._budget.record_unread(self._account, False)

    async def _handle(self) -> None:
        """Answer the frame, and close the connection once the answer is sent."""
        transport = self._transport
        assert transport is not None
        try:
            answer = await self._answer(bytes(self._buffer[LENGTH_BYTES : self._size]))
            if answer is not None and not transport.is_closing():
                transport.write(answer)
        finally:
            self._buffer.clear()
            transport.close()
            self._account.answering = False
            self._budget.record_unread(self._account, self._count_unread() > 0)
            self._count()
            # The call of a peer that has left is counted for as long as it is held.
            if self._aborted:
                self._budget.close(self._account)
            self._task = None

    def _count(self) -> None:
        """Count what this connection holds."""
        # A growing buffer reserves an eighth more than it needs.
        held = len(self._buffer) + len(self._buffer) // 8
        self._budget.hold(self._account, held + self._count_unread())
