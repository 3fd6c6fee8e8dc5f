"""
Exclusions of workers
=====================

Count what keeps the workers of a cell from the waiting tasks of a step, for the log.
"""

from __future__ import annotations

import enum
from collections import Counter
from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell, Group, Now
from toucanpin.scheduling.choosing import CONTACT_TIMEOUT_S, meets_constraints
from toucanpin.scheduling.evacuating import is_evacuated
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.trust import is_trusted
from toucanpin.scheduling.worker import Worker, has_room

__all__ = ["Exclusion", "StandingStep", "count_exclusions", "describe_step"]


class Exclusion(enum.Enum):
    """What keeps a worker from a task; ``NONE`` leaves its neighbours and retries as reasons."""

    UNREACHED = "unreached"
    SILENT = "silent"
    LEAVING = "leaving"
    MALFORMED = "malformed"
    EVACUATED = "evacuated"
    UNKNOWN_RUN = "unknown run"
    FULL = "refused for room"
    UNTRUSTED = "untrusted"
    CONSTRAINED = "constrained"
    NO_ROOM = "no room"
    RESERVED = "reserved"
    NONE = "has room"


@dataclass(frozen=True, slots=True)
class StandingStep:
    """
    What the waiting tasks of a step have been through.

    ``attempts`` and ``failures`` are the most of any of these tasks, ``losses`` the most workers
    that count as lost under one; ``running`` counts the runs of the whole job.
    """

    attempts: int
    failures: int
    losses: int
    running: int


def describe_step(cell: Cell, group: Group) -> StandingStep:
    """Return the attempts, failures and losses of the waiting tasks of a step."""
    live = cell.jobs[group.job]
    records = live.progress.tasks[group.occurrence]
    start = live.offsets[group.step]
    waiting = [records[start + index] for index in cell.waiting.get(group, ())]
    return StandingStep(
        max((record.attempt for record in waiting), default=0),
        max((record.failures for record in waiting), default=0),
        max((len(record.crashed) for record in waiting), default=0),
        len(cell.runs.get(group.job, ())),
    )


def count_exclusions(cell: Cell, group: Group, now: Now) -> Counter[Exclusion]:
    """Return how many workers are kept from the tasks of a step, by the first reason for each."""
    live = cell.jobs[group.job]
    step = live.job.steps[group.step]
    return Counter(
        _find_exclusion(cell, worker, group, step, live.job.priority, now)
        for worker in cell.workers.values()
    )


def _find_exclusion(
    cell: Cell, worker: Worker, group: Group, step: Step, priority: int, now: Now
) -> Exclusion:
    reserved = now.steady < worker.reserved_until and priority > worker.reserved_priority
    checks = (
        (Exclusion.UNREACHED, not worker.reached),
        (Exclusion.SILENT, worker.silent or _is_out_of_contact(worker, now)),
        (Exclusion.LEAVING, not worker.entry.ready or bool(worker.draining_since)),
        (Exclusion.MALFORMED, worker.malformed),
        (Exclusion.EVACUATED, is_evacuated(cell, worker)),
        (Exclusion.UNKNOWN_RUN, bool(worker.unknown_tasks)),
        (Exclusion.FULL, now.steady < worker.full_until),
        (Exclusion.UNTRUSTED, not is_trusted(worker, now)),
        (Exclusion.CONSTRAINED, not meets_constraints(worker, group, step)),
        (Exclusion.NO_ROOM, not has_room(worker, step)),
        (Exclusion.RESERVED, reserved),
    )
    return next((reason for reason, applies in checks if applies), Exclusion.NONE)


def _is_out_of_contact(worker: Worker, now: Now) -> bool:
    return now.steady - worker.answered_at >= CONTACT_TIMEOUT_S
