"""
Authority of owners
===================

How long an owner may grant leases after a write that the table has accepted from it.

Notes
-----
The next owner can't reach some workers, and waits for all leases that may have been granted there.
An authority of some seconds outlasts a short outage of the table.  Right after a takeover it is
only a lease long: that owner may end before its rows list the workers that don't answer, and their
tasks would wait as long as after a whole tenure.
"""

from __future__ import annotations

__all__ = ["OWNER_AUTHORITY_S", "TAKEOVER_AUTHORITY_S", "choose_authority"]

OWNER_AUTHORITY_S = 7.5
TAKEOVER_AUTHORITY_S = 4.5
INTRODUCTION_S = 1.0  # from a takeover until the rows list the workers that don't answer


def choose_authority(owned_since: float, now: float) -> float:
    """Return the authority in s that a write gives which is sent now, in steady seconds."""
    return OWNER_AUTHORITY_S if now >= owned_since + INTRODUCTION_S else TAKEOVER_AUTHORITY_S
