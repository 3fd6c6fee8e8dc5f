"""
Queue of steps
==============

Queue the steps of a job's occurrences once their predecessors are done.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Cell, Group, LiveJob
from toucanpin.scheduling.progress import JobState, TaskRecord, TaskState

__all__ = ["begin_occurrence", "queue_ready_steps"]


def begin_occurrence(cell: Cell, live: LiveJob, occurrence: int) -> None:
    """Create the records of an occurrence and queue the steps without predecessors."""
    total = live.offsets[-1]
    live.progress.tasks[occurrence] = [TaskRecord() for _ in range(total)]
    live.tasks_left[occurrence] = [step.count for step in live.job.steps]
    queue_ready_steps(cell, live, occurrence)


def queue_ready_steps(cell: Cell, live: LiveJob, occurrence: int) -> None:
    """Queue the unplaced tasks of all steps whose predecessors are done."""
    if live.progress.state >= JobState.COMPLETED:
        return
    left = live.tasks_left[occurrence]
    records = live.progress.tasks[occurrence]
    for number, step in enumerate(live.job.steps):
        if not left[number] or any(left[earlier] for earlier in step.after):
            continue
        group = Group(live.job.id, occurrence, number)
        start = live.offsets[number]
        idle = {
            index
            for index in range(step.count)
            if records[start + index].state == TaskState.WAITING
        }
        if idle:
            cell.waiting[group] = idle
