"""
Load of begun occurrences
=========================

Count the unfinished tasks and the cores of the occurrences that have begun, by priority.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import BegunLoad, Cell, LiveJob

__all__ = ["add_occurrence_load", "remove_job_load", "remove_task_load", "sum_load"]


def add_occurrence_load(cell: Cell, live: LiveJob, occurrence: int) -> None:
    """Count the unfinished tasks of an occurrence."""
    for number, left in enumerate(live.tasks_left[occurrence]):
        _add(cell, live, left, left * live.job.steps[number].cpu)


def remove_task_load(cell: Cell, live: LiveJob, step: int, count: int) -> None:
    """Stop counting tasks of a step that are done."""
    _add(cell, live, -count, -count * live.job.steps[step].cpu)


def remove_job_load(cell: Cell, live: LiveJob) -> None:
    """Stop counting the tasks of a job that has ended."""
    _add(cell, live, -live.begun.tasks, -live.begun.cpu)


def sum_load(cell: Cell, priority: int) -> BegunLoad:
    """Return the load of the jobs of a priority and of more urgent ones."""
    loads = [load for other, load in cell.begun.items() if other <= priority]
    return BegunLoad(sum(load.tasks for load in loads), sum(load.cpu for load in loads))


def _add(cell: Cell, live: LiveJob, tasks: int, cpu: int) -> None:
    for load in (live.begun, cell.begun.setdefault(live.job.priority, BegunLoad())):
        load.tasks += tasks
        load.cpu += cpu
