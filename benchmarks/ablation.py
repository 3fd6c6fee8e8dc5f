"""
Ablation of the scheduling mechanisms
=====================================

Disable each mechanism of sharing and placing alone, and print what days of the model lose by it.

Notes
-----
The model has neither outages nor crashes: the value of a mechanism under failures has to be
measured elsewhere.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

import click

from benchmarks.shared_jobs import SITES
from benchmarks.sharing import run_day
from toucanpin.scheduling.job_order import Lateness

__all__ = ["MECHANISMS", "main"]

KINDS = ("urgent", "patient", "lasting")


@dataclass(frozen=True, slots=True)
class Replacement:
    """Target and value of a patch that disables a mechanism."""

    target: str
    value: Any


def _return_none(*_args: object, **_fields: object) -> None:
    return None


def _return_false(*_args: object, **_fields: object) -> bool:
    return False


def _return_on_time(*_args: object) -> Lateness:
    return Lateness.ON_TIME


_PLACING = "toucanpin.scheduling.placing"
_CHOOSING = "toucanpin.scheduling.choosing"
_MODEL = "toucanpin.scheduling.interference_model"
_PACING = "toucanpin.scheduling.pacing"
MECHANISMS: dict[str, tuple[Replacement, ...]] = {
    "all on": (),
    "order by lateness": (
        Replacement("toucanpin.scheduling.job_order.estimate_lateness", _return_on_time),
    ),
    "reserve for brief tasks": (Replacement(f"{_CHOOSING}.RESERVE", 0.0),),
    "a worker kept for large tasks": (
        Replacement("toucanpin.scheduling.large_tasks.MAX_RESERVED_SHARE", 0.0),
    ),
    "preemption": (Replacement(f"{_PLACING}._preempt_for", _return_none),),
    "moving of slow and stuck tasks": (Replacement("benchmarks.sharing.move_tasks", _return_none),),
    "pacing and clearing": (Replacement("benchmarks.sharing.control_pace", _return_none),),
    "clearing": (Replacement(f"{_PACING}.EVICT_HARMFUL_AFTER_S", 1e9),),
    "moves instead of slowing": (Replacement(f"{_PACING}._is_resumable", _return_false),),
    "learning by pairs": (Replacement("benchmarks.sharing.learn_effects", _return_none),),
    "caution about unknown pairs": (Replacement(f"{_MODEL}.CAUTION_DEVIATIONS", 0.0),),
    "grouping of images": (Replacement(f"{_CHOOSING}.OTHER_IMAGE_COST", 0.0),),
    "gathering of strays": (Replacement("benchmarks.sharing.consolidate_images", _return_none),),
    "rest after no place": (
        Replacement("toucanpin.scheduling.unplaceable.UNPLACEABLE_PERIOD_S", 0.0),
    ),
}


@contextmanager
def _switched_off(name: str) -> Iterator[None]:
    with ExitStack() as stack:
        for replacement in MECHANISMS[name]:
            stack.enter_context(patch(replacement.target, replacement.value))
        yield


def _run_task(task: tuple[str, str, int]) -> tuple[float, ...]:
    """Return the earned share of the attainable value, by kind and of all together."""
    name, site, seed = task
    with _switched_off(name):
        outcome = run_day((site, seed))
    earned = [outcome.earned[kind] / max(1e-9, outcome.attainable[kind]) for kind in KINDS]
    return *earned, sum(outcome.earned.values()) / sum(outcome.attainable.values())


def _mean(rows: list[tuple[float, ...]], pick: Callable[[tuple[float, ...]], float]) -> float:
    return sum(pick(row) for row in rows) / len(rows)


@click.command()
@click.option("--days", default=5, show_default=True, help="Days a site and mechanism.")
@click.option("--seed", default=1, show_default=True, help="Seed of the first day.")
@click.option("--processes", default=4, show_default=True, help="Days at a time.")
def main(days: int, seed: int, processes: int) -> None:
    """Print by site what was earned with each mechanism off: urgent, patient, lasting, all."""
    tasks = [
        (name, site, seed + day) for name in MECHANISMS for site in SITES for day in range(days)
    ]
    with ProcessPoolExecutor(processes) as pool:
        rows = list(pool.map(_run_task, tasks, chunksize=1))
    for site in SITES:
        click.echo(f"{site}: {days} days from seed {seed}; urgent, patient, lasting, all, change")
        baseline = 0.0
        for name in MECHANISMS:
            own = [r for t, r in zip(tasks, rows, strict=True) if t[:2] == (name, site)]
            parts = [_mean(own, lambda row, n=number: row[n]) for number in range(4)]
            baseline = baseline or parts[3]
            text = "  ".join(f"{part:.3f}" for part in parts)
            click.echo(f"  {name:32} {text}  {parts[3] - baseline:+.3f}")


if __name__ == "__main__":
    main()
