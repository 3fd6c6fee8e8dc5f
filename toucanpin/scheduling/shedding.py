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
3. workers are asked less often the later the process is: their ends wait and come together.

What is never left out are renewals of leases, and ends that were heard.
"""

from __future__ import annotations

__all__ = ["ANSWERED", "MOST_STARTS", "Delay", "Share"]

MOST_STARTS = 256  # on their way at a time; a start takes a few ms
# A start that isn't answered by then, and by the process's own delay, isn't held up here.
ANSWERED = 0.1  # s
HALVED = 1.0  # s in which what is known of a delay counts half
SLIGHT = 0.02  # s of delay that any process has
PAUSE = 2.0  # times the delay between two questions to a worker
LONGEST_PAUSE = 1.0  # s, a fraction of a lease


class Share:
    """Give a kind of decision a share of the time: after each of them it rests."""

    __slots__ = ("_next", "_rest")

    def __init__(self, share: float) -> None:
        self._rest = 1.0 / share - 1.0
        self._next = 0.0

    def left(self, now: float) -> float:
        """Return the seconds of rest that are left, 0 if the decision may be made."""
        return max(0.0, self._next - now)

    def note(self, begun: float, ended: float) -> None:
        """Take note of when a decision was made."""
        self._next = ended + (ended - begun) * self._rest


class Delay:
    """Follow how late this process comes to what is due."""

    __slots__ = ("_latest", "_noted_at")

    def __init__(self) -> None:
        self._latest = 0.0
        self._noted_at = 0.0

    def note(self, late: float, now: float) -> None:
        """Take note of work that was begun ``late`` seconds after it was due."""
        self._latest = max(late, self.read(now))
        self._noted_at = now

    def read(self, now: float) -> float:
        """Return the longest delay of late, in seconds."""
        return self._latest * 0.5 ** (max(0.0, now - self._noted_at) / HALVED)

    def limit_starts(self, now: float) -> int:
        """Return how many starts may be on their way; fewer if their answers are read late."""
        return int(MOST_STARTS * min(1.0, ANSWERED / max(ANSWERED, self.read(now))))

    def plan_pause(self, now: float) -> float:
        """Return the seconds to leave between a worker's answer and the next question to it."""
        delay = self.read(now)
        return 0.0 if delay < SLIGHT else min(LONGEST_PAUSE, PAUSE * delay)
