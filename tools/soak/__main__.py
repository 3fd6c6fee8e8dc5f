"""Play seeds of the soak; return 1 if anything is wrong."""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tools.soak.plan import Size, draw_plan
from tools.soak.report import describe
from tools.soak.run import PROGRAM, play
from tools.soak.weakened import WEAKENINGS

LOG_DIRECTORY = Path("var/soak")
KEPT_SEEDS_FILE = Path(__file__).with_name("kept-seeds.txt")


@dataclass(frozen=True, slots=True)
class _SeedRun:
    """Arguments of one seed's run."""

    seed: int
    size: Size
    settle: float
    program: tuple[str, ...]
    directory: Path


def main() -> int:
    """Play all seeds, a few at a time."""
    options = _parse_options()
    size = Size(
        options.hosts,
        options.workers,
        options.callers,
        options.seconds,
        unstable=options.unstable,
    )
    program: tuple[str, ...] = PROGRAM
    if options.without:
        program = ("-m", "tools.soak.weakened", options.without)
    seeds = read_kept_seeds() if options.kept else _parse_seeds(options.seeds)
    runs = [
        _SeedRun(seed, size, options.settle, program, options.logs / f"seed-{seed}")
        for seed in seeds
    ]
    bad = []
    with ProcessPoolExecutor(options.parallel) as pool:
        for run, (sound, lines) in zip(runs, pool.map(_play, runs), strict=True):
            print("\n".join(lines), flush=True)
            if not sound:
                bad.append(run.seed)
    print(f"{len(runs) - len(bad)} seeds sound, {len(bad)} wrong: {bad}")
    return 1 if bad else 0


def _play(run: _SeedRun) -> tuple[bool, list[str]]:
    shutil.rmtree(run.directory, ignore_errors=True)
    run.directory.mkdir(parents=True)
    plan = draw_plan(run.seed, run.size)
    outcome = asyncio.run(play(run.seed, plan, run.size, run.directory, run.settle, run.program))
    lines = list(describe(outcome, plan, run.directory))
    if not outcome.violations:
        shutil.rmtree(run.directory)
    return not outcome.violations, lines


def read_kept_seeds() -> list[int]:
    """Read the seeds that failed once and are kept as regression tests."""
    lines = (line.partition("#")[0].split() for line in KEPT_SEEDS_FILE.read_text().splitlines())
    return [int(words[0]) for words in lines if words]


def _parse_seeds(text: str) -> Iterable[int]:
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m tools.soak", description=__doc__)
    parser.add_argument("--seeds", default="1-4", help="one seed, or the first and the last")
    parser.add_argument("--kept", action="store_true", help="play the seeds that failed once")
    parser.add_argument("--seconds", type=float, default=20.0, help="in which faults begin")
    parser.add_argument("--settle", type=float, default=90.0, help="s for jobs to end after it")
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--workers", type=int, default=10)
    parser.add_argument("--callers", type=int, default=10)
    parser.add_argument("--unstable", action="store_true", help="many workers fail together")
    parser.add_argument("--parallel", type=int, default=1, help="seeds at a time")
    parser.add_argument("--logs", type=Path, default=LOG_DIRECTORY)
    parser.add_argument("--without", choices=WEAKENINGS, help="a safeguard to switch off")
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
