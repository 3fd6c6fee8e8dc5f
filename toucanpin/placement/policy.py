"""
Placement policy interface
==========================

A policy chooses among workers with enough free capacity, observes every report, and may throttle
or evict running tasks.  It can't overcommit a worker, since the ledger decides what fits.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Protocol

from toucanpin.bundles.schema import Bundle
from toucanpin.placement.records import CellRow, TaskRecord
from toucanpin.platform.ports import Report

__all__ = [
    "BestFitPolicy",
    "Evict",
    "GuardedPolicy",
    "Limit",
    "PlacementPolicy",
    "PolicyAction",
    "PolicyEvent",
]


@dataclass(frozen=True, slots=True)
class Evict:
    """Checkpoint a running task, stop it and queue it again."""

    task: str


@dataclass(frozen=True, slots=True)
class Limit:
    """Limit a running task to a share of its processors."""

    task: str
    share: float


@dataclass(frozen=True, slots=True)
class PolicyEvent:
    """Record an event on the timeline, about a task unless ``task`` is empty."""

    kind: str
    task: str
    detail: str


PolicyAction = Evict | Limit | PolicyEvent


class PlacementPolicy(Protocol):
    """Interface of policies that choose workers and act on their reports."""

    def prepare(self, now: float, bundle: Bundle | None, workers: Collection[str]) -> None:
        """Prepare a turn with the bundle in force and the workers of all owned cells."""
        ...

    def choose(
        self, task: TaskRecord, workers: Sequence[str], cell: CellRow, waited: float
    ) -> str | None:
        """Return one of the workers, given tightest first, or None to let the task wait."""
        ...

    def observe(self, now: float, report: Report, tasks: Sequence[TaskRecord]) -> None:
        """Observe a report of a worker and the tasks committed to it."""
        ...

    def decide(self, now: float, cell: CellRow) -> tuple[PolicyAction, ...]:
        """Return the actions to take now on running tasks of a cell."""
        ...


class BestFitPolicy:
    """Policy that chooses the worker with the least free capacity and never acts."""

    def prepare(self, now: float, bundle: Bundle | None, workers: Collection[str]) -> None:
        """Do nothing."""

    def choose(
        self, task: TaskRecord, workers: Sequence[str], cell: CellRow, waited: float
    ) -> str | None:
        """Return the first worker, which has the least free capacity."""
        return workers[0] if workers else None

    def observe(self, now: float, report: Report, tasks: Sequence[TaskRecord]) -> None:
        """Ignore the report."""

    def decide(self, now: float, cell: CellRow) -> tuple[PolicyAction, ...]:
        """Return no actions."""
        return ()


class GuardedPolicy:
    """
    Wrapper that shields control turns from exceptions of a policy.

    An exception would end every turn before its polls, so no lease would be renewed and all tasks
    would stop.  If the policy fails, the tightest worker is chosen and no action is taken; the
    first failure of each turn is recorded on the timeline.
    """

    def __init__(self, policy: PlacementPolicy) -> None:
        self.policy = policy
        self._fallback = BestFitPolicy()
        self._failure = ""

    def prepare(self, now: float, bundle: Bundle | None, workers: Collection[str]) -> None:
        """Prepare the policy for a turn."""
        try:
            self.policy.prepare(now, bundle, workers)
        except Exception as error:
            self._record_failure(error)

    def choose(
        self, task: TaskRecord, workers: Sequence[str], cell: CellRow, waited: float
    ) -> str | None:
        """Return the policy's choice, or the tightest worker if it fails."""
        try:
            chosen = self.policy.choose(task, workers, cell, waited)
        except Exception as error:
            self._record_failure(error)
            return self._fallback.choose(task, workers, cell, waited)
        return chosen if chosen in workers else None

    def observe(self, now: float, report: Report, tasks: Sequence[TaskRecord]) -> None:
        """Pass a report to the policy."""
        try:
            self.policy.observe(now, report, tasks)
        except Exception as error:
            self._record_failure(error)

    def decide(self, now: float, cell: CellRow) -> tuple[PolicyAction, ...]:
        """Return the policy's actions, with an event if the policy has failed."""
        actions: tuple[PolicyAction, ...] = ()
        try:
            actions = self.policy.decide(now, cell)
        except Exception as error:
            self._record_failure(error)
        if self._failure:
            actions = (*actions, PolicyEvent("policy.fail", "", self._failure))
            self._failure = ""
        return actions

    def _record_failure(self, error: Exception) -> None:
        """Keep the first failure until it is recorded."""
        self._failure = self._failure or f"{type(error).__name__}: {error}"
