"""
Assignment
==========

Assign a task to the worker chosen for it, or record why it waits.
"""

from __future__ import annotations

from toucanpin.scheduling.advising import find_ticket
from toucanpin.scheduling.cell import Cell, Group, LiveJob, Now, add_run, mark_dirty
from toucanpin.scheduling.choosing import CandidateWorkers
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.progress import TaskState
from toucanpin.scheduling.suspicion import find_suspicion
from toucanpin.scheduling.waits import Wait, WaitReason
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = ["assign_task", "record_wait", "update_candidates"]


def assign_task(
    cell: Cell, live: LiveJob, task: TaskKey, step: Step, worker: Worker, now: Now
) -> Run:
    """Assign a task to a worker and return its run, which is started only once this is written."""
    record = live.progress.tasks[task.occurrence][live.offsets[task.step] + task.index]
    record.state = TaskState.PLACED
    record.attempt += 1
    record.worker = worker.entry.id
    record.born = worker.born
    run = Run(task, record.attempt, worker.entry.id, step, Phase.PLACED)
    run.priority = live.job.priority
    run.suspicion = find_suspicion(live, task)
    run.checkpoint = record.checkpoint
    run.untimed = bool(record.checkpoint)
    group = Group(task.job, task.occurrence, task.step)
    run.ticket = find_ticket(cell, group, worker.entry.id, now)
    wait = cell.waits.get(group)
    if wait is not None:
        run.waiting_time = now.steady - wait.since
        run.wait_reason = wait.reason.value
    add_run(cell, worker, run)
    cell.placed.append(run)
    mark_dirty(cell, live)
    return run


def record_wait(cell: Cell, group: Group, reason: WaitReason, now: Now) -> None:
    """Record why tasks of a step wait."""
    if reason is WaitReason.NO_ROOM and cell.evacuated:
        reason = WaitReason.EVACUATED
    cell.waits.setdefault(group, Wait(now.steady)).reason = reason


def update_candidates(
    candidates: CandidateWorkers, live: LiveJob, group: Group, step: Step, worker: Worker
) -> None:
    """Update candidates after an assignment; the first task of a step may determine its rack."""
    candidates.update_best()
    if step.same_rack and group not in live.racks:
        live.racks[group] = worker.rack
        candidates.update_all()
