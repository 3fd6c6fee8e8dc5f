"""
Decisions of a cell
===================

Make the decisions of a cell's owner that depend on the time, except placements.
"""

from __future__ import annotations

from collections.abc import Callable

import logbook

from toucanpin.entry.decision_log import log_failed_tasks
from toucanpin.entry.periodic import PeriodicDecision
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.consolidating import consolidate_images
from toucanpin.scheduling.crashing import fail_crashing_jobs
from toucanpin.scheduling.forecast import FORECAST_PERIOD_S
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.leases import expire_leases
from toucanpin.scheduling.moving import move_tasks
from toucanpin.scheduling.occurrences import begin_due
from toucanpin.scheduling.pacing import control_pace

__all__ = ["CellDecisions"]

_log = logbook.Logger("owner")
MOVE_PERIOD_S = 0.2  # between searches for tasks to move; workers answer every 0.4 s


class CellDecisions:
    """Decisions of one cell that depend on the time; ``read_clocks`` returns the current time."""

    __slots__ = ("_cell", "_periodic", "_read_clocks")

    def __init__(
        self,
        cell: Cell,
        interference: InterferenceModel,
        read_clocks: Callable[[], Now],
        forecast_queues: Callable[[Now], None],
    ) -> None:
        self._cell = cell
        self._read_clocks = read_clocks
        self._periodic = [
            PeriodicDecision(lambda now: move_tasks(cell, now), MOVE_PERIOD_S),
            PeriodicDecision(lambda now: control_pace(cell, interference, now), 0.0),
            PeriodicDecision(lambda now: consolidate_images(cell, interference, now), 0.0),
        ]
        if cell.features.admission_control:
            self._periodic.append(PeriodicDecision(forecast_queues, FORECAST_PERIOD_S))

    def make_due(self, now: Now) -> None:
        """Make all decisions that are due."""
        for worker in expire_leases(self._cell, now):
            _log.info("worker forgotten", event="worker.gone", worker=worker.entry.id)
        log_failed_tasks(self._cell, fail_crashing_jobs(self._cell, now), now)
        begin_due(self._cell, now)
        for decision in self._periodic:
            decision.run_if_due(self._read_clocks())
