"""
Placement
=========

Cost of a placement decision with 35, 350 and 2,800 hosts, starts per write, memory of a control
process, and time of a recovery on the virtual clock of the tests.
Prints one line for each figure: ``bench NAME value=… unit=… baseline=… ratio=…``.
"""

from __future__ import annotations

import gc
import math
import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import Any

from toucanpin.placement.actions import Answer, Commit, PollAll
from toucanpin.placement.controller import take_turn
from toucanpin.placement.ledger import FreeCapacityIndex, fits, subtract
from toucanpin.placement.queue import TaskQueue
from toucanpin.placement.records import TaskRecord
from toucanpin.placement.tests.world import Process, World
from toucanpin.platform.ports import Size, Start

__all__ = ["main"]

HOSTS = (35, 350, 2_800)
HOSTS_PER_RACK = 7
JOBS_PER_HOST = 8
DECISIONS = 5_000
QUEUED = 20_000
MEMORY_HOSTS = 140
SEED = 5
HOST = Size(64, 250_000)
START_GOAL_MS = 0.3
US_PER_S = 1e6
MS_PER_S = 1e3


def main() -> None:
    """Print every figure."""
    print_choices()
    print_starts()
    print_memory()
    print_recovery()


def print_choices() -> None:
    """Print the time of one choice by the index, against a linear search of all hosts."""
    own: list[float] = []
    for hosts in HOSTS:
        indexed = measure_choices(hosts, choose_by_index)
        plain = measure_choices(hosts, choose_by_search)
        own.append(indexed)
        print_line(f"placement.choice.{hosts}", indexed * US_PER_S, "us", plain * US_PER_S)
    print_line("placement.choice.slope", find_slope(own), "exponent", 1.0)


def measure_choices(hosts: int, choose: Callable[..., str | None]) -> float:
    """Return the processor seconds of one choice on hosts that are partly filled."""
    rng = Random(SEED)
    index = FreeCapacityIndex()
    for number in range(hosts):
        index.set(f"w{number}", Size(rng.randrange(1, 65), rng.randrange(1_000, 250_000)))
    free = {f"w{number}": index.free(f"w{number}") for number in range(hosts)}
    sizes = [Size(rng.randrange(1, 9), rng.randrange(100, 8_000)) for _ in range(DECISIONS)]
    started_at = time.process_time()
    for size in sizes:
        choose(index, free, size)
    return (time.process_time() - started_at) / DECISIONS


def choose_by_index(index: FreeCapacityIndex, free: dict[str, Size], size: Size) -> str | None:
    """Choose a host by the index, allocate on it and release it."""
    found = index.candidates(size, 1)
    if not found:
        return None
    index.allocate(found[0], size)
    index.release(found[0], size)
    return found[0]


def choose_by_search(index: FreeCapacityIndex, free: dict[str, Size], size: Size) -> str | None:
    """Choose a host by a linear search."""
    fitting = [
        (it.accelerators, it.processors, name) for name, it in free.items() if fits(size, it)
    ]
    if not fitting:
        return None
    name = min(fitting)[2]
    free[name] = subtract(free[name], Size(0, 0))
    return name


def find_slope(values: list[float]) -> float:
    """Return the exponent of growth between the fewest and the most hosts."""
    return math.log(values[-1] / values[0]) / math.log(HOSTS[-1] / HOSTS[0])


class TurnMeter:
    """Runs turns of one process and measures its decisions, without the time of the fakes."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.process: Process = next(iter(world.processes.values()))
        self.seconds = 0.0
        self.placing_writes = 0
        self.placed = 0
        self.started = 0

    def take_turn(self) -> None:
        """Take one turn."""
        world, process = self.world, self.process
        world.pass_time(0.25)
        turn = take_turn(process.state, world.view(process))
        answer: Any = None
        while True:
            started_at = time.process_time()
            try:
                action = next(turn) if answer is None else turn.send(answer)
            except StopIteration:
                self.seconds += time.process_time() - started_at
                return
            self.seconds += time.process_time() - started_at
            self._count(action)
            answer = Answer(process.now, world.perform(process, action))

    def _count(self, action: Any) -> None:
        if isinstance(action, Commit):
            placed = sum(it.value is None for it in action.transaction.writes)
            self.placing_writes += placed > 0
            self.placed += placed
        if isinstance(action, PollAll):
            orders = (order for it in action.polls for order in it.poll.orders)
            self.started += sum(isinstance(order, Start) for order in orders)

    def reset(self) -> None:
        """Reset all counters."""
        self.seconds = 0.0
        self.placing_writes = 0
        self.placed = 0
        self.started = 0


def make_world(hosts: int) -> TurnMeter:
    """Return a world whose only process owns every cell and knows every worker."""
    world = World(racks=0)
    racks = hosts // HOSTS_PER_RACK
    for number in range(hosts):
        world.add_worker(f"w{number}", f"r{number % racks}", HOST)
    meter = TurnMeter(world)
    for _ in range(racks // 8 + 8):
        meter.take_turn()
    assert len(meter.process.state.cells) == racks
    return meter


def print_starts() -> None:
    """Print processor time and writes of a start, from the queue to the order in a poll."""
    costs: list[float] = []
    for hosts in HOSTS:
        meter = make_world(hosts)
        jobs = hosts * JOBS_PER_HOST
        meter.reset()
        idle_turns = 8
        for _ in range(idle_turns):
            meter.take_turn()
        idle = meter.seconds / idle_turns
        for number in range(jobs):
            meter.world.submit(str(number), work=600_000)
        meter.reset()
        turns = 0
        while meter.started < jobs:
            meter.take_turn()
            turns += 1
        cost = max(0.0, meter.seconds - idle * turns) / jobs
        costs.append(cost)
        print_line(f"placement.start.{hosts}", cost * MS_PER_S, "ms", START_GOAL_MS)
        rate = jobs / meter.seconds
        print_line(f"placement.decisions.{hosts}", rate, "starts/s", 1 / START_GOAL_MS * MS_PER_S)
        print_line(
            f"placement.starts_each_write.{hosts}",
            meter.placed / meter.placing_writes,
            "starts",
            32.0,
        )
        print_line(f"placement.idle_turn.{hosts}", idle / hosts * US_PER_S, "us/host", 0.0)
    print_line("placement.start.slope", find_slope(costs), "exponent", 1.0)


def print_memory() -> None:
    """Print the memory of a control process per host, waiting job and running task."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    queue = TaskQueue()
    for number in range(QUEUED):
        queue.put(TaskRecord(f"{number:024x}", "k", "t", Size(1, 100)), number, 0.0)
    queued = (tracemalloc.get_traced_memory()[0] - before) / QUEUED
    tracemalloc.stop()
    print_line("placement.memory.queued", queued, "bytes", 0.0)
    print_line(
        "placement.memory.host", measure_state_memory(MEMORY_HOSTS, 0) / MEMORY_HOSTS, "bytes", 0.0
    )
    tasks = MEMORY_HOSTS * JOBS_PER_HOST
    running = (
        measure_state_memory(MEMORY_HOSTS, JOBS_PER_HOST) - measure_state_memory(MEMORY_HOSTS, 0)
    ) / tasks
    print_line("placement.memory.running", running, "bytes", 0.0)


def measure_state_memory(hosts: int, jobs_per_host: int) -> float:
    """Return the size of a process's state in bytes, by building and releasing it."""
    meter = make_world(hosts)
    for number in range(hosts * jobs_per_host):
        meter.world.submit(str(number), work=600_000)
    for _ in range(20 * (1 + jobs_per_host)):
        meter.take_turn()
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    # A new process reads all rows and reports, so its state is built while memory is traced.
    process = meter.world.add_process(meter.process.controller_id.process, 2)
    meter.process.killed_at = meter.world.now
    meter.process = process
    for _ in range(hosts // HOSTS_PER_RACK // 8 + 60):
        meter.take_turn()
    assert len(process.state.cells) == hosts // HOSTS_PER_RACK
    gc.collect()
    with_state = tracemalloc.get_traced_memory()[0]
    process.state.cells.clear()
    process.state.stored.clear()
    gc.collect()
    without = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del before
    return with_state - without


def print_recovery() -> None:
    """Print recovery times on the virtual clock; the baseline is the lease or the goal."""
    world = World(processes=3, workers=4)
    world.set_standing(2, "enc")
    world.run(6)
    terms = next(iter(world.processes.values())).state.terms
    owner = next(it for it in world.processes.values() if it.state.cells)
    owner.killed_at = killed_at = world.now
    job = world.submit("a", work=500).ok.job
    while job not in world.intervals():
        world.run(0.25)
    recovery_time = world.intervals()[job][0][0] / MS_PER_S - killed_at
    print_line("placement.recovery.owner", recovery_time, "s", terms.lease)
    gaps = len(world.intervals()["enc"]) - 1
    print_line("placement.recovery.owner_gaps", gaps, "gaps", 0.0)
    world.kill_worker(world.running("enc")[0])
    world.run(20)
    runs = sorted(world.intervals()["enc"])
    print_line("placement.recovery.worker", (runs[1][0] - runs[0][1]) / MS_PER_S, "s", terms.lease)
    world = World(processes=3, workers=4)
    world.run(6)
    submitted_at = world.now
    job = world.submit("u", work=500, urgent=True).ok.job
    world.run(5)
    started = world.intervals()[job][0][0] / MS_PER_S - submitted_at
    print_line("placement.urgent_start", started, "s", 1.2)


def print_line(name: str, value: float, unit: str, baseline: float) -> None:
    """Print one figure."""
    ratio = f"{value / baseline:.3f}" if baseline else "-"
    print(f"bench {name} value={value:.4g} unit={unit} baseline={baseline:.4g} ratio={ratio}")


if __name__ == "__main__":
    main()
