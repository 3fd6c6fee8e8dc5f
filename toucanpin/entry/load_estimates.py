"""
Load estimates
==============

Estimate how long new tasks of a cell wait, and publish that with the owner's row.
"""

from __future__ import annotations

import logbook

from toucanpin.entry.cell_rows import CellRows
from toucanpin.entry.decision_log import log_forecast
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.forecast import FORECAST_PERIOD_S
from toucanpin.scheduling.forecasting import make_forecast
from toucanpin.scheduling.job_order import count_brief_tasks
from toucanpin.scheduling.load_history import LoadHistory
from toucanpin.scheduling.load_shedding import ProcessDelay, StartBacklog

__all__ = ["LoadEstimates"]

_log = logbook.Logger("owner")
# An owner that is later than this refuses jobs by its backlog; a forecast would add to its work.
MAX_FORECAST_DELAY_S = FORECAST_PERIOD_S
MIN_LOGGED_DELAY_S = 0.2  # longer delays of the event loop and of answers are logged


class LoadEstimates:
    """Estimates of the waits in one cell, by its owner's backlog and by a forecast."""

    __slots__ = ("_backlog", "_cell", "_delay", "_history", "_rows")

    def __init__(self, cell: Cell, rows: CellRows, delay: ProcessDelay) -> None:
        self._cell = cell
        self._rows = rows
        self._delay = delay
        self._backlog = StartBacklog()
        self._history = LoadHistory()

    def record_starts(self, count: int, now: Now) -> None:
        """Record the number of tasks placed now."""
        self._backlog.record_starts(count, now.steady)

    def update_backlog(self, now: Now) -> None:
        """Estimate the waits that are due to the owner itself."""
        waiting = count_brief_tasks(self._cell, now)
        delay = self._delay.read(now.steady)
        self._rows.backlog = self._backlog.estimate_waits(waiting, delay, now.steady)

    def update_forecast(self, now: Now) -> None:
        """Forecast the waits for room, unless the owner is late."""
        if self._delay.read(now.steady) > MAX_FORECAST_DELAY_S:
            return
        self._rows.forecast = make_forecast(self._cell, self._history, now)
        log_forecast(self._cell, self._rows.forecast)

    def log_delay(self, starting: int, now: Now) -> None:
        """Log a warning if this host is overloaded or was suspended; ``starting`` counts starts."""
        delay = self._delay.read(now.steady)
        if delay > MIN_LOGGED_DELAY_S:
            _log.warning(
                "owner can't keep up with its cell",
                event="owner.behind",
                cell=self._cell.name,
                delay=round(delay, 3),
                starting=starting,
                backlog=str(self._rows.backlog),
                waiting=sum(map(len, self._cell.waiting.values())),
                silent=sum(worker.silent for worker in self._cell.workers.values()),
            )
