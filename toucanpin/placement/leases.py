"""
Leases of workers
=================

Compute when a lease ends: on the worker's clock, for the worker's own guard, and on the owner's
clock, for the owner's proof that the worker has stopped.  The monotonic clocks have no common zero,
and their rates differ by at most ``drift``.
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
    Durations of leases and authority in seconds; ``drift`` is a ratio.

    ``lease`` must be well above ``takeover_after``, so that the new owner of a dead owner's cells
    renews the workers before their leases expire, and below ``authority``.
    """

    lease: float = 6.0
    authority: float = 10.0
    drift: float = 0.02
    max_authority: float = 35 * 60.0

    @property
    def renew_every(self) -> float:
        """Return the interval between renewals of a process's authority."""
        return self.authority / RENEWALS_PER_TERM

    @property
    def takeover_after(self) -> float:
        """
        Return how long the row of an owner that is not alive must be unchanged before a takeover.

        A live owner's row is unchanged for up to a renewal interval.  After a shorter wait cells
        would be taken from live owners that were merely slow, which would take them back at once.
        """
        return self.renew_every + RENEWAL_SLACK_S

    def add_drift(self, seconds: float) -> float:
        """Return how long to wait here until ``seconds`` have passed on any other clock."""
        return seconds * (1 + self.drift)

    def missed_renewal_after(self) -> float:
        """
        Return after how long an unchanged row shows that its owner has missed a renewal.

        It is two renewal intervals and less than a lease, so another owner renews the workers'
        leases in time even if membership still considers the first owner alive.
        """
        return 2 * self.renew_every

    def subtract_drift(self, seconds: float) -> float:
        """Return how long another clock may run while at most ``seconds`` pass here."""
        return seconds / (1 + self.drift)


@dataclass(frozen=True, slots=True)
class Grant:
    """End of a lease on the worker's clock (ms), and its latest end on ours (s)."""

    lease_until: int
    latest_end: float


NO_GRANT = Grant(0, 0.0)


def compute_grant(clock: int, received: float, authority_until: float, terms: LeaseTerms) -> Grant:
    """
    Return the lease that may be granted after a report.

    The worker read ``clock`` before we received its report at ``received``.  The term counts from
    ``clock`` there and from ``received`` here, so our end is the later one, however long the next
    poll is delayed.  The lease never outlasts our authority, so a new owner that has waited for the
    end of the authority needs no answer from the worker.
    """
    length = min(terms.lease, terms.subtract_drift(authority_until - received))
    if length <= 0:
        return NO_GRANT
    length_ms = int(length * MS_PER_S)
    return Grant(clock + length_ms, received + terms.add_drift(length_ms / MS_PER_S))
