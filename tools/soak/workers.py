"""
Workers of the soak
===================

Worker stand-ins that record their runs and can be slow, refuse, fail, drain, crash and restart.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from standins.site.worker import SiteWorker
from standins.site.worker_core import WorkerCore
from tools.soak.events import (
    EndAcknowledged,
    Event,
    RunEnded,
    RunStarted,
    WorkerDraining,
    WorkerGone,
    WorkerJoined,
)
from tools.soak.faults import Mood, WorkerMood
from tools.soak.jobs import JobPlan
from tools.soak.reports import ReportPath
from toucanpin.http import Request, Response
from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.orders import PollAnswer, RefusalReason, RunEnd, WorkerEntry
from toucanpin.scheduling.orders import StartAnswer as Answer

__all__ = ["SoakWorker"]

TICK_S = 0.02  # between checks for runs that have ended
STOP_TIME_S = 0.1  # that a stopped task takes to end; the platform allows 0.2 s
ENTRY_RETENTION_S = 3.0  # time for which the store lists a worker after its crash
SLOW_CLOCK_RATE = 0.982  # close to the slowest clock that the platform allows

Record = Callable[[Event], None]


@dataclass(slots=True)
class _Core(WorkerCore):
    """Worker core that records when each run begins and ends."""

    record: Record = lambda event: None
    jobs: dict[str, JobPlan] = field(default_factory=dict)
    before_start: Callable[[], None] = lambda: None
    crash: Callable[[], None] = lambda: None
    stopping: dict[TaskKey, float] = field(default_factory=dict)

    def start(self, task: TaskKey, attempt: int, deadline: int, token: int, now: float) -> Answer:
        # Leases that have expired must end their runs before the next run is recorded, also when
        # this process is behind with its own work.
        self.before_start()
        count = len(self.starts)
        answer = WorkerCore.start(self, task, attempt, deadline, token, now)
        if len(self.starts) > count:
            self.runs[task].duration = self._find_length(task)
            self.stopping.pop(task, None)
            self.record(RunStarted(time.monotonic(), self.entry.id, task, attempt))
            if task.job in self.jobs and self.jobs[task.job].crashes(task):
                self.crash()
        return answer

    def stop(self, task: TaskKey, attempt: int, token: int) -> RefusalReason | None:
        if token < self.token:
            return RefusalReason.FENCED
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        present = self.runs.get(task)
        if present is not None and present.attempt <= attempt:
            self.stopping.setdefault(task, time.monotonic() + STOP_TIME_S)
        return None

    def poll(
        self, token: int, acknowledged: int, deadline: int, now: float
    ) -> PollAnswer | RefusalReason:
        known_before = len(self.acknowledged_ends)
        answer = WorkerCore.poll(self, token, acknowledged, deadline, now)
        for ended in self.acknowledged_ends[known_before:]:
            end_kind = ended.end.value
            at = time.monotonic()
            self.record(EndAcknowledged(at, self.entry.id, ended.task, ended.attempt, end_kind))
        return answer

    def end(self, task: TaskKey, end: RunEnd) -> None:
        attempt = self.runs[task].attempt
        self.stopping.pop(task, None)
        WorkerCore.end(self, task, end)
        self.record(RunEnded(time.monotonic(), self.entry.id, task, attempt, end.value))

    def advance(self, now: float) -> None:
        for task, due in tuple(self.stopping.items()):
            if time.monotonic() >= due and task in self.runs:
                self.end(task, RunEnd.STOPPED)
        WorkerCore.advance(self, now)

    def _find_length(self, task: TaskKey) -> float:
        job = self.jobs.get(task.job)
        return job.steps[task.step].duration if job else 0.1


class SoakWorker(SiteWorker):
    """
    One incarnation of a worker.

    ``before_start`` is called before a run begins, to end expired runs on all workers; ``replace``
    starts the next incarnation after a task has crashed this one.
    """

    def __init__(
        self,
        reports: ReportPath,
        entry: WorkerEntry,
        record: Record,
        jobs: dict[str, JobPlan],
        before_start: Callable[[], None],
        moods: list[WorkerMood],
        replace: Callable[[SoakWorker], None],
        slow_clock: bool = False,
    ) -> None:
        super().__init__(reports, entry)
        self._reports = reports
        self.core = _Core(
            entry,
            record=record,
            jobs=jobs,
            before_start=before_start,
            crash=lambda: replace(self),
        )
        self._record = record
        self._moods = moods
        self.slow_clock(SLOW_CLOCK_RATE if slow_clock else 1.0)
        self._finished = False

    async def start(self) -> None:
        """Listen and register."""
        entry = self.core.entry
        self._record(
            WorkerJoined(
                time.monotonic(),
                entry.id,
                entry.cpu,
                entry.memory,
                entry.data_centre,
                entry.service,
            )
        )
        await super().start()

    def advance(self) -> None:
        """End the runs that are due."""
        if not self._finished:
            self.core.failing = bool(self._active_values(Mood.FAILS))
            self.core.advance(self._now())

    async def crash(self, keeps_name: bool = False) -> None:
        """
        Exit abruptly; the store lists the entry for ENTRY_RETENTION_S more, or until the next
        incarnation replaces it under the same name.
        """
        if self._finished:
            return
        await self._finish()
        if not keeps_name:
            self._reports.expire(self.core.entry.id, ENTRY_RETENTION_S)

    async def drain(self, seconds: float) -> None:
        """Report that the worker drains, keep running for some seconds, then exit."""
        self.core.entry = replace(self.core.entry, ready=False)
        self.register()
        ends_at = time.monotonic() + seconds
        if await self._reports.arrives(seconds) and not self._finished:
            self._record(WorkerDraining(time.monotonic(), self.core.entry.id))
        await asyncio.sleep(ends_at - time.monotonic())
        if not self._finished:
            await self._finish()
            self._store.delete("servers", self.core.entry.id)

    async def close(self) -> None:
        """Stop the worker at the end of the soak."""
        if not self._finished:
            await self._finish()

    def _active_values(self, mood: Mood) -> list[float]:
        return [it.value for it in self._moods if it.mood is mood]

    async def _finish(self) -> None:
        self.advance()
        self._finished = True
        self._reports.end()
        self._record(WorkerGone(time.monotonic(), self.core.entry.id))
        await self.stop()

    async def _advance(self) -> None:
        while True:
            self.advance()
            await asyncio.sleep(TICK_S)

    async def _handle(self, request: Request) -> Response | None:
        while self._active_values(Mood.HANGS):
            await asyncio.sleep(TICK_S)
            if self._finished or not self._active_values(Mood.HANGS):
                return None
        order_delay = max(self._active_values(Mood.LATE), default=0.0)
        if order_delay:
            await asyncio.sleep(order_delay)
        if self._finished:
            return None
        self.advance()
        if request.path == "/run-start" and (statuses := self._active_values(Mood.REFUSES)):
            return self._refuse(int(statuses[-1]))
        answer = await super()._handle(request)
        return None if order_delay or self._finished else answer

    def _refuse(self, status: int) -> Response:
        return self._answer(RefusalReason.NO_ROOM) if status == 409 else Response(status)
