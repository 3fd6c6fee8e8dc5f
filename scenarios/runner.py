"""
Scenario runner
===============

Run a scenario and report its failures and its session.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from scenarios import model
from scenarios.evaluation import Failure, evaluate
from scenarios.model import FOREVER, Action, Scenario
from scenarios.observations import Observations
from toucanpin.timeline.event import Event
from toucanpin.timeline.faults import explain_fault
from toucanpin.timeline.merge import merge
from toucanpin.timeline.text import render_text

__all__ = ["FILES", "Outcome", "World", "find_scenarios", "run"]

FILES = Path(__file__).with_name("files")
SETTLING_TIME_S = 1.0
MIN_DURATION_S = 30.0


class World(Protocol):
    """An environment that performs the actions of a scenario and records observations."""

    def advance(self, time: float) -> None:
        """Advance to a time, in seconds since the start."""
        ...

    def apply(self, action: Action) -> None:
        """Perform an action now."""
        ...

    def close(self) -> Observations:
        """End everything and return the observations."""
        ...

    def events(self) -> Iterable[Event]:
        """Return the events of every process, including killed ones, in any order."""
        ...


@dataclass(frozen=True, slots=True)
class Outcome:
    """The failures of a run and its session as text."""

    failures: tuple[Failure, ...]
    session: str


def find_scenarios() -> list[Path]:
    """Return the scenario files."""
    return sorted(FILES.glob("*.scenario"))


def run(scenario: Scenario, make_world: Callable[[Scenario], World]) -> Outcome:
    """Run a scenario until all its expectations are due, and evaluate them."""
    world = make_world(scenario)
    for event in scenario.events:
        world.advance(event.time)
        world.apply(event.action)
    world.advance(find_end(scenario))
    observations = world.close()
    observations.event_counts.update(event.kind for event in world.events())
    failures = tuple(evaluate(scenario, observations))
    return Outcome(failures, _write_session(scenario, world, failures))


def find_end(scenario: Scenario) -> float:
    """Return the time at which a scenario ends."""
    last = max((event.time for event in scenario.events), default=0.0)
    spans = [_find_deadline(each.expected) for each in scenario.expectations]
    faults = [_find_fault_end(event) for event in scenario.events]
    return max(MIN_DURATION_S, last + max((*spans, 0.0)), *faults) + SETTLING_TIME_S


def _find_deadline(expected: model.Expected) -> float:
    """Return how long after the last action an expectation is due."""
    match expected:
        case model.JobEnds(within=span) | model.RequestEnds(within=span):
            return 0.0 if span == FOREVER else span
        case model.BundleEverywhere(within=span):
            return span
        case _:
            return 0.0


def _find_fault_end(event: model.Event) -> float:
    """Return the time at which a fault ends."""
    duration = getattr(event.action, "duration", 0.0)
    return event.time + (0.0 if duration == FOREVER else duration)


def _write_session(scenario: Scenario, world: World, failures: tuple[Failure, ...]) -> str:
    """Return the timeline of a run, its faults, and the failed expectations as text."""
    faults: list[str] = []
    merged = merge(world.events(), lambda fault: faults.append(explain_fault(fault)))
    lines = [f"{scenario.title} (seed {scenario.seed})", *render_text(merged)]
    lines += [f"time line: {fault}" for fault in faults]
    lines += [f"failed: {failure}" for failure in failures] or ["every expectation held"]
    return "\n".join(lines) + "\n"
