"""
Ejection of outliers
====================

Instances that fail are taken out for a while and probed back in.  An instance that fails fast
looks idle, so least-loaded routing would send it most of the traffic; ejection prevents that.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from random import Random

__all__ = ["Ejector", "Health", "Phase"]

FAILURES_IN_A_ROW = 3
BASE_SECONDS = 1.0
MAX_SECONDS = 30.0
MAX_OUT_SHARE = 0.5
RATE_WEIGHT = 0.1
RATE_LIMIT = 0.5


class Phase(enum.Enum):
    """Say how an instance takes part."""

    IN = "in"
    OUT = "out"
    PROBE = "probe"


@dataclass(slots=True)
class Health:
    """Keep one instance's recent failures; ``rate`` is a moving average between 0 and 1."""

    phase: Phase = Phase.IN
    failures: int = 0
    rate: float = 0.0
    ejections: int = 0
    until: float = 0.0


class Ejector:
    """Decide which instances of a service are out, never more than a share of them."""

    __slots__ = ("_rng",)

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def succeed(self, health: Health) -> bool:
        """Count a success; return True if it brought the instance back in."""
        health.failures = 0
        health.rate *= 1 - RATE_WEIGHT
        returned = health.phase is Phase.PROBE
        if returned:
            health.phase = Phase.IN
            health.rate = 0.0
        elif health.rate < RATE_WEIGHT:
            health.ejections = 0
        return returned

    def fail(
        self, health: Health, out: int, total: int, now: float, overtaken: bool = False
    ) -> bool:
        """
        Count a failure; ``out`` of ``total`` are out already.  Return True if it ejects.

        An attempt that was only ``overtaken`` by a hedge counts in the rate but not in the row: a
        good instance's slowest answers are overtaken too.
        """
        health.failures += not overtaken
        health.rate += (1 - health.rate) * RATE_WEIGHT
        probing = health.phase is Phase.PROBE
        bad = health.failures >= FAILURES_IN_A_ROW or health.rate > RATE_LIMIT or probing
        if not bad or health.phase is Phase.OUT:
            return False
        if not probing and out + 1 > int(total * MAX_OUT_SHARE):
            # With most instances failing, the cause is likely common to all; the rest must not
            # be crowded onto ever fewer instances.
            return False
        seconds = min(MAX_SECONDS, BASE_SECONDS * 2**health.ejections)
        health.phase = Phase.OUT
        health.ejections = min(health.ejections + 1, 10)
        health.failures = 0
        health.until = now + seconds * self._rng.uniform(0.75, 1.25)
        return True

    def renew(self, health: Health, now: float) -> None:
        """Let an instance whose time is over be probed."""
        if health.phase is Phase.OUT and now >= health.until:
            health.phase = Phase.PROBE
