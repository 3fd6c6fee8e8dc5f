"""
Attempts
========

Makes the attempts of one request, two beside each other where its path asks for a hedge.  One
thread waits for both, so a request that isn't hedged pays for no other thread.
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
    Keep the exchanges of one request that go on, by instance.

    Parameters
    ----------
    outgoing : what is sent
    find : forwarder of an instance
    """

    __slots__ = ("_outgoing", "_find", "_running")

    def __init__(self, outgoing: OutgoingRequest, find: Callable[[str], Forwarder]) -> None:
        self._outgoing = outgoing
        self._find = find
        self._running: dict[str, Exchange] = {}

    def forward(self, action: Forward) -> Any:
        """Make the first attempt; return its outcome, or AttemptPending at the given instant."""
        forwarder = self._find(action.instance)
        # A body that streams can't be sent a second time.
        if action.pending_at is None or self._outgoing.remaining_body is not None:
            return forwarder.forward(self._outgoing, action.deadline, action.fresh_connection)
        begun = forwarder.begin(self._outgoing, action.deadline, action.fresh_connection)
        if not isinstance(begun, Exchange):
            return begun
        self._running[action.instance] = begun
        if self._wait(action.pending_at) is None:
            return AttemptPending(time.monotonic())
        return self._finish(action.instance)

    def hedge(self, action: Hedge) -> AttemptEnded:
        """Begin a second attempt; return the first end of both."""
        forwarder = self._find(action.instance)
        begun = forwarder.begin(self._outgoing, action.deadline, False)
        if not isinstance(begun, Exchange):
            return AttemptEnded(action.instance, begun)
        self._running[action.instance] = begun
        return self.wait()

    def wait(self) -> AttemptEnded:
        """Return the next end of an attempt."""
        soonest = min(self._running, key=lambda name: self._running[name].deadline)
        # At its deadline an attempt ends too: reading its answer then times out.
        instance = self._wait(self._running[soonest].deadline) or soonest
        return AttemptEnded(instance, self._finish(instance))

    def cancel(self) -> ActionDone:
        """Close what goes on."""
        while self._running:
            _, exchange = self._running.popitem()
            exchange.forwarder.cancel(exchange)
        return ActionDone(time.monotonic())

    def _finish(self, instance: str) -> Any:
        exchange = self._running.pop(instance)
        return exchange.forwarder.finish(exchange)

    def _wait(self, until: float) -> str | None:
        """Wait for an answer to begin; return its instance, None if none did."""
        names = {exchange.socket.fileno(): name for name, exchange in self._running.items()}
        poll = select.poll()
        for number in names:
            poll.register(number, select.POLLIN)
        ready = poll.poll(max(0.0, until - time.monotonic()) * 1_000)
        return names[ready[0][0]] if ready else None
