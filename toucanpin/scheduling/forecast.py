"""
Forecast of queues
==================

How long new jobs of each class of queues are expected to wait for room.

Notes
-----
The owner computes a forecast and publishes it with its row; entry hosts decide by it which jobs to
refuse.  It holds only what these decisions need.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

__all__ = [
    "FORECAST_PERIOD_S",
    "NEVER_MS",
    "Forecast",
    "KnownForecast",
    "QueueForecast",
]

FORECAST_PERIOD_S = 0.5  # between two forecasts
NEVER_MS = 600_000  # of wait, for work that isn't served at all


class QueueForecast(msgspec.Struct, frozen=True, array_like=True):
    """
    Expected waits of new jobs of one class of queues, in ms.

    ``on_time_wait`` is the time until the work of jobs is done that can still be on time;
    ``late_wait`` the time until all work is done that isn't worthless yet, which a job waits for
    once it can't be on time any more.
    """

    priority: int
    best_effort: bool
    on_time_wait: int
    late_wait: int

    @property
    def name(self) -> str:
        """Return the class as shown in logs and metrics."""
        return f"{self.priority}{' best-effort' if self.best_effort else ''}"


class Forecast(msgspec.Struct, frozen=True, array_like=True):
    """
    Expected waits at ``made_at`` on the table's clock, by class of queues.

    A class without an entry has room.  The version is that of the owner's row, its token and
    sequence.
    """

    made_at: int
    queues: tuple[QueueForecast, ...] = ()


@dataclass(frozen=True, slots=True)
class KnownForecast:
    """A forecast as known to an entry host, and its age in s."""

    forecast: Forecast
    age: float
