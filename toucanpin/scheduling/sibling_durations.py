"""
Durations of siblings
=====================

Find the tasks that are slower on their worker than their siblings on others.
"""

from __future__ import annotations

import statistics

from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = ["MOVE_OVERHEAD_S", "StepDurations", "find_slow_tasks", "list_durations"]

StepDurations = dict[tuple[str, int], list[tuple[str, float]]]  # worker and s, by job and step

# A worker is slow if its tasks take this many times as long as their siblings elsewhere.
SLOW_RATIO = 2.5
SLOW_RATIO_ALONE = 4.0  # with fewer tasks than MIN_SLOW_TASKS
MIN_SLOW_TASKS = 2
MIN_PERCENT = 10  # of progress, from which on the duration of a task is estimated
MOVE_OVERHEAD_S = 0.15  # of a move beyond stop and resume: report, write and start


def list_durations(cell: Cell) -> StepDurations:
    """Return estimated durations of running tasks with their workers, by step."""
    durations: StepDurations = {}
    for worker in cell.workers.values():
        for run in worker.runs.values():
            if _has_usable_progress(run):
                known = durations.setdefault((run.task.job, run.task.step), [])
                known.append((run.worker, _estimate_duration(run)))
    return durations


def find_slow_tasks(cell: Cell, durations: StepDurations, worker: Worker) -> list[Run]:
    """
    Return the tasks that would end sooner if they were restarted elsewhere.

    Workers become several times slower for seconds, and make their jobs late.  The durations of
    sibling tasks reveal it; the callers' estimates are too inaccurate.  Single tasks take up to
    four times as long as their siblings, so the median over several tasks of the worker decides,
    and no task is moved twice.
    """
    measured = [run for run in worker.runs.values() if _has_usable_progress(run)]
    ratios = {}
    for run in measured:
        typical = _find_typical_duration(cell, durations, run)
        if typical:
            ratios[run.task] = _estimate_duration(run) / typical
    if not ratios:
        return []
    median_ratio = statistics.median(ratios.values())
    if median_ratio < (SLOW_RATIO if len(ratios) >= MIN_SLOW_TASKS else SLOW_RATIO_ALONE):
        return []
    return [
        run
        for run in measured
        if run.task in ratios
        and run.task not in cell.moved_tasks
        and _finishes_sooner(cell, run, ratios[run.task])
    ]


def _has_usable_progress(run: Run) -> bool:
    return (
        run.phase is Phase.RUNNING
        and not run.step.long_running
        and not run.step.gang
        and not run.untimed
        and run.pace == 100
        and run.percent >= MIN_PERCENT
        # A worker may list a task before it answers the task's start.
        and run.last_listed_at > run.started_at
    )


def _finishes_sooner(cell: Cell, run: Run, ratio: float) -> bool:
    total = _estimate_duration(run)
    left = total * (100 - run.percent) / 100
    rerun = left / ratio if run.step.checkpoints else total / ratio
    return left > rerun + cell.stop_time + cell.restore_time + MOVE_OVERHEAD_S


def _find_typical_duration(cell: Cell, durations: StepDurations, run: Run) -> float:
    """Return the median duration of sibling tasks on other workers, 0 if there are none."""
    live = cell.jobs.get(run.task.job)
    if live is None:
        return 0.0
    measured = durations.get((run.task.job, run.task.step), ())
    found = [time for worker, time in measured if worker != run.worker]
    found += live.task_durations.get(run.task.step, ())
    return statistics.median(found) if found else 0.0


def _estimate_duration(run: Run) -> float:
    return (run.last_listed_at - run.started_at) * 100 / max(1, run.percent)
