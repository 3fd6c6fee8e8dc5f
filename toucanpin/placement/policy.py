"""
Seam of the policy
==================

Where a policy that knows about interference takes part: it chooses among workers that have room, it
sees every report, and it may throttle or evict.  It can't overcommit: the ledger decides what fits.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Protocol

from toucanpin.bundles.schema import Bundle
from toucanpin.placement.records import CellRow, TaskRecord
from toucanpin.platform.ports import Report

__all__ = [
    "PolicyAction",
    "Evict",
    "GuardedPolicy",
    "Limit",
    "PlacementPolicy",
    "PolicyEvent",
    "BestFitPolicy",
]


@dataclass(frozen=True, slots=True)
class Evict:
    """Checkpoint a running task, stop it and let it wait again."""

    task: str


@dataclass(frozen=True, slots=True)
class Limit:
    """Limit a running task to a share of its processors."""

    task: str
    share: float


@dataclass(frozen=True, slots=True)
class PolicyEvent:
    """Put on the time line what was noticed, of a task if it is named."""

    kind: str
    task: str
    detail: str


PolicyAction = Evict | Limit | PolicyEvent


class PlacementPolicy(Protocol):
    """Choose workers and act on what they report."""

    def prepare(self, now: float, bundle: Bundle | None, workers: Collection[str]) -> None:
        """Take in, once a turn, the bundle in force and the workers of all owned cells."""
        ...

    def choose(
        self, task: TaskRecord, workers: Sequence[str], cell: CellRow, waited: float
    ) -> str | None:
        """Return one of the workers, tightest first, or None to let the task wait."""
        ...

    def observe(self, now: float, report: Report, tasks: Sequence[TaskRecord]) -> None:
        """Take in a report of a worker and the tasks committed there."""
        ...

    def act(self, now: float, cell: CellRow) -> tuple[PolicyAction, ...]:
        """Return what to do to running tasks of a cell now."""
        ...


class BestFitPolicy:
    """Choose the worker with the least room, and never act."""

    def prepare(self, now: float, bundle: Bundle | None, workers: Collection[str]) -> None:
        """Need nothing."""

    def choose(
        self, task: TaskRecord, workers: Sequence[str], cell: CellRow, waited: float
    ) -> str | None:
        """Return the first, which has the least room."""
        return workers[0] if workers else None

    def observe(self, now: float, report: Report, tasks: Sequence[TaskRecord]) -> None:
        """Learn nothing."""

    def act(self, now: float, cell: CellRow) -> tuple[PolicyAction, ...]:
        """Do nothing."""
        return ()


class GuardedPolicy:
    """
    Keep the faults of a policy from the turn that asks it.

    An exception would end the turn before its polls, and the next one too: no lease would be
    renewed and every task here would stop, for the sake of advice.  Where the policy fails, the
    tightest worker is taken and nothing is done; the first fault of each turn is remarked.
    """

    def __init__(self, policy: PlacementPolicy) -> None:
        self.policy = policy
        self._fallback = BestFitPolicy()
        self._fault = ""

    def prepare(self, now: float, bundle: Bundle | None, workers: Collection[str]) -> None:
        """Take in the bundle in force and the workers."""
        try:
            self.policy.prepare(now, bundle, workers)
        except Exception as error:
            self._record_fault(error)

    def choose(
        self, task: TaskRecord, workers: Sequence[str], cell: CellRow, waited: float
    ) -> str | None:
        """Return the policy's choice, or the tightest worker if it fails."""
        try:
            chosen = self.policy.choose(task, workers, cell, waited)
        except Exception as error:
            self._record_fault(error)
            return self._fallback.choose(task, workers, cell, waited)
        return chosen if chosen in workers else None

    def observe(self, now: float, report: Report, tasks: Sequence[TaskRecord]) -> None:
        """Let the policy learn."""
        try:
            self.policy.observe(now, report, tasks)
        except Exception as error:
            self._record_fault(error)

    def act(self, now: float, cell: CellRow) -> tuple[PolicyAction, ...]:
        """Return the policy's acts, or the remark that it failed."""
        acts: tuple[PolicyAction, ...] = ()
        try:
            acts = self.policy.act(now, cell)
        except Exception as error:
            self._record_fault(error)
        if self._fault:
            acts = (*acts, PolicyEvent("policy.fail", "", self._fault))
            self._fault = ""
        return acts

    def _record_fault(self, error: Exception) -> None:
        """Remember the first fault until it is remarked."""
        self._fault = self._fault or f"{type(error).__name__}: {error}"
