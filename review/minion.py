"""
Stand-in of a minion, by PROTOCOL.md, "Running tasks" and "Service discovery".

The ``spec`` of a job holds for each step the number of ms that a task of it works. The minion
guards its capacity, kills what runs when its lease expires, and keeps ends until they are
acknowledged. The members of a gang work from the moment when all of them are present, and end
together.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from store import Store
from wire import Message, Server

TICK_S = 0.02
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
CHECKPOINT_S = 2.0
RESTORE_S = 0.1
STOP_S = 0.2
MAX_ENDS = 500
STARTUP_S = 0.4  # of a task that lasts
GANG_TIMEOUT_S = 3.0
IDLE_TAIL_MS = 25.0  # of a task that serves
MAX_UTILIZATION = 0.98


@dataclass
class Run:
    """One run; ``worked`` is for how many seconds it has worked, with what it resumed from."""

    attempt: int
    began: float
    length: float
    step: dict
    saved: str = ""
    saved_at: float = 0.0  # for a member of a gang, since when the gang is whole
    stops_at: float = 0.0
    pace: int = 100
    worked: float = 0.0
    seen_at: float = 0.0

    @property
    def cpu(self) -> int:
        return 0 if self.step.get("fillCount") else self.step.get("cpu", 0)

    def work(self, now: float) -> None:
        """Add the work since the last time, at the pace; a gang works only once it is whole."""
        if not self.step.get("gang") or self.saved_at:
            self.worked += max(0.0, now - self.seen_at) * self.pace / 100
        self.seen_at = max(now, self.seen_at)


@dataclass
class Shared:
    """
    What all minions know: the steps of jobs, the gangs, and how the tasks that serve are loaded.

    ``saves`` tells what each checkpoint holds; ``load`` is the utilization of a task that serves
    without neighbours; ``effect`` is by how much a neighbour that fills raises it, per share of the
    minion's cores.
    """

    steps: dict[tuple[str, int], dict] = field(default_factory=dict)
    gangs: dict[tuple[str, int], dict[str, Run]] = field(default_factory=dict)
    ends: dict[str, int] = field(default_factory=dict)
    load: float = 0.3
    effect: float = 1.0
    saves: dict[str, float] = field(default_factory=dict)  # seconds of work by checkpoint


class Minion:
    """One minion, of those that share ``shared``."""

    def __init__(
        self,
        store: Store,
        record: Callable[..., None],
        shared: Shared,
        service: str,
        zone: str,
        rack: str,
        cpu: int = 64_000,
        memory: int = 256_000,
        kind: str = "a",
    ) -> None:
        self.id = f"i-{secrets.token_hex(4)}"
        self.runs: dict[str, Run] = {}
        self.cpu, self.memory = cpu, memory
        self._store, self._record, self._shared = store, record, shared
        self._entry: dict[str, Any] = {
            "service": service,
            "zone": zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "machine": f"m-{self.id[2:]}",
            "capacity": {"cpu": cpu, "memMb": memory, "gpu": 0},
            "labels": [kind, rack],
            "born": time.time_ns() // 1_000_000,
            "seq": 0,
        }
        self._began = time.monotonic() - 10
        self._token = 0
        self._lease = 0.0
        self._ends: list[list] = []
        self._number = 0
        self._highest: dict[str, int] = {}
        self._server = Server(self._handle)
        self._tasks: list[asyncio.Task] = []

    async def start(self, address: str) -> None:
        port = await self._server.listen(address, 0)
        self._entry["address"] = f"{address}:{port}"
        self._tasks = [asyncio.ensure_future(self._beat()), asyncio.ensure_future(self._advance())]

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await self._server.close()

    async def crash(self) -> None:
        """End without a word; the entry is removed after three intervals of silence."""
        self._record("minion crashes", minion=self.id, runs=",".join(self.runs) or "-")
        self.runs.clear()
        await self.close()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self._store.remove, "servers", self.id)

    @property
    def used_cpu(self) -> int:
        return sum(run.cpu for run in self.runs.values())

    async def _beat(self) -> None:
        while True:
            self._entry["seq"] += 1
            self._store.put("servers", self.id, self._entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _advance(self) -> None:
        while True:
            now = time.monotonic()
            for task, run in list(self.runs.items()):
                run.work(now)
                if now >= self._lease:
                    self._end(task, "lapsed")
                elif run.stops_at and now >= run.stops_at:
                    self._save(run, now)
                    self._end(task, "stopped")
                elif run.step.get("gang"):
                    self._advance_member(task, run, now)
                elif run.worked >= run.length:
                    self._end(task, "done")
                elif now >= run.saved_at + CHECKPOINT_S:
                    self._save(run, now)
            await asyncio.sleep(TICK_S)

    def _save(self, run: Run, now: float) -> None:
        if run.step.get("checkpointing") and not run.step.get("gang"):
            run.saved, run.saved_at = secrets.token_hex(8), now
            self._shared.saves[run.saved] = run.worked

    def _advance_member(self, task: str, run: Run, now: float) -> None:
        """End a member of a gang that waits for too long, misses another one or is done."""
        members = self._gang(task, run)
        whole = len(members) == run.step["count"]
        if whole and not run.saved_at:
            run.saved_at = now  # from here on it works
        if whole and run.worked >= run.length:
            self._end(task, "done")
            run.saved = "done"
        elif not whole and any(it.saved == "done" for it in self._all(task, run)):
            self._end(task, "done")
        elif not whole and run.saved_at:
            self._end(task, "broken")
        elif not whole and now >= run.began + GANG_TIMEOUT_S:
            self._end(task, "alone")

    def _all(self, task: str, run: Run) -> list[Run]:
        key = (task.rpartition(".")[0], run.attempt)
        return list(self._shared.gangs.get(key, {}).values())

    def _gang(self, task: str, run: Run) -> dict[str, Run]:
        key = (task.rpartition(".")[0], run.attempt)
        known = self._shared.gangs.setdefault(key, {})
        return {name: it for name, it in known.items() if it.length >= 0 and it.saved != "done"}

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        if run.step.get("gang") and how != "done":
            self._shared.gangs.get((task.rpartition(".")[0], run.attempt), {}).pop(task, None)
        self._highest[task] = max(run.attempt, self._highest.get(task, 0))
        self._number += 1
        self._ends.append([self._number, task, run.attempt, how, run.saved])
        self._shared.ends[how] = self._shared.ends.get(how, 0) + 1
        self._record("run ended", minion=self.id, task=task, attempt=run.attempt, how=how)

    def _clock(self) -> int:
        return int((time.monotonic() - self._began) * 1_000)

    def _answer(self, status: int, **fields: object) -> tuple[int, object]:
        return status, {"clockMs": self._clock(), "born": self._entry["born"], **fields}

    def _extend(self, deadline: int) -> None:
        granted = min(deadline, self._clock() + MAX_HOLD_MS)
        self._lease = max(self._lease, self._began + granted / 1_000)

    async def _handle(self, request: Message) -> tuple[int, object] | None:
        path = request.first[1]
        if path == "/healthz":
            return 200, None
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return self._answer(421)
        call = request.json()
        token = call.get("fencingToken", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        match path:
            case "/run-start":
                return self._start(call)
            case "/run-stop":
                task = call["task"]
                self._highest[task] = max(call["attempt"], self._highest.get(task, 0))
                run = self.runs.get(task)
                if run is not None and run.attempt <= call["attempt"] and not run.stops_at:
                    run.stops_at = time.monotonic() + STOP_S
                return self._answer(200)
            case "/pace":
                paced = self.runs.get(call["task"])
                if paced is not None and paced.attempt == call["attempt"]:
                    paced.pace = call["percent"]
                    self._record(
                        "run paced", minion=self.id, task=call["task"], percent=call["percent"]
                    )
                return self._answer(200)
            case "/hold":
                return await self._hold(call)
        return 404, None

    def _start(self, call: dict) -> tuple[int, object]:
        task, attempt = call["task"], call["attempt"]
        if call["deadlineMs"] <= self._clock():
            return self._answer(409, reason="late")
        self._extend(call["deadlineMs"])
        present = self.runs.get(task)
        if present is not None and present.attempt == attempt:
            return self._answer(200)
        if attempt <= self._highest.get(task, 0) or present is not None:
            return self._answer(409, reason="old")
        job, _, step, _ = task.split(".")
        now = time.monotonic()
        length = int(call["spec"].split()[int(step)]) / 1_000
        run = Run(attempt, now, length, self._shared.steps[job, int(step)], seen_at=now)
        memory = sum(it.step.get("memMb", 0) for it in self.runs.values())
        if self.used_cpu + run.cpu > self.cpu or memory + run.step.get("memMb", 0) > self.memory:
            return self._answer(409, reason="room")
        if run.step.get("gang"):
            key = (task.rpartition(".")[0], attempt)
            self._shared.gangs.setdefault(key, {})[task] = run
        else:
            run.saved, run.saved_at = call.get("checkpoint", ""), now
            run.worked = self._shared.saves.get(run.saved, 0.0)
            run.seen_at = now + (RESTORE_S if run.saved else 0.0)
        self.runs[task] = run
        self._record(
            "run begins", minion=self.id, task=task, attempt=attempt, resumes=f"{run.worked:.1f}"
        )
        return self._answer(200)

    async def _hold(self, call: dict) -> tuple[int, object]:
        if call.get("deadlineMs"):
            self._extend(call["deadlineMs"])
        acknowledged = call.get("ackedSeq", 0)
        self._ends = [end for end in self._ends if end[0] > acknowledged]
        until = time.monotonic() + min(2_000, call.get("waitMs", 0)) / 1_000
        while not self._ends and time.monotonic() < until:
            await asyncio.sleep(TICK_S)
        running = [
            [task, run.attempt, run.saved, self._percent(run), self._figure(run)]
            for task, run in self.runs.items()
        ]
        return self._answer(200, running=running, finished=self._ends[:MAX_ENDS])

    def _percent(self, run: Run) -> int:
        now = time.monotonic()
        if run.step.get("longRunning"):
            return 100 if now >= run.began + STARTUP_S else 0
        return min(99, int(100 * run.worked / run.length))

    def _figure(self, run: Run) -> int:
        """Return the tail of a task that serves in ms, for any other task the cpu in use."""
        if not run.step.get("targetMs"):
            return run.step.get("cpu", 0) * run.pace // 100
        filling = sum(
            it.step["cpu"] * it.pace / 100 for it in self.runs.values() if it.step.get("fillCount")
        )
        raised = self._shared.load * (1 + self._shared.effect * filling / self.cpu)
        return int(IDLE_TAIL_MS / (1 - min(MAX_UTILIZATION, raised)))
