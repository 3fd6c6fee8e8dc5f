"""
Leases of workers
=================

When a lease ends, on the worker's clock for the worker's guard and on the owner's clock for the
owner's proof.  Monotonic clocks run at rates that differ by ``drift`` at most and share no zero.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Grant", "Terms", "compute_grant"]

MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Terms:
    """
    Set the times of leases and authority, in seconds; ``drift`` is a share.

    ``lease`` must be well above the time after which a dead owner's cells are taken, so that
    workers are renewed by the taker before their leases lapse, and below ``authority``.
    """

    lease: float = 5.0
    authority: float = 9.0
    drift: float = 0.02
    take_after: float = 2.0
    long_hold: float = 35 * 60.0

    def stretch(self, seconds: float) -> float:
        """Return how long to wait here until ``seconds`` have surely passed on another clock."""
        return seconds * (1 + self.drift)

    def shrink(self, seconds: float) -> float:
        """Return how long another clock may run until surely no more than ``seconds`` passed."""
        return seconds / (1 + self.drift)


@dataclass(frozen=True, slots=True)
class Grant:
    """Give the end of a lease on the worker's clock (ms) and its latest end on ours (s)."""

    lease_until: int
    ends: float


NO_GRANT = Grant(0, 0.0)


def compute_grant(clock: int, received: float, authority_until: float, terms: Terms) -> Grant:
    """
    Return the lease that may be granted after a report.

    ``clock`` was read by the worker before ``received``, so counting the term from ``clock`` there
    and from ``received`` here makes our end the later one, however long the next poll is delayed.
    The lease never outlives our authority: a taker that has waited for its end needs no word from
    the worker.
    """
    length = min(terms.lease, terms.shrink(authority_until - received))
    if length <= 0:
        return NO_GRANT
    whole = int(length * MILLISECONDS)
    return Grant(clock + whole, received + terms.stretch(whole / MILLISECONDS))
