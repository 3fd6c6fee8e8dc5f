"""
Incarnations
============

Number the lives of a process.  A process that refutes a suspicion raises its incarnation without
beginning a new life, so the number holds both: the life above, the refutations below.
"""

from __future__ import annotations

__all__ = ["begin_incarnation", "number_life", "read_life"]

REFUTATION_BITS = 20


def begin_incarnation(wall: float) -> int:
    """Return the first incarnation of a life that begins at ``wall`` (seconds since 1970)."""
    return number_life(int(wall * 1_000))


def number_life(life: int) -> int:
    """Return the first incarnation of a life."""
    return life << REFUTATION_BITS


def read_life(incarnation: int) -> int:
    """Return the number of the life that an incarnation belongs to."""
    return incarnation >> REFUTATION_BITS
