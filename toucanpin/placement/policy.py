"""
Seam of the policy
==================

Where a policy that knows about interference takes part: it chooses among workers that have room, it
sees every report, and it may throttle or evict.  It can't overcommit: the ledger decides what fits.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from toucanpin.placement.records import CellRow, TaskRecord
from toucanpin.platform.ports import Report

__all__ = ["Act", "Evict", "Limit", "Policy", "TightestFit"]


@dataclass(frozen=True, slots=True)
class Evict:
    """Checkpoint a running task, stop it and let it wait again."""

    task: str


@dataclass(frozen=True, slots=True)
class Limit:
    """Limit a running task to a share of its processors."""

    task: str
    share: float


Act = Evict | Limit


class Policy(Protocol):
    """Choose workers and act on what they report."""

    def choose(self, task: TaskRecord, workers: Sequence[str], cell: CellRow) -> str | None:
        """Return one of the workers, tightest first, or None to let the task wait."""
        ...

    def observe(self, now: float, report: Report, tasks: Sequence[TaskRecord]) -> None:
        """Take in a report of a worker and the tasks committed there."""
        ...

    def act(self, now: float, cell: CellRow) -> tuple[Act, ...]:
        """Return what to do to running tasks of a cell now."""
        ...


class TightestFit:
    """Choose the worker with the least room, and never act."""

    def choose(self, task: TaskRecord, workers: Sequence[str], cell: CellRow) -> str | None:
        """Return the first, which has the least room."""
        return workers[0] if workers else None

    def observe(self, now: float, report: Report, tasks: Sequence[TaskRecord]) -> None:
        """Learn nothing."""

    def act(self, now: float, cell: CellRow) -> tuple[Act, ...]:
        """Do nothing."""
        return ()
