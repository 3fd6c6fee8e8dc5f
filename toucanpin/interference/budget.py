"""
Eviction budget
===============
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ["Budget", "EvictionBudget"]

MINUTE_S = 60.0


@dataclass(frozen=True, slots=True)
class Budget:
    """Limits of evictions: of all jobs per minute, and of one job within ``job_window`` seconds."""

    per_minute: int = 6
    per_job: int = 2
    job_window: float = 1_800.0


class EvictionBudget:
    """Counter of the evictions that a budget limits."""

    def __init__(self, budget: Budget | None = None) -> None:
        self._budget = budget or Budget()
        self._recent: deque[float] = deque()
        self._jobs: dict[str, deque[float]] = {}

    def allows(self, now: float, job: str) -> bool:
        """Return whether a job may be evicted now."""
        drop_before(self._recent, now - MINUTE_S)
        if len(self._recent) >= self._budget.per_minute:
            return False
        own = self._jobs.get(job)
        if own is None:
            return True
        drop_before(own, now - self._budget.job_window)
        return len(own) < self._budget.per_job

    def spend(self, now: float, job: str) -> None:
        """Count an eviction of a job."""
        self._recent.append(now)
        self._jobs.setdefault(job, deque()).append(now)
        self._drop_old_jobs(now)

    def _drop_old_jobs(self, now: float) -> None:
        """Drop the jobs without evictions in the window."""
        cutoff = now - self._budget.job_window
        for job in [job for job, instants in self._jobs.items() if instants[-1] <= cutoff]:
            del self._jobs[job]


def drop_before(instants: deque[float], cutoff: float) -> None:
    """Drop the instants up to a cutoff."""
    while instants and instants[0] <= cutoff:
        instants.popleft()
