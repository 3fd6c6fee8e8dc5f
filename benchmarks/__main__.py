"""
Benchmarks
==========

Run the benchmarks named on the command line, all of them if none is named, one after the other.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable

import click

__all__ = ["main"]

NAMES = (
    "requests",
    "placement",
    "policy",
    "policy_cost",
    "bundles",
    "bundle_processes",
    "node_cost",
)


def main() -> int:
    """Run benchmarks and return the exit code."""
    chosen = sys.argv[1:] or list(NAMES)
    unknown = sorted(set(chosen) - set(NAMES))
    if unknown:
        print(f"no benchmark {', '.join(unknown)}; known are {', '.join(NAMES)}", file=sys.stderr)
        return 2
    sys.argv[1:] = []
    for name in chosen:
        _run(importlib.import_module(f"benchmarks.{name}").main)
    return 0


def _run(benchmark: Callable[[], None] | click.Command) -> None:
    """Run one benchmark; those with options of their own are commands."""
    match benchmark:
        case click.Command():
            benchmark.main([], standalone_mode=False)
        case _:
            benchmark()


if __name__ == "__main__":
    sys.exit(main())
