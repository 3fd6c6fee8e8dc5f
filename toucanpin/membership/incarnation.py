"""
Incarnations
============

Incarnation numbers of members.  A process takes a new process incarnation whenever it starts, and
raises its number within that to refute a suspicion.  The number contains both: the process
incarnation in the upper bits, the refutations in the lower ones.
"""

from __future__ import annotations

__all__ = ["begin_incarnation", "get_process_incarnation", "make_incarnation"]

REFUTATION_BITS = 20


def begin_incarnation(started_at: float) -> int:
    """Return the first incarnation of a process started at an instant (seconds since 1970)."""
    return make_incarnation(int(started_at * 1_000))


def make_incarnation(process_incarnation: int) -> int:
    """Return the first incarnation number of a process incarnation."""
    return process_incarnation << REFUTATION_BITS


def get_process_incarnation(incarnation: int) -> int:
    """Return the process incarnation that an incarnation number belongs to."""
    return incarnation >> REFUTATION_BITS
