"""
Core of a worker
================

A worker's handling of orders, with the time as an argument.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.orders import (
    EndedRun,
    PollAnswer,
    RefusalReason,
    RunEnd,
    RunningTask,
    StartAnswer,
    WorkerEntry,
)

__all__ = ["Run", "WorkerCore"]

MAX_LEASE_S = 10.0  # longer leases are shortened


@dataclass(slots=True)
class Run:
    """One running attempt of a task."""

    attempt: int
    started: float
    duration: float
    fails_after: float | None = None  # s, None if it doesn't fail
    stuck: bool = False
    resumed: float = 0.0  # s of work that its checkpoint holds


@dataclass(slots=True)
class WorkerCore:
    """Carry out orders as the platform's workers do."""

    entry: WorkerEntry
    token: int = 0
    deadline: float = 0.0
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    highest: dict[TaskKey, int] = field(default_factory=dict)
    sequence: int = 0
    acknowledged: int = 0
    silent: bool = False
    delays_orders: bool = False
    loses_starts: bool = False  # answers no start and carries none out, as on a broken route
    failing: bool = False  # fails every task
    stuck_jobs: set[str] = field(default_factory=set)  # jobs that make no progress
    refused_jobs: dict[str, RefusalReason] = field(default_factory=dict)
    failing_jobs: dict[str, float] = field(default_factory=dict)  # jobs that fail after some s
    refusals_left: int = 0  # number of starts to refuse
    refusal: RefusalReason = RefusalReason.NO_ROOM
    acknowledged_ends: list[EndedRun] = field(default_factory=list)
    stuck: bool = False
    duration: float = 1.0
    checkpoint_every: float = 0.0  # s of work, 0 if tasks save none
    saved_work: dict[TaskKey, float] = field(default_factory=dict)  # in s
    delayed_starts: list[tuple[float, TaskKey, int, int, int]] = field(default_factory=list)
    # When they are carried out, and their tokens, acknowledged ends and deadlines.
    delayed_polls: list[tuple[float, int, int, int]] = field(default_factory=list)
    starts: list[tuple[TaskKey, int]] = field(default_factory=list)

    def start(
        self, task: TaskKey, attempt: int, deadline: int, token: int, now: float
    ) -> StartAnswer:
        """Start a task, or return the reason for refusing it."""
        refused = self._start(task, attempt, deadline, token, now)
        return StartAnswer(int(now * 1_000), refused, self.entry.born)

    def _start(
        self, task: TaskKey, attempt: int, deadline: int, token: int, now: float
    ) -> RefusalReason | None:
        if token < self.token:
            return RefusalReason.FENCED
        self.token = token
        if deadline <= int(now * 1_000):
            return RefusalReason.LATE
        self._extend_lease(deadline, now)
        if self.refusals_left:
            self.refusals_left -= 1
            return self.refusal
        if task.job in self.refused_jobs:
            return self.refused_jobs[task.job]
        present = self.runs.get(task)
        if present is not None and present.attempt == attempt:
            return None
        if attempt <= self.highest.get(task, 0):
            return RefusalReason.OLD_ATTEMPT
        fails_after = 0.0 if self.failing else self.failing_jobs.get(task.job)
        stuck, resumed = task.job in self.stuck_jobs, self.saved_work.get(task, 0.0)
        self.runs[task] = Run(attempt, now, self.duration, fails_after, stuck, resumed)
        self.starts.append((task, attempt))
        return None

    def _extend_lease(self, deadline: int, now: float) -> None:
        self.deadline = max(self.deadline, min(deadline / 1_000, now + MAX_LEASE_S))

    def stop(self, task: TaskKey, attempt: int, token: int) -> RefusalReason | None:
        """Stop an attempt and all lower ones of its task."""
        if token < self.token:
            return RefusalReason.FENCED
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        present = self.runs.get(task)
        if present is not None and present.attempt <= attempt:
            self.end(task, RunEnd.STOPPED)
        return None

    def poll(
        self, token: int, acknowledged: int, deadline: int, now: float
    ) -> PollAnswer | RefusalReason:
        """Renew the lease, drop acknowledged ends and report the running tasks and other ends."""
        if token < self.token:
            return RefusalReason.FENCED
        self.token = token
        self.acknowledged = max(self.acknowledged, acknowledged)
        self.acknowledged_ends += [ended for ended in self.ended if ended.sequence <= acknowledged]
        self.ended = [ended for ended in self.ended if ended.sequence > acknowledged]
        self._extend_lease(deadline, now)
        running = tuple(
            RunningTask(task, run.attempt, self._save(task, run, now), self.percent(run, now))
            for task, run in self.runs.items()
        )
        return PollAnswer(int(now * 1_000), running, tuple(self.ended), self.entry.born)

    def percent(self, run: Run, now: float) -> int:
        """Return the progress of a run in percent."""
        if self.stuck or run.stuck:
            return 0
        return min(99, int(100 * (run.resumed + now - run.started) / run.duration))

    def _save(self, task: TaskKey, run: Run, now: float) -> str:
        """Save the work of a run; return its newest checkpoint."""
        if not self.checkpoint_every:
            return ""
        periods = (now - run.started) // self.checkpoint_every
        self.saved_work[task] = run.resumed + periods * self.checkpoint_every
        return f"{self.saved_work[task]:g}" if self.saved_work[task] else ""

    def end(self, task: TaskKey, end: RunEnd) -> None:
        """End a run and record how it ended."""
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run.attempt)
        self.sequence += 1
        self.ended.append(EndedRun(self.sequence, task, run.attempt, end, ""))

    def advance(self, now: float) -> None:
        """Carry out delayed orders, and end the runs that lapsed, failed or finished."""
        for order in [order for order in self.delayed_starts if order[0] <= now]:
            self.delayed_starts.remove(order)
            _, task, attempt, deadline, token = order
            self.start(task, attempt, deadline, token, now)
        for task, run in list(self.runs.items()):
            if now >= self.deadline:
                self.end(task, RunEnd.LEASE_EXPIRED)
            elif run.fails_after is not None and now >= run.started + run.fails_after:
                self.end(task, RunEnd.FAILED)
            elif not (self.stuck or run.stuck) and now >= run.started + run.duration - run.resumed:
                self.end(task, RunEnd.DONE)
        for poll in [poll for poll in self.delayed_polls if poll[0] <= now]:
            self.delayed_polls.remove(poll)
            _, token, acknowledged, deadline = poll
            self.poll(token, acknowledged, deadline, now)
