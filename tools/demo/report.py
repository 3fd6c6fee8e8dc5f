"""
Report of the demonstration
===========================

Table of counts; the demonstration fails if any is wrong.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

__all__ = ["ReportLine", "Report", "print_report"]

NAME_WIDTH = 36


@dataclass(frozen=True, slots=True)
class ReportLine:
    """One count, and whether it is as expected."""

    name: str
    value: int | str
    correct: bool


@dataclass(slots=True)
class Report:
    """Counts, path of the merged time line and duration of the demonstration."""

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
