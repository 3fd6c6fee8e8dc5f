"""
Report of the demonstration
===========================

A short table of counts; any wrong one makes the demonstration fail.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

__all__ = ["ReportLine", "Report", "print_report"]

NAME_WIDTH = 36


@dataclass(frozen=True, slots=True)
class ReportLine:
    """Show one count and whether it is as it must be."""

    name: str
    value: int | str
    correct: bool


@dataclass(slots=True)
class Report:
    """Hold the counts, the merged time line's path and how long all took."""

    lines: list[ReportLine]
    timeline_page: Path
    seconds: float = 0.0


def print_report(report: Report) -> int:
    """Print a report and return the exit code."""
    for line in report.lines:
        mark = "" if line.correct else "  <- wrong"
        print(f"{line.name:<{NAME_WIDTH}}{line.value}{mark}")
    print(f"{'time line':<{NAME_WIDTH}}{report.timeline_page}")
    print(f"{'seconds':<{NAME_WIDTH}}{report.seconds:.0f}")
    return 0 if all(line.correct for line in report.lines) else 1
