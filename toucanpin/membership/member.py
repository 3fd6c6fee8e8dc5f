"""
Members
=======

What one process knows of another: where it is, which life of it this is and whether it answers.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from toucanpin.membership.incarnation import read_life

__all__ = ["Member", "Standing"]


class Standing(enum.Enum):
    """Say what membership believes of a process; a hint, never a proof."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Member:
    """
    Describe one process of the system.

    ``name`` is ``<host>/<role>``; ``incarnation`` only grows over the lives of one name;
    ``address`` and ``port`` are those of the inner protocol; ``bundle`` is the version in force.
    """

    name: str
    host: str
    site: str
    role: str
    incarnation: int
    address: str
    port: int
    standing: Standing = Standing.ALIVE
    bundle: int = 0

    @property
    def life(self) -> int:
        """Return the number of this life, which refuted suspicions do not change."""
        return read_life(self.incarnation)
