"""
Orders to workers
=================

Send the stops and paces that a cell's owner has decided on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from toucanpin.entry.cell_rows import OwnershipLostError
from toucanpin.entry.clocks import Clocks
from toucanpin.entry.worker_log import log_stopping
from toucanpin.exception import PlatformError
from toucanpin.http import CallError
from toucanpin.platform.workers import WorkerClient, WorkerReplacedError
from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.fencing import find_token
from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.orders import PaceOrder, RefusalReason, StopOrder
from toucanpin.scheduling.starting import record_stop_acknowledged

__all__ = ["WorkerOrders"]

RETRY_DELAY_S = 0.1  # before a stop is repeated


@dataclass(frozen=True, slots=True)
class TaskAttempt:
    """One attempt of a task on one worker."""

    worker: str
    task: TaskKey
    attempt: int


class WorkerOrders:
    """Sender of orders to the workers of one cell; ``clients`` are their clients by id."""

    __slots__ = ("_cell", "_clients", "_clocks", "_stopping")

    def __init__(self, cell: Cell, clocks: Clocks, clients: Mapping[str, WorkerClient]) -> None:
        self._cell = cell
        self._clocks = clocks
        self._clients = clients
        self._stopping: set[TaskAttempt] = set()

    async def send(self, order: StopOrder | PaceOrder) -> None:
        """Send an order to its worker."""
        match order:
            case StopOrder():
                log_stopping(order)
                await self._stop_once(order)
            case PaceOrder():
                await self._pace(order)

    async def _stop_once(self, order: StopOrder) -> None:
        """
        Send a stop, unless the same one is being repeated.

        A stop whose run doesn't end is ordered again; each would repeat until it is acknowledged.
        """
        key = TaskAttempt(order.worker, order.task, order.attempt)
        if key in self._stopping:
            return
        self._stopping.add(key)
        try:
            await self._stop(order)
        finally:
            self._stopping.discard(key)

    async def _stop(self, order: StopOrder) -> None:
        """Send a stop until it is acknowledged or the worker is replaced."""
        while True:
            worker = self._cell.workers.get(order.worker)
            client = self._clients.get(order.worker)
            if worker is None or client is None:
                return
            run = worker.runs.get(order.task)
            try:
                token = find_token(self._cell, worker)
                refused = await client.stop(order.task, order.attempt, token)
            except WorkerReplacedError:
                return
            except (CallError, PlatformError):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if refused is RefusalReason.FENCED:
                if self._cell.workers.get(order.worker) is not worker:
                    continue  # the next incarnation refuses what was sent to this one
                raise OwnershipLostError(f"worker {order.worker} has another owner")
            if refused is RefusalReason.UNHEALTHY:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if run is not None and run.attempt == order.attempt:
                record_stop_acknowledged(worker, run, self._clocks.now())
            return

    async def _pace(self, order: PaceOrder) -> None:
        worker = self._cell.workers.get(order.worker)
        client = self._clients.get(order.worker)
        if worker is None or client is None:
            return
        try:
            token = find_token(self._cell, worker)
            await client.pace(order.task, order.attempt, order.percent, token)
        except (CallError, PlatformError):
            worker = self._cell.workers.get(order.worker)
            run = worker.runs.get(order.task) if worker else None
            if run is not None and run.attempt == order.attempt:
                run.paced_at = 0.0
                run.pace = -1
