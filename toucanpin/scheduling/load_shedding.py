"""
Shedding of an owner's own work
===============================

What an owner that can't follow its workers does less of, so that leases are renewed and ends heard.

Notes
-----
On a host that is too weak for its cell, decisions would take all of the processor's time.  Answers
would be read seconds late, workers taken for silent, leases lapse, and what is lost with them be
started again: more work, of which still less is done.  So

1. each kind of decision has a share of the time and rests after it has used it,
2. only so many starts are on their way at a time, and the most urgent tasks come first,
3. workers are asked less often the later the process is: their ends wait and come together,
4. a job that couldn't be in time, since starts before its own take longer, is refused at once.

What is never left out are renewals of leases, and ends that were heard.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping

from toucanpin.scheduling.cell import compute_time_limit
from toucanpin.scheduling.job import Job

__all__ = [
    "START_ANSWER_TIME_S",
    "MAX_PENDING_STARTS",
    "StartBacklog",
    "ProcessDelay",
    "MinAnswerTime",
    "TimeShare",
    "would_exceed_time_limit",
]

MAX_PENDING_STARTS = 256  # on their way at a time; a start takes a few ms
# A start that isn't answered by then, and by the process's own delay, isn't held up here.
START_ANSWER_TIME_S = 0.1  # s
DELAY_HALF_LIFE_S = 1.0  # s in which what is known of a delay counts half
NEGLIGIBLE_DELAY_S = 0.02  # s of delay that any process has
PAUSE_FACTOR = 2.0  # times the delay between two questions to a worker
MAX_PAUSE_S = 1.0  # s, a fraction of a lease
LATENCY_WINDOW = 16  # answers whose quickest counts
OVERLOAD_DELAY_S = 0.1  # s of delay from which on an owner itself holds up what waits
OVERLOAD_ONSET_S = 2.0  # s of it until jobs are refused
OVERLOAD_RECOVERY_S = (
    4.0  # s without it until all are taken in again: delays come and go with each turn
)
RATE_TIME_CONSTANT_S = 3.0  # s over which starts are counted


class TimeShare:
    """Give a kind of decision a share of the time: after each of them it rests."""

    __slots__ = ("_next", "_rest")

    def __init__(self, share: float) -> None:
        self._rest = 1.0 / share - 1.0
        self._next = 0.0

    def remaining_pause(self, now: float) -> float:
        """Return the seconds of rest that are left, 0 if the decision may be made."""
        return max(0.0, self._next - now)

    def record(self, begun: float, ended: float) -> None:
        """Take note of when a decision was made."""
        self._next = ended + (ended - begun) * self._rest


class ProcessDelay:
    """Follow how late this process comes to what is due."""

    __slots__ = ("_latest", "_noted_at")

    def __init__(self) -> None:
        self._latest = 0.0
        self._noted_at = 0.0

    def record(self, late: float, now: float) -> None:
        """Take note of work that was begun ``late`` seconds after it was due."""
        self._latest = max(late, self.read(now))
        self._noted_at = now

    def read(self, now: float) -> float:
        """Return the longest delay of late, in seconds."""
        return self._latest * 0.5 ** (max(0.0, now - self._noted_at) / DELAY_HALF_LIFE_S)

    def limit_starts(self, now: float) -> int:
        """Return how many starts may be on their way; fewer if their answers are read late."""
        return int(
            MAX_PENDING_STARTS
            * min(1.0, START_ANSWER_TIME_S / max(START_ANSWER_TIME_S, self.read(now)))
        )

    def plan_pause(self, now: float) -> float:
        """Return the seconds to leave between a worker's answer and the next question to it."""
        delay = self.read(now)
        return 0.0 if delay < NEGLIGIBLE_DELAY_S else min(MAX_PAUSE_S, PAUSE_FACTOR * delay)


class MinAnswerTime:
    """
    Tell how late answers come for a reason of this host's own: its link is full, or it is slow.

    One slow worker, or a part of them, says nothing; if even the quickest of the last answers was
    late, all are.
    """

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=LATENCY_WINDOW)

    def record(self, took: float) -> float:
        """Take note of what an answer took, and return what the quickest of the last ones took."""
        self._times.append(took)
        return min(self._times) if len(self._times) == LATENCY_WINDOW else 0.0


class StartBacklog:
    """Follow how long what waits will wait for an owner that can't start more tasks a second."""

    __slots__ = ("_behind_at", "_behind_since", "_counted_at", "_recent")

    def __init__(self) -> None:
        self._recent = 0.0
        self._counted_at = 0.0
        self._behind_since: float | None = None
        self._behind_at = 0.0  # when the owner was last behind

    def record_starts(self, count: int, now: float) -> None:
        """Take note of tasks that get their place."""
        self._recent = self._fade(now) + count
        self._counted_at = now

    def estimate_waits(
        self, waiting: Mapping[int, int], delay: float, now: float
    ) -> dict[int, int]:
        """
        Return by priority how long new tasks will wait for their start, in ms; empty if not.

        ``waiting`` counts the tasks of each priority.  What waits for workers while the owner has
        time to spare says nothing: room may come at any moment.
        """
        if delay >= OVERLOAD_DELAY_S:
            self._behind_at = now
            if self._behind_since is None:
                self._behind_since = now
        elif now > self._behind_at + OVERLOAD_RECOVERY_S:
            self._behind_since = None
        if self._behind_since is None:
            return {}
        rate = self._fade(now) / RATE_TIME_CONSTANT_S
        if now < self._behind_since + OVERLOAD_ONSET_S or rate <= 0:
            return {}
        before = 0
        found = {}
        for priority in sorted(waiting):
            before += waiting[priority]
            found[priority] = int(before / rate * 1_000)
        return found

    def _fade(self, now: float) -> float:
        return self._recent * math.exp(-max(0.0, now - self._counted_at) / RATE_TIME_CONSTANT_S)


def would_exceed_time_limit(job: Job, backlog: Mapping[int, int]) -> bool:
    """Tell whether a job couldn't be in time, since its owner is that far behind with starts."""
    if job.repeats or any(step.long_running for step in job.steps):
        return False
    wait = max((wait for priority, wait in backlog.items() if priority <= job.priority), default=0)
    return wait > compute_time_limit(job)
