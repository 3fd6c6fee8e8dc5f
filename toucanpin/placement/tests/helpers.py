"""
Helpers of the placement tests
==============================
"""

from __future__ import annotations

from toucanpin.placement.tests.world import Effect, Process, World

__all__ = [
    "TABLE_OPERATIONS",
    "find_gaps",
    "find_owner",
    "make_table_unavailable",
    "start_standing",
]

TABLE_OPERATIONS = ("commit", "read", "scan")


def find_gaps(world: World, task: str) -> list[float]:
    """Return the gaps (ms) between the runs of a task, and up to now if it isn't running."""
    runs = sorted(world.intervals()[task])
    gaps: list[float] = [
        start - end for (_, end, *_), (start, *_) in zip(runs, runs[1:], strict=False)
    ]
    if not world.running(task):
        gaps.append(int(world.now * 1000) - runs[-1][1])
    return gaps


def start_standing(**sizes: int) -> World:
    """Return a world in which one standing task is running."""
    world = World(**sizes)
    world.set_standing(2, "enc")
    world.run(5)
    return world


def find_owner(world: World, task: str) -> Process:
    """Return the process that owns the cell of a running task."""
    for cell in world.cells().values():
        if task in cell.tasks and cell.owner:
            return world.processes[cell.owner.process]
    raise AssertionError(f"no owned cell has task {task}")


def make_table_unavailable(world: World) -> None:
    """Make the table unavailable to all clients."""
    for operation in TABLE_OPERATIONS:
        world.fault(Effect.DOWN, operation)
