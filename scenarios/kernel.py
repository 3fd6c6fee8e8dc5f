"""
Simulation kernel
=================

A virtual clock with an event queue, and a network between named endpoints with injected faults.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from scenarios import model
from toucanpin.timeline.event import Cause
from toucanpin.timeline.recorder import Recorder

Reply = Callable[[Any], None]

__all__ = ["Kernel", "CallFailure", "Network", "Reply", "covers"]

LATENCY_RANGE_S = (0.0005, 0.004)
CALL_TIMEOUT_S = 2.0


class Kernel:
    """Run callbacks in order of time; those of the same time in the order of scheduling."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Run a callback at a time, but not before now."""
        heapq.heappush(self._heap, (max(time, self.now), next(self._sequence), callback))

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        self.call_at(self.now + delay, callback)

    def run_until(self, time: float) -> None:
        """Run all callbacks that are due up to a time, inclusive."""
        while self._heap and self._heap[0][0] <= time:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = time


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call without an answer; ``sent`` is False if the target certainly did nothing."""

    detail: str
    sent: bool


def covers(target: str, name: str) -> bool:
    """Return whether the target of a fault is an endpoint or the host that it runs on."""
    return target in (name, name.split("/", 1)[0])


class Network:
    """
    Network between endpoints: processes, workers, instances and the platform's services.

    Each message has a small random latency, drawn from the seed.  Messages to a paused endpoint
    wait until it resumes; messages to a removed one are lost.  Messages between endpoints with a
    recorder carry the cause of later events on the timeline.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self.recorders: dict[str, Recorder] = {}
        self._cuts: list[tuple[model.Cut, float]] = []
        self._slows: list[tuple[model.Slow, float]] = []
        self._lost_answers: list[list] = []
        self._outages: list[tuple[model.Outage, float]] = []
        self._paused: dict[str, float] = {}
        self._gone: set[str] = set()

    def apply(self, fault: model.Action) -> None:
        """Inject a fault from now on."""
        now = self._kernel.now
        match fault:
            case model.Cut(duration=duration):
                self._cuts.append((fault, now + duration))
            case model.Slow(duration=duration):
                self._slows.append((fault, now + duration))
            case model.LoseAnswers(source, target, count):
                self._lost_answers.append([source, target, count])
            case model.Outage(duration=duration):
                self._outages.append((fault, now + duration))
            case model.Pause(target, duration):
                self._paused[target] = now + duration

    def remove(self, name: str) -> None:
        """Remove an endpoint."""
        self._gone.add(name)

    def restore(self, name: str) -> None:
        """Add a new endpoint under a name."""
        self._gone.discard(name)
        self._paused.pop(name, None)

    def is_gone(self, name: str) -> bool:
        """Return whether an endpoint was removed."""
        return any(covers(target, name) for target in self._gone)

    def resumes_at(self, name: str) -> float:
        """Return the time at which an endpoint can next act: now unless it is paused."""
        ends = (end for target, end in self._paused.items() if covers(target, name))
        return max(ends, default=self._kernel.now)

    def call(
        self,
        source: str,
        target: str,
        act: Callable[[], object],
        reply: Callable[[object], None],
        timeout: float = CALL_TIMEOUT_S,
    ) -> None:
        """Run ``act`` at the target and reply with its outcome or a CallFailure."""
        self.request(source, target, lambda answer: answer(act()), reply, timeout)

    def request(
        self,
        source: str,
        target: str,
        handle: Callable[[Reply], None],
        reply: Reply,
        timeout: float = CALL_TIMEOUT_S,
    ) -> None:
        """Send a request that the target may answer later."""
        open_call = [True]
        request_cause = self._make_cause(source)

        def close(outcome: object) -> None:
            """Reply to the caller once."""
            if open_call[0]:
                open_call[0] = False
                reply(outcome)

        def arrive() -> None:
            """Deliver the message once the target is not paused."""
            if self.is_gone(target):
                return
            resumed = self.resumes_at(target)
            if resumed > self._kernel.now:
                self._kernel.call_at(resumed, arrive)
                return
            self._observe_cause(target, request_cause)
            handle(answer)

        def answer(outcome: object) -> None:
            """Send the answer back unless it is lost."""
            cause = self._make_cause(target)

            def deliver() -> None:
                """Deliver the answer to the caller."""
                self._observe_cause(source, cause)
                close(outcome)

            if not self._is_cut(target, source) and not self._take_lost_answer(target, source):
                self._kernel.call_after(self._draw_latency(target, source), deliver)

        if self.is_gone(target) or self._refuses(target, source):
            refused = CallFailure("refused", sent=False)
            self._kernel.call_after(self._draw_latency(source, target), lambda: close(refused))
            return
        # An established connection accepts the call; only a new one fails before sending.
        sent = self._kernel.random.random() < 0.5
        lost = CallFailure("no answer in time", sent=True)
        if self._is_cut(source, target):
            lost = CallFailure("no answer in time", sent=sent)
        else:
            self._kernel.call_after(self._draw_latency(source, target), arrive)
        self._kernel.call_after(timeout, lambda: close(lost))

    def send(self, source: str, target: str, act: Callable[[], None]) -> None:
        """Send a message without an answer, such as a heartbeat."""
        cause = self._make_cause(source)

        def arrive() -> None:
            """Deliver the message once the target is not paused."""
            resumed = self.resumes_at(target)
            if resumed > self._kernel.now:
                self._kernel.call_at(resumed, arrive)
            elif not self.is_gone(target):
                self._observe_cause(target, cause)
                act()

        if not self._is_cut(source, target):
            self._kernel.call_after(self._draw_latency(source, target), arrive)

    def _make_cause(self, name: str) -> Cause | None:
        """Return the newest event of a sender, which each internal message carries."""
        recorder = self.recorders.get(name)
        if recorder is None:
            return None
        return Cause(recorder.process, recorder.last_sequence, recorder.incarnation)

    def _observe_cause(self, name: str, cause: Cause | None) -> None:
        """Order the receiver's next event after the cause that a message carried."""
        recorder = self.recorders.get(name)
        if recorder is not None and cause is not None:
            recorder.observe(cause)

    def _draw_latency(self, source: str, target: str) -> float:
        """Return a random latency for one message."""
        now = self._kernel.now
        extra = sum(
            slow.delay
            for slow, end in self._slows
            if now < end and self._connects(slow.source, slow.target, source, target)
        )
        return self._kernel.random.uniform(*LATENCY_RANGE_S) + extra

    def _is_cut(self, source: str, target: str) -> bool:
        """Return whether messages from source to target are lost."""
        now = self._kernel.now
        return any(
            now < end
            and (
                (covers(cut.source, source) and covers(cut.target, target))
                if cut.one_way
                else self._connects(cut.source, cut.target, source, target)
            )
            for cut, end in self._cuts
        )

    def _connects(self, left: str, right: str, source: str, target: str) -> bool:
        """Return whether a message runs between two targets of a fault, in either direction."""
        return (covers(left, source) and covers(right, target)) or (
            covers(left, target) and covers(right, source)
        )

    def _refuses(self, target: str, source: str) -> bool:
        """Return whether a service of the platform refuses a client."""
        return any(
            self._kernel.now < end
            and outage.target == target
            and (not outage.client or covers(outage.client, source))
            for outage, end in self._outages
        )

    def _take_lost_answer(self, source: str, target: str) -> bool:
        """Return whether this answer is one of those to lose, and count it."""
        for entry in self._lost_answers:
            if entry[2] > 0 and covers(entry[0], source) and covers(entry[1], target):
                entry[2] -= 1
                return True
        return False
