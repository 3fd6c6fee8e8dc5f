"""
Report
======

Describe the outcome of a seed: one line if no check failed, else also the plan, the violations and
the paths of the logs.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from tools.soak.faults import TimedFault
from tools.soak.run import Outcome

__all__ = ["describe"]

MAX_VIOLATIONS_SHOWN = 20  # per seed


def describe(outcome: Outcome, plan: tuple[TimedFault, ...], directory: Path) -> Iterator[str]:
    """Yield the lines of the report on one seed."""
    bad = len(outcome.violations)
    yield (
        f"seed {outcome.seed}: {f'{bad} wrong' if bad else 'sound'}, {len(plan)} faults, "
        f"{outcome.processes} processes, {outcome.accepted} accepted, "
        f"{outcome.completed} ended by themselves, {outcome.starts} starts, "
        f"{outcome.events} events, {outcome.judged_counts} counts judged, "
        f"{outcome.elapsed:.0f} s, {outcome.cpu:.0f} s of processor time"
    )
    if not bad:
        return
    yield "  plan, in s since callers came:"
    for timed in plan:
        yield f"    {timed.at:7.3f} {timed.fault}"
    yield "  seen:"
    for violation in outcome.violations[:MAX_VIOLATIONS_SHOWN]:
        at = violation.at - outcome.started_at
        yield f"    {at:7.3f} {violation.check}: {violation.detail}"
    yield "  logs:"
    for path in sorted(directory.glob("*.log")):
        yield f"    {path}"
