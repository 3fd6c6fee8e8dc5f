"""
Attempts
========

Make the attempts of one request, two at the same time if its path asks for a hedge.  One thread
waits for both, so that hedging needs no additional threads.
"""

from __future__ import annotations

import select
import time
from collections.abc import Callable
from typing import Any

from toucanpin.daemon.forwarder import Exchange, Forwarder, OutgoingRequest
from toucanpin.requests.messages import ActionDone, AttemptEnded, AttemptPending, Forward, Hedge

__all__ = ["Attempts"]


class Attempts:
    """
    Exchanges of one request that are in progress, by instance.

    Parameters
    ----------
    outgoing : request that is sent
    find : function that returns the forwarder of an instance
    """

    __slots__ = ("_outgoing", "_find", "_running")

    def __init__(self, outgoing: OutgoingRequest, find: Callable[[str], Forwarder]) -> None:
        self._outgoing = outgoing
        self._find = find
        self._running: dict[str, Exchange] = {}

    def forward(self, action: Forward) -> Any:
        """Make the first attempt; return its outcome, or AttemptPending at ``pending_at``."""
        forwarder = self._find(action.instance)
        # A streamed body can't be sent a second time, so such a request is never hedged.
        if action.pending_at is None or self._outgoing.remaining_body is not None:
            return forwarder.forward(self._outgoing, action.deadline, action.fresh_connection)
        exchange = forwarder.begin(self._outgoing, action.deadline, action.fresh_connection)
        if not isinstance(exchange, Exchange):
            return exchange
        self._running[action.instance] = exchange
        if self._wait(action.pending_at) is None:
            return AttemptPending(time.monotonic())
        return self._finish(action.instance)

    def hedge(self, action: Hedge) -> AttemptEnded:
        """Begin a second attempt; return the end of whichever attempt ends first."""
        forwarder = self._find(action.instance)
        exchange = forwarder.begin(self._outgoing, action.deadline, False)
        if not isinstance(exchange, Exchange):
            return AttemptEnded(action.instance, exchange)
        self._running[action.instance] = exchange
        return self.wait()

    def wait(self) -> AttemptEnded:
        """Wait until an attempt ends and return its end."""
        soonest = min(self._running, key=lambda name: self._running[name].deadline)
        # At its deadline an attempt ends as well, because reading its answer times out then.
        instance = self._wait(self._running[soonest].deadline) or soonest
        return AttemptEnded(instance, self._finish(instance))

    def cancel(self) -> ActionDone:
        """Cancel the attempts in progress."""
        while self._running:
            _, exchange = self._running.popitem()
            exchange.forwarder.cancel(exchange)
        return ActionDone(time.monotonic())

    def _finish(self, instance: str) -> Any:
        exchange = self._running.pop(instance)
        return exchange.forwarder.finish(exchange)

    def _wait(self, until: float) -> str | None:
        """Wait for an answer to begin; return its instance, or None if none did in time."""
        names = {exchange.socket.fileno(): name for name, exchange in self._running.items()}
        poll = select.poll()
        for number in names:
            poll.register(number, select.POLLIN)
        ready = poll.poll(max(0.0, until - time.monotonic()) * 1_000)
        return names[ready[0][0]] if ready else None
