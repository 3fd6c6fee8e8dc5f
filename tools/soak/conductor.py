"""
Conductor
=========

Carry out a plan of faults on a deployment, and mend everything at its end.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine

from tools.soak import faults
from tools.soak.deployment import Deployment
from tools.soak.events import Signal, Troubled
from tools.soak.faults import Fault, LinkMode, Mood, Timed

__all__ = ["Conductor"]

TELL = 0.2  # s between notes that there is trouble


class Conductor:
    """Begin each fault at its time; each ends by itself."""

    def __init__(self, deployment: Deployment) -> None:
        self._site = deployment
        self._active: dict[asyncio.Task[None], Fault] = {}
        self._links: list[faults.LinkTrouble] = []

    async def carry_out(self, plan: tuple[Timed, ...]) -> None:
        """Begin all faults of a plan, and wait until the last has ended."""
        telling = asyncio.ensure_future(self._tell())
        begun = time.monotonic()
        try:
            for timed in plan:
                await asyncio.sleep(max(0.0, begun + timed.at - time.monotonic()))
                task = asyncio.ensure_future(self._begin(timed.fault))
                self._active[task] = timed.fault
                task.add_done_callback(self._active.pop)
            await asyncio.gather(*self._active)
        finally:
            telling.cancel()
            for task in tuple(self._active):
                task.cancel()
        self._mend()

    def _mend(self) -> None:
        for view in self._site.views:
            view.faults.lose_writes = view.faults.late_writes = 0
        for host in self._site.hosts:
            host.send(Signal.CONTINUE)
            host.start()

    async def _tell(self) -> None:
        """Tell the checks of trouble in which some answers may be late."""
        while True:
            now = time.monotonic()
            troubles = {_tells_trouble(fault) for fault in self._active.values()} - {None}
            if troubles:
                self._site.record(Troubled(now, orders=False not in troubles))
            await asyncio.sleep(TELL)

    def _begin(self, fault: Fault) -> Coroutine[None, None, None]:
        match fault:
            case faults.ProcessEnds() | faults.ProcessPauses() | faults.SettingsChange():
                return self._signal(fault)
            case faults.WorkerEnds() | faults.WorkerMood():
                return self._trouble_worker(fault)
            case faults.LinkTrouble():
                return self._trouble_link(fault)
        return self._trouble_store(fault)

    async def _signal(
        self, fault: faults.ProcessEnds | faults.ProcessPauses | faults.SettingsChange
    ) -> None:
        host = self._site.hosts[fault.host]
        match fault:
            case faults.ProcessEnds():
                host.send(fault.signal)
                await host.replace(fault.away)
            case faults.ProcessPauses():
                paused = host.process
                host.send(Signal.STOP)
                await asyncio.sleep(fault.lasts)
                if host.process is paused:
                    host.send(Signal.CONTINUE)
            case faults.SettingsChange():
                host.write_settings()
                if host.listens():
                    host.send(Signal.HANG_UP)

    async def _trouble_store(self, fault: Fault) -> None:
        match fault:
            case faults.ConfigurationChanges():
                self._site.configure(fault.extra)
            case faults.DataCentreEvacuated():
                self._site.evacuate(fault.data_centre)
                await asyncio.sleep(fault.lasts)
                self._site.take_back(fault.data_centre)
            case faults.HistoryDropped():
                self._site.store.forget_history()
            case faults.WritesUnanswered():
                self._site.views[fault.host].leave_unanswered(fault.writes, fault.late_by)
                await asyncio.sleep(fault.late_by)
            case faults.StoreTrouble():
                views = [self._site.views[host] for host in fault.hosts]
                for view in views:
                    view.begin(fault)
                await asyncio.sleep(fault.lasts)
                for view in views:
                    view.end(fault)

    async def _trouble_link(self, fault: faults.LinkTrouble) -> None:
        self._links.append(fault)
        self._set_links(fault)
        await asyncio.sleep(fault.lasts)
        self._links.remove(fault)
        self._set_links(fault)

    def _set_links(self, changed: faults.LinkTrouble) -> None:
        """Let each link that is named behave as the newest trouble of it says."""
        for host in changed.hosts:
            for worker in changed.workers or (None,):
                mode, delay = LinkMode.OPEN, 0.0
                for link in self._links:
                    if host in link.hosts and worker in (link.workers or (None,)):
                        mode, delay = link.mode, link.delay
                self._site.set_link(host, worker, mode, delay)

    async def _trouble_worker(self, fault: faults.WorkerEnds | faults.WorkerMood) -> None:
        match fault:
            case faults.WorkerMood():
                moods = self._site.moods[fault.worker]
                moods.append(fault)
                await asyncio.sleep(fault.lasts)
                moods.remove(fault)
            case faults.WorkerEnds():
                await self._site.replace_worker(fault.worker, fault.drains, fault.away)


def _tells_trouble(fault: Fault) -> bool | None:
    """Tell whether a fault only delays orders to workers; None if it delays nothing."""
    match fault:
        case faults.WorkerMood(mood=Mood.LATE):
            return True
        case faults.WorkerEnds() | faults.WorkerMood() | faults.DataCentreEvacuated():
            return None
        case faults.LinkTrouble():
            return fault.workers is not None
    return False
