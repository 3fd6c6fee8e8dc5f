"""
Log of refusals
===============

Log and count the jobs that are refused for want of room.
"""

from __future__ import annotations

import logbook

from toucanpin.entry.metrics import REFUSED_JOBS
from toucanpin.scheduling.admission import Refuse
from toucanpin.scheduling.configuration import Queue
from toucanpin.scheduling.forecast import KnownForecast

__all__ = ["log_refusal"]

_log = logbook.Logger("requests")


def log_refusal(
    queue: Queue, identifier: str, refusal: Refuse, known: KnownForecast | None
) -> None:
    """Log a job that has no room in time, with the forecast that tells so."""
    REFUSED_JOBS.add(1, {"queue": queue.name, "reason": "no room in time"})
    _log.info(
        "job refused: no room in time",
        event="job.refused",
        job=identifier,
        queue=queue.name,
        expected=refusal.expected / 1_000,
        limit=refusal.limit / 1_000,
        retry_after=refusal.retry_after,
        forecast_age=round(known.age, 3) if known is not None else None,
    )
