"""
Session
=======

Connection of a client whose input is parsed in turns and whose holdings are counted.
"""

from __future__ import annotations

import asyncio

from toucanpin.clients.budget import Account, Budget, Reason
from toucanpin.clients.intake import READ_BYTES, Intake

__all__ = ["Session"]

# Data is copied from here before anything else is received.
_received = memoryview(bytearray(READ_BYTES))


class Session(asyncio.BufferedProtocol):
    """
    Protocol of one connection; subclasses parse its input and answer.

    They close the account once the connection is lost and nothing is held for it any more.
    """

    def __init__(self, budget: Budget, intake: Intake) -> None:
        self._account: Account
        self._budget = budget
        self._intake = intake
        self._transport: asyncio.Transport | None = None
        self._ignores_input = False
        self._aborted = False

    def open(self, account: Account) -> None:
        """Take the account in which the connection counts what it holds."""
        self._account = account

    def give_way(self, reason: Reason) -> None:
        """Drop the incomplete request and unread answers, or close the connection."""
        self._abort()

    def parse(self, data: memoryview) -> None:
        """Parse a part of the input."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._aborted:
            transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        return _received

    def buffer_updated(self, nbytes: int) -> None:
        if not self._ignores_input:
            self._intake.add(self, _received[:nbytes])

    def pause(self) -> None:
        """Read no more until the input that was read is parsed."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Continue to read."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _abort(self) -> None:
        self._aborted = True
        self._ignores_input = True
        if self._transport is not None:
            self._transport.abort()

    def _count_unread(self) -> int:
        """Return the bytes of answers that the client hasn't read."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0
