"""
Conductor
=========

Carry out a plan of faults on a deployment, and mend everything at its end.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import TypeVar

from tools.soak.deployment import Deployment
from tools.soak.events import Signal, Troubled
from tools.soak.faults import (
    Fault,
    HangUp,
    Kill,
    Link,
    LinkMode,
    Pause,
    Reconfigure,
    StoreForgets,
    StoreLate,
    StoreLoses,
    StoreRefuses,
    StoreSilent,
    StoreSlow,
    Terminate,
    Timed,
    WorkerCrash,
    WorkerFails,
    WorkerLate,
    WorkerLeaves,
    WorkerRefuses,
)
from tools.soak.hosts import GRACE
from tools.soak.store import Trouble

__all__ = ["Conductor"]

T = TypeVar("T")
START = 3.0  # s that a process may take to start


class Conductor:
    """Begin each fault at its time; each ends by itself."""

    def __init__(self, deployment: Deployment) -> None:
        self._site = deployment
        self._tasks: set[asyncio.Task[None]] = set()
        self._links: list[Link] = []

    async def carry_out(self, plan: tuple[Timed, ...]) -> None:
        """Begin all faults of a plan, and wait until the last has ended."""
        begun = time.monotonic()
        for timed in plan:
            await asyncio.sleep(max(0.0, begun + timed.at - time.monotonic()))
            self._tell(timed.fault)
            task = asyncio.ensure_future(self._begin(timed.fault))
            self._tasks.add(task)
        await asyncio.gather(*self._tasks)
        await self._mend()

    def close(self) -> None:
        """Begin nothing more."""
        for task in self._tasks:
            task.cancel()

    async def _mend(self) -> None:
        for host in self._site.hosts:
            host.send(Signal.CONTINUE)
            host.start()

    def _tell(self, fault: Fault) -> None:
        """Tell the checks of trouble in which some answers may be late."""
        now = time.monotonic()
        until, orders = now, False
        match fault:
            case Terminate() | Kill():
                until += fault.away + GRACE + START
            case WorkerLate() | WorkerLeaves() | WorkerRefuses() | WorkerFails():
                orders = True
                until += 4.0 * (fault.by if isinstance(fault, WorkerLate) else 1.0)
            case Link():
                orders = fault.workers is not None
                until += fault.lasts
            case Pause() | StoreRefuses() | StoreSlow() | StoreSilent():
                until += fault.lasts
            case StoreLate():
                until += fault.by + START
        self._site.record(Troubled(now, until, orders))

    def _begin(self, fault: Fault) -> Coroutine[None, None, None]:
        match fault:
            case Terminate() | Kill() | Pause() | HangUp():
                return self._signal(fault)
            case WorkerCrash() | WorkerLeaves() | WorkerLate() | WorkerRefuses() | WorkerFails():
                return self._trouble_worker(fault)
            case Link():
                return self._trouble_link(fault)
        return self._trouble_store(fault)

    async def _signal(self, fault: Terminate | Kill | Pause | HangUp) -> None:
        host = self._site.hosts[fault.host]
        match fault:
            case Terminate():
                host.send(Signal.TERMINATE)
                await host.replace(fault.away)
            case Kill():
                host.send(Signal.KILL)
                await host.replace(fault.away)
            case Pause():
                paused = host.process
                host.send(Signal.STOP)
                await asyncio.sleep(fault.lasts)
                if host.process is paused:
                    host.send(Signal.CONTINUE)
            case HangUp():
                host.write_settings()
                if host.listens():
                    host.send(Signal.HANG_UP)

    async def _trouble_store(self, fault: Fault) -> None:
        match fault:
            case Reconfigure():
                self._site.configure(fault.extra)
            case StoreForgets():
                self._site.store.forget_history()
            case StoreLoses():
                self._site.views[fault.host].faults.lose_writes += fault.writes
            case StoreLate():
                faults = self._site.views[fault.host].faults
                faults.late_by = fault.by
                faults.late_writes += fault.writes
            case StoreRefuses():
                await self._treat(fault.hosts, Trouble(status=fault.status), fault.lasts)
            case StoreSlow():
                await self._treat(fault.hosts, Trouble(takes=fault.takes), fault.lasts)
            case StoreSilent():
                await self._treat(fault.hosts, Trouble(silent=True), fault.lasts)

    async def _treat(self, hosts: tuple[int, ...], trouble: Trouble, lasts: float) -> None:
        views = [self._site.views[host] for host in hosts]
        for view in views:
            view.troubles.append(trouble)
            view.note()
        await asyncio.sleep(lasts)
        for view in views:
            view.troubles.remove(trouble)
            view.note()

    async def _trouble_link(self, fault: Link) -> None:
        self._links.append(fault)
        self._set_links(fault)
        await asyncio.sleep(fault.lasts)
        self._links.remove(fault)
        self._set_links(fault)

    def _set_links(self, changed: Link) -> None:
        """Let each link that is named behave as the newest trouble of it says."""
        for host in changed.hosts:
            for worker in changed.workers or (None,):
                mode, delay = LinkMode.OPEN, 0.0
                for link in self._links:
                    if host in link.hosts and worker in (link.workers or (None,)):
                        mode, delay = link.mode, link.delay
                self._site.set_link(host, worker, mode, delay)

    async def _trouble_worker(
        self, fault: WorkerCrash | WorkerLeaves | WorkerLate | WorkerRefuses | WorkerFails
    ) -> None:
        moods = self._site.moods[fault.worker]
        match fault:
            case WorkerCrash():
                await self._replace_worker(fault.worker, None, fault.away)
            case WorkerLeaves():
                await self._replace_worker(fault.worker, fault.drains, fault.away)
            case WorkerLate():
                await _hold(moods.late, fault.by, fault.lasts)
            case WorkerRefuses():
                await _hold(moods.refuses, fault.status, fault.lasts)
            case WorkerFails():
                await _hold(moods.fails, True, fault.lasts)

    async def _replace_worker(self, number: int, drains: float | None, away: float) -> None:
        """End a life of a worker and start the next, unless that is under way."""
        worker = self._site.workers[number]
        if worker is None:
            return
        if drains is not None:
            await worker.drain(drains)
        if self._site.workers[number] is not worker:
            return
        self._site.workers[number] = None
        await worker.crash()
        await asyncio.sleep(away)
        await self._site.start_worker(number)


async def _hold(moods: list[T], mood: T, lasts: float) -> None:
    moods.append(mood)
    await asyncio.sleep(lasts)
    moods.remove(mood)
