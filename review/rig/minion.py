"""Stand-in of a minion, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Any

from review.rig.http import Call, HttpServer, Reply
from review.rig.store import PlatformStore

__all__ = ["Minion", "Work"]

REPORT_S = 1.1  # heartbeatMs
MAX_HOLD_S = 10.0
CHECKPOINT_S = 1.0
RESTORE_S = 0.25
STOP_S = 0.1  # stopTimeoutMs is 200
TICK_S = 0.005
STARTUP_S = 0.5  # of a lasting task, until it is at work


@dataclass(slots=True)
class Work:
    """
    What a task of a step needs: cores in thousandths, memory in MB, and seconds of work, of which
    each run takes up to the share ``spread`` more or less.  A ``lasting`` task has no end,
    but fails ``fails_after`` s after each start if that is given.
    """

    cpu: int
    memory: int
    seconds: float
    checkpointing: bool = False
    spread: float = 0.0
    lasting: bool = False
    fails_after: float = 0.0
    fills: bool = False  # its cores aren't counted against a minion's capacity
    tail: Callable[[], float] | None = None  # of a task that serves, in ms


@dataclass(slots=True)
class _Run:
    attempt: int
    work: Work
    began: float
    saved: float  # work in s that its checkpoint held
    stopping_at: float = 0.0
    pause: float = 0.0
    rate: float = 1.0  # the share at which it may work

    def done(self, now: float) -> float:
        """Return the work that is done, in s."""
        return self.saved + self.rate * max(0.0, now - self.began - self.pause)

    def set_rate(self, rate: float, now: float) -> None:
        self.saved, self.began, self.pause, self.rate = self.done(now), now, 0.0, rate

    def checkpoint(self, now: float) -> str:
        if not self.work.checkpointing:
            return ""
        held = int(self.done(now) / CHECKPOINT_S)
        return f"{held:016x}" if held else ""


class Minion:
    """One life of a minion."""

    def __init__(
        self,
        store: PlatformStore,
        service: str,
        host: str,
        port: int,
        zone: str,
        labels: tuple[str, ...],
        find_work: Callable[[str], Work],
        record: Callable[[str], None],
        cpu: int = 64_000,
        memory: int = 250_000,
        identifier: str = "",
    ) -> None:
        self.id = identifier or f"i-{secrets.token_hex(4)}"
        # Returns whether an order is held up on its way: it gets no answer from this life.
        self.holds_up: Callable[[str, dict[str, str], bytes], bool] = lambda *order: False
        self.starts: list[tuple[float, str, int]] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.noted: set[tuple[str, int]] = set()  # tasks and attempts of ends that were acked
        self.runs: dict[str, _Run] = {}
        self.labels = labels
        self._store = store
        self._service = service
        self.host, self.port = host, port
        self.zone = zone
        self._find_work = find_work
        self._record = record
        self.cpu, self.memory = cpu, memory
        self._token = 0
        self._deadline = 0.0
        self._listed: list[list[Any]] = []
        self._sequence = 0
        self._has_ended = asyncio.Event()
        self._highest: dict[str, int] = {}
        self._seq = 0
        self._born = time.time_ns() // 1_000_000
        self._began = time.monotonic()
        self._server = HttpServer(self._handle)
        self._tasks: list[asyncio.Task] = []
        self.up = False
        self.crashed_at = 0.0

    async def start(self) -> None:
        await self._server.start(self.host, self.port)
        self.up = True
        self._tasks = [asyncio.ensure_future(it()) for it in (self._report, self._advance)]

    def crash(self) -> None:
        """End at once; the entry is removed after three intervals of silence."""
        self.up = False
        self.crashed_at = time.monotonic()
        for task in self._tasks:
            task.cancel()
        self._server.stop()
        lost = sorted(f"{task}#{run.attempt}" for task, run in self.runs.items())
        self._record(f"minion {self.id} crashes, its runs: {' '.join(lost) or 'none'}")
        loop = asyncio.get_running_loop()
        loop.call_later(3 * REPORT_S, self._expire)

    def _expire(self) -> None:
        entry = self._store.read("servers", self.id)
        if entry is not None and json.loads(entry)["born"] == self._born:
            self._store.remove("servers", self.id)

    def stop(self) -> None:
        """End with the case."""
        for task in self._tasks:
            task.cancel()
        self._server.stop()

    def count_fitting(self, work: Work) -> int:
        """Return how many more tasks fit beside what runs."""
        memory = (self.memory - sum(run.work.memory for run in self.runs.values())) // work.memory
        return max(0, memory if work.fills else min(memory, self._count_free() // work.cpu))

    def _count_cpu(self) -> int:
        return sum(run.work.cpu for run in self.runs.values() if not run.work.fills)

    def _count_free(self) -> int:
        return self.cpu - self._count_cpu()

    def _now(self) -> float:
        return time.monotonic() - self._began + 1.0

    async def _report(self) -> None:
        while True:
            self._seq += 1
            entry = {
                "service": self._service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": self.memory, "gpu": 0},
                "labels": list(self.labels),
                "clockMs": int(self._now() * 1_000),
                "born": self._born,
                "seq": self._seq,
            }
            self._store.put("servers", self.id, json.dumps(entry).encode())
            await asyncio.sleep(REPORT_S)

    async def _advance(self) -> None:
        while True:
            now = self._now()
            for task, run in list(self.runs.items()):
                if now >= self._deadline:
                    self._end(task, "lapsed")
                elif run.stopping_at and now >= run.stopping_at:
                    self._end(task, "stopped")
                elif run.stopping_at:
                    continue
                elif 0 < run.work.fails_after <= run.done(now):
                    self._end(task, "failed")
                elif not run.work.lasting and self._is_done(run, now):
                    self._end(task, "done")
            await asyncio.sleep(TICK_S)

    def _is_done(self, run: _Run, now: float) -> bool:
        return run.done(now) >= run.work.seconds

    def _percent(self, run: _Run, now: float) -> int:
        if run.work.lasting:
            return 100 if run.done(now) >= STARTUP_S else 0
        return min(99, int(100 * run.done(now) / run.work.seconds))

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        self._highest[task] = max(self._highest.get(task, 0), run.attempt)
        self._sequence += 1
        saved = "" if how == "done" else run.checkpoint(self._now())
        self._has_ended.set()
        self._has_ended = asyncio.Event()
        self._listed.append([self._sequence, task, run.attempt, how, saved])
        self.ends.append((time.monotonic(), task, run.attempt, how))
        self._record(f"minion {self.id}: {task}#{run.attempt} ends {how}")

    async def _handle(self, call: Call) -> Reply:
        _, path, headers, body = call
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, None
        if self.holds_up(path, headers, body):
            await asyncio.sleep(60.0)
            return None
        order = json.loads(body) if body else {}
        match path:
            case "/run-start":
                return self._reply(self._start(order))
            case "/run-stop":
                return self._reply(self._stop(order))
            case "/pace":
                return self._reply(self._pace(order))
            case "/hold":
                return await self._hold(order)
            case "/healthz":
                return 200, None
        return 404, None

    def _reply(self, reason: str, **fields: Any) -> Reply:
        body = {"clockMs": int(self._now() * 1_000), "born": self._born, **fields}
        return (409, {**body, "reason": reason}) if reason else (200, body)

    def _fence(self, order: dict[str, Any]) -> str:
        token = order.get("fencingToken", 0)
        if token < self._token:
            return "fence"
        self._token = token
        return ""

    def _extend(self, deadline_ms: int) -> None:
        latest = self._now() + MAX_HOLD_S
        self._deadline = max(self._deadline, min(deadline_ms / 1_000, latest))

    def _start(self, order: dict[str, Any]) -> str:
        task, attempt = order["task"], order["attempt"]
        reason = self._fence(order)
        if reason:
            return reason
        if order["deadlineMs"] <= self._now() * 1_000:
            return "late"
        self._extend(order["deadlineMs"])
        present = self.runs.get(task)
        if present is not None and present.attempt == attempt:
            return ""
        if present is not None or attempt <= self._highest.get(task, 0):
            return "old"
        work = self._find_work(task)
        if (
            self._count_cpu() + (0 if work.fills else work.cpu) > self.cpu
            or sum(run.work.memory for run in self.runs.values()) + work.memory > self.memory
        ):
            return "room"
        if work.spread:
            seconds = work.seconds * random.uniform(1 - work.spread, 1 + work.spread)
            work = replace(work, seconds=seconds)
        saved = int(order.get("checkpoint") or "0", 16) * CHECKPOINT_S
        pause = RESTORE_S if saved else 0.0
        self.runs[task] = _Run(attempt, work, self._now(), saved, pause=pause)
        self.starts.append((time.monotonic(), task, attempt))
        self._record(f"minion {self.id}: {task}#{attempt} starts")
        return ""

    def _stop(self, order: dict[str, Any]) -> str:
        task, attempt = order["task"], order["attempt"]
        reason = self._fence(order)
        if reason:
            return reason
        self._highest[task] = max(self._highest.get(task, 0), attempt)
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt and not run.stopping_at:
            run.stopping_at = self._now() + STOP_S
        return ""

    def _pace(self, order: dict[str, Any]) -> str:
        reason = self._fence(order)
        run = self.runs.get(order["task"])
        if not reason and run is not None and run.attempt == order["attempt"]:
            run.set_rate(order["percent"] / 100, self._now())
        return reason

    async def _hold(self, order: dict[str, Any]) -> Reply:
        reason = self._fence(order)
        if reason:
            return self._reply(reason)
        seen = order.get("ackedSeq", 0)
        if self._now() < self._deadline:
            # Of ends that a lapsed lease lies between, the rules take no note.
            self.noted.update((row[1], row[2]) for row in self._listed if row[0] <= seen)
        self._listed = [row for row in self._listed if row[0] > seen]
        if order.get("deadlineMs", 0):
            self._extend(order["deadlineMs"])
        until = time.monotonic() + order.get("waitMs", 0) / 1_000
        while not self._listed and (left := until - time.monotonic()) > 0:
            with suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._has_ended.wait()
        now = self._now()
        running = [
            [
                task,
                run.attempt,
                run.checkpoint(now),
                self._percent(run, now),
                run.work.tail() if run.work.tail else run.work.cpu * run.rate,
            ]
            for task, run in self.runs.items()
        ]
        return self._reply("", running=running, finished=self._listed[:500])
