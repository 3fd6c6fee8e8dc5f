"""
Admission
=========

Refuse jobs that would end too late to be of use, by the owner's forecast.

Notes
-----
The load it answers: for seconds or longer, more short work arrives than the fleet has room for.
Jobs that were accepted nevertheless would wait until their results are useless, and the steps of
them that ran would have taken room from others.

A job is refused only if it may not be on time and, once late, would not end before its result is
useless.  The closer the wait comes to what jobs can wait, the smaller is the share of them that is
admitted, so that as many are as there is room for.  A hash of the job's id decides who that is:

1. all hosts decide alike on all copies of a request,
2. callers of each data centre and jobs of each width are refused in equal shares,
3. a caller that returns is among the first to be admitted once the share has grown enough.

Less urgent queues are refused first, since more urgent work counts as waiting before them.
Long-running and scheduled jobs are never refused: they may wait for room.  Nor are best-effort
ones: where their tasks may run depends on their images, so a new job may start before all that
wait.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import xxhash

from toucanpin.scheduling.forecast import Forecast, KnownForecast, QueueForecast
from toucanpin.scheduling.job import Job
from toucanpin.scheduling.job_order import EXPIRY_FACTOR
from toucanpin.scheduling.job_times import compute_time_limit, list_estimates, sum_remaining_times

__all__ = ["MAX_FORECAST_AGE_S", "Admission", "Admit", "Refuse", "decide_admission"]

# The room that comes free in this time is small beside the time limits of jobs.
MAX_FORECAST_AGE_S = 2.5
# Jobs with a shorter time limit start or fail before a forecast shows it: it is a second old.
MIN_TIME_LIMIT_MS = 4_000
UNCERTAINTY = 0.5  # of the expected wait of late jobs
# Waits on time as shares of what a job can wait: all jobs are admitted up to the first, none from
# the second on.
ALL_ADMITTED_WAIT = 0.8
NONE_ADMITTED_WAIT = 1.2
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 8  # without the spread
RETRY_SPREAD_S = 3  # over which callers return that are refused at the same moment
HASH_SEED = 35  # differs from that of the parts, or whole parts would be refused


@dataclass(frozen=True, slots=True)
class Admit:
    """The job is accepted."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """
    The job is refused; ``retry_after`` is in s, ``expected`` and ``limit`` in ms from now.

    ``limit`` is the time after which its result is useless.
    """

    retry_after: int
    expected: int
    limit: int


Admission = Admit | Refuse


def decide_admission(job: Job, known: KnownForecast | None) -> Admission:
    """Return whether to accept a job; a forecast that is missing or too old refuses nobody."""
    if known is None or abs(known.age) > MAX_FORECAST_AGE_S or _is_exempt(job):
        return Admit()
    queue = _find_queue(job, known.forecast)
    if queue is None:
        return Admit()
    duration = max(sum_remaining_times(job, list_estimates(job)))
    limit = compute_time_limit(job)
    if limit < MIN_TIME_LIMIT_MS:
        return Admit()
    useful = EXPIRY_FACTOR * limit
    expected = queue.late_wait + duration
    if queue.late_wait * (1 - UNCERTAINTY) + duration <= useful:
        return Admit()
    slack = max(1, limit - duration)
    excess = queue.on_time_wait / slack - ALL_ADMITTED_WAIT
    admitted = 1 - excess / (NONE_ADMITTED_WAIT - ALL_ADMITTED_WAIT)
    position = _hash_position(job.id)
    if position < admitted:
        return Admit()
    delay = excess * slack / 1_000
    return Refuse(_plan_retry(delay, position - max(0.0, admitted)), expected, useful)


def _is_exempt(job: Job) -> bool:
    """Return whether a forecast of room doesn't apply to a job, or the job may wait for room."""
    return job.repeats > 0 or any(step.long_running or step.best_effort for step in job.steps)


def _find_queue(job: Job, forecast: Forecast) -> QueueForecast | None:
    """Return the forecast of a job's class, None if it has room."""
    found = (
        queue
        for queue in forecast.queues
        if queue.priority == job.priority and not queue.best_effort
    )
    return next(found, None)


def _hash_position(identifier: str) -> float:
    """Return a job's fixed position among all callers, from 0 to 1."""
    return xxhash.xxh32_intdigest(identifier.encode(), HASH_SEED) / 2**32


def _plan_retry(delay: float, distance: float) -> int:
    """
    Return the delay in s after which a refused caller should return.

    ``delay`` is when all would be admitted if no more work came, ``distance`` is how far the caller
    is from those admitted.  The first of them return first.  All at once would overload the hosts,
    and most would be refused once more.
    """
    expected = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, math.ceil(delay)))
    return expected + int(distance * RETRY_SPREAD_S)
