"""
Owner of a cell
===============

Drive the decisions about one cell while this process owns it: rows, workers, orders.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

import logbook
import msgspec

from toucanpin.entry.clocks import Clocks, steady_time
from toucanpin.entry.rows import (
    COUNTS,
    EFFECTS,
    HANDOVERS,
    JOBS,
    OWNER_KEY,
    OWNERS,
    PROGRESS,
    cancel_key,
    job_part,
    list_job_parts,
    split_key,
)
from toucanpin.exception import PlatformError
from toucanpin.http import CallError
from toucanpin.platform.advice import AdviceCalls
from toucanpin.platform.store import Committed, Expected, Page, Put, Row, Store
from toucanpin.platform.workers import (
    WORKERS_TABLE,
    WorkerCalls,
    WorkerReplacedError,
    decode_worker,
)
from toucanpin.scheduling.advising import Advice, AdviceOrder, plan_advice, take_advice
from toucanpin.scheduling.batches import Batch, apply_batch, has_work, take_batch
from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.counting import count_pending
from toucanpin.scheduling.holding import (
    AUTHORITY,
    lapse_workers,
    list_workers,
    plan_hold,
    replace_worker,
    take_answer,
    take_silence,
)
from toucanpin.scheduling.intake import (
    begin_due,
    cancel_job,
    forget_ended,
    restore_job,
    submit_job,
)
from toucanpin.scheduling.job import decode_job, format_task
from toucanpin.scheduling.moving import move_tasks
from toucanpin.scheduling.orders import PaceOrder, Refused, StopOrder, WorkerEntry
from toucanpin.scheduling.ownership import RENEWAL, OwnerRecord, decode_owner, encode_owner
from toucanpin.scheduling.pacing import control_pace
from toucanpin.scheduling.placing import list_able, place_tasks
from toucanpin.scheduling.progress import decode_progress
from toucanpin.scheduling.settings import HostSettings
from toucanpin.scheduling.sharing import Learned, Sharing, learn_effects
from toucanpin.scheduling.starting import (
    Next,
    plan_start,
    take_no_start,
    take_started,
    take_stopped,
)
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = ["DeposedError", "Owner"]

_log = logbook.Logger("owner")
TICK = 0.05  # s between looks at what only time brings: lapsed leases, due times, stalls
LIST_PERIOD = 0.5  # s between reads of the workers' entries; a drain must be seen within 2 s
RELIST_PERIOD = 3.0  # s between full reads of the jobs, for what a watch has missed
FEED_WAIT = 5.0  # s that a watch of the jobs waits
SHORT_RETRY = 0.02  # s before a start is repeated
RETRY = 0.1  # s before an order is repeated
HOLD_TIMEOUT = 0.7  # s beyond its wait for a worker's answer
SILENT_PAUSE = 0.3  # s between questions to a worker that doesn't answer
COMMIT_TIMEOUT = 2.0  # s for one try of a commit; a store 60 times slower takes 0.6 s
COUNT_PERIOD = 0.5  # s between writes of how many jobs wait
LEARNED_PERIOD = 3.0  # s between writes of what was learned
FORGET_PERIOD = 5.0  # s between looks for jobs that ended long ago
KEEP_MARGIN = 15.0  # s that ended jobs are kept longer than promised


class DeposedError(Exception):
    """Say that another process owns the cell."""


class Owner:
    """Own one cell until another process does or this one resigns."""

    def __init__(
        self, store: Store, clocks: Clocks, settings: HostSettings, name: str, record: OwnerRecord
    ) -> None:
        self._store = store
        self._clocks = clocks
        self._bounds = settings.bounds
        self._advice = AdviceCalls(settings.advice) if settings.advice else None
        self._record = record
        self._version = 0
        self._cell = Cell(name, record.token, 0.0, 0.0)
        self._sharing = Sharing()
        self._calls: dict[str, WorkerCalls] = {}
        self._tasks: set[asyncio.Task] = set()
        self._wake = asyncio.Event()
        self._parts = frozenset(list_job_parts(name))
        self._deposed: asyncio.Future[None] | None = None
        self._feed_from = 0
        self._written_at = 0.0
        self._counted_at = 0.0
        self._counts: dict[str, int] = {}
        self._learned_at = 0.0
        self._resigning = False

    async def run(self, version: int, confirmed: float, first: bool) -> None:
        """
        Decide about the cell from the write of ``version`` on, sent at ``confirmed``.

        Raises
        ------
        DeposedError
            If another process owns the cell.
        """
        loop = asyncio.get_running_loop()
        self._deposed = loop.create_future()
        self._version = version
        self._cell.confirmed = confirmed
        self._written_at = confirmed
        # Everything that an earlier owner granted ends by then, on a clock that is 2% slow too.
        self._cell.horizon = steady_time() + (0.0 if first else AUTHORITY * 1.04 + 0.4)
        try:
            await self._load()
            for work in (self._commit(), self._follow(), self._list(), self._tick()):
                self._spawn(work)
            await self._deposed
        finally:
            for task in tuple(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for calls in self._calls.values():
                calls.close()

    def resign(self) -> None:
        """Give the cell up with the next write."""
        self._resigning = True
        self._wake.set()

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._reap)

    def _reap(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or self._deposed is None or self._deposed.done():
            return
        error = task.exception()
        if error is not None:
            self._deposed.set_exception(error)

    async def _load(self) -> None:
        """Read all rows of the cell, then the workers; nothing is decided before."""
        while True:
            try:
                jobs = await self._read_jobs()
                progress = await self._store.read_all(PROGRESS, self._cell.name)
                learned = await self._store.read(EFFECTS, self._cell.name)
                break
            except (CallError, PlatformError) as error:
                _log.warning("cell not read", event="cell.unread", reason=error)
                await asyncio.sleep(RETRY)
        if learned.rows:
            effects = msgspec.msgpack.decode(learned.rows[0].value, type=Learned)
            self._sharing.restore(effects, self._clocks.now().steady)
        known = {row.key: decode_progress(row.value) for row in progress.rows}
        now = self._clocks.now()
        cancelled = []
        for row in jobs.rows:
            identifier, is_cancel = split_key(row.key)
            if is_cancel:
                cancelled.append(identifier)
                continue
            job = decode_job(row.value)
            if identifier in known:
                restore_job(self._cell, job, known[identifier], now)
            else:
                submit_job(self._cell, job, now)
        for identifier in cancelled:
            cancel_job(self._cell, identifier, now)
        self._feed_from = jobs.version
        _log.info(
            "cell owned",
            event="cell.owned",
            cell=self._cell.name,
            token=self._cell.token,
            jobs=len(self._cell.jobs),
        )

    async def _commit(self) -> None:
        while True:
            due = self._written_at + RENEWAL - steady_time()
            if due > 0 and not has_work(self._cell) and not self._resigning:
                try:
                    async with asyncio.timeout(min(due, TICK)):
                        await self._wake.wait()
                except TimeoutError:
                    pass
            self._wake.clear()
            now = self._clocks.now()
            place_tasks(self._cell, self._sharing, now)
            idle = not has_work(self._cell) and not self._resigning
            if idle and steady_time() < self._written_at + RENEWAL:
                continue
            batch = take_batch(self._cell)
            await self._write(batch)
            for run in apply_batch(self._cell, batch):
                _log.info(
                    "placed",
                    event="task.placed",
                    job=run.task.job,
                    task=format_task(run.task),
                    attempt=run.attempt,
                    worker=run.worker,
                )
                self._spawn(self._start(run))
            if not self._record.host:
                raise DeposedError("resigned")

    async def _write(self, batch: Batch) -> None:
        """Write a batch, however long it takes; nothing of a later one is written before."""
        host = "" if self._resigning else self._record.host
        record = OwnerRecord(host, self._record.life, self._record.token, self._record.sequence + 1)
        puts = [Put(OWNERS, OWNER_KEY, encode_owner(record))]
        puts += [Put(PROGRESS, key, value) for key, value in batch.records.items()]
        for identifier in batch.forgotten:
            await self._drop_job(identifier)
            puts.append(Put(PROGRESS, identifier, None))
        if self._resigning:
            puts.append(Put(HANDOVERS, OWNER_KEY, self._record.life.encode()))
        puts += self._put_counts()
        puts += self._put_effects()
        pause = 0.02
        while True:
            expected = (Expected(OWNERS, OWNER_KEY, self._version),)
            sent_at = steady_time()
            try:
                result = await self._store.transact(self._cell.name, expected, puts, COMMIT_TIMEOUT)
            except CallError as error:
                _log.warning("commit not answered", event="commit.unanswered", reason=error)
                await asyncio.sleep(pause)
                pause = min(0.2, 2 * pause)
                continue
            if isinstance(result, Committed):
                self._version = result.version
                break
            row = result.rows[0]
            found = decode_owner(row.value) if row.version else None
            if found == record:
                # An earlier try whose answer was lost was carried out.
                self._version = row.version
                break
            if found == self._record:
                self._version = row.version
                continue
            raise DeposedError(f"owned by {found}")
        self._record = record
        self._written_at = sent_at
        self._cell.confirmed = sent_at

    async def _read_jobs(self) -> Page:
        """Read the jobs of all parts; ``version`` is the oldest of their moments."""
        pages = [await self._store.read_all(JOBS, part) for part in list_job_parts(self._cell.name)]
        rows = tuple(row for page in pages for row in page.rows)
        return Page(rows, False, min(page.version for page in pages), pages[-1].clock)

    async def _drop_job(self, identifier: str) -> None:
        """Drop a job's own rows before its progress, or it would look like a new one."""
        drops = (Put(JOBS, identifier, None), Put(JOBS, cancel_key(identifier), None))
        while True:
            try:
                await self._store.transact(job_part(self._cell.name, identifier), (), drops)
                return
            except CallError:
                await asyncio.sleep(RETRY)

    def _put_effects(self) -> list[Put]:
        if steady_time() < self._learned_at + LEARNED_PERIOD:
            return []
        self._learned_at = steady_time()
        learned = msgspec.msgpack.encode(self._sharing.export())
        return [Put(EFFECTS, OWNER_KEY, learned)]

    def _put_counts(self) -> list[Put]:
        if steady_time() < self._counted_at + COUNT_PERIOD:
            return []
        self._counted_at = steady_time()
        counts = count_pending(self._cell)
        for queue in self._counts:
            counts.setdefault(queue, 0)
        changed = {
            queue: count for queue, count in counts.items() if self._counts.get(queue) != count
        }
        self._counts = counts
        return [
            Put(COUNTS, queue, msgspec.msgpack.encode(count)) for queue, count in changed.items()
        ]

    async def _follow(self) -> None:
        """Take up new jobs and wishes to cancel as their rows appear."""
        listed_at = steady_time()
        while True:
            try:
                page = None
                if steady_time() < listed_at + RELIST_PERIOD:
                    wait = min(FEED_WAIT, max(0.05, listed_at + RELIST_PERIOD - steady_time()))
                    page = await self._store.follow(JOBS, self._feed_from, wait)
                if page is None:
                    page = await self._read_jobs()
                    listed_at = steady_time()
            except (CallError, PlatformError) as error:
                _log.warning("jobs not followed", event="jobs.unread", reason=error)
                await asyncio.sleep(RETRY)
                continue
            self._feed_from = max(self._feed_from, page.version)
            self._take_rows(page.rows)

    def _take_rows(self, rows: tuple[Row, ...]) -> None:
        now = self._clocks.now()
        cancelled = []
        for row in rows:
            if row.part not in self._parts or row.deleted:
                continue
            identifier, is_cancel = split_key(row.key)
            if is_cancel:
                cancelled.append(identifier)
            elif identifier not in self._cell.jobs:
                job = decode_job(row.value)
                # A row that was dropped since it was read is of a job that has long ended.
                if now.table - job.accepted < self._bounds.keep_ended * 1_000 or not job.accepted:
                    submit_job(self._cell, job, now)
        for identifier in cancelled:
            cancel_job(self._cell, identifier, now)
        self._after_change()

    async def _list(self) -> None:
        """Read the workers' entries."""
        while True:
            try:
                page = await self._store.read_all(WORKERS_TABLE)
            except (CallError, PlatformError) as error:
                _log.warning("workers not read", event="workers.unread", reason=error)
                await asyncio.sleep(RETRY)
                continue
            entries = (decode_worker(row.key, row.value) for row in page.rows)
            own = [entry for entry in entries if entry.service == self._cell.name]
            self._take_entries(own)
            await asyncio.sleep(LIST_PERIOD)

    def _take_entries(self, entries: list[WorkerEntry]) -> None:
        for worker in list_workers(self._cell, entries, self._clocks.now()):
            entry = worker.entry
            self._calls[entry.id] = WorkerCalls(entry.id, entry.address)
            self._spawn(self._hold(worker))

    async def _hold(self, worker: Worker) -> None:
        """Ask one worker for ever, so that its lease is renewed and its ends are heard."""
        identifier = worker.entry.id
        calls = self._calls[identifier]
        while self._cell.workers.get(identifier) is worker:
            order = plan_hold(self._cell, worker, self._clocks.now())
            sent_at = steady_time()
            try:
                answer = await calls.hold(
                    self._cell.token, order.acknowledged, order.deadline, order.wait, HOLD_TIMEOUT
                )
            except WorkerReplacedError:
                _log.info("worker replaced", event="worker.replaced", worker=identifier)
                replace_worker(self._cell, worker, self._clocks.now())
                self._after_change()
                break
            except (CallError, PlatformError) as error:
                if not worker.silent:
                    _log.warning(
                        "worker silent", event="worker.silent", worker=identifier, reason=error
                    )
                take_silence(worker)
                await asyncio.sleep(SILENT_PAUSE)
                continue
            if isinstance(answer, Refused):
                raise DeposedError(f"worker {identifier} refused: {answer.value}")
            now = self._clocks.now()
            for ended in answer.ended:
                if ended.sequence > worker.seen:
                    _log.info(
                        "ended",
                        event="task.ended",
                        job=ended.task.job,
                        task=format_task(ended.task),
                        attempt=ended.attempt,
                        worker=identifier,
                        end=ended.end.value,
                    )
            take_answer(self._cell, worker, answer, sent_at, now)
            learn_effects(self._sharing, worker, now)
            self._after_change()
            if order.wait == 0.0 and steady_time() - sent_at < 0.02:
                await asyncio.sleep(0.02)
        calls.close()
        if self._calls.get(identifier) is calls:
            del self._calls[identifier]

    async def _start(self, run: Run) -> None:
        """Send one start until its outcome is known."""
        while run.phase is Phase.ORDERED:
            worker = self._cell.workers.get(run.worker)
            calls = self._calls.get(run.worker)
            if worker is None or calls is None:
                return
            deadline = plan_start(self._cell, worker, run, self._clocks.now())
            if not deadline:
                await asyncio.sleep(RETRY)
                continue
            live = self._cell.jobs[run.task.job]
            try:
                answer = await calls.start(
                    run.task,
                    run.attempt,
                    live.job.spec,
                    deadline,
                    self._cell.token,
                    run.checkpoint,
                    run.ticket,
                )
            except WorkerReplacedError:
                return
            except (CallError, PlatformError) as error:
                certain = isinstance(error, CallError) and error.certain
                following = take_no_start(self._cell, worker, run, certain, self._clocks.now())
                if following is not Next.SETTLED:
                    await asyncio.sleep(SHORT_RETRY)
            else:
                if answer.refused is not None:
                    _log.info(
                        "start refused",
                        event="task.refused",
                        job=run.task.job,
                        worker=run.worker,
                        reason=answer.refused.value,
                    )
                following = take_started(self._cell, worker, run, answer, self._clocks.now())
            match following:
                case Next.FENCED:
                    raise DeposedError(f"worker {run.worker} has another owner")
                case Next.SETTLED:
                    break
                case Next.LATER:
                    await asyncio.sleep(RETRY)
        self._after_change()

    async def _order(self, order: StopOrder | PaceOrder) -> None:
        match order:
            case StopOrder():
                _log.info(
                    "stopping",
                    event="task.stopping",
                    job=order.task.job,
                    task=format_task(order.task),
                    worker=order.worker,
                    reason=order.reason,
                )
                await self._stop(order)
            case PaceOrder():
                await self._pace(order)

    async def _stop(self, order: StopOrder) -> None:
        """Send one stop until it is acknowledged or the worker's life is over."""
        while True:
            worker = self._cell.workers.get(order.worker)
            calls = self._calls.get(order.worker)
            if worker is None or calls is None:
                return
            run = worker.runs.get(order.task)
            try:
                refused = await calls.stop(order.task, order.attempt, self._cell.token)
            except WorkerReplacedError:
                return
            except (CallError, PlatformError):
                await asyncio.sleep(RETRY)
                continue
            if refused is Refused.FENCED:
                raise DeposedError(f"worker {order.worker} has another owner")
            if refused is Refused.UNHEALTHY:
                await asyncio.sleep(RETRY)
                continue
            if run is not None and run.attempt == order.attempt:
                take_stopped(worker, run, self._clocks.now())
            return

    async def _pace(self, order: PaceOrder) -> None:
        calls = self._calls.get(order.worker)
        if calls is None:
            return
        try:
            await calls.pace(order.task, order.attempt, order.percent, self._cell.token)
        except (CallError, PlatformError):
            worker = self._cell.workers.get(order.worker)
            run = worker.runs.get(order.task) if worker else None
            if run is not None:
                run.paced_at = 0.0
                run.pace = -1

    async def _advise(self, order: AdviceOrder) -> None:
        advice: Advice | None = None
        if self._advice is not None:
            try:
                advice = await self._advice.ask(order.group, order.workers)
            except CallError as error:
                _log.warning("no advice", event="advice.missing", reason=error)
        take_advice(self._cell, order, advice, self._clocks.now())
        self._wake.set()

    async def _tick(self) -> None:
        forgotten_at = 0.0
        while True:
            await asyncio.sleep(TICK)
            now = self._clocks.now()
            for worker in lapse_workers(self._cell, now):
                _log.info("worker gone", event="worker.gone", worker=worker.entry.id)
            begin_due(self._cell, now)
            move_tasks(self._cell, now)
            for order in plan_advice(self._cell, list_able(self._cell, now), now):
                self._spawn(self._advise(order))
            control_pace(self._cell, self._sharing, now)
            if now.steady > forgotten_at + FORGET_PERIOD:
                forgotten_at = now.steady
                forget_ended(self._cell, now, self._bounds.keep_ended + KEEP_MARGIN)
            self._after_change()

    def _after_change(self) -> None:
        orders = self._cell.orders
        self._cell.orders = []
        for order in orders:
            self._spawn(self._order(order))
        if has_work(self._cell) or self._cell.waiting:
            self._wake.set()
