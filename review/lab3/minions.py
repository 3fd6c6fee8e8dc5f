"""
Stand-in of the platform's minions
==================================

One ``Minion`` is one life of a minion: it writes its entry, guards its room and carries out
``/run-start``, ``/run-stop``, ``/hold`` and ``/pace`` as PROTOCOL.md describes them.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from http11 import HttpServer
from table import Table

TICK_S = 0.02
MAX_HOLD_MS = 10_000
MAX_ENDS = 500


@dataclass
class Work:
    """How long tasks of a job work; ``fails`` tells whether a run fails, by task and attempt."""

    seconds: Callable[[str], float]
    fails: Callable[[str, int], bool] = lambda task, attempt: False
    gang: dict[str, int] = field(default_factory=dict)  # by step: number of members
    lasting: bool = False
    cpu: int = 1_000
    mem: int = 256
    fills: bool = False
    checkpoint_s: float = 0.0
    tail_ms: int = 0
    used_cpu: int = 0


@dataclass
class Run:
    task: str
    attempt: int
    began: float
    work: Work
    done_s: float = 0.0  # work that is done
    at: float = 0.0  # when ``done_s`` was last brought up to date
    saved: str = ""
    pace: int = 100
    stopping: float = 0.0
    whole: bool = True  # all members of its gang are there


class Minion:
    """One life of a minion; ``log`` takes each event, ``jobs`` maps job ids to their work."""

    def __init__(
        self,
        table: Table,
        name: str,
        address: str,
        service: str,
        zone: str,
        log: Callable[..., None],
        jobs: dict[str, Work],
        gangs: dict[tuple[str, int], set[str]],
        cpu: int = 64_000,
        mem: int = 256_000,
        rack: str = "r1",
        kind: str = "a",
        machine: str = "",
        stop_s: float = 0.1,
        clock_rate: float = 1.0,
        clock_from: int = 1_000,
    ) -> None:
        self.name, self.address, self.service, self.zone = name, address, service, zone
        self.cpu, self.mem, self.rack, self.machine = cpu, mem, rack, machine
        self.kind = kind
        self.born = time.time_ns() // 1_000_000
        self.runs: dict[str, Run] = {}
        self.ends: list[list] = []
        self.highest: dict[str, int] = {}
        self.token = 0
        self.deadline = 0
        self.number = 0
        self.acked = 0
        self.seq = 0
        self.draining = False
        self.lease_over = True
        self.hangs = False
        self._table, self._log, self._jobs, self._gangs = table, log, jobs, gangs
        self._stop_s = stop_s
        self._rate, self._clock_from = clock_rate, clock_from
        self._began = time.monotonic()
        self._server = HttpServer(self._handle)
        self._tasks: list[asyncio.Task] = []
        self._ended = asyncio.Event()
        self.alive = False

    async def start(self) -> None:
        self.alive = True
        await self._server.listen(self.address)
        self._write_entry()
        self._tasks = [asyncio.ensure_future(self._beat()), asyncio.ensure_future(self._tick())]
        self._log("minion-up", minion=self.name, born=self.born)

    def crash(self) -> None:
        """End at once, with all runs."""
        self.alive = False
        for task in self._tasks:
            task.cancel()
        self._server.close()
        for run in list(self.runs.values()):
            self._log("lost", minion=self.name, task=run.task, attempt=run.attempt)
            self._gangs.get((_group(run.task), run.attempt), set()).discard(run.task)
        self.runs.clear()
        self._log("minion-down", minion=self.name)

    def clock(self) -> int:
        return self._clock_from + int((time.monotonic() - self._began) * 1_000 * self._rate)

    def _write_entry(self) -> None:
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "seq": self.seq,
            "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
            "labels": [self.kind, self.rack],
            "machine": self.machine or "m-" + self.name,
            "born": self.born,
        }
        self._table.put("servers", self.name, entry)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.1)
            self._write_entry()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._advance()

    def _advance(self) -> None:
        now = time.monotonic()
        lapsed = self.clock() >= self.deadline
        if lapsed and not self.lease_over:
            self._log("lease-over", minion=self.name)
        self.lease_over = lapsed
        for run in list(self.runs.values()):
            if run.task not in self.runs:
                continue
            if lapsed:
                self._end(run, "lapsed")
                continue
            step = run.task.split(".")[2]
            members = run.work.gang.get(step, 0)
            if members:
                present = self._gangs.setdefault((_group(run.task), run.attempt), set())
                run.whole = len(present) >= members or run.done_s > 0
                if not run.whole and now > run.began + 3.0:
                    self._end(run, "alone")
                    continue
            if run.whole:
                run.done_s += (now - run.at) * run.pace / 100
            run.at = now
            if run.work.checkpoint_s and run.done_s >= run.work.checkpoint_s:
                run.saved = f"{int(run.done_s * 1_000):08x}{run.task[:8]}"
            if run.stopping and now >= run.stopping:
                self._end(run, "stopped")
            elif not run.work.lasting and run.done_s >= run.work.seconds(run.task):
                self._end(run, "failed" if run.work.fails(run.task, run.attempt) else "done")

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.attempt)
        self.number += 1
        self.ends.append([self.number, run.task, run.attempt, how, run.saved])
        self._gangs.get((_group(run.task), run.attempt), set()).discard(run.task)
        self._log("end", minion=self.name, task=run.task, attempt=run.attempt, how=how, n=self.number)
        self._ended.set()
        self._ended = asyncio.Event()

    async def _handle(self, method, path, headers, body):
        try:
            return await self._answer_call(method, path, headers, body)
        except asyncio.CancelledError:
            return None  # the deployment ends

    async def _answer_call(self, method, path, headers, body):
        if self.hangs:
            await asyncio.sleep(60)
            return None
        if path == "/healthz":
            return 200, b"{}"
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, b"{}"
        try:
            call = json.loads(body)
        except ValueError:
            return 400, b"{}"
        self._advance()
        match path:
            case "/run-start":
                return self._start(call)
            case "/run-stop":
                return self._stop(call)
            case "/pace":
                return self._pace(call)
            case "/hold":
                return await self._hold(call)
        return 404, b"{}"

    def _answer(self, status: int = 200, **fields) -> tuple[int, bytes]:
        body = {"clockMs": self.clock(), "born": self.born, **fields}
        return status, json.dumps(body).encode()

    def _fenced(self, call: dict) -> bool:
        token = call.get("fencingToken", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def _extend(self, deadline: int) -> None:
        self.deadline = max(self.deadline, min(deadline, self.clock() + MAX_HOLD_MS))
        self.lease_over = self.clock() >= self.deadline

    def _start(self, call: dict):
        if self._fenced(call):
            return self._answer(409, reason="fence")
        if call["deadlineMs"] <= self.clock():
            return self._answer(409, reason="late")
        self._extend(call["deadlineMs"])
        task, attempt = call["task"], call["attempt"]
        present = self.runs.get(task)
        if present is not None and present.attempt == attempt:
            return self._answer()
        if attempt <= self.highest.get(task, 0) or (present and attempt < present.attempt):
            return self._answer(409, reason="old")
        work = self._jobs[task.split(".")[0]]
        cpu = sum(run.work.cpu for run in self.runs.values() if not run.work.fills)
        mem = sum(run.work.mem for run in self.runs.values())
        if (not work.fills and cpu + work.cpu > self.cpu) or mem + work.mem > self.mem:
            return self._answer(409, reason="room")
        now = time.monotonic()
        run = Run(task, attempt, now, work, at=now)
        if call.get("checkpoint"):
            run.saved = call["checkpoint"]
            run.done_s = int(run.saved[:8], 16) / 1_000
        self.runs[task] = run
        self._gangs.setdefault((_group(task), attempt), set()).add(task)
        self._log("start", minion=self.name, task=task, attempt=attempt, token=self.token)
        return self._answer()

    def _stop(self, call: dict):
        if self._fenced(call):
            return self._answer(409, reason="fence")
        task, attempt = call["task"], call["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt and not run.stopping:
            run.stopping = time.monotonic() + self._stop_s
        return self._answer()

    def _pace(self, call: dict):
        if self._fenced(call):
            return self._answer(409, reason="fence")
        run = self.runs.get(call["task"])
        if run is not None and run.attempt == call["attempt"]:
            run.pace = call["percent"]
        return self._answer()

    async def _hold(self, call: dict):
        if self._fenced(call):
            return self._answer(409, reason="fence")
        if call.get("ackedSeq", 0) > self.acked:
            self.acked = call["ackedSeq"]
            self._log("acked", minion=self.name, n=self.acked)
        self.ends = [end for end in self.ends if end[0] > self.acked]
        if call.get("deadlineMs"):
            self._extend(call["deadlineMs"])
        wait = min(2_000, call.get("waitMs", 0)) / 1_000
        if wait and not self.ends:
            try:
                async with asyncio.timeout(wait):
                    await self._ended.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.attempt, run.saved, self._percent(run), self._measure(run)]
            for run in self.runs.values()
        ]
        return self._answer(running=running, finished=self.ends[:MAX_ENDS])

    def _percent(self, run: Run) -> int:
        if run.work.lasting:
            return 100 if time.monotonic() > run.began + 0.3 else 50
        return min(99, int(100 * run.done_s / max(0.01, run.work.seconds(run.task))))

    def _measure(self, run: Run) -> int:
        if run.work.tail_ms:
            return run.work.tail_ms
        return run.work.used_cpu or run.work.cpu


def _group(task: str) -> str:
    return task.rpartition(".")[0]
