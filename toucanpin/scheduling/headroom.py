"""
Headroom for urgent work
========================

Forecast how many cores short tasks may soon request, and how many long-running ones must leave.

Notes
-----
Long-running tasks keep a core for minutes, short ones request it in bursts.  Any one queue may
burst at a time, so the largest burst above a queue's mean is added to the means of all.  Where
tasks run in several data centres, the largest of them may be evacuated at any time, so what is left
then has to suffice as well.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.worker import Worker

__all__ = [
    "MAX_HEADROOM_SHARE",
    "Headroom",
    "QueueDemand",
    "describe_headroom",
    "forecast_demand",
    "is_scarce",
    "plan_headroom",
    "record_demand",
]

MEAN_TIME_S = 10.0  # of the mean demand of a queue
PEAK_DECAY_S = 30.0  # in which a peak falls to a third; demand comes in waves of half of that
MIN_BURST = 1.5  # times the mean, of which a queue is assumed to be capable
MAX_HEADROOM_SHARE = 0.25  # of the usable cores, in use and free
MIN_FREE_SHARE = 0.05  # of the usable cores
# Of the cores that are forecast and not in use, which long-running tasks leave in any case.
MIN_KEPT_SHARE = 0.75
# Of the usable cores, as long as no peak can be known.  More would keep long-running tasks of a
# fleet that starts from cores that nobody uses.
UNKNOWN_SHARE = 0.1


@dataclass(slots=True)
class QueueDemand:
    """Cores that the short tasks of a queue request: their mean and recent peak."""

    mean: float
    peak: float

    def record(self, cores: float, elapsed: float) -> None:
        """Record the cores requested now, ``elapsed`` seconds after the last record."""
        self.mean += (cores - self.mean) * (1 - math.exp(-elapsed / MEAN_TIME_S))
        decayed = self.mean + (self.peak - self.mean) * math.exp(-elapsed / PEAK_DECAY_S)
        self.peak = max(cores, decayed)

    @property
    def burst(self) -> float:
        """Return the cores that a burst of this queue requests beyond its mean."""
        return max(self.peak, MIN_BURST * self.mean) - self.mean


@dataclass(slots=True)
class Headroom:
    """
    Demand of short tasks by queue, and the cores kept for them.

    ``forecast`` are the cores that they may request, ``used`` those that they use, ``planned`` the
    free cores to keep and ``free`` all cores that were free when this was planned.  Only tasks of
    jobs up to ``max_priority`` count: the others are less urgent than long-running ones.  Until
    ``scarce_until`` long-running tasks get no cores.  ``evicted`` tells when each long-running task
    was stopped to make room, and its cores.
    """

    queues: dict[str, QueueDemand] = field(default_factory=dict)
    began_at: float | None = None
    recorded_at: float = 0.0
    forecast: int = 0
    used: int = 0
    planned: int = 0
    free: int = 0
    max_priority: int = 0
    scarce_until: float = 0.0
    evicted: dict[TaskKey, tuple[float, int]] = field(default_factory=dict)


def record_demand(headroom: Headroom, cores: Mapping[str, int], limit: float, now: float) -> None:
    """
    Record the cores that short tasks of each queue use and wait for.

    Tasks that wait because there is no room pile up, which isn't demand for more than ``limit``.
    """
    if headroom.began_at is None:
        headroom.began_at = headroom.recorded_at = now
    elapsed = now - headroom.recorded_at
    headroom.recorded_at = now
    for queue in headroom.queues.keys() | cores.keys():
        requested = min(float(cores.get(queue, 0)), limit)
        if queue in headroom.queues:
            headroom.queues[queue].record(requested, elapsed)
        else:
            headroom.queues[queue] = QueueDemand(requested, requested)


def forecast_demand(headroom: Headroom) -> float:
    """Return the cores that short tasks may request if any one queue bursts."""
    mean = sum(demand.mean for demand in headroom.queues.values())
    return mean + max((demand.burst for demand in headroom.queues.values()), default=0.0)


def plan_headroom(
    headroom: Headroom, eligible: Sequence[Worker], evacuating: bool, used: int
) -> int:
    """Return the free cores that long-running tasks must leave to short ones."""
    total = sum(worker.entry.cpu for worker in eligible)
    remaining = 1.0 if evacuating else 1.0 - _find_largest_share(eligible)
    known_for = headroom.recorded_at - (headroom.began_at or headroom.recorded_at)
    assumed = UNKNOWN_SHARE * total * math.exp(-known_for / PEAK_DECAY_S)
    needed = max(assumed, forecast_demand(headroom) / remaining)
    headroom.forecast = int(min(MAX_HEADROOM_SHARE * total, needed))
    headroom.used = used
    headroom.free = sum(max(0, worker.entry.cpu - worker.cpu) for worker in eligible)
    headroom.planned = max(int(MIN_FREE_SHARE * total), headroom.forecast - used)
    return headroom.planned


def describe_headroom(headroom: Headroom) -> dict[str, float]:
    """Return the cores that are kept for short tasks, by what is counted."""
    cores = {
        "forecast": headroom.forecast,
        "used": headroom.used,
        "planned": headroom.planned,
        "free": headroom.free,
    }
    return {what: thousandths / 1_000 for what, thousandths in cores.items()}


def is_scarce(headroom: Headroom, now: float) -> bool:
    """
    Return whether long-running tasks that were stopped or lost may take no reserved cores.

    Many of them wait when a data centre is evacuated, and would take at once what is left to short
    tasks.
    """
    expected = headroom.forecast - headroom.used
    return now < headroom.scarce_until or headroom.free < MIN_KEPT_SHARE * expected


def _find_largest_share(eligible: Sequence[Worker]) -> float:
    """Return the share of the cores in the largest data centre, 0 if there is only one."""
    cores: Counter[str] = Counter()
    for worker in eligible:
        cores[worker.entry.data_centre] += worker.entry.cpu
    return max(cores.values()) / cores.total() if len(cores) > 1 else 0.0
