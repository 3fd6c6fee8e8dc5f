"""
History of load
===============

Work that arrived and was done, by class of queues, as an owner remembers it between forecasts.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from dataclasses import dataclass, field

from toucanpin.scheduling.cell import Now
from toucanpin.scheduling.forecast import FORECAST_PERIOD_S

__all__ = [
    "JobWork",
    "LoadHistory",
    "QueueClass",
    "Rates",
    "get_lasting_rate",
    "update_lasting_rate",
    "update_rates",
]

ARRIVAL_TIME_CONSTANT_S = 2.0  # of rates of arrival
SERVICE_TIME_CONSTANT_S = 6.0  # tasks that started together end together
# A load that has lasted for as long as jobs may take is expected to last on.
MIN_LASTING_S = 3.0
MAX_LASTING_S = 15.0
RECOVERED_SLACK = 0.6  # share of the typical slack, below which new jobs start in time
RECOVERY_S = 2.0  # in which they have to, until an overload counts as over
MAX_ARRIVAL_RATES = round(MAX_LASTING_S / FORECAST_PERIOD_S)


@dataclass(frozen=True, slots=True, order=True)
class QueueClass:
    """Tasks that compete for the same kind of room with the same priority."""

    best_effort: bool
    priority: int


@dataclass(slots=True)
class _Rate:
    """Exponentially weighted mean rate of work, corrected for the time before it was observed."""

    time_constant: float
    total: float = 0.0
    weight: float = 0.0

    def add(self, work: float, elapsed: float) -> None:
        """Add the work of the last ``elapsed`` seconds."""
        keep = math.exp(-elapsed / self.time_constant)
        self.total = self.total * keep + work / elapsed * (1 - keep)
        self.weight = self.weight * keep + 1 - keep

    @property
    def mean(self) -> float:
        """Return the mean rate in thousandths of cores."""
        return self.total / self.weight if self.weight else 0.0


@dataclass(slots=True)
class Rates:
    """Observed rates of one class, and its state of overload."""

    arriving: _Rate = field(default_factory=lambda: _Rate(ARRIVAL_TIME_CONSTANT_S))
    arrivals: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVAL_RATES))
    serving: _Rate = field(default_factory=lambda: _Rate(SERVICE_TIME_CONSTANT_S))
    overloaded_at: float = -math.inf
    lasting: float = 0.0


@dataclass(slots=True)
class JobWork:
    """Class and work of one task of each step of a job, and the work left by class."""

    steps: tuple[tuple[QueueClass, float], ...]
    left: dict[QueueClass, float] = field(default_factory=dict)


@dataclass(slots=True)
class LoadHistory:
    """What an owner remembers between two forecasts."""

    began: float = math.inf
    made_at: float = -math.inf
    jobs: dict[str, JobWork] = field(default_factory=dict)
    rates: dict[QueueClass, Rates] = field(default_factory=lambda: defaultdict(Rates))


def update_rates(rates: Rates, arrived: float, done: float, elapsed: float) -> None:
    """Add what arrived and was done in the last ``elapsed`` seconds."""
    rates.arriving.add(arrived, elapsed)
    rates.arrivals.append(rates.arriving.mean)
    rates.serving.add(done, elapsed)


def get_lasting_rate(rates: Rates, limit: float) -> float:
    """Return the rate at which work has arrived at least, for as long as a typical job may take."""
    window = min(MAX_LASTING_S, max(MIN_LASTING_S, limit / 1_000))
    count = round(window / FORECAST_PERIOD_S)
    recent = list(rates.arrivals)[-count:]
    return min(recent) if len(recent) == count else 0.0


def update_lasting_rate(rates: Rates, slack_share: float, lasting: float, now: Now) -> None:
    """
    Set the rate at which callers are expected to hand in work.

    Once jobs are refused, less arrives than callers hand in, so the rate doesn't fall before new
    jobs start in time for a while.
    """
    if slack_share > RECOVERED_SLACK:
        rates.overloaded_at = now.steady
    if now.steady < rates.overloaded_at + RECOVERY_S:
        rates.lasting = max(rates.lasting, lasting)
    else:
        rates.lasting = lasting
