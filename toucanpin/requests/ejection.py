"""
Outlier ejection
================

Instances that fail receive no requests for a while and are then probed with single ones.  An
instance that fails fast looks idle, so least-loaded routing would send it most of the traffic;
ejection prevents that.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from random import Random

__all__ = ["Ejector", "Health", "Phase"]

MAX_CONSECUTIVE_FAILURES = 3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_SHARE = 0.5
FAILURE_RATE_WEIGHT = 0.1
MAX_FAILURE_RATE = 0.5


class Phase(enum.Enum):
    """Whether an instance receives requests; ``PROBING`` allows one at a time."""

    ACTIVE = "in"
    EJECTED = "out"
    PROBING = "probe"


@dataclass(slots=True)
class Health:
    """Recent failures of one instance; ``failure_rate`` is a moving average from 0 to 1."""

    phase: Phase = Phase.ACTIVE
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0


class Ejector:
    """Ejector of failing instances of a service, at most ``MAX_EJECTED_SHARE`` of them."""

    __slots__ = ("_rng",)

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def record_success(self, health: Health) -> bool:
        """Count a success; return whether it ends the instance's ejection."""
        health.consecutive_failures = 0
        health.failure_rate *= 1 - FAILURE_RATE_WEIGHT
        returned = health.phase is Phase.PROBING
        if returned:
            health.phase = Phase.ACTIVE
            health.failure_rate = 0.0
        elif health.failure_rate < FAILURE_RATE_WEIGHT:
            health.ejections = 0
        return returned

    def record_failure(
        self, health: Health, ejected: int, total: int, now: float, lost_to_hedge: bool = False
    ) -> bool:
        """
        Count a failure; return whether the instance is ejected for it.

        ``ejected`` of the ``total`` instances are ejected already.  An attempt that was only slower
        than its hedge (``lost_to_hedge``) counts in the failure rate but not as a consecutive
        failure, since the slowest answers of a good instance lose to hedges too.
        """
        health.consecutive_failures += not lost_to_hedge
        health.failure_rate += (1 - health.failure_rate) * FAILURE_RATE_WEIGHT
        probing = health.phase is Phase.PROBING
        failing = (
            health.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            or health.failure_rate > MAX_FAILURE_RATE
            or probing
        )
        if not failing or health.phase is Phase.EJECTED:
            return False
        if not probing and ejected + 1 > int(total * MAX_EJECTED_SHARE):
            # With most instances failing, the cause is likely common to all; requests must not be
            # concentrated on ever fewer instances.
            return False
        seconds = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**health.ejections)
        health.phase = Phase.EJECTED
        health.ejections = min(health.ejections + 1, 10)
        health.consecutive_failures = 0
        health.ejected_until = now + seconds * self._rng.uniform(0.75, 1.25)
        return True

    def start_probe(self, health: Health, now: float) -> None:
        """Start probing an instance whose ejection time has passed."""
        if health.phase is Phase.EJECTED and now >= health.ejected_until:
            health.phase = Phase.PROBING
