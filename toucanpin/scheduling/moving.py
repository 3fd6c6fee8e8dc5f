"""
Moving tasks
============

Stop tasks that do better elsewhere: on workers that leave, and where nothing moves.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.ending import stop_run
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = ["move_tasks"]

STALL = 1.5  # s without progress; a task of 10 s on a worker 6.5 times slower moves each 0.65 s
SUSPICION = 5.0  # s that a worker is avoided on which a task stood still


def move_tasks(cell: Cell, now: Now) -> None:
    """Stop what should run elsewhere."""
    for worker in cell.workers.values():
        if not worker.reached or worker.silent:
            continue
        for run in list(worker.runs.values()):
            if run.phase is not Phase.RUNNING:
                continue
            if not worker.entry.ready and _leaves_too_soon(worker, run, now):
                stop_run(cell, run, "worker leaves")
            elif _stands_still(run, now):
                worker.suspect_until = now.steady + SUSPICION
                stop_run(cell, run, "stands still")


def _leaves_too_soon(worker: Worker, run: Run, now: Now) -> bool:
    """Tell whether a task won't end before its worker leaves."""
    if run.step.lasting:
        return True
    elapsed = now.steady - run.started_at
    left = worker.entry.left - (now.steady - worker.listed_at)
    if run.percent < 1:
        return run.step.estimate / 1_000 > left
    return elapsed * (100 - run.percent) / run.percent > left


def _stands_still(run: Run, now: Now) -> bool:
    return (
        not run.step.lasting
        and run.pace > 0
        and run.percent < 100
        and now.steady - run.moved_at > STALL
    )
