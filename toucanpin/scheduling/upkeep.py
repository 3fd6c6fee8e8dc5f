"""
Upkeep of machines
==================

Order in which the machines of a wave go into upkeep, and draining of their workers before it.
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
    "end_drains",
    "find_returned",
    "is_completed",
    "list_missing_machines",
    "list_next_workers",
]

PLANNED_TIME_SHARE = 0.65  # of a wave's time in which all upkeep should be completed
OVERHEAD_S = 1.5  # per machine besides the upkeep: drain, request and the next list
LIST_DELAY_S = 0.5  # after an order until lists of machines certainly show it
MISSING_AFTER_S = 2.0  # without a listing until an upkeep of the machine is ordered anyway
DRAIN_GRACE_S = 2.5  # in which tasks without checkpoints may finish


class MachineState(enum.Enum):
    """State of a machine."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine, its pool and the id of its current worker."""

    name: str
    pool: str
    state: MachineState
    worker: str


@dataclass(frozen=True, slots=True)
class Wave:
    """An operator's request: upkeep of machines within a time, at most ``cap`` at once."""

    number: int
    machines: tuple[str, ...]
    seconds: float
    cap: int


@dataclass(slots=True)
class UpkeepOrder:
    """Order sent by this owner; ``acknowledged_at`` is a local time, 0 until it is acknowledged."""

    acknowledged_at: float = 0.0


class WaveRecord(msgspec.Struct, array_like=True):
    """
    Persistent state of one wave.

    ``begun`` is on the table's clock in ms; ``down`` maps each machine in upkeep to its worker when
    the upkeep was ordered; ``done`` lists the machines that have completed it or are gone.
    """

    begun: int
    down: dict[str, str]
    done: list[str]
    completed: bool = False


def is_completed(wave: Wave, record: WaveRecord) -> bool:
    """Return whether all machines of a wave have completed their upkeep."""
    return set(wave.machines) <= set(record.done)


def find_returned(
    cell: Cell,
    record: WaveRecord,
    machines: dict[str, Machine],
    orders: dict[str, UpkeepOrder],
    listed: float,
    upkeep_time: float,
) -> tuple[list[str], list[str]]:
    """
    Return the machines that completed their upkeep, and those to drain again.

    ``listed`` is when the list of machines was requested. A machine with a new worker may have
    crashed before its order was carried out, so only an acknowledged order shows that its upkeep
    took place. A machine that an earlier owner may have ordered is drained again first: this owner
    may have placed tasks there. A list may omit an existing machine, so an unlisted machine counts
    as completed only if its order was acknowledged and an upkeep of ``upkeep_time`` seconds
    has passed since.
    """
    completed: list[str] = []
    repeated: list[str] = []
    for name, worker in record.down.items():
        machine = machines.get(name)
        order = orders.get(name)
        if machine is None:
            begun = order.acknowledged_at if order is not None else 0.0
            if begun and listed > begun + upkeep_time + OVERHEAD_S:
                completed.append(name)
        elif machine.state is not MachineState.UP or not machine.worker:
            continue
        elif order is None:
            # A machine with another cell's worker may just have been ordered by that cell's owner.
            if machine.worker in cell.workers:
                repeated.append(name)
        elif machine.worker != worker:
            (completed if order.acknowledged_at else repeated).append(name)
        elif order.acknowledged_at and listed > order.acknowledged_at + LIST_DELAY_S:
            # Repeating an order for a completed upkeep is acknowledged too, and has no effect.
            completed.append(name)
    return completed, repeated


def list_missing_machines(
    cell: Cell,
    wave: Wave,
    record: WaveRecord,
    machines: dict[str, Machine],
    seen: dict[str, float],
    listed: float,
) -> list[str]:
    """
    Return the machines of a wave that are probably gone; ``seen`` is when each was last listed.

    A list of several pages omits a machine that changes its position between two requests, so one
    list isn't enough. A machine isn't gone either while a worker reports that it runs on it.
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
    upkeep_time: float,
    now: Now,
) -> list[Worker]:
    """
    Return the workers to be drained now; an upkeep takes ``upkeep_time`` seconds.

    As few machines as the wave's time allows are in upkeep at once, since their tasks move to the
    others. Workers that lose the least work go first.
    """
    waiting = [name for name in wave.machines if name not in record.done]
    left = wave.seconds * PLANNED_TIME_SHARE - (now.table - record.begun) / 1_000
    rounds = max(1.0, left / (upkeep_time + OVERHEAD_S))
    free = min(wave.cap, math.ceil(len(waiting) / rounds)) - len(record.down)
    draining = {worker.entry.id for worker in cell.workers.values() if worker.draining_since}
    candidates: list[Worker] = []
    chosen: list[Worker] = []
    for name in waiting:
        machine = machines.get(name)
        if name in record.down or machine is None or machine.state is not MachineState.UP:
            continue
        worker = cell.workers.get(machine.worker)
        if worker is None or not worker.reached:
            continue
        (chosen if worker.entry.id in draining else candidates).append(worker)
    candidates.sort(key=lambda worker: _estimate_loss(worker, now))
    return (chosen + candidates)[: max(0, free)]


def drain_worker(cell: Cell, worker: Worker, now: Now) -> bool:
    """Stop a worker's tasks as far as possible now; return whether it is empty."""
    if not worker.draining_since:
        worker.draining_since = now.steady
    in_grace = now.steady < worker.draining_since + DRAIN_GRACE_S
    for run in list(worker.runs.values()):
        if _may_be_stopped(cell, run, in_grace, now):
            stop_run(cell, run, "upkeep")
    return not worker.runs and worker.listed_sequence == worker.acknowledged_sequence


def end_drains(workers: Iterable[Worker], chosen: Iterable[Worker]) -> None:
    """End the draining of the workers that aren't among ``chosen``."""
    chosen_ids = {worker.entry.id for worker in chosen}
    for worker in workers:
        if worker.entry.id not in chosen_ids:
            worker.draining_since = 0.0


def _may_be_stopped(cell: Cell, run: Run, in_grace: bool, now: Now) -> bool:
    if run.phase is not Phase.RUNNING:
        return run.phase is Phase.PLACED
    if run.step.long_running:
        # No more tasks of a service may be unavailable at once than its users tolerate.
        return (
            not run.step.max_unavailable
            or count_unavailable(cell, run, now) < run.step.max_unavailable
        )
    return run.step.checkpoints or not in_grace


def _estimate_loss(worker: Worker, now: Now) -> float:
    """Return the work that draining a worker would lose, in core-seconds."""
    lost = 0.0
    for run in worker.runs.values():
        elapsed = now.steady - run.started_at
        lost += run.step.cpu * (1.0 if run.step.long_running or run.step.checkpoints else elapsed)
    return lost
