"""
Times of jobs
=============

Compute the time that a job may take, from the estimates of its steps.
"""

from __future__ import annotations

from collections.abc import Sequence

from toucanpin.scheduling.job import Job

__all__ = ["compute_time_limit", "list_estimates", "sum_remaining_times"]


def compute_time_limit(job: Job) -> int:
    """Return the time within which a job should end, in ms."""
    return job.aim + int(job.stretch * max(sum_remaining_times(job, list_estimates(job))))


def sum_remaining_times(job: Job, times: Sequence[int]) -> tuple[int, ...]:
    """Return the time from the start of each step to the job's end, for given step times in ms."""
    remaining = list(times)
    for number in range(len(job.steps) - 1, -1, -1):
        for earlier in job.steps[number].after:
            path_time = times[earlier] + remaining[number]
            remaining[earlier] = max(remaining[earlier], path_time)
    return tuple(remaining)


def list_estimates(job: Job) -> tuple[int, ...]:
    """Return the caller's estimates of the duration of each step, in ms."""
    return tuple(step.estimate for step in job.steps)
