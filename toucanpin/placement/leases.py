"""
Leases of workers
=================

When a lease ends, on the worker's clock for the worker's guard and on the owner's clock for the
owner's proof.  Monotonic clocks run at rates that differ by ``drift`` at most and share no zero.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Grant", "LeaseTerms", "compute_grant"]

MS_PER_S = 1000
RENEWALS_PER_TERM = 5
RENEWAL_SLACK_S = 1.2


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """
    Set the times of leases and authority, in seconds; ``drift`` is a share.

    ``lease`` must be well above ``takeover_after``, so that the new owner of a dead owner's cells
    renews the workers before their leases lapse, and below ``authority``.
    """

    lease: float = 6.0
    authority: float = 10.0
    drift: float = 0.02
    max_authority: float = 35 * 60.0

    @property
    def renew_every(self) -> float:
        """Return the time between renewals of a process's own authority."""
        return self.authority / RENEWALS_PER_TERM

    @property
    def takeover_after(self) -> float:
        """
        Return how long the row of an owner that is not heard of must stand before it is taken.

        A live owner's row stands for a whole period of its renewals.  A shorter wait took cells
        from owners that were alive but not heard, which took them back at once, again and again.
        """
        return self.renew_every + RENEWAL_SLACK_S

    def add_drift(self, seconds: float) -> float:
        """Return how long to wait here until ``seconds`` have surely passed on another clock."""
        return seconds * (1 + self.drift)

    def missed_renewal_after(self) -> float:
        """
        Return after which time an unchanged row shows that its owner has missed a renewal.

        It is two periods of renewals and less than a lease, so workers are renewed by another owner
        in time although membership still believes in the first.
        """
        return 2 * self.renew_every

    def subtract_drift(self, seconds: float) -> float:
        """Return how long another clock may run until surely no more than ``seconds`` passed."""
        return seconds / (1 + self.drift)


@dataclass(frozen=True, slots=True)
class Grant:
    """Give the end of a lease on the worker's clock (ms) and its latest end on ours (s)."""

    lease_until: int
    latest_end: float


NO_GRANT = Grant(0, 0.0)


def compute_grant(clock: int, received: float, authority_until: float, terms: LeaseTerms) -> Grant:
    """
    Return the lease that may be granted after a report.

    ``clock`` was read by the worker before ``received``, so counting the term from ``clock`` there
    and from ``received`` here makes our end the later one, however long the next poll is delayed.
    The lease never outlives our authority: a taker that has waited for its end needs no word from
    the worker.
    """
    length = min(terms.lease, terms.subtract_drift(authority_until - received))
    if length <= 0:
        return NO_GRANT
    whole = int(length * MS_PER_S)
    return Grant(clock + whole, received + terms.add_drift(whole / MS_PER_S))
