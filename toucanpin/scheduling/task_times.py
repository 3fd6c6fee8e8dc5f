"""
Task times
==========

Track by queue how long tasks take compared with the estimates of their callers.

Notes
-----
The logarithms of these ratios are close to normally distributed, but for a small share of tasks
that take several times as long as the others.  Those are counted apart, since a few of them would
widen the distribution until it no longer tells a slow worker from a usual one.
"""

from __future__ import annotations

import math

import msgspec

__all__ = ["TaskTimes", "record_task_time"]

MEMORY_TASKS = 300.0  # time constant of the weights
MIN_TASKS = 8.0  # weight from which on a distribution is used
PRIOR_DEVIATION = 0.7  # of the logarithm; a caller's estimate is often off by a factor of two
PRIOR_TASKS = 4.0  # weight of the prior
PRIOR_TAIL_SHARE = 0.03  # of tasks that take several times as long as others
PRIOR_TAIL_TASKS = 100.0  # weight of that share; rare tasks show late
MIN_DEVIATION = 0.15  # of the logarithm; a progress in whole percent isn't more accurate
MAX_TAIL_SHARE = 0.2
TAIL_LOG_RATIO = math.log(3.0)  # beyond the mean, from which on a task counts to the tail
MIN_TIME_MS = 10.0  # shorter times aren't informative


class TaskTimes(msgspec.Struct, array_like=True):
    """Weighted sums over the logarithms of a queue's ratios of time to estimate."""

    weight: float = 0.0
    total: float = 0.0
    squares: float = 0.0
    tail: float = 0.0  # weight of the tasks beyond TAIL_LOG_RATIO

    @property
    def known(self) -> bool:
        """Return whether enough tasks have ended to judge others."""
        return self.weight >= MIN_TASKS

    @property
    def mean(self) -> float:
        """Return the mean logarithm of the ratio, without tail tasks."""
        return self.total / self.weight if self.weight else 0.0

    @property
    def deviation(self) -> float:
        """Return the standard deviation of the logarithm, without tail tasks."""
        spread = max(0.0, self.squares - self.weight * self.mean**2)
        prior = PRIOR_TASKS * PRIOR_DEVIATION**2
        return max(MIN_DEVIATION, math.sqrt((spread + prior) / (self.weight + PRIOR_TASKS)))

    @property
    def tail_share(self) -> float:
        """Return the share of tasks that take several times as long as others."""
        total = self.weight + self.tail + PRIOR_TAIL_TASKS
        return min(MAX_TAIL_SHARE, (self.tail + PRIOR_TAIL_TASKS * PRIOR_TAIL_SHARE) / total)

    def add(self, log_ratio: float) -> None:
        """Add a task; earlier ones lose weight."""
        decay = 1 - 1 / MEMORY_TASKS
        self.weight *= decay
        self.total *= decay
        self.squares *= decay
        self.tail *= decay
        if self.known and log_ratio > self.mean + TAIL_LOG_RATIO:
            self.tail += 1
            return
        self.weight += 1
        self.total += log_ratio
        self.squares += log_ratio**2


def record_task_time(
    times: dict[str, TaskTimes], queue: str, estimate_ms: int, took_s: float
) -> None:
    """Record the time of a task that ran at full speed from its start to its end."""
    took_ms = took_s * 1_000
    if estimate_ms >= MIN_TIME_MS and took_ms >= MIN_TIME_MS:
        times.setdefault(queue, TaskTimes()).add(math.log(took_ms / estimate_ms))
