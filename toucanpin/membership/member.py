"""
Members
=======

Processes as the others know them, with address, incarnation and standing.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from toucanpin.membership.incarnation import get_process_incarnation

__all__ = ["Member", "Standing"]


class Standing(enum.Enum):
    """State of a process as membership sees it; a hint, never a proof."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Member:
    """
    One process of the system.

    ``name`` is ``<host>/<role>``; ``incarnation`` only grows, also over restarts of a process;
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
    def process_incarnation(self) -> int:
        """Return the incarnation of the process, which refuted suspicions do not change."""
        return get_process_incarnation(self.incarnation)
