"""
Racks of steps
==============

Choose the rack on which the tasks of a step run together.
"""

from __future__ import annotations

from collections import Counter

from toucanpin.scheduling.cell import Cell, Group, LiveJob, list_runs

__all__ = ["update_rack"]


def update_rack(cell: Cell, live: LiveJob, group: Group) -> None:
    """
    Set the rack of a step to the one on which most of its tasks run, if any do.

    The rack chosen first isn't final: all its workers may be lost, and a new owner doesn't know it.
    In either case four tasks would be spread over two racks, which makes all of them slow.
    """
    racks = Counter(
        worker.rack
        for run in list_runs(cell, live)
        if (run.task.step, run.task.occurrence) == (group.step, group.occurrence)
        and (worker := cell.workers.get(run.worker)) is not None
        and worker.reached
        and not worker.silent
    )
    if racks:
        live.racks[group] = racks.most_common(1)[0][0]
    else:
        live.racks.pop(group, None)
