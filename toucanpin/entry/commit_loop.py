"""
Commit loop
===========

Write the changes of a cell in batches, and carry out what is written.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from toucanpin.entry.cell_rows import CellRows
from toucanpin.entry.cell_workers import CellWorkers
from toucanpin.entry.clocks import Clocks, steady_time
from toucanpin.entry.decision_log import log_ended, log_placement
from toucanpin.entry.placement_turns import PlacementTurns
from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.ownership import OWNER_WRITE_INTERVAL_S
from toucanpin.scheduling.standstill import StandstillMeter
from toucanpin.scheduling.worker import Run
from toucanpin.scheduling.write_batches import apply_batch, has_pending_writes, take_batch

__all__ = ["CommitLoop"]

MAX_WAIT_S = 0.05  # between checks for tasks to place, without a change


class CommitLoop:
    """
    Loop that places tasks, writes the changes of one cell and sends the starts that are written.

    It waits for ``wake`` while there is nothing to do.  ``is_resigning`` returns whether the next
    write gives up the ownership, and ``raise_if_resigned`` is called after each write.
    """

    __slots__ = (
        "_cell",
        "_clocks",
        "_has_written",
        "_is_resigning",
        "_placement",
        "_raise_if_resigned",
        "_rows",
        "_spawn",
        "_standstill",
        "_wake",
        "_workers",
    )

    def __init__(
        self,
        cell: Cell,
        clocks: Clocks,
        rows: CellRows,
        workers: CellWorkers,
        placement: PlacementTurns,
        standstill: StandstillMeter,
        wake: asyncio.Event,
        spawn: Callable[[Coroutine], None],
        is_resigning: Callable[[], bool],
        raise_if_resigned: Callable[[], None],
    ) -> None:
        self._cell = cell
        self._clocks = clocks
        self._rows = rows
        self._workers = workers
        self._placement = placement
        self._standstill = standstill
        self._wake = wake
        self._spawn = spawn
        self._is_resigning = is_resigning
        self._raise_if_resigned = raise_if_resigned
        self._has_written = False

    async def run(self) -> None:
        """Place tasks and write changes until the ownership is lost."""
        while True:
            await self._wait_for_changes()
            self._wake.clear()
            self._placement.run()
            if self._has_changes() or self._remaining_interval() <= 0:
                await self._write()

    async def _wait_for_changes(self) -> None:
        """Wait until there may be something to place or to write."""
        remaining = self._remaining_interval()
        if remaining <= 0 or self._has_changes():
            return
        try:
            async with asyncio.timeout(min(remaining, MAX_WAIT_S)):
                await self._wake.wait()
                await asyncio.sleep(self._placement.remaining_pause())
        except TimeoutError:
            pass

    def _has_changes(self) -> bool:
        return has_pending_writes(self._cell) or self._is_resigning()

    def _remaining_interval(self) -> float:
        """
        Return the seconds until the ownership has to be renewed by a write.

        The first write lists the workers that can't be reached.  If this owner dies soon, the next
        one would otherwise count their leases from its takeover.
        """
        if not self._has_written:
            return 0.0
        return self._rows.written_at + OWNER_WRITE_INTERVAL_S - steady_time()

    async def _write(self) -> None:
        """Write the pending changes; resign with them if the owner does."""
        batch = take_batch(self._cell)
        sent_at = steady_time()
        await self._rows.write(batch, self._is_resigning())
        self._has_written = True
        self._standstill.record_write(sent_at, steady_time())
        self._cell.confirmed_at = self._rows.written_at
        started = apply_batch(self._cell, batch)
        self._workers.signal_written()
        log_ended(self._cell, batch.records, self._clocks.now())
        for run in started:
            self._send_start(run)
        self._raise_if_resigned()

    def _send_start(self, run: Run) -> None:
        log_placement(self._cell, run, self._clocks.now())
        self._spawn(self._workers.start(run))
