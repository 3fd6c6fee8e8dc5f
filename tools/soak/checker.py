"""
Checker
=======

Keep the events of a run and pass each to all checks as it occurs.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from tools.soak.answer_checks import Configurations, Counts, Kept, Own, Processes, Shutdowns, States
from tools.soak.events import Event
from tools.soak.standing_check import Standing
from tools.soak.task_checks import (
    CrashLoops,
    Evacuations,
    Leaving,
    NotAgain,
    OnePlace,
    Refusals,
    Room,
    StepOrder,
    TaskCheck,
)

__all__ = ["CHECKS", "TIMING_CHECKS", "Checker", "Violation"]

CHECKS: tuple[type[TaskCheck], ...] = (
    OnePlace,
    NotAgain,
    StepOrder,
    CrashLoops,
    Room,
    Refusals,
    Leaving,
    Evacuations,
    Own,
    Configurations,
    Kept,
    States,
    Counts,
    Shutdowns,
    Processes,
    Standing,
)


# Checks whose bounds hold only while the machine has spare processor time.
TIMING_CHECKS = frozenset({"Leaving", "Evacuations", "Configurations", "Counts", "Standing"})


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation that a check found; ``at`` is in s of the monotonic clock."""

    at: float
    check: str
    detail: str


class Checker:
    """Run all checks on the events of a run, in order."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.violations: list[Violation] = []
        self._checks = [make() for make in CHECKS]

    @property
    def judged_counts(self) -> int:
        """Return how many counts were compared with jobs that are known to wait."""
        return sum(check.judged for check in self._checks if isinstance(check, Counts))

    def record(self, event: Event) -> None:
        """Store an event and check it."""
        self.events.append(event)
        self.violations += self._judge(event)

    def close(self) -> None:
        """Run the checks that need the whole history."""
        at = self.events[-1].at if self.events else 0.0
        for check in self._checks:
            name = type(check).__name__
            self.violations += [Violation(at, name, detail) for detail in check.close()]

    def _judge(self, event: Event) -> Iterator[Violation]:
        for check in self._checks:
            for detail in check.take(event):
                yield Violation(event.at, type(check).__name__, detail)
