"""
Preemption
==========

Stop what is less urgent where an urgent task finds no room, with the least work lost.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell, Group, Now
from toucanpin.scheduling.choosing import fits_rules
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.shortage import Demand, Shortage
from toucanpin.scheduling.stopping import stop_run
from toucanpin.scheduling.worker import Phase, Run, Worker, bound_freeable_cpu

__all__ = ["Freed", "Making", "Openings", "note_freed"]

RESUME_LOSS = 0.3  # s of work that a task which resumes from its checkpoint loses
# Stops end one after the other; without this, what waits would take the room of the first.
KEPT = 0.4  # s beyond a stop that room is kept for those for whom it was made
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


class Making:
    """Hold what one round of placing knows of the room that stops can make."""

    __slots__ = ("_freed", "_hopeless")

    def __init__(self) -> None:
        self._freed: dict[str, Freed] = {}
        self._hopeless = {False: Shortage(), True: Shortage()}

    def is_hopeless(self, step: Step, lenient: bool) -> bool:
        """Tell whether no room could be made for a task that asks for no more."""
        return self._hopeless[step.lasting].covers(_ask(step, lenient))

    def note_hopeless(self, step: Step, lenient: bool) -> None:
        """Remember that no stops on any worker make room for a task of a step."""
        self._hopeless[step.lasting].note(_ask(step, lenient))

    def free(self, worker: Worker) -> Freed:
        """Return the room that stops are about to free on a worker."""
        known = self._freed.get(worker.entry.id)
        if known is None:
            known = self._freed[worker.entry.id] = note_freed(worker)
        return known


def _ask(step: Step, lenient: bool) -> Demand:
    # A lasting task is placed only where this much is left, else its room would go to others.
    return Demand.of(step, step.lasting and not lenient)


class Openings:
    """
    Hold where stops could make room for the tasks of a step, the least loss first.

    ``ruled`` says that a rule of the step shut it out of a worker that may have room.
    """

    __slots__ = (
        "_able",
        "_cell",
        "_demand",
        "_group",
        "_heap",
        "_making",
        "_now",
        "_priority",
        "_step",
        "ruled",
    )

    def __init__(
        self,
        cell: Cell,
        group: Group,
        step: Step,
        able: Sequence[Worker],
        making: Making,
        now: Now,
        lenient: bool = False,
    ) -> None:
        self._cell = cell
        self._group = group
        self._step = step
        self._able = able
        self._making = making
        self._now = now
        self._demand = _ask(step, lenient)
        self._priority = cell.jobs[group.job].job.priority
        self.ruled = False
        found = (self._weigh(number) for number in range(len(able)))
        self._heap = [opening for opening in found if opening is not None]
        heapq.heapify(self._heap)

    def take(self) -> bool:
        """
        Make room for one task; return whether there will be some.

        Without this, batch work that came first would hold up urgent tasks until it ends, for
        seconds.
        """
        if not self._heap:
            return False
        _, number, victims = heapq.heappop(self._heap)
        worker = self._able[number]
        room = self._making.free(worker)
        if victims:
            worker.kept_until = self._now.steady + self._cell.stop_time + KEPT
            worker.kept_for = self._priority
        for run in victims:
            stop_run(self._cell, run, "makes room for urgent work")
            _add(room, run.step, 1)
        _add(room, self._step, -1)
        opening = self._weigh(number)
        if opening is not None:
            heapq.heappush(self._heap, opening)
        return True

    def _weigh(self, number: int) -> tuple[float, int, list[Run]] | None:
        worker = self._able[number]
        if bound_freeable_cpu(worker, self._priority) < self._demand.on(worker.reserved):
            return None
        if not fits_rules(worker, self._group, self._step):
            self.ruled = True
            return None
        room = self._making.free(worker)
        victims = _find_victims(self._cell, worker, self._group, self._demand, room, self._now)
        if victims is None:
            return None
        return sum(_weigh_loss(run, self._now) for run in victims), number, victims


def _find_victims(
    cell: Cell, worker: Worker, group: Group, demand: Demand, room: Freed, now: Now
) -> list[Run] | None:
    """Return the runs to stop on a worker, empty if earlier stops suffice, None if none do."""
    entry = worker.entry
    cpu = entry.cpu - worker.cpu + room.cpu - demand.on(worker.reserved)
    memory = entry.memory - worker.memory + room.memory - demand.memory
    accelerators = (
        entry.accelerators - worker.accelerators + room.accelerators - demand.accelerators
    )
    victims: list[Run] = []
    if min(cpu, memory, accelerators) >= 0:
        return victims
    candidates = (run for run in worker.runs.values() if _may_stop(cell, run, group))
    for run in sorted(candidates, key=lambda run: _weigh_loss(run, now)):
        victims.append(run)
        cpu += 0 if run.step.fills else run.step.cpu
        memory += run.step.memory
        accelerators += run.step.accelerators
        if min(cpu, memory, accelerators) >= 0:
            return victims
    return None


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
