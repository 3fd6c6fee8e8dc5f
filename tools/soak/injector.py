"""
Fault injector
==============

Inject a plan of faults into a deployment, and undo them all at its end.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine

from tools.soak import faults
from tools.soak.deployment import Deployment
from tools.soak.events import DisturbanceSeen, Signal, WorkerTroubleSeen
from tools.soak.faults import Fault, LinkMode, Mood, TimedFault

__all__ = ["FaultInjector"]

WORKER_FAULTS = (
    faults.WorkerEnds,
    faults.WorkerRestarts,
    faults.WorkerCut,
    faults.BusiestWorkerCut,
    faults.WorkerMood,
)
RECORD_PERIOD_S = 0.2  # between records of an ongoing disturbance


class FaultInjector:
    """Begin each fault of a plan at its time; each ends after its own duration."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._active: dict[asyncio.Task[None], Fault] = {}
        self._links: list[faults.LinkTrouble] = []
        self._cuts: list[faults.LinkTrouble] = []  # they outweigh troubles of single links

    async def run(self, plan: tuple[TimedFault, ...]) -> None:
        """Inject all faults of a plan and wait until the last has ended."""
        recording = asyncio.ensure_future(self._record_disturbances())
        started_at = time.monotonic()
        try:
            for timed in plan:
                await asyncio.sleep(max(0.0, started_at + timed.at - time.monotonic()))
                task = asyncio.ensure_future(self._begin(timed.fault))
                self._active[task] = timed.fault
                task.add_done_callback(self._active.pop)
            await asyncio.gather(*self._active)
        finally:
            recording.cancel()
            for task in tuple(self._active):
                task.cancel()
        self._restore()

    def _restore(self) -> None:
        for view in self._deployment.views:
            view.faults.lose_writes = view.faults.late_writes = 0
        for host in self._deployment.hosts:
            host.send(Signal.CONTINUE)
            host.start()

    async def _record_disturbances(self) -> None:
        """Record disturbances in which answers may be late, for the checks."""
        while True:
            now = time.monotonic()
            if any(isinstance(fault, WORKER_FAULTS) for fault in self._active.values()):
                self._deployment.record(WorkerTroubleSeen(now))
            delays = {_delays_only_orders(fault) for fault in self._active.values()} - {None}
            if delays:
                self._deployment.record(DisturbanceSeen(now, orders=False not in delays))
            await asyncio.sleep(RECORD_PERIOD_S)

    def _begin(self, fault: Fault) -> Coroutine[None, None, None]:
        match fault:
            case faults.ProcessEnds() | faults.ProcessPauses() | faults.SettingsChange():
                return self._signal(fault)
            case faults.OwnerEnds():
                host = self._deployment.find_owner(fault.cell)
                return self._signal(faults.ProcessEnds(host, Signal.KILL, fault.away))
            case faults.OwnerPauses():
                host = self._deployment.find_owner(fault.cell)
                return self._signal(faults.ProcessPauses(host, fault.lasts))
            case faults.WorkerEnds() | faults.WorkerRestarts() | faults.WorkerMood():
                return self._disturb_worker(fault)
            case faults.LinkTrouble():
                return self._disturb_link(fault, self._links)
            case faults.WorkerCut():
                return self._cut_worker(fault)
            case faults.BusiestWorkerCut():
                worker = self._deployment.find_busiest_worker()
                cut = faults.WorkerCut(worker, fault.modes, fault.lasts, fault.report_age)
                return self._cut_worker(cut)
        return self._disturb_store(fault)

    async def _signal(
        self, fault: faults.ProcessEnds | faults.ProcessPauses | faults.SettingsChange
    ) -> None:
        host = self._deployment.hosts[fault.host]
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

    async def _disturb_store(self, fault: Fault) -> None:
        match fault:
            case faults.ConfigurationChanges():
                self._deployment.configure(fault.extra)
            case faults.DataCentreEvacuated():
                self._deployment.evacuate(fault.data_centre)
                await asyncio.sleep(fault.lasts)
                self._deployment.end_evacuation(fault.data_centre)
            case faults.HistoryDropped():
                self._deployment.store.forget_history()
            case faults.WritesUnanswered():
                self._deployment.views[fault.host].leave_unanswered(fault.writes, fault.late_by)
                await asyncio.sleep(fault.late_by)
            case faults.StoreTrouble():
                views = [self._deployment.views[host] for host in fault.hosts]
                for view in views:
                    view.begin(fault)
                await asyncio.sleep(fault.lasts)
                for view in views:
                    view.end(fault)

    async def _disturb_link(
        self, fault: faults.LinkTrouble, active: list[faults.LinkTrouble]
    ) -> None:
        active.append(fault)
        self._set_links(fault)
        await asyncio.sleep(fault.lasts)
        active.remove(fault)
        self._set_links(fault)

    async def _cut_worker(self, fault: faults.WorkerCut) -> None:
        reports = self._deployment.reports[fault.worker]
        reports.cut(fault.report_age)
        hosts = tuple(range(self._deployment.size.hosts))
        for mode in fault.modes:
            lasts = fault.lasts / len(fault.modes)
            trouble = faults.LinkTrouble(hosts, (fault.worker,), mode, lasts)
            await self._disturb_link(trouble, self._cuts)
        if not fault.modes:
            await asyncio.sleep(fault.lasts)
        reports.restore()

    def _set_links(self, changed: faults.LinkTrouble) -> None:
        """Set each affected link to the mode of the newest fault on it that is active."""
        for host in changed.hosts:
            for worker in changed.workers or (None,):
                mode, delay = LinkMode.OPEN, 0.0
                for link in (*self._links, *self._cuts):
                    if host in link.hosts and worker in (link.workers or (None,)):
                        mode, delay = link.mode, link.delay
                self._deployment.set_link(host, worker, mode, delay)

    async def _disturb_worker(
        self, fault: faults.WorkerEnds | faults.WorkerRestarts | faults.WorkerMood
    ) -> None:
        match fault:
            case faults.WorkerMood():
                moods = self._deployment.moods[fault.worker]
                moods.append(fault)
                await asyncio.sleep(fault.lasts)
                moods.remove(fault)
            case faults.WorkerEnds():
                await self._deployment.replace_worker(fault.worker, fault.drains, fault.away)
            case faults.WorkerRestarts():
                await self._deployment.restart_worker(fault.worker, fault.away)


def _delays_only_orders(fault: Fault) -> bool | None:
    """Return whether a fault only delays orders to workers; None if it delays nothing."""
    match fault:
        case faults.WorkerMood(mood=Mood.LATE):
            return True
        case faults.WorkerEnds() | faults.WorkerRestarts() | faults.WorkerMood():
            return None
        case faults.DataCentreEvacuated():
            return None
        case faults.WorkerCut() | faults.BusiestWorkerCut():
            return True if fault.modes else None
        case faults.LinkTrouble():
            return fault.workers is not None
    return False
