"""
Golden files of the scenarios
=============================

Run scenarios, show how their sessions differ from the golden files beside them, and rewrite those
files unless called with ``--check``.
"""

from __future__ import annotations

import difflib
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import click

from scenarios.language import read
from scenarios.model import Scenario, ScenarioError
from scenarios.runner import Outcome, find_scenarios, run
from scenarios.world import VirtualWorld

__all__ = ["compare", "golden", "name_golden"]

Runner = Callable[[Scenario], Outcome]


def name_golden(path: Path) -> Path:
    """Return the golden file of a scenario file."""
    return path.with_suffix(".golden")


def compare(path: Path, session: str) -> Iterator[str]:
    """Yield the lines that differ between a golden file and a session."""
    golden_path = name_golden(path)
    before = golden_path.read_text(encoding="utf-8") if golden_path.exists() else ""
    yield from difflib.unified_diff(
        before.splitlines(), session.splitlines(), golden_path.name, "this run", lineterm=""
    )


def run_virtual(scenario: Scenario) -> Outcome:
    """Run a scenario on the virtual clock."""
    return run(scenario, VirtualWorld)


def review(path: Path, rewrite: bool, runner: Runner = run_virtual) -> bool:
    """Show the difference to one golden file, optionally rewrite it; return whether all is well."""
    outcome = runner(read(path))
    difference = list(compare(path, outcome.session))
    for line in difference:
        click.echo(line)
    for failure in outcome.failures:
        click.echo(f"failed: {failure}")
    if difference and rewrite:
        name_golden(path).write_text(outcome.session, encoding="utf-8")
        click.echo(f"rewrote {name_golden(path).name}")
    return not outcome.failures and (rewrite or not difference)


@click.command()
@click.option("--check", is_flag=True, help="Only compare; exit with 1 if anything differs.")
@click.argument("files", nargs=-1, type=click.Path(exists=True, path_type=Path))
def golden(check: bool, files: tuple[Path, ...]) -> None:
    """Rewrite the golden files of all scenarios, or of FILES, and show what changed."""
    try:
        results = [review(path, rewrite=not check) for path in files or find_scenarios()]
    except ScenarioError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    click.echo(f"{sum(results)} of {len(results)} scenarios are as they should be")
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    golden()
