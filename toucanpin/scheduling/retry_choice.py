"""
Choice for a retry
==================

Choose the workers on which a task may be tried again, given its failures.
"""

from __future__ import annotations

from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell, Group, LiveJob
from toucanpin.scheduling.choosing import CandidateWorkers
from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.placement_round import PlacementRound
from toucanpin.scheduling.progress import CrashSuspicion
from toucanpin.scheduling.retrying import list_last_resorts, list_retry_workers, wastes_attempt
from toucanpin.scheduling.waits import WaitReason
from toucanpin.scheduling.worker import Worker

__all__ = ["RetryChoice", "choose_for_retry"]


@dataclass(frozen=True, slots=True)
class RetryChoice:
    """The workers for a task given its failures, and why it waits if they have no room."""

    candidates: CandidateWorkers
    reason: WaitReason


def choose_for_retry(
    cell: Cell,
    round_: PlacementRound,
    live: LiveJob,
    task: TaskKey,
    eligible: list[Worker],
    candidates: CandidateWorkers,
) -> RetryChoice:
    """
    Return the workers on which a task may be tried again.

    These are ``candidates``, which take any task of the step, unless the best of them is a waste of
    an attempt.
    """
    now, suspicion = round_.now, candidates.suspicion
    group, step = Group(task.job, task.occurrence, task.step), live.job.steps[task.step]
    best = candidates.best()
    assert best is not None
    is_wasted = wastes_attempt(live, task, best, eligible, now)
    if is_wasted or task in best.runs or suspicion is CrashSuspicion.LAST_ATTEMPT:
        safe = list_retry_workers(live, task, eligible, now)
        candidates = CandidateWorkers(round_, live, group, step, safe, suspicion, candidates.access)
    if not is_wasted:
        return RetryChoice(candidates, WaitReason.NO_ROOM)
    if candidates.best() is None:
        others = list_last_resorts(cell, group, eligible, now)
        candidates = CandidateWorkers(
            round_, live, group, step, others, suspicion, candidates.access
        )
    return RetryChoice(candidates, WaitReason.FAILING_WORKERS)
