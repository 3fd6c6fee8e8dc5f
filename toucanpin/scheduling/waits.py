"""
Waits of steps
==============

Since when and why the tasks of a step wait for workers.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["Wait", "WaitReason"]


class WaitReason(enum.Enum):
    """Reason why tasks of a step were not placed."""

    NO_ROOM = "no room"
    RESERVED = "room is kept for brief tasks"
    INTERFERENCE = "would disturb what serves"
    BACKOFF = "pauses after a failure"
    INCOMPLETE_GANG = "not all of a gang find room"
    NO_TICKET = "no ticket"
    FAILING_WORKERS = "room only where tasks fail"
    CRASHING = "workers were lost under it"
    EVACUATED = "no room outside evacuated data centres"


@dataclass(slots=True)
class Wait:
    """
    Start of a step's wait for workers, and the latest reason for it.

    Before ``retry_at`` placement isn't tried again, before ``last_resort_at`` not because its job
    stands still either.
    """

    since: float
    reason: WaitReason = WaitReason.NO_ROOM
    logged_at: float = 0.0
    retry_at: float = 0.0
    last_resort_at: float = 0.0
