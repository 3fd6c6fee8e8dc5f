"""
Placement turns
===============

Place the waiting tasks of a cell when that is allowed and its time share permits.
"""

from __future__ import annotations

from collections.abc import Callable

from toucanpin.entry.cell_rows import CellRows
from toucanpin.entry.cell_workers import CellWorkers
from toucanpin.entry.clocks import Clocks, steady_time
from toucanpin.entry.decision_log import log_standstill
from toucanpin.entry.load_estimates import LoadEstimates
from toucanpin.entry.metrics import TURN_TIME
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.evacuating import has_current_evacuations
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.leases import MAX_STARTS_BEFORE_RENEWALS, awaits_first_renewals
from toucanpin.scheduling.load_shedding import ProcessDelay, TimeShare
from toucanpin.scheduling.placing import place_tasks
from toucanpin.scheduling.standstill import StandstillCause, StandstillMeter

__all__ = ["PlacementTurns"]

MAX_VIEW_AGE_MS = 2_500  # no tasks are placed if the last read of the jobs is older
MAX_PLACING_SHARE = 0.35  # maximum fraction of the time that is spent on placing


class PlacementTurns:
    """Turns in which the waiting tasks of one cell are placed."""

    __slots__ = (
        "_cell",
        "_clocks",
        "_delay",
        "_estimates",
        "_interference",
        "_rows",
        "_share",
        "_standstill",
        "_update_evacuated",
        "_workers",
    )

    def __init__(
        self,
        cell: Cell,
        interference: InterferenceModel,
        clocks: Clocks,
        delay: ProcessDelay,
        rows: CellRows,
        workers: CellWorkers,
        estimates: LoadEstimates,
        standstill: StandstillMeter,
        update_evacuated: Callable[[], None],
    ) -> None:
        self._cell = cell
        self._interference = interference
        self._clocks = clocks
        self._delay = delay
        self._rows = rows
        self._workers = workers
        self._estimates = estimates
        self._standstill = standstill
        self._update_evacuated = update_evacuated
        self._share = TimeShare(MAX_PLACING_SHARE)

    def remaining_pause(self) -> float:
        """Return the seconds until the time share allows a turn."""
        return self._share.remaining_pause(steady_time())

    def run(self) -> None:
        """Place waiting tasks if its share of the time allows it and the view of jobs is recent."""
        now = self._clocks.now()
        self._update_evacuated()
        if self._share.remaining_pause(now.steady):
            return
        blocked = self._find_block(now)
        if blocked is None:
            self._place(now)
        else:
            self._standstill.record_blocked(blocked, now.steady)
        ended = steady_time()
        self._share.record(now.steady, ended)
        TURN_TIME.record(ended - now.steady, {"what": "placing"})

    def _place(self, now: Now) -> None:
        log_standstill(self._cell, self._standstill.record_placing(now.steady))
        max_starts = self._delay.limit_starts(now.steady)
        if not self._cell.introduced or awaits_first_renewals(self._cell):
            max_starts = min(max_starts, MAX_STARTS_BEFORE_RENEWALS)
        max_starts -= self._workers.count_starting()
        before = len(self._cell.placed)
        place_tasks(self._cell, self._interference, now, max_starts)
        self._estimates.record_starts(len(self._cell.placed) - before, now)

    def _find_block(self, now: Now) -> StandstillCause | None:
        """Return why no task may be placed now, None if tasks may."""
        if not self._has_recent_jobs(now):
            return StandstillCause.JOBS
        if not has_current_evacuations(self._cell, now):
            return StandstillCause.EVACUATIONS
        return None

    def _has_recent_jobs(self, now: Now) -> bool:
        """
        Return whether the jobs were read recently.

        No task of a cancelled job may start later than 3 s after a host acknowledged the cancel.
        """
        return now.table - self._rows.view.clock <= MAX_VIEW_AGE_MS
