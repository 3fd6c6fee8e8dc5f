"""
Load shedding
=============

Reduce an owner's own work when it can't keep up with its workers.

Notes
-----
On a host that is too weak for its cell, scheduling decisions would take all of the processor time.
Answers would be read seconds late, workers be considered silent and leases expire, and the lost
tasks be started again: more work, of which even less is done.  So

1. each kind of decision has a share of the time and pauses once it has used it,
2. the number of pending starts is limited, and the most urgent tasks are started first,
3. workers are polled less often the further the process is behind, so that ends arrive together,
4. a job that can't meet its time limit, as earlier starts take longer, is refused at once.

Renewals of leases and ends that were received are never shed.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping

from toucanpin.scheduling.job import Job
from toucanpin.scheduling.job_times import compute_time_limit

__all__ = [
    "MAX_PENDING_STARTS",
    "START_ANSWER_TIME_S",
    "MinAnswerTime",
    "ProcessDelay",
    "StartBacklog",
    "TimeShare",
    "would_exceed_time_limit",
]

MAX_PENDING_STARTS = 256  # a start takes a few ms
# A start that isn't answered within this time plus the process's own delay isn't delayed by this
# process.
START_ANSWER_TIME_S = 0.1
DELAY_HALF_LIFE_S = 1.0
NEGLIGIBLE_DELAY_S = 0.02  # that any process has
PAUSE_FACTOR = 2.0  # times the delay, between two polls of a worker
MAX_PAUSE_S = 1.0  # a fraction of a lease
LATENCY_WINDOW = 16  # answers
OVERLOAD_DELAY_S = 0.1  # from which the owner itself delays waiting tasks
OVERLOAD_ONSET_S = 2.0  # of delay until jobs are refused
# Without delay until all jobs are accepted again: delays vary from turn to turn.
OVERLOAD_RECOVERY_S = 4.0
RATE_TIME_CONSTANT_S = 3.0  # of the rate of starts


class TimeShare:
    """Limit of one kind of decision to a share of the time, by a pause after each of them."""

    __slots__ = ("_paused_until", "_pause_ratio")

    def __init__(self, share: float) -> None:
        self._pause_ratio = 1.0 / share - 1.0
        self._paused_until = 0.0

    def remaining_pause(self, now: float) -> float:
        """Return the seconds until the decision may be made, 0 if it may be made now."""
        return max(0.0, self._paused_until - now)

    def record(self, begun: float, ended: float) -> None:
        """Record when a decision was made."""
        self._paused_until = ended + (ended - begun) * self._pause_ratio


class ProcessDelay:
    """Track how late this process starts work that is due."""

    __slots__ = ("_peak", "_recorded_at")

    def __init__(self) -> None:
        self._peak = 0.0
        self._recorded_at = 0.0

    def record(self, late: float, now: float) -> None:
        """Record work that was started ``late`` seconds after it was due."""
        self._peak = max(late, self.read(now))
        self._recorded_at = now

    def read(self, now: float) -> float:
        """Return the longest recent delay in seconds, which decays over time."""
        return self._peak * 0.5 ** (max(0.0, now - self._recorded_at) / DELAY_HALF_LIFE_S)

    def limit_starts(self, now: float) -> int:
        """Return the largest number of pending starts; lower if answers are read late."""
        return int(
            MAX_PENDING_STARTS
            * min(1.0, START_ANSWER_TIME_S / max(START_ANSWER_TIME_S, self.read(now)))
        )

    def plan_pause(self, now: float) -> float:
        """Return the seconds between a worker's answer and its next poll."""
        delay = self.read(now)
        return 0.0 if delay < NEGLIGIBLE_DELAY_S else min(MAX_PAUSE_S, PAUSE_FACTOR * delay)


class MinAnswerTime:
    """
    Track how late answers are because of this host: its link is saturated, or it is slow.

    Some slow workers don't prove that; if even the fastest of the recent answers was late, all are.
    """

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=LATENCY_WINDOW)

    def record(self, took: float) -> float:
        """Record the time of an answer; return the shortest time of the recent ones."""
        self._times.append(took)
        return min(self._times) if len(self._times) == LATENCY_WINDOW else 0.0


class StartBacklog:
    """Estimate how long tasks wait for an owner that can't start more of them per second."""

    __slots__ = ("_overloaded_at", "_overloaded_since", "_counted_at", "_recent")

    def __init__(self) -> None:
        self._recent = 0.0
        self._counted_at = 0.0
        self._overloaded_since: float | None = None
        self._overloaded_at = 0.0  # when the owner was last delayed

    def record_starts(self, count: int, now: float) -> None:
        """Record the number of tasks placed now."""
        self._recent = self._decay(now) + count
        self._counted_at = now

    def estimate_waits(
        self, waiting: Mapping[int, int], delay: float, now: float
    ) -> dict[int, int]:
        """
        Return how long new tasks of each priority will wait for their start in ms, empty if
        unknown.

        ``waiting`` counts the tasks of each priority. While the owner keeps up, tasks wait for free
        capacity, which may arise at any time, so there is no estimate.
        """
        if delay >= OVERLOAD_DELAY_S:
            self._overloaded_at = now
            if self._overloaded_since is None:
                self._overloaded_since = now
        elif now > self._overloaded_at + OVERLOAD_RECOVERY_S:
            self._overloaded_since = None
        if self._overloaded_since is None:
            return {}
        rate = self._decay(now) / RATE_TIME_CONSTANT_S
        if now < self._overloaded_since + OVERLOAD_ONSET_S or rate <= 0:
            return {}
        before = 0
        found = {}
        for priority in sorted(waiting):
            before += waiting[priority]
            found[priority] = int(before / rate * 1_000)
        return found

    def _decay(self, now: float) -> float:
        return self._recent * math.exp(-max(0.0, now - self._counted_at) / RATE_TIME_CONSTANT_S)


def would_exceed_time_limit(job: Job, backlog: Mapping[int, int]) -> bool:
    """Return whether a job can't meet its time limit because of its owner's backlog."""
    if job.repeats or any(step.long_running for step in job.steps):
        return False
    wait = max((wait for priority, wait in backlog.items() if priority <= job.priority), default=0)
    return wait > compute_time_limit(job)
