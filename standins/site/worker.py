"""
Worker
======

A worker that registers itself in the store and receives orders over HTTP.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any, Protocol

import msgspec

from standins.site.worker_core import WorkerCore
from toucanpin.http import Request, Response, Server
from toucanpin.platform.workers import encode_task, parse_task
from toucanpin.scheduling.orders import RefusalReason, StartAnswer, WorkerEntry

__all__ = ["Registry", "SiteWorker"]

TICK_S = 0.02  # period of checks for ended runs
_REASONS = {
    RefusalReason.FENCED: "fence",
    RefusalReason.OLD_ATTEMPT: "old",
    RefusalReason.LATE: "late",
    RefusalReason.NO_ROOM: "room",
}


class Registry(Protocol):
    """Where workers register: the store, or a path to it."""

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row."""

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""


class SiteWorker:
    """Serve the HTTP interface of one worker."""

    def __init__(self, store: Registry, entry: WorkerEntry) -> None:
        self.core = WorkerCore(entry)
        self.refuse_next = 0
        self.garbage_next = 0
        self.unanswered_next = 0  # starts that are dropped
        self.polls = 0
        self.crashing: frozenset[str] = frozenset()  # jobs whose tasks crash this worker
        self.crashed = asyncio.Event()
        self._store = store
        # The clock showed ``_clock_origin`` at ``_clock_began``.
        self._clock_origin, self._clock_began = 1.0, time.monotonic()
        self._clock_rate = 1.0
        self._sequence = 1
        self._task: asyncio.Task[None] | None = None
        self._server = Server(self._handle, 16_384, 65_536)

    async def start(self) -> None:
        """Listen and register."""
        entry = self.core.entry
        await self._server.listen(entry.address)
        self.register()
        self._task = asyncio.ensure_future(self._advance())

    async def stop(self) -> None:
        """Stop without removing the worker's entry."""
        if self._task is not None:
            self._task.cancel()
        await self._server.drain(0.0)

    async def cut_off(self) -> None:
        """Refuse connections and lose the entry, as behind a cut; what runs there runs on."""
        await self._server.drain(0.0)
        self._store.delete("servers", self.core.entry.id)

    async def leave(self) -> None:
        """Stop and remove the worker's entry from the store."""
        await self.stop()
        self._store.delete("servers", self.core.entry.id)

    def register(self) -> None:
        """Write the worker's entry to the store."""
        entry = self.core.entry
        fields = {
            "service": entry.service,
            "address": entry.address,
            "zone": entry.data_centre,
            "state": "ready" if entry.ready else "draining",
            "capacity": {"cpu": entry.cpu, "memMb": entry.memory, "gpu": entry.accelerators},
            "labels": entry.labels,
            "seq": self._sequence,
        }
        if entry.born:
            fields["born"] = entry.born
        self._sequence += 1
        self._store.put("servers", entry.id, msgspec.json.encode(fields))

    def slow_clock(self, rate: float) -> None:
        """Let the worker's steady clock run at a rate from now on."""
        self._clock_origin, self._clock_began = self._now(), time.monotonic()
        self._clock_rate = rate

    def _now(self) -> float:
        return self._clock_origin + self._clock_rate * (time.monotonic() - self._clock_began)

    async def _advance(self) -> None:
        while True:
            self.core.advance(self._now())
            await asyncio.sleep(TICK_S)

    async def _handle(self, request: Request) -> Response | None:
        if request.headers.get("x-expect-instance") != self.core.entry.id:
            return Response(421)
        call = msgspec.json.decode(request.body)
        match request.path:
            case "/run-start":
                return self._start(call)
            case "/run-stop":
                task = parse_task(call["task"])
                refused = self.core.stop(task, call["attempt"], call["fencingToken"])
                return self._answer(refused)
            case "/pace":
                return self._answer(None)
            case "/hold":
                return await self._poll(call)
        return Response(404)

    def _start(self, call: dict[str, Any]) -> Response | None:
        if parse_task(call["task"]).job in self.crashing:
            self.crashed.set()
            return None
        if self.unanswered_next:
            self.unanswered_next -= 1
            return None
        if self.garbage_next:
            self.garbage_next -= 1
            return Response(500, b"garbage")
        if self.refuse_next:
            self.refuse_next -= 1
            return self._answer(RefusalReason.NO_ROOM)
        answer: StartAnswer = self.core.start(
            parse_task(call["task"]),
            call["attempt"],
            call["deadlineMs"],
            call["fencingToken"],
            self._now(),
        )
        return self._answer(answer.refused)

    async def _poll(self, call: dict[str, Any]) -> Response:
        self.polls += 1
        deadline = time.monotonic() + call.get("waitMs", 0) / 1_000
        while True:
            report = self.core.poll(
                call["fencingToken"],
                call.get("ackedSeq", 0),
                call.get("deadlineMs", 0),
                self._now(),
            )
            if isinstance(report, RefusalReason):
                return self._answer(report)
            if report.ended or time.monotonic() >= deadline:
                break
            await asyncio.sleep(TICK_S)
        running = [
            [encode_task(r.task), r.attempt, r.checkpoint, r.percent, 0] for r in report.running
        ]
        ended = [
            [e.sequence, encode_task(e.task), e.attempt, e.end.value, e.checkpoint]
            for e in report.ended
        ]
        return self._reply(200, {"clockMs": report.clock, "running": running, "finished": ended})

    def _answer(self, refused: RefusalReason | None) -> Response:
        clock = int(self._now() * 1_000)
        if refused is None:
            return self._reply(200, {"clockMs": clock})
        return self._reply(409, {"clockMs": clock, "reason": _REASONS[refused]})

    def _reply(self, status: int, body: dict[str, Any]) -> Response:
        """Answer as this incarnation; without a number, as an older platform's worker does."""
        if self.core.entry.born:
            body["born"] = self.core.entry.born
        return Response(status, msgspec.json.encode(body))
