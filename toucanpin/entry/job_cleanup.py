"""
Cleanup of jobs
===============

Forget the ended jobs of a cell, and delete their rows.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from toucanpin.entry.cell_rows import CellRows
from toucanpin.entry.periodic import PeriodTimer
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.intake import forget_ended
from toucanpin.scheduling.write_batches import MAX_FORGOTTEN

__all__ = ["JobCleanup"]

PERIOD_S = 5.0  # between searches for ended jobs whose retention is over
RETENTION_MARGIN_S = 15.0  # by which ended jobs are kept longer than promised


class JobCleanup:
    """Cleanup of one cell's jobs, kept for ``retention`` s; calls ``on_change`` after deletes."""

    __slots__ = ("_cell", "_on_change", "_retention", "_rows", "_timer")

    def __init__(
        self, cell: Cell, rows: CellRows, retention: float, on_change: Callable[[], None]
    ) -> None:
        self._cell = cell
        self._rows = rows
        self._retention = retention
        self._on_change = on_change
        self._timer = PeriodTimer(PERIOD_S)

    def forget_ended_if_due(self, now: Now) -> None:
        """Forget the jobs whose retention is over."""
        if self._timer.restart_if_due(now):
            forget_ended(self._cell, now, self._retention + RETENTION_MARGIN_S)

    async def drop_ended(self) -> None:
        """Delete the rows of forgotten jobs until cancelled, without delaying commits."""
        while True:
            ended = self._cell.job_rows_to_delete[:MAX_FORGOTTEN]
            if not ended:
                await asyncio.sleep(PERIOD_S)
                continue
            await self._rows.drop_jobs(ended)
            del self._cell.job_rows_to_delete[: len(ended)]
            self._cell.progress_rows_to_delete += ended
            self._on_change()
