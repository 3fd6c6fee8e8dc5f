"""
Core of the worker stand-in
===========================

The agent of one worker: lease expiry, attempts, deterministic work and delayed measurements.  Times
are milliseconds of the worker's own monotonic clock.  Accesses to the object store leave the core
as effects; the caller performs them and reports their outcomes.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from standins.work import Attempt, Service, Work, compute_result, encode_checkpoint, parse_work
from toucanpin.platform.ports import (
    Checkpoint,
    Forget,
    Order,
    Poll,
    Report,
    Size,
    Start,
    Stop,
    TaskState,
    Throttle,
    UsageSample,
)

__all__ = ["Get", "Interval", "Purpose", "Put", "WorkerCore"]

MIN_SHARE = 0.05
SAMPLE_PERIOD_MS = 1_000
REFUSAL_PREFIX = "refused: "


class Purpose(enum.Enum):
    """The reason for writing an object."""

    RESULT = "result"
    CHECKPOINT = "checkpoint"
    LAST_CHECKPOINT = "last-checkpoint"


@dataclass(frozen=True, slots=True)
class Put:
    """An effect: the caller writes an object and calls ``finish_put``."""

    task: str
    attempt: int
    name: str
    body: bytes
    progress: int
    purpose: Purpose


@dataclass(frozen=True, slots=True)
class Get:
    """An effect: the caller reads an object and calls ``finish_get``."""

    task: str
    attempt: int
    name: str


@dataclass(slots=True)
class Interval:
    """The time that an attempt ran; ``stopped_at`` is None while it runs."""

    task: str
    attempt: int
    started_at: int
    stopped_at: int | None = None


class WorkerCore:
    """The agent of one worker."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        size: Size,
        lag: int = 0,
        services: tuple[Service, ...] = (),
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.size = size
        self.lag = lag
        self.services = services
        self.fail_all = False
        self.log: list[Interval] = []
        self.polls = 0
        self._epoch = 0
        self._lease_until = 0
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self._highest_attempts: dict[str, int] = {}
        self._running: dict[str, Interval] = {}
        self._effects: deque[Put | Get] = deque()
        self._samples: deque[UsageSample] = deque()
        self._next_sample = 0

    def poll(self, now: int, poll: Poll) -> Report:
        """Handle one poll and return a report."""
        self.advance(now)
        self.polls += 1
        accepted = poll.epoch >= self._epoch and poll.incarnation in ("", self.incarnation)
        if accepted:
            self._epoch = poll.epoch
            # A delayed poll must neither extend the lease nor shorten a newer one.
            self._lease_until = max(self._lease_until, poll.lease_until)
            for order in poll.orders:
                self._apply_order(now, order)
        return self._report(now, accepted)

    def advance(self, now: int) -> None:
        """Stop the tasks if the lease has expired, then advance them up to a time."""
        # The lease is checked first: a worker that was paused past the end of its lease must not
        # work, write a checkpoint or carry out an order as if it still held the lease.
        until = min(now, self._lease_until)
        for attempt in self._list_running():
            attempt.work_until(until)
        if now >= self._lease_until:
            self._stop_all()
        self._sample(now)
        for attempt in self._list_running():
            self._end_if_done(attempt, until)

    def take_effects(self) -> Iterator[Put | Get]:
        """Yield the pending object store effects and remove them."""
        while self._effects:
            yield self._effects.popleft()

    def finish_put(self, now: int, put: Put, stored: bool) -> None:
        """Handle the outcome of a write; a result that was not stored is written again."""
        self.advance(now)
        attempt = self._find(put.task, put.attempt)
        if attempt is None:
            return
        if stored and put.purpose is not Purpose.RESULT:
            attempt.record_checkpoint(put.name, put.progress)
        if put.purpose is Purpose.LAST_CHECKPOINT:
            self._end(attempt, TaskState.STOPPED, "stopped", now)
        if put.purpose is Purpose.RESULT and attempt.writing and not attempt.stopping:
            if stored:
                self._end(attempt, TaskState.FINISHED, "", now)
            elif attempt.state is TaskState.RUNNING:
                self._effects.append(put)

    def finish_get(self, now: int, get: Get, body: bytes | None, answered: bool) -> None:
        """Resume from a checkpoint that was read; retry if the store did not answer."""
        self.advance(now)
        attempt = self._find(get.task, get.attempt)
        if attempt is None or attempt.state is not TaskState.RUNNING:
            return
        if not answered:
            self._effects.append(get)
        elif body is None:
            self._end(attempt, TaskState.FAILED, "the checkpoint is missing", now)
        elif not attempt.resume(body, get.name, now):
            self._end(attempt, TaskState.FAILED, "the checkpoint can't be read", now)

    def _apply_order(self, now: int, order: Order) -> None:
        """Carry out one order."""
        match order:
            case Start():
                self._start(now, order)
            case Stop():
                self._stop(now, order)
            case Throttle(task, number, share):
                if attempt := self._find_active(task, number):
                    attempt.throttle(now, min(1.0, max(MIN_SHARE, share)))
            case Checkpoint(task, number, name):
                if attempt := self._find_active(task, number):
                    self._put_checkpoint(attempt, name, Purpose.CHECKPOINT)
            case Forget(task, number):
                attempt = self._find(task, number)
                if attempt and attempt.state is not TaskState.RUNNING:
                    del self._attempts[(task, number)]

    def _start(self, now: int, start: Start) -> None:
        """Start an attempt unless it is outdated; fail it with the reason if it cannot run here."""
        if start.attempt <= self._highest_attempts.get(start.task, 0):
            return
        self._highest_attempts[start.task] = start.attempt
        if older := self._find_task(start.task):
            # Two running attempts of a task would violate its single placement.
            self._end(older, TaskState.STOPPED, "superseded", now)
        work = parse_work(start.payload)
        attempt = Attempt(start, work or Work(), started_at=now, worked_until=now)
        self._attempts[(start.task, start.attempt)] = attempt
        if refusal := self._find_refusal(now, work):
            attempt.state = TaskState.FAILED
            attempt.detail = REFUSAL_PREFIX + refusal
            return
        self._running[start.task] = Interval(start.task, start.attempt, now)
        self.log.append(self._running[start.task])
        if start.checkpoint:
            attempt.loading = True
            self._effects.append(Get(start.task, start.attempt, start.checkpoint))

    def _find_refusal(self, now: int, work: Work | None) -> str:
        """Return the reason for refusing the newest attempt, empty if it is accepted."""
        if now >= self._lease_until:
            return "no lease"
        if work is None:
            return "the payload can't be understood"
        held = [it.start.size for it in self._list_running()]
        fits = (
            sum(it.processors for it in held) <= self.size.processors
            and sum(it.memory for it in held) <= self.size.memory
            and sum(it.accelerators for it in held) <= self.size.accelerators
        )
        return "" if fits else "no capacity"

    def _stop(self, now: int, stop: Stop) -> None:
        """Stop an attempt and all lower ones of its task, and refuse them from now on."""
        unseen = stop.attempt > self._highest_attempts.get(stop.task, 0)
        self._highest_attempts[stop.task] = max(
            stop.attempt, self._highest_attempts.get(stop.task, 0)
        )
        if attempt := self._find_task(stop.task):
            if attempt.start.attempt <= stop.attempt and not attempt.stopping:
                self._begin_stop(now, attempt, stop.checkpoint)
        elif unseen:
            start = Start(stop.task, stop.attempt, "", Size(0, 0), b"", "", "", False)
            tombstone = Attempt(start, Work(), started_at=now, worked_until=now)
            tombstone.state = TaskState.STOPPED
            tombstone.detail = REFUSAL_PREFIX + "stopped before its start"
            self._attempts[(stop.task, stop.attempt)] = tombstone

    def _begin_stop(self, now: int, attempt: Attempt, checkpoint: str) -> None:
        """Halt the work of an attempt; it is stopped once its checkpoint is written."""
        if not checkpoint or attempt.loading:
            self._end(attempt, TaskState.STOPPED, "stopped", now)
            return
        attempt.stopping = True
        self._close_interval(attempt, now)
        self._put_checkpoint(attempt, checkpoint, Purpose.LAST_CHECKPOINT)

    def _put_checkpoint(self, attempt: Attempt, name: str, purpose: Purpose) -> None:
        """Add the effect that writes a checkpoint."""
        if attempt.loading:
            return
        start = attempt.start
        progress = int(attempt.progress)
        body = encode_checkpoint(start.task, start.attempt, progress)
        self._effects.append(Put(start.task, start.attempt, name, body, progress, purpose))

    def _end_if_done(self, attempt: Attempt, now: int) -> None:
        """Fail an attempt whose failure is due, or write the result of one that is done."""
        if attempt.stopping or attempt.writing:
            return
        if self.fail_all:
            self._end(attempt, TaskState.FAILED, "this worker fails every task", now)
        elif attempt.must_fail():
            self._end(attempt, TaskState.FAILED, "the task failed by itself", now)
        elif attempt.is_done():
            attempt.writing = True
            start = attempt.start
            body = compute_result(attempt.work)
            progress = int(attempt.progress)
            self._effects.append(
                Put(start.task, start.attempt, start.output, body, progress, Purpose.RESULT)
            )

    def _stop_all(self) -> None:
        """Stop every attempt at the end of the lease and drop the pending effects."""
        self._effects.clear()
        for attempt in self._list_running():
            self._end(attempt, TaskState.STOPPED, "the lease lapsed", self._lease_until)

    def _end(self, attempt: Attempt, state: TaskState, detail: str, now: int) -> None:
        """Set the final state of an attempt unless it has one."""
        if attempt.state is not TaskState.RUNNING:
            return
        attempt.state = state
        attempt.detail = detail
        self._close_interval(attempt, now)

    def _close_interval(self, attempt: Attempt, now: int) -> None:
        """Log the end of an attempt."""
        interval = self._running.get(attempt.start.task)
        if interval is not None and interval.attempt == attempt.start.attempt:
            interval.stopped_at = now
            del self._running[attempt.start.task]

    def _list_running(self) -> list[Attempt]:
        """Return the attempts that occupy capacity."""
        return [it for it in self._attempts.values() if it.state is TaskState.RUNNING]

    def _find(self, task: str, number: int) -> Attempt | None:
        """Return an attempt by task and number."""
        return self._attempts.get((task, number))

    def _find_task(self, task: str) -> Attempt | None:
        """Return the attempt of a task that occupies capacity."""
        return next((it for it in self._list_running() if it.start.task == task), None)

    def _find_active(self, task: str, number: int) -> Attempt | None:
        """Return an attempt that runs and is not stopping."""
        attempt = self._find(task, number)
        if attempt is None or attempt.state is not TaskState.RUNNING or attempt.stopping:
            return None
        return attempt

    def _sample(self, now: int) -> None:
        """Measure the services once per period."""
        if now < self._next_sample:
            return
        self._next_sample = now + SAMPLE_PERIOD_MS
        running = self._list_running()
        self._samples.extend(service.measure(now, running) for service in self.services)

    def _report(self, now: int, accepted: bool) -> Report:
        """Return a report of all attempts and of the measurements older than the lag."""
        due = []
        while self._samples and self._samples[0].sampled_at <= now - self.lag:
            due.append(self._samples.popleft())
        return Report(
            worker=self.name,
            incarnation=self.incarnation,
            clock=now,
            epoch=self._epoch,
            accepted=accepted,
            lapsed=now >= self._lease_until,
            size=self.size,
            tasks=tuple(it.report(now - self.lag) for it in self._attempts.values()),
            samples=tuple(due),
        )
