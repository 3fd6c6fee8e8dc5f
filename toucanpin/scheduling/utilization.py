"""
Heat of a worker
================

What a worker's cores do, and how the jobs that serve there fare.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServiceUtilization", "WorkerUtilization"]


@dataclass(frozen=True, slots=True)
class ServiceUtilization:
    """
    Hold how one serving job fares on a worker.

    ``load`` is its utilization without neighbours, ``expected`` and ``measured`` are those with
    what fills there now; ``limit`` is the one at which it reaches its target.
    """

    image: str
    load: float
    expected: float
    measured: float
    limit: float


@dataclass(frozen=True, slots=True)
class WorkerUtilization:
    """Hold the cores of a worker, those in use, and how its serving jobs fare."""

    capacity: int
    used: float
    services: tuple[ServiceUtilization, ...]
