"""
Benchmark of the mechanisms
===========================

Switch each mechanism of sharing and placing off alone, and print what days of the model lose by it.

Notes
-----
The model knows workers that share, not outages or crashes: what a mechanism is worth in trouble has
to be measured elsewhere.
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
from benchmarks.sharing import play
from toucanpin.scheduling.cell import Lateness

__all__ = ["MECHANISMS", "main"]

KINDS = ("urgent", "patient", "lasting")


@dataclass(frozen=True, slots=True)
class Off:
    """Name one thing to replace so that a mechanism does nothing."""

    target: str
    value: Any


def _nothing(*_args: object, **_fields: object) -> None:
    return None


def _never(*_args: object, **_fields: object) -> bool:
    return False


def _always_in_time(*_args: object) -> Lateness:
    return Lateness.ON_TIME


_PLACING = "toucanpin.scheduling.placing"
_CHOOSING = "toucanpin.scheduling.choosing"
_SHARING = "toucanpin.scheduling.interference_model"
_PACING = "toucanpin.scheduling.pacing"
MECHANISMS: dict[str, tuple[Off, ...]] = {
    "all on": (),
    "order by lateness": (Off("toucanpin.scheduling.cell.estimate_lateness", _always_in_time),),
    "reserve for brief tasks": (Off(f"{_CHOOSING}.RESERVE", 0.0),),
    "a worker kept for large tasks": (
        Off("toucanpin.scheduling.large_tasks.MAX_RESERVED_SHARE", 0.0),
    ),
    "preemption": (Off(f"{_PLACING}._preempt_for", _nothing),),
    "moving of slow and stuck tasks": (Off("benchmarks.sharing.move_tasks", _nothing),),
    "pacing and clearing": (Off("benchmarks.sharing.control_pace", _nothing),),
    "clearing": (Off(f"{_PACING}.EVICT_HARMFUL_AFTER_S", 1e9),),
    "moves instead of slowing": (Off(f"{_PACING}._is_resumable", _never),),
    "learning by pairs": (Off("benchmarks.sharing.learn_effects", _nothing),),
    "caution about unknown pairs": (Off(f"{_SHARING}.CAUTION_DEVIATIONS", 0.0),),
    "grouping of images": (Off(f"{_CHOOSING}.OTHER_IMAGE_COST", 0.0),),
    "gathering of strays": (Off("benchmarks.sharing.consolidate_images", _nothing),),
    "rest after no place": (Off("toucanpin.scheduling.unplaceable.UNPLACEABLE_PERIOD_S", 0.0),),
}


@contextmanager
def _switched_off(name: str) -> Iterator[None]:
    with ExitStack() as stack:
        for off in MECHANISMS[name]:
            stack.enter_context(patch(off.target, off.value))
        yield


def _play(task: tuple[str, str, int]) -> tuple[float, ...]:
    """Return what each kind, and all together, earned of what was owed."""
    name, site, seed = task
    with _switched_off(name):
        outcome = play((site, seed))
    earned = [outcome.earned[kind] / max(1e-9, outcome.owed[kind]) for kind in KINDS]
    return *earned, sum(outcome.earned.values()) / sum(outcome.owed.values())


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
        rows = list(pool.map(_play, tasks, chunksize=1))
    for site in SITES:
        click.echo(f"{site}: {days} days from seed {seed}; urgent, patient, lasting, all, change")
        whole = 0.0
        for name in MECHANISMS:
            own = [r for t, r in zip(tasks, rows, strict=True) if t[:2] == (name, site)]
            # Type: ignore[misc].
            parts = [_mean(own, lambda row, n=number: row[n]) for number in range(4)]
            whole = whole or parts[3]
            text = "  ".join(f"{part:.3f}" for part in parts)
            click.echo(f"  {name:32} {text}  {parts[3] - whole:+.3f}")


if __name__ == "__main__":
    main()
