"""
Workers of a cell
=================

Send the orders of a cell's owner to its workers, and handle their answers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Coroutine, Iterable

from toucanpin.entry.cell_rows import OwnershipLostError
from toucanpin.entry.clocks import Clocks, steady_time
from toucanpin.entry.worker_log import (
    log_distrusted,
    log_ends,
    log_refused,
    log_replaced,
    log_restarted,
    log_silent,
    log_unnumbered,
)
from toucanpin.entry.worker_orders import WorkerOrders
from toucanpin.exception import PlatformError
from toucanpin.http import CallError, ConnectionEndedError, UnreachableError
from toucanpin.platform.workers import WorkerClient, WorkerReplacedError
from toucanpin.scheduling.answer_timeout import MAX_LATENESS_S, AnswerTimeout
from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.fencing import find_token
from toucanpin.scheduling.incarnations import admit_answer
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.learning import learn_effects
from toucanpin.scheduling.leases import (
    awaits_renewal,
    mark_silent,
    plan_poll,
    plan_renewal,
    remove_replaced_worker,
    update_workers,
)
from toucanpin.scheduling.load_shedding import START_ANSWER_TIME_S, MinAnswerTime, ProcessDelay
from toucanpin.scheduling.orders import PaceOrder, PollAnswer, RefusalReason, StopOrder, WorkerEntry
from toucanpin.scheduling.starting import (
    StartOutcome,
    apply_start_answer,
    apply_start_failure,
    plan_start,
)
from toucanpin.scheduling.trust import is_distrusted
from toucanpin.scheduling.worker import Phase, Run, Silence, Worker
from toucanpin.scheduling.worker_answers import apply_answer, record_clock

__all__ = ["CellWorkers"]

START_RETRY_DELAY_S = 0.02  # before a start without an answer is repeated
RETRY_DELAY_S = 0.1  # before any other call is repeated
SILENT_RETRY_DELAY_S = 0.3  # between polls of a worker that doesn't answer
# Longest time between polls of a worker that has never answered and runs nothing: entries of other
# writers may name hundreds of addresses at which nobody answers.
MAX_UNKNOWN_RETRY_DELAY_S = 1.5
RENEWAL_PERIOD_S = 1.0  # between renewals of a lease while the cell's rows are being read
MAX_WRITE_WAIT_S = 0.4  # polls of a worker pause for up to this time while its ends are written


class CellWorkers:
    """Clients of the workers of one cell; calls ``on_change`` after each answer."""

    def __init__(
        self,
        cell: Cell,
        interference: InterferenceModel,
        clocks: Clocks,
        delay: ProcessDelay,
        spawn: Callable[[Coroutine], None],
        on_change: Callable[[], None],
    ) -> None:
        self._cell = cell
        self._interference = interference
        self._clocks = clocks
        self._delay = delay
        self._spawn = spawn
        self._on_change = on_change
        self._clients: dict[str, WorkerClient] = {}
        self._orders = WorkerOrders(cell, clocks, self._clients)
        self._answer_timeout = AnswerTimeout()
        self._write_done = asyncio.Event()
        self._loaded = asyncio.Event()
        self._min_answer_time = MinAnswerTime()
        self._starts_sent_at: dict[int, float] = {}  # starts that have no answer yet
        self._told_unknown = False  # that restarts of workers under their ids can't be told

    def count_starting(self) -> int:
        """Return the number of starts that have been sent and may still be answered."""
        now = steady_time()
        oldest = now - START_ANSWER_TIME_S - self._delay.read(now)
        return sum(sent_at > oldest for sent_at in self._starts_sent_at.values())

    def signal_loaded(self) -> None:
        """Signal that the cell's rows are read, so that workers' answers can be interpreted."""
        self._loaded.set()

    def signal_written(self) -> None:
        """Wake the polls that wait for ends to be written."""
        self._write_done.set()
        self._write_done.clear()

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()

    def update_entries(
        self, entries: Iterable[WorkerEntry], malformed: Collection[str] = frozenset()
    ) -> None:
        """Update the cell's workers from their entries, and start to poll new ones."""
        for worker in update_workers(self._cell, entries, self._clocks.now(), malformed):
            self._tell_unknown(worker, worker.entry.born)
            self._begin_polling(worker)

    def _begin_polling(self, worker: Worker) -> None:
        """Poll an incarnation of a worker that has just become known."""
        entry = worker.entry
        if worker.earlier_born:
            log_restarted(worker)
        self._clients[entry.id] = WorkerClient(entry.id, entry.address)
        self._spawn(self._poll(worker))

    def _admits_answer(self, worker: Worker, born: int, sent_at: float) -> bool:
        """Return whether a worker's answer is of its known incarnation; a newer one begins."""
        found = admit_answer(self._cell, worker, born, sent_at, self._clocks.now())
        if found is not None and found is not worker:
            self._begin_polling(found)
            self._on_change()
        return found is worker

    def _tell_unknown(self, worker: Worker, born: int) -> None:
        if not born and not self._told_unknown:
            self._told_unknown = True
            log_unnumbered(worker)

    async def _poll(self, worker: Worker) -> None:
        """Poll one worker, to renew its lease and to learn of ended runs, until it is replaced."""
        identifier = worker.entry.id
        client = self._clients[identifier]
        failures = 0
        await self._renew_until_loaded(worker, client)
        while self._cell.workers.get(identifier) is worker:
            order = plan_poll(self._cell, worker, self._clocks.now())
            token = find_token(self._cell, worker)
            sent_at = steady_time()
            # Only a second poll shows whether the answer to the first was lost or is late.
            timeout = MAX_LATENESS_S if worker.silent else self._answer_timeout.limit(sent_at)
            try:
                answer = await client.poll(
                    token, order.acknowledged, order.deadline, order.wait, timeout
                )
            except WorkerReplacedError:
                log_replaced(worker)
                remove_replaced_worker(self._cell, worker, self._clocks.now())
                self._on_change()
                break
            except (CallError, PlatformError) as error:
                if self._cell.workers.get(identifier) is not worker:
                    break
                repeated = worker.silent
                silence = _find_silence(error)
                if silence is not worker.silence:
                    log_silent(worker, silence, error)
                mark_silent(worker, self._clocks.now(), silence)
                if repeated:
                    await asyncio.sleep(_plan_retry_delay(worker, failures))
                    failures += 1
                    continue
                # Poll again at once: a single answer may have been lost, and the worker gets no
                # tasks until it answers.
                continue
            if isinstance(answer, RefusalReason):
                if self._cell.workers.get(identifier) is not worker:
                    break  # the next incarnation refuses what was sent to this one
                raise OwnershipLostError(f"worker {identifier} refused: {answer.value}")
            self._tell_unknown(worker, answer.born)
            if not self._admits_answer(worker, answer.born, sent_at):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            was_reached = worker.reached
            self._handle_answer(worker, answer, sent_at, order.wait)
            if awaits_renewal(worker):
                # Its clock is known only now, and the lease of an earlier owner may end any moment.
                await asyncio.sleep(RETRY_DELAY_S if was_reached else 0.0)
                continue
            await self._wait_for_writes(worker)
            await asyncio.sleep(self._delay.plan_pause(steady_time()))
        client.close()
        if self._clients.get(identifier) is client:
            del self._clients[identifier]

    def _handle_answer(
        self, worker: Worker, answer: PollAnswer, sent_at: float, wait: float
    ) -> None:
        """Apply the answer to a poll that was sent at ``sent_at`` and might wait for ``wait`` s."""
        now = self._clocks.now()
        self._answer_timeout.record(now.steady - sent_at - wait, now.steady)
        log_ends(worker, answer.ended)
        was_distrusted = is_distrusted(worker)
        apply_answer(self._cell, worker, answer, sent_at, now)
        if is_distrusted(worker) and not was_distrusted:
            log_distrusted(worker)
        learn_effects(self._interference, worker, len(self._cell.workers), now)
        self._on_change()

    async def _renew_until_loaded(self, worker: Worker, client: WorkerClient) -> None:
        """
        Renew a worker's lease until the cell's rows are read.

        On a slow link a new owner needs longer than a lease to read them; without renewals each
        takeover would lose all running tasks.
        """
        while not self._loaded.is_set() and self._cell.workers.get(worker.entry.id) is worker:
            deadline = plan_renewal(self._cell, worker, self._clocks.now())
            token = find_token(self._cell, worker)
            pause = RENEWAL_PERIOD_S if deadline else RETRY_DELAY_S if worker.clock else 0.0
            sent_at = steady_time()
            try:
                answer = await client.poll(token, 0, deadline, 0.0, MAX_LATENESS_S)
            except WorkerReplacedError:
                return
            except (CallError, PlatformError):
                pause = RETRY_DELAY_S
            else:
                if isinstance(answer, RefusalReason):
                    if self._cell.workers.get(worker.entry.id) is not worker:
                        return
                    raise OwnershipLostError(f"worker {worker.entry.id} refused: {answer.value}")
                if self._admits_answer(worker, answer.born, sent_at):
                    record_clock(worker, answer, self._clocks.now())
            try:
                async with asyncio.timeout(pause):
                    await self._loaded.wait()
            except TimeoutError:
                continue

    async def _wait_for_writes(self, worker: Worker) -> None:
        """
        Wait until the ended runs that a worker lists are written and can be acknowledged.

        Until then the worker answers each poll at once with the same list.  The wait is bounded so
        that a slow write doesn't delay the next renewal of the lease.
        """
        until = steady_time() + MAX_WRITE_WAIT_S
        while worker.listed_sequence > worker.acknowledged_sequence and steady_time() < until:
            try:
                async with asyncio.timeout(until - steady_time()):
                    await self._write_done.wait()
            except TimeoutError:
                return

    async def start(self, run: Run) -> None:
        """Send a start, and repeat it until its outcome is known."""
        while run.phase is Phase.ORDERED:
            worker = self._cell.workers.get(run.worker)
            client = self._clients.get(run.worker)
            if worker is None or client is None:
                return
            deadline = plan_start(self._cell, worker, run, self._clocks.now())
            if not deadline:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            live = self._cell.jobs[run.task.job]
            self._starts_sent_at[id(run)] = steady_time()
            try:
                answer = await client.start(
                    run.task,
                    run.attempt,
                    live.job.spec,
                    deadline,
                    find_token(self._cell, worker),
                    run.checkpoint,
                    run.ticket,
                )
            except WorkerReplacedError:
                return
            except (CallError, PlatformError) as error:
                certain = isinstance(error, CallError) and error.certain
                outcome = apply_start_failure(self._cell, worker, run, certain, self._clocks.now())
                if outcome is not StartOutcome.SETTLED:
                    await asyncio.sleep(START_RETRY_DELAY_S)
            else:
                self._record_answer(self._starts_sent_at[id(run)])
                if answer.refused is not None:
                    log_refused(run, answer.refused)
                outcome = StartOutcome.RETRY_LATER
                if self._admits_answer(worker, answer.born, self._starts_sent_at[id(run)]):
                    now = self._clocks.now()
                    outcome = apply_start_answer(self._cell, worker, run, answer, now)
            finally:
                self._starts_sent_at.pop(id(run), None)
            match outcome:
                case StartOutcome.FENCED:
                    raise OwnershipLostError(f"worker {run.worker} has another owner")
                case StartOutcome.SETTLED:
                    break
                case StartOutcome.RETRY_LATER:
                    await asyncio.sleep(RETRY_DELAY_S)
        self._on_change()

    def _record_answer(self, sent_at: float) -> None:
        now = steady_time()
        self._delay.record(self._min_answer_time.record(now - sent_at), now)

    async def order(self, order: StopOrder | PaceOrder) -> None:
        """Send an order to its worker."""
        await self._orders.send(order)


def _find_silence(error: Exception) -> Silence:
    """Return in which way a call failed."""
    if isinstance(error, UnreachableError) and error.refused:
        return Silence.REFUSED
    if isinstance(error, ConnectionEndedError) or isinstance(error.__cause__, ConnectionError):
        return Silence.RESET
    return Silence.UNANSWERED


def _plan_retry_delay(worker: Worker, failures: int) -> float:
    """Return the seconds until a silent worker is polled again."""
    if worker.reached or worker.runs:
        return SILENT_RETRY_DELAY_S
    return min(MAX_UNKNOWN_RETRY_DELAY_S, SILENT_RETRY_DELAY_S * 2.0 ** min(failures, 8))
