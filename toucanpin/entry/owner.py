"""
Owner of a cell
===============

Schedule the tasks of one cell while this process owns it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine

import logbook

from toucanpin.entry.advice_dispatcher import AdviceDispatcher
from toucanpin.entry.cell_jobs import CellJobs
from toucanpin.entry.cell_rows import CellRows, OwnershipLostError
from toucanpin.entry.cell_workers import CellWorkers
from toucanpin.entry.clocks import Clocks, steady_time
from toucanpin.entry.decision_log import (
    log_colocation,
    log_ended,
    log_evacuations,
    log_failed_tasks,
    log_forecast,
    log_headroom,
    log_losses,
    log_placement,
    log_slow_workers,
    log_standstill,
    log_unsettled,
    log_waits,
)
from toucanpin.entry.metrics import TURN_TIME
from toucanpin.entry.periodic import PeriodicDecision
from toucanpin.entry.row_cache import RowCache
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.submissions import sweep_refusals
from toucanpin.entry.waves import WaveController
from toucanpin.entry.worker_introduction import WorkerIntroduction
from toucanpin.exception import PlatformError
from toucanpin.http import CallError
from toucanpin.platform.machines import MachineClient
from toucanpin.platform.store import Row, Store
from toucanpin.platform.workers import WORKERS_TABLE, decode_worker
from toucanpin.scheduling.advising import AdviceRequest, plan_advice_requests, record_advice
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.colocation_plan import ColocationPlan
from toucanpin.scheduling.consolidating import consolidate_images
from toucanpin.scheduling.crashing import fail_crashing_jobs
from toucanpin.scheduling.evacuating import (
    EvacuationList,
    apply_evacuations,
    describe_evacuations,
    has_current_evacuations,
)
from toucanpin.scheduling.features import select_features
from toucanpin.scheduling.forecast import (
    FORECAST_PERIOD_S,
    Forecast,
    LoadHistory,
    make_forecast,
)
from toucanpin.scheduling.headroom import describe_headroom
from toucanpin.scheduling.intake import begin_due, forget_ended
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.lease_ends import (
    find_earlier_leases_end,
    restore_lease_ends,
    withhold_leases,
)
from toucanpin.scheduling.leases import (
    MAX_STARTS_BEFORE_RENEWALS,
    awaits_first_renewals,
    expire_leases,
)
from toucanpin.scheduling.load_shedding import ProcessDelay, StartBacklog, TimeShare
from toucanpin.scheduling.moving import move_tasks
from toucanpin.scheduling.orders import WorkerEntry
from toucanpin.scheduling.ownership import OWNER_WRITE_INTERVAL_S, OwnerRecord
from toucanpin.scheduling.pacing import control_pace
from toucanpin.scheduling.placing import place_tasks
from toucanpin.scheduling.settings import HostSettings
from toucanpin.scheduling.standstill import StandstillCause, StandstillMeter
from toucanpin.scheduling.unsettled import describe_unsettled
from toucanpin.scheduling.write_batches import (
    MAX_FORGOTTEN,
    apply_batch,
    has_pending_writes,
    take_batch,
)

__all__ = ["Owner"]

_log = logbook.Logger("owner")
TICK_PERIOD_S = 0.05  # between checks for expired leases, due start times and stalls
MOVE_PERIOD_S = 0.2  # between searches for tasks to move; workers answer every 0.4 s
LIST_PERIOD_S = 0.5  # between reads of the workers' entries; a drain must be noticed within 2 s
MAX_VIEW_AGE_MS = 2_500  # no tasks are placed if the last read of the jobs is older
RETRY_DELAY_S = 0.1  # before a failed read is repeated
CLEANUP_PERIOD_S = 5.0  # between searches for ended jobs whose retention is over
REPORT_PERIOD_S = 1.0  # between log lines about waiting tasks and delays
MAX_PLACING_SHARE = 0.35  # maximum fraction of the time that is spent on placing
# An owner that is later than this refuses jobs by its backlog; a forecast would add to its work.
MAX_FORECAST_DELAY_S = FORECAST_PERIOD_S
MIN_LOGGED_DELAY_S = 0.2  # longer delays of the event loop and of answers are logged
RETENTION_MARGIN_S = 15.0  # by which ended jobs are kept longer than promised


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
        self._load_history = LoadHistory()
        self._advice_dispatcher = advice_dispatcher
        self._workers_enforce_limits = workers_enforce_limits
        self._evacuated = evacuated
        earlier_leases_end = find_earlier_leases_end(previous, silent_since, steady_time())
        self._cell = Cell(name, record.token, earlier_leases_end, confirmed)
        if previous is not None:
            ends = restore_lease_ends(previous.lease_ends, silent_since)
            self._cell.earlier_lease_ends = ends
            withhold_leases(self._cell, record.lease_ends)
            self._cell.taken_over_from = silent_since
        self._cell.stop_time = settings.bounds.stop_time
        self._cell.restore_time = settings.bounds.restore_time
        self._cell.max_lease = settings.bounds.max_lease
        self._cell.features = select_features(settings.bounds)
        self._interference = InterferenceModel(
            ColocationPlan() if self._cell.features.colocation_planning else None
        )
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
        self._workers = CellWorkers(
            self._cell, self._interference, clocks, self._delay, self._spawn, self._dispatch_orders
        )
        self._introduction = WorkerIntroduction(self._cell, self._workers, lambda: self.loaded)
        self._waves: WaveController | None = None
        if settings.machines:
            client = MachineClient(settings.machines, settings.name)
            self._waves = WaveController(
                store, client, self._cell, clocks, settings.bounds, previous is None
            )
        self._tasks: set[asyncio.Task] = set()
        self._wake = asyncio.Event()
        self._placing_share = TimeShare(MAX_PLACING_SHARE)
        self._backlog = StartBacklog()
        self._standstill = StandstillMeter(silent_since)
        self._standstill.record_blocked(StandstillCause.TAKEOVER, steady_time())
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
        loop = asyncio.get_running_loop()
        self._failure = loop.create_future()
        try:
            self._spawn(self._follow_workers())
            self._jobs.followed_version = await self._load()
            self.loaded = True
            self._standstill.record_blocked(StandstillCause.LOADING, steady_time())
            self._workers.signal_loaded()
            following = (self._jobs.follow, self._jobs.relist)
            for part in (self._commit, *following, self._tick, self._drop_ended_jobs):
                self._spawn(part())
            if self._waves is not None:
                self._spawn(self._waves.run())
            if self._cell.features.admission_control:
                self._spawn(sweep_refusals(self._store, self._clocks, self._cell.name))
            await self._failure
        finally:
            for task in tuple(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
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
        counts: Counter[str] = Counter()
        for group, indices in self._cell.waiting.items():
            counts[str(self._cell.jobs[group.job].job.priority)] += len(indices)
        return counts

    @property
    def backlog(self) -> dict[int, int]:
        """Estimated waiting time of new tasks by priority, in ms."""
        return self._rows.backlog

    @property
    def forecast(self) -> Forecast | None:
        """Newest forecast of the waits of new jobs, None if there is none."""
        return self._rows.forecast

    def count_evacuated(self) -> dict[str, float]:
        """Return the number of tasks that still run in each evacuated data centre."""
        return {it.data_centre: float(it.runs) for it in describe_evacuations(self._cell)}

    def count_unsettled(self) -> dict[str, float]:
        """Return the number of runs on workers that don't answer, by what is known of those."""
        found = describe_unsettled(self._cell)
        if found is None:
            return {}
        return {"unreached": float(found.unreached), "silent": float(found.silent)}

    def count_headroom(self) -> dict[str, float]:
        """Return the cores that are kept for short tasks, by what is counted."""
        if not self._cell.features.urgent_headroom:
            return {}
        return describe_headroom(self._cell.headroom)

    def resign(self) -> None:
        """Give up the ownership with the next write."""
        self._resigning = True
        self._wake.set()

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._reap)

    def _reap(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or self._failure is None or self._failure.done():
            return
        error = task.exception()
        if error is not None:
            self._failure.set_exception(error)

    async def _commit(self) -> None:
        # The first write lists the workers that haven't answered yet.  If this owner dies soon, the
        # next one would otherwise count their leases from its takeover.
        is_first = True
        while True:
            due = self._rows.written_at + OWNER_WRITE_INTERVAL_S - steady_time()
            if due > 0 and not is_first and not self._must_write():
                try:
                    async with asyncio.timeout(min(due, TICK_PERIOD_S)):
                        await self._wake.wait()
                        await asyncio.sleep(self._placing_share.remaining_pause(steady_time()))
                except TimeoutError:
                    pass
            self._wake.clear()
            self._place_tasks()
            is_early = steady_time() < self._rows.written_at + OWNER_WRITE_INTERVAL_S
            if is_early and not is_first and not self._must_write():
                continue
            is_first = False
            batch = take_batch(self._cell)
            sent_at = steady_time()
            await self._rows.write(batch, self._resigning)
            self._standstill.record_write(sent_at, steady_time())
            self._cell.confirmed_at = self._rows.written_at
            started = apply_batch(self._cell, batch)
            self._workers.signal_written()
            log_ended(self._cell, batch.records, self._clocks.now())
            for run in started:
                log_placement(self._cell, run, self._clocks.now())
                self._spawn(self._workers.start(run))
            self._raise_if_resigned()

    def _must_write(self) -> bool:
        """Return whether there is more to write than a renewal of the ownership."""
        return has_pending_writes(self._cell) or self._resigning

    def _place_tasks(self) -> None:
        """Place waiting tasks if its share of the time allows it and the view of jobs is recent."""
        now = self._clocks.now()
        self._update_evacuated()
        if self._placing_share.remaining_pause(now.steady):
            return
        blocked = self._find_block(now)
        if blocked is not None:
            self._standstill.record_blocked(blocked, now.steady)
        else:
            log_standstill(self._cell, self._standstill.record_placing(now.steady))
            max_starts = self._delay.limit_starts(now.steady)
            if not self._introduction.completed or awaits_first_renewals(self._cell):
                max_starts = min(max_starts, MAX_STARTS_BEFORE_RENEWALS)
            max_starts -= self._workers.count_starting()
            before = len(self._cell.placed)
            place_tasks(self._cell, self._interference, now, max_starts)
            self._backlog.record_starts(len(self._cell.placed) - before, now.steady)
        ended = steady_time()
        self._placing_share.record(now.steady, ended)
        TURN_TIME.record(ended - now.steady, {"what": "placing"})

    def _find_block(self, now: Now) -> StandstillCause | None:
        """Return why no task may be placed now, None if tasks may."""
        if not self._has_recent_jobs(now):
            return StandstillCause.JOBS
        if not has_current_evacuations(self._cell, now):
            return StandstillCause.EVACUATIONS
        return None

    def _raise_if_resigned(self) -> None:
        """Raise OwnershipLostError if this owner's resignation has been written."""
        if not self._rows.record.host:
            raise OwnershipLostError("resigned")

    def _has_recent_jobs(self, now: Now) -> bool:
        """
        Return whether the jobs were read recently.

        No task of a cancelled job may start later than 3 s after a host acknowledged the cancel.
        """
        return now.table - self._rows.view.clock <= MAX_VIEW_AGE_MS

    def _update_evacuated(self) -> None:
        if apply_evacuations(self._cell, self._evacuated(), self._bounds.evacuation_time):
            log_evacuations(self._cell)

    async def _follow_workers(self) -> None:
        """Read the workers' entries periodically."""
        cache = RowCache(self._store, WORKERS_TABLE)
        while True:
            try:
                await cache.update()
            except (CallError, PlatformError) as error:
                _log.warning("workers' entries not read", event="workers.unread", reason=error)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            rows = cache.rows
            valid = {
                row.key: entry for row, entry in self._reader.read(rows.values(), _decode_entry)
            }
            own = [entry for entry in valid.values() if entry.service == self._cell.name]
            malformed = rows.keys() - valid.keys()
            self._cell.workers_enforce_limits = self._workers_enforce_limits()
            await self._introduction.update(own, malformed)
            await asyncio.sleep(LIST_PERIOD_S)

    async def _drop_ended_jobs(self) -> None:
        """Delete the rows of jobs whose retention is over, without delaying commits."""
        while True:
            ended = self._cell.job_rows_to_delete[:MAX_FORGOTTEN]
            if not ended:
                await asyncio.sleep(CLEANUP_PERIOD_S)
                continue
            await self._rows.drop_jobs(ended)
            del self._cell.job_rows_to_delete[: len(ended)]
            self._cell.progress_rows_to_delete += ended
            self._wake.set()

    async def _request_advice(self, request: AdviceRequest) -> None:
        advice = await self._advice_dispatcher.request(request.group, request.workers)
        record_advice(self._cell, request, advice, self._clocks.now())
        self._wake.set()

    async def _tick(self) -> None:
        cleaned_at = reported_at = 0.0
        periodic = [
            PeriodicDecision(lambda now: move_tasks(self._cell, now), MOVE_PERIOD_S),
            PeriodicDecision(lambda now: control_pace(self._cell, self._interference, now), 0.0),
            PeriodicDecision(
                lambda now: consolidate_images(self._cell, self._interference, now), 0.0
            ),
        ]
        if self._cell.features.admission_control:
            periodic.append(PeriodicDecision(self._forecast_queues, FORECAST_PERIOD_S))
        while True:
            due = steady_time() + TICK_PERIOD_S
            await asyncio.sleep(TICK_PERIOD_S)
            now = self._clocks.now()
            self._delay.record(now.steady - due, now.steady)
            self._update_evacuated()
            for worker in expire_leases(self._cell, now):
                _log.info("worker's lease expired", event="worker.gone", worker=worker.entry.id)
            log_failed_tasks(self._cell, fail_crashing_jobs(self._cell, now))
            begin_due(self._cell, now)
            for decision in periodic:
                decision.run_if_due(self._clocks.now())
            free = self._advice_dispatcher.count_free()
            for request in plan_advice_requests(self._cell, self._interference, free, now):
                self._spawn(self._request_advice(request))
            if now.steady > reported_at + REPORT_PERIOD_S:
                reported_at = now.steady
                log_unsettled(self._cell, now)
                log_waits(self._cell, now)
                log_headroom(self._cell, now)
                log_colocation(self._cell, self._interference, now)
                self._estimate_backlog(now)
                self._log_delay(now)
                if self._cell.evacuated:
                    log_evacuations(self._cell)
            if now.steady > cleaned_at + CLEANUP_PERIOD_S:
                cleaned_at = now.steady
                forget_ended(self._cell, now, self._bounds.job_retention + RETENTION_MARGIN_S)
            self._dispatch_orders()

    def _estimate_backlog(self, now: Now) -> None:
        waiting: Counter[int] = Counter()
        for group, indices in self._cell.waiting.items():
            job = self._cell.jobs[group.job].job
            # Long-running tasks may wait for room indefinitely.
            if not job.steps[group.step].long_running:
                waiting[job.priority] += len(indices)
        delay = self._delay.read(now.steady)
        self._rows.backlog = self._backlog.estimate_waits(waiting, delay, now.steady)

    def _forecast_queues(self, now: Now) -> None:
        if self._delay.read(now.steady) > MAX_FORECAST_DELAY_S:
            return
        self._rows.forecast = make_forecast(self._cell, self._load_history, now)
        log_forecast(self._cell, self._rows.forecast)

    def _log_delay(self, now: Now) -> None:
        """Log a warning if this host is overloaded or was suspended."""
        delay = self._delay.read(now.steady)
        if delay > MIN_LOGGED_DELAY_S:
            _log.warning(
                "owner can't keep up with its cell",
                event="owner.behind",
                cell=self._cell.name,
                delay=round(delay, 3),
                starting=self._workers.count_starting(),
                backlog=str(self._rows.backlog),
                waiting=sum(map(len, self._cell.waiting.values())),
                silent=sum(worker.silent for worker in self._cell.workers.values()),
            )

    def _dispatch_orders(self) -> None:
        log_losses(self._cell)
        log_slow_workers(self._cell)
        orders = self._cell.orders
        self._cell.orders = []
        for order in orders:
            self._spawn(self._workers.order(order))
        if has_pending_writes(self._cell) or self._cell.waiting:
            self._wake.set()


def _decode_entry(row: Row) -> WorkerEntry:
    return decode_worker(row.key, row.value)
