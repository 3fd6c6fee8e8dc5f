"""
Preemption
==========

Stop what is less urgent where an urgent task finds no room, with the least work lost.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell, Group, Now
from toucanpin.scheduling.choosing import RESERVE, fits_rules
from toucanpin.scheduling.ending import stop_run
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = ["Freed", "free_room", "note_freed"]

RESUME_LOSS = 0.3  # s of work that a task which resumes from its checkpoint loses
# Stops end one after the other; without this, what waits would take the room of the first.
KEPT = 0.6  # s that room is kept for those for whom it was made
SURE_LOSS = 0.1  # s besides: a stop always costs a little


@dataclass(slots=True)
class Freed:
    """Hold room that stops are about to free on a worker, less what urgent tasks will take."""

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0


def note_freed(worker: Worker) -> Freed:
    """Return the room that runs which are being stopped will free on a worker."""
    freed = Freed()
    for run in worker.runs.values():
        if run.phase is Phase.STOPPING:
            _add(freed, run.step, 1)
    return freed


def free_room(
    cell: Cell,
    group: Group,
    step: Step,
    able: Iterable[Worker],
    freed: dict[str, Freed],
    now: Now,
    lenient: bool = False,
) -> bool:
    """
    Make room for one task of a step; return whether there will be some.

    A ``lenient`` lasting task needs no reserve beside it.

    Without this, batch work that came first would hold up urgent tasks until it ends, for seconds.
    """
    best: tuple[Worker, list[Run]] | None = None
    least = 0.0
    for worker in able:
        if not fits_rules(worker, group, step):
            continue
        found = _find_victims(cell, worker, group, step, freed, now, lenient)
        if found is None:
            continue
        lost = sum(_weigh_loss(run, now) for run in found)
        if best is None or lost < least:
            best, least = (worker, found), lost
        if not found:
            break
    if best is None:
        return False
    worker, victims = best
    if victims:
        worker.kept_until = now.steady + KEPT
        worker.kept_for = cell.jobs[group.job].job.priority
    room = freed.setdefault(worker.entry.id, note_freed(worker))
    for run in victims:
        stop_run(cell, run, "makes room for urgent work")
        _add(room, run.step, 1)
    _add(room, step, -1)
    return True


def _find_victims(
    cell: Cell,
    worker: Worker,
    group: Group,
    step: Step,
    freed: dict[str, Freed],
    now: Now,
    lenient: bool,
) -> list[Run] | None:
    """Return the runs to stop on a worker, empty if earlier stops suffice, None if none do."""
    known = freed.get(worker.entry.id)
    room = known or note_freed(worker)
    entry = worker.entry
    wanted = 0 if step.fills else step.cpu
    if step.lasting and not lenient:
        # A lasting task is placed only where this much is left, else its room would go to others.
        wanted += int(RESERVE * entry.cpu)
    cpu = entry.cpu - worker.cpu + room.cpu - wanted
    memory = entry.memory - worker.memory + room.memory - step.memory
    accelerators = entry.accelerators - worker.accelerators + room.accelerators - step.accelerators
    victims: list[Run] = []
    candidates = (run for run in worker.runs.values() if _may_stop(cell, run, group))
    for run in sorted(candidates, key=lambda run: _weigh_loss(run, now)):
        if min(cpu, memory, accelerators) >= 0:
            break
        victims.append(run)
        cpu += 0 if run.step.fills else run.step.cpu
        memory += run.step.memory
        accelerators += run.step.accelerators
    return victims if min(cpu, memory, accelerators) >= 0 else None


def _may_stop(cell: Cell, run: Run, group: Group) -> bool:
    live = cell.jobs.get(run.task.job)
    return (
        live is not None
        and live.job.priority > cell.jobs[group.job].job.priority
        and run.phase is Phase.RUNNING
        and not run.step.lasting
        and not run.step.gang
    )


def _weigh_loss(run: Run, now: Now) -> float:
    """Return the work that a stop would lose, in core-seconds."""
    elapsed = now.steady - run.started_at
    lost = min(RESUME_LOSS, elapsed) if run.step.checkpoints else elapsed
    return (lost + SURE_LOSS) * run.step.cpu / 1_000


def _add(freed: Freed, step: Step, sign: int) -> None:
    if not step.fills:
        freed.cpu += sign * step.cpu
    freed.memory += sign * step.memory
    freed.accelerators += sign * step.accelerators
