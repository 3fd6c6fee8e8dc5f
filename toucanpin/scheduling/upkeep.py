"""
Upkeep of machines
==================

Which machine of a wave goes into its upkeep next, and how its worker is emptied before.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.stopping import count_unavailable, stop_run
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = [
    "Machine",
    "MachineState",
    "UpkeepOrder",
    "Wave",
    "WaveRecord",
    "drain_worker",
    "find_returned",
    "is_completed",
    "list_missing_machines",
    "list_next_workers",
    "end_drains",
]

PLANNED_TIME_SHARE = (
    0.65  # of a wave's time after which all machines should have been through their upkeep
)
OVERHEAD_S = 1.5  # s that a machine takes besides its upkeep: emptying, the call, the next list
LIST_DELAY_S = 0.5  # s after an order until a list of machines surely shows it
MISSING_AFTER_S = 2.0  # s for which no list holds a machine until it is asked for by an order
DRAIN_GRACE_S = 2.5  # s that a worker is kept from new tasks while those that can't resume run on


class MachineState(enum.Enum):
    """Say what a machine does."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Machine:
    """Hold a machine, its pool and the id of the worker that it is now."""

    name: str
    pool: str
    state: MachineState
    worker: str


@dataclass(frozen=True, slots=True)
class Wave:
    """Hold what operators ask: upkeep of all these machines in time, at most ``cap`` at once."""

    number: int
    machines: tuple[str, ...]
    seconds: float
    cap: int


@dataclass(slots=True)
class UpkeepOrder:
    """Follow an order of this owner; ``acknowledged`` is the local time, 0 if it wasn't."""

    acknowledged_at: float = 0.0


class WaveRecord(msgspec.Struct, array_like=True):
    """
    Hold what must last of one wave.

    ``begun`` is on the table's clock in ms; ``down`` holds the worker that each machine was as its
    upkeep was ordered; ``done`` are machines that have been through it, or are gone.
    """

    begun: int
    down: dict[str, str]
    done: list[str]
    completed: bool = False


def is_completed(wave: Wave, record: WaveRecord) -> bool:
    """Tell whether every machine of a wave has been through its upkeep."""
    return set(wave.machines) <= set(record.done)


def find_returned(
    cell: Cell,
    record: WaveRecord,
    machines: dict[str, Machine],
    orders: dict[str, UpkeepOrder],
    listed: float,
    upkeep: float,
) -> tuple[list[str], list[str]]:
    """
    Return the machines that came back from their upkeep, and those to begin anew.

    ``listed`` is when the list of machines was asked for.  A machine that is another worker now may
    have crashed before its order was carried out, so only an order that was acknowledged shows that
    it has been through.  One that an earlier owner may have ordered is emptied again first: this
    owner may have placed tasks there.  A list may miss a machine that is there, so that it is in
    none says nothing; an acknowledged order does, once an upkeep of ``upkeep`` seconds is over.
    """
    through: list[str] = []
    anew: list[str] = []
    for name, worker in record.down.items():
        machine = machines.get(name)
        order = orders.get(name)
        if machine is None:
            begun = order.acknowledged_at if order is not None else 0.0
            if begun and listed > begun + upkeep + OVERHEAD_S:
                through.append(name)
        elif machine.state is not MachineState.UP or not machine.worker:
            continue
        elif order is None:
            # One with another cell's worker may have been ordered by that cell's owner just now.
            if machine.worker in cell.workers:
                anew.append(name)
        elif machine.worker != worker:
            (through if order.acknowledged_at else anew).append(name)
        elif order.acknowledged_at and listed > order.acknowledged_at + LIST_DELAY_S:
            # An order for what is already done is acknowledged, too, and changes nothing.
            through.append(name)
    return through, anew


def list_missing_machines(
    cell: Cell,
    wave: Wave,
    record: WaveRecord,
    machines: dict[str, Machine],
    seen: dict[str, float],
    listed: float,
) -> list[str]:
    """
    Return the machines of a wave that are probably gone; ``seen`` is when a list last held each.

    A list of several pages misses a machine that changes its place between two of them, so one list
    says nothing.  Neither do several while a worker is there which says that it is that machine.
    """
    alive = {worker.entry.machine for worker in cell.workers.values()}
    return [
        name
        for name in wave.machines
        if name not in machines
        and name not in record.done
        and name not in alive
        and listed >= seen.setdefault(name, listed) + MISSING_AFTER_S
    ]


def list_next_workers(
    cell: Cell,
    wave: Wave,
    record: WaveRecord,
    machines: dict[str, Machine],
    upkeep: float,
    now: Now,
) -> list[Worker]:
    """
    Return the workers to be emptied for their upkeep now; an upkeep takes ``upkeep`` seconds.

    As few go at a time as the wave's end allows, those first that lose least: each one that is
    away leaves its tasks to the others.
    """
    waiting = [name for name in wave.machines if name not in record.done]
    left = wave.seconds * PLANNED_TIME_SHARE - (now.table - record.begun) / 1_000
    rounds = max(1.0, left / (upkeep + OVERHEAD_S))
    free = min(wave.cap, math.ceil(len(waiting) / rounds)) - len(record.down)
    closing = {worker.entry.id for worker in cell.workers.values() if worker.draining_since}
    candidates: list[Worker] = []
    chosen: list[Worker] = []
    for name in waiting:
        machine = machines.get(name)
        if name in record.down or machine is None or machine.state is not MachineState.UP:
            continue
        worker = cell.workers.get(machine.worker)
        if worker is None or not worker.reached:
            continue
        (chosen if worker.entry.id in closing else candidates).append(worker)
    candidates.sort(key=lambda worker: _estimate_loss(worker, now))
    return (chosen + candidates)[: max(0, free)]


def drain_worker(cell: Cell, worker: Worker, now: Now) -> bool:
    """Have a worker's tasks leave it; return whether nothing is left to lose there."""
    if not worker.draining_since:
        worker.draining_since = now.steady
    patient = now.steady < worker.draining_since + DRAIN_GRACE_S
    for run in list(worker.runs.values()):
        if _may_be_stopped(cell, run, patient, now):
            stop_run(cell, run, "upkeep")
    return not worker.runs and worker.seen == worker.acknowledged


def end_drains(workers: Iterable[Worker], chosen: Iterable[Worker]) -> None:
    """Let workers take tasks again that are not to be emptied any more."""
    kept = {worker.entry.id for worker in chosen}
    for worker in workers:
        if worker.entry.id not in kept:
            worker.draining_since = 0.0


def _may_be_stopped(cell: Cell, run: Run, patient: bool, now: Now) -> bool:
    if run.phase is not Phase.RUNNING:
        return run.phase is Phase.PLACED
    if run.step.long_running:
        # Users of a service bear so many of its tasks away at a time, and no more.
        return (
            not run.step.max_unavailable
            or count_unavailable(cell, run, now) < run.step.max_unavailable
        )
    return run.step.checkpoints or not patient


def _estimate_loss(worker: Worker, now: Now) -> float:
    """Return what emptying a worker would lose, in core-seconds."""
    lost = 0.0
    for run in worker.runs.values():
        elapsed = now.steady - run.started_at
        lost += run.step.cpu * (1.0 if run.step.long_running or run.step.checkpoints else elapsed)
    return lost
