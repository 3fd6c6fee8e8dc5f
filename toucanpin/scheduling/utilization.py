"""
Utilization of a worker
=======================

The cores of a worker that are in use, and the utilization of the latency-critical jobs on it.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServiceUtilization", "WorkerUtilization"]


@dataclass(frozen=True, slots=True)
class ServiceUtilization:
    """
    Utilization of one latency-critical job on a worker.

    ``load`` is its utilization without neighbours, ``expected`` and ``measured`` are those with the
    best-effort tasks that run there now; at ``limit`` its tail latency reaches its target.
    """

    image: str
    load: float
    expected: float
    measured: float
    limit: float


@dataclass(frozen=True, slots=True)
class WorkerUtilization:
    """Cores of a worker and those in use, in thousandths, and its latency-critical jobs."""

    capacity: int
    used: float
    services: tuple[ServiceUtilization, ...]
