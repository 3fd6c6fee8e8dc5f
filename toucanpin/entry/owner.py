"""
Owner of a cell
===============

Schedule the tasks of one cell while this process owns it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from toucanpin.entry.advice_dispatcher import AdviceDispatcher
from toucanpin.entry.advice_requests import AdviceRequests
from toucanpin.entry.background_tasks import BackgroundTasks
from toucanpin.entry.cell_counts import (
    count_evacuated,
    count_headroom,
    count_late_occurrences,
    count_room,
    count_unsettled,
    count_waiting,
)
from toucanpin.entry.cell_decisions import CellDecisions
from toucanpin.entry.cell_jobs import CellJobs
from toucanpin.entry.cell_rows import CellRows, OwnershipLostError
from toucanpin.entry.cell_workers import CellWorkers
from toucanpin.entry.clocks import Clocks, steady_time
from toucanpin.entry.commit_loop import CommitLoop
from toucanpin.entry.decision_log import (
    log_colocation,
    log_evacuations,
    log_headroom,
    log_losses,
    log_reappearances,
    log_slow_workers,
    log_steps_at_fault,
    log_unsettled,
    log_waits,
)
from toucanpin.entry.job_cleanup import JobCleanup
from toucanpin.entry.load_estimates import LoadEstimates
from toucanpin.entry.occurrence_log import LateJobsLog
from toucanpin.entry.periodic import PeriodTimer
from toucanpin.entry.placement_turns import PlacementTurns
from toucanpin.entry.room_log import log_room
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.submissions import sweep_refusals
from toucanpin.entry.waves import WaveController
from toucanpin.entry.worker_introduction import WorkerIntroduction
from toucanpin.entry.worker_listing import WorkerListing
from toucanpin.platform.machines import MachineClient
from toucanpin.platform.store import Store
from toucanpin.scheduling.authority import TAKEOVER_AUTHORITY_S
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.colocation_plan import ColocationPlan
from toucanpin.scheduling.evacuating import EvacuationList, apply_evacuations
from toucanpin.scheduling.features import select_features
from toucanpin.scheduling.forecast import Forecast
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.lease_ends import (
    find_earlier_leases_end,
    restore_lease_ends,
    withhold_leases,
)
from toucanpin.scheduling.load_shedding import ProcessDelay
from toucanpin.scheduling.ownership import OWNER_WRITE_INTERVAL_S, OwnerRecord
from toucanpin.scheduling.settings import HostSettings
from toucanpin.scheduling.standstill import StandstillCause, StandstillMeter
from toucanpin.scheduling.write_batches import has_pending_writes

__all__ = ["Owner"]

TICK_PERIOD_S = 0.05  # between checks for expired leases, due start times and stalls
REPORT_PERIOD_S = 1.0  # between log lines about waiting tasks and delays


class Owner:
    """
    Scheduler of one cell, until another process owns the cell or this one resigns.

    ``record`` is the owner's row, written at ``version`` by a transaction that was sent at
    ``confirmed``.  ``previous`` is the last owner's row, None if no process has owned the cell
    before, and ``silent_since`` is when its last write was seen.
    ``workers_enforce_limits`` returns whether the cell's workers refuse tasks that don't fit, and
    ``evacuated`` returns the data centres in which no task may start.
    """

    def __init__(
        self,
        store: Store,
        clocks: Clocks,
        settings: HostSettings,
        name: str,
        record: OwnerRecord,
        version: int,
        confirmed: float,
        previous: OwnerRecord | None,
        silent_since: float,
        advice_dispatcher: AdviceDispatcher,
        workers_enforce_limits: Callable[[], bool],
        evacuated: Callable[[], EvacuationList],
    ) -> None:
        self._store = store
        self._clocks = clocks
        self._bounds = settings.bounds
        self._evacuated = evacuated
        earlier_leases_end = find_earlier_leases_end(previous, silent_since, steady_time())
        self._cell = Cell(name, record.token, earlier_leases_end, confirmed)
        self._cell.owned_since = steady_time()
        self._cell.authority = TAKEOVER_AUTHORITY_S
        if previous is not None:
            ends = restore_lease_ends(previous.lease_ends, silent_since)
            self._cell.earlier_lease_ends = ends
            withhold_leases(self._cell, record.lease_ends)
            self._cell.taken_over_from = silent_since
        self._cell.stop_time = settings.bounds.stop_time
        self._cell.restore_time = settings.bounds.restore_time
        self._cell.max_lease = settings.bounds.max_lease
        self._cell.max_row = settings.max_row
        self._cell.features = select_features(settings.bounds)
        self._interference = InterferenceModel(
            ColocationPlan() if self._cell.features.colocation_planning else None
        )
        self._tasks = BackgroundTasks()
        spawn = self._tasks.spawn
        self._reader = RowReader()
        self._rows = CellRows(
            store, self._cell, self._interference, record, version, confirmed, self._reader
        )
        self._jobs = CellJobs(
            store,
            clocks,
            self._cell,
            self._rows,
            self._reader,
            settings.bounds.job_retention,
            self._dispatch_orders,
        )
        self._delay = ProcessDelay()
        self._estimates = LoadEstimates(self._cell, self._rows, self._delay)
        self._workers = CellWorkers(
            self._cell, self._interference, clocks, self._delay, spawn, self._dispatch_orders
        )
        self._decisions = CellDecisions(
            self._cell, self._interference, clocks.now, self._forecast_queues
        )
        introduction = WorkerIntroduction(self._cell, self._workers, lambda: self.loaded)
        self._listing = WorkerListing(
            store, self._cell, self._reader, introduction, workers_enforce_limits
        )
        self._waves: WaveController | None = None
        if settings.machines:
            client = MachineClient(settings.machines, settings.name)
            self._waves = WaveController(
                store, client, self._cell, clocks, settings.bounds, previous is None
            )
        self._wake = asyncio.Event()
        self._cleanup = JobCleanup(
            self._cell, self._rows, settings.bounds.job_retention, self._wake.set
        )
        self._advice_requests = AdviceRequests(
            self._cell, self._interference, clocks, advice_dispatcher, spawn, self._wake.set
        )
        self._report_timer = PeriodTimer(REPORT_PERIOD_S)
        self._late_jobs = LateJobsLog()
        self._standstill = StandstillMeter(silent_since)
        self._standstill.record_blocked(StandstillCause.TAKEOVER, steady_time())
        placement = PlacementTurns(
            self._cell,
            self._interference,
            clocks,
            self._delay,
            self._rows,
            self._workers,
            self._estimates,
            self._standstill,
            self._update_evacuated,
        )
        self._commits = CommitLoop(
            self._cell,
            clocks,
            self._rows,
            self._workers,
            placement,
            self._standstill,
            self._wake,
            spawn,
            lambda: self._resigning,
            self._raise_if_resigned,
        )
        self._failure: asyncio.Future[None] | None = None
        self._resigning = False
        self.loaded = False  # whether the cell's rows are read, so that tasks can be placed

    async def run(self) -> None:
        """
        Schedule the cell's tasks until the ownership is lost.

        Raises
        ------
        OwnershipLostError
            If another process owns the cell.
        """
        self._failure = self._tasks.begin()
        try:
            self._tasks.spawn(self._listing.run())
            self._jobs.followed_version = await self._load()
            self.loaded = True
            self._standstill.record_blocked(StandstillCause.LOADING, steady_time())
            self._workers.signal_loaded()
            following = (self._jobs.follow, self._jobs.relist)
            for part in (self._commits.run, *following, self._tick, self._cleanup.drop_ended):
                self._tasks.spawn(part())
            if self._waves is not None:
                self._tasks.spawn(self._waves.run())
            if self._cell.features.admission_control:
                self._tasks.spawn(sweep_refusals(self._store, self._clocks, self._cell.name))
            await self._failure
        finally:
            await self._tasks.cancel()
            self._workers.close()

    async def _load(self) -> int:
        """
        Read the cell's rows; return the version from which to follow changes.

        With a slow store or link this takes seconds.  The ownership is renewed meanwhile, since an
        owner that writes nothing for 1.3 s is replaced, and so are the leases of the workers.
        """
        reading = asyncio.ensure_future(self._rows.load(self._clocks.now))
        try:
            while not (await asyncio.wait((reading,), timeout=OWNER_WRITE_INTERVAL_S))[0]:
                # A process that shuts down has no time to finish reading.  Resigning now saves the
                # next owner the wait for this one's timeout.
                await self._rows.renew(self._resigning)
                self._raise_if_resigned()
                if self._failure is not None and self._failure.done():
                    self._failure.result()
            return reading.result()
        finally:
            reading.cancel()

    def count_waiting(self) -> Counter[str]:
        """Return the number of unplaced tasks by priority."""
        return count_waiting(self._cell)

    @property
    def backlog(self) -> dict[int, int]:
        """Estimated waiting time of new tasks by priority, in ms."""
        return self._rows.backlog

    @property
    def forecast(self) -> Forecast | None:
        """Newest forecast of the waits of new jobs, None if there is none."""
        return self._rows.forecast

    def count_late_occurrences(self) -> dict[str, float]:
        """Return the number of due occurrences that haven't begun, by priority."""
        return count_late_occurrences(self._cell, self._clocks.now())

    def count_evacuated(self) -> dict[str, float]:
        """Return the number of tasks that still run in each evacuated data centre."""
        return count_evacuated(self._cell)

    def count_unsettled(self) -> dict[str, float]:
        """Return the number of runs on workers that don't answer, by what is known of those."""
        return count_unsettled(self._cell)

    def count_headroom(self) -> dict[str, float]:
        """Return the cores that are kept for short tasks, by what is counted."""
        return count_headroom(self._cell)

    def count_room(self) -> dict[str, float]:
        """Return the cores of the cell by who holds or waits for them, and its whole workers."""
        return count_room(self._cell)

    def resign(self) -> None:
        """Give up the ownership with the next write."""
        self._resigning = True
        self._wake.set()

    def _raise_if_resigned(self) -> None:
        """Raise OwnershipLostError if this owner's resignation has been written."""
        if not self._rows.record.host:
            raise OwnershipLostError("resigned")

    def _update_evacuated(self) -> None:
        """Apply the current list of evacuated data centres."""
        if apply_evacuations(self._cell, self._evacuated(), self._bounds.evacuation_time):
            log_evacuations(self._cell)

    async def _tick(self) -> None:
        """Make the decisions that are due, periodically."""
        while True:
            due = steady_time() + TICK_PERIOD_S
            await asyncio.sleep(TICK_PERIOD_S)
            now = self._clocks.now()
            self._delay.record(now.steady - due, now.steady)
            self._update_evacuated()
            self._decisions.make_due(now)
            self._advice_requests.send(now)
            if self._report_timer.restart_if_due(now):
                self._report(now)
            self._cleanup.forget_ended_if_due(now)
            self._dispatch_orders()

    def _report(self, now: Now) -> None:
        """Log what waits and why, and estimate for how long."""
        log_unsettled(self._cell, now)
        log_waits(self._cell, now)
        self._late_jobs.write_if_due(self._cell, now)
        log_headroom(self._cell, now)
        log_room(self._cell, self._delay.read(now.steady))
        log_colocation(self._cell, self._interference, now)
        self._estimate_backlog(now)
        self._estimates.log_delay(self._workers.count_starting(), now)
        if self._cell.evacuated:
            log_evacuations(self._cell)

    def _estimate_backlog(self, now: Now) -> None:
        self._estimates.update_backlog(now)

    def _forecast_queues(self, now: Now) -> None:
        self._estimates.update_forecast(now)

    def _dispatch_orders(self) -> None:
        log_losses(self._cell)
        log_reappearances(self._cell)
        log_slow_workers(self._cell)
        log_steps_at_fault(self._cell)
        orders = self._cell.orders
        self._cell.orders = []
        for order in orders:
            self._tasks.spawn(self._workers.order(order))
        if has_pending_writes(self._cell) or self._cell.waiting:
            self._wake.set()
