"""
Placement round
===============

State that all steps share in one round of placement.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from toucanpin.scheduling.cell import Now
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.prediction import estimate_utilization
from toucanpin.scheduling.shortage import Shortage
from toucanpin.scheduling.utilization import WorkerUtilization
from toucanpin.scheduling.worker import Worker

__all__ = ["PlacementRound", "ReserveAccess"]

MAX_CORE_SHARE = 1.05  # of a worker's cores in use: more best-effort tasks only slow each other
UTILIZATION_MAX_AGE_S = 0.2  # loads are measured as often


class ReserveAccess(enum.Enum):
    """Permission of a task to use cores that are reserved for short ones."""

    NONE = "none"
    SPARE = "where there are two places"
    ALL = "all"


@dataclass(slots=True)
class PlacementRound:
    """
    State of one round of placement.

    ``reserved`` holds, by the access that a task had, the demands that only reserved cores could
    meet.
    """

    model: InterferenceModel
    now: Now
    reserved: dict[ReserveAccess, Shortage] = field(
        default_factory=lambda: {access: Shortage() for access in ReserveAccess}
    )
    _short: Shortage = field(default_factory=Shortage)
    _long_running: Shortage = field(default_factory=Shortage)

    def utilization(self, worker: Worker) -> WorkerUtilization:
        """
        Return the utilization of a worker, cached for a while.

        Computing it anew in each round would take most of a turn on a few hundred workers.
        """
        now = self.now.steady
        if worker.utilization is None or now > worker.utilization_at + UTILIZATION_MAX_AGE_S:
            worker.utilization = estimate_utilization(self.model, worker, planned=True)
            worker.utilization_at = now
        return worker.utilization

    def is_saturated(self, worker: Worker, cpu: int) -> bool:
        """Return whether a worker has too few idle cores for a best-effort task."""
        utilization = self.utilization(worker)
        return utilization.used + cpu > MAX_CORE_SHARE * utilization.capacity

    def shortage(self, long_running: bool) -> Shortage:
        """
        Return the unmet demands of long-running or of other tasks.

        They are recorded separately since workers reserved for large tasks are excluded for the
        latter only.
        """
        return self._long_running if long_running else self._short
