"""
Features
========

Select the optional scheduling decisions that a deployment's settings call for.

Notes
-----
Where a running task can be interrupted quickly, the owner accepts all jobs and corrects its choices
later, by preemption and moves.  Where an interruption takes longer than urgent work may wait, a
choice can't be corrected in time, so the decisions listed here are made before tasks start.
"""

from __future__ import annotations

from dataclasses import dataclass

from toucanpin.scheduling.settings import Bounds

__all__ = ["MAX_URGENT_WAIT_S", "Features", "select_features"]

MAX_URGENT_WAIT_S = 1.2  # within which urgent work has to start


@dataclass(frozen=True, slots=True)
class Features:
    """
    Optional decisions, all off by default.

    ``admission_control`` refuses jobs that can't end in time; ``colocation_planning`` places
    latency-critical and best-effort tasks by one plan; ``urgent_headroom`` keeps free cores for
    urgent work by its recent bursts; ``worker_profiles`` places tasks by the observed speed of
    workers.
    """

    admission_control: bool = False
    colocation_planning: bool = False
    urgent_headroom: bool = False
    worker_profiles: bool = False


def select_features(bounds: Bounds) -> Features:
    """Return the features that a deployment with these time bounds calls for."""
    slow = bounds.stop_time + bounds.restore_time > MAX_URGENT_WAIT_S
    return Features(
        admission_control=slow,
        colocation_planning=slow,
        urgent_headroom=slow,
        worker_profiles=slow,
    )
