"""
Benchmark of an owner's turn
============================

Print the processor time of each decision on a full fleet, and how it grows with waiting steps,
running tasks and workers.

Notes
-----
All workers are full and most waiting tasks fit nowhere, as in an overload, when a turn achieves
least and costs most.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import click

from toucanpin.scheduling.advising import plan_advice_requests
from toucanpin.scheduling.cell import Cell, Now, add_run
from toucanpin.scheduling.consolidating import consolidate_images
from toucanpin.scheduling.intake import submit_job
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.job import Job, Step, TaskKey
from toucanpin.scheduling.leases import update_workers
from toucanpin.scheduling.moving import move_tasks
from toucanpin.scheduling.occurrences import begin_due
from toucanpin.scheduling.orders import PollAnswer, RunningTask, WorkerEntry
from toucanpin.scheduling.pacing import control_pace
from toucanpin.scheduling.pending_counts import count_pending
from toucanpin.scheduling.placing import place_tasks
from toucanpin.scheduling.worker import Phase, Run, Worker
from toucanpin.scheduling.worker_answers import apply_answer

__all__ = ["FullFleet", "main"]

START_S = 100.0  # of the virtual clock
TURN_S = 0.02  # between turns
WORKER_CPU = 64_000  # thousandths of a core
LONG_RUNNING = Step(14, 13_000, 4_000, long_running=True, image="s0", target=50)
URGENT = Step(10, 11_000, 6_000, estimate=1_000)
SERVING_IMAGES = 5
BEST_EFFORT_IMAGES = 9
TAIL_MS = 35  # below the target, but too high for more best-effort tasks
SEED = 1


@dataclass(frozen=True, slots=True)
class Load:
    """Number of workers, best-effort runs on each, and waiting steps by kind."""

    workers: int = 246
    best_effort_runs: int = 3
    urgent_steps: int = 20
    long_running_steps: int = 10
    patient_steps: int = 100


class FullFleet:
    """A cell whose workers are full, with waiting tasks."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.time = START_S
        self.cell = Cell("c", 1, 0.0, START_S)
        self.interference = InterferenceModel()
        self._rng = random.Random(SEED)
        self._count = 0
        entries = [self._make_entry(number) for number in range(load.workers)]
        update_workers(self.cell, entries, self.now())
        for number, worker in enumerate(self.cell.workers.values()):
            self._fill_worker(worker, number)
        self.answer_polls()
        self._submit_many(load.urgent_steps, URGENT, 0)
        self._submit_many(load.long_running_steps, LONG_RUNNING, 1)
        for number in range(load.patient_steps):
            self._submit_many(1, self._make_best_effort(number), 2)

    def now(self) -> Now:
        """Return the virtual clocks."""
        return Now(self.time, int(self.time * 1_000), int(self.time * 1_000))

    def answer_polls(self) -> None:
        """Apply an answer of each worker that its runs continue."""
        for worker in self.cell.workers.values():
            running = [self._list_run(run) for run in worker.runs.values()]
            apply_answer(
                self.cell, worker, PollAnswer(1, tuple(running), ()), self.time, self.now()
            )

    def count_tasks(self) -> int:
        """Return the number of waiting tasks."""
        return sum(map(len, self.cell.waiting.values()))

    def _make_entry(self, number: int) -> WorkerEntry:
        labels = ("kind", f"r{number // 20}")
        return WorkerEntry(f"w{number}", "c", "a:1", "dc", True, WORKER_CPU, 250_000, 0, labels)

    def _make_best_effort(self, number: int) -> Step:
        cpu = self._rng.randrange(5_000, 9_000, 50)
        image = f"f{number % BEST_EFFORT_IMAGES}"
        return Step(20, cpu, 6_000, estimate=2_700, checkpoints=True, image=image, best_effort=True)

    def _fill_worker(self, worker: Worker, number: int) -> None:
        serving = Step(
            1, 13_000, 4_000, long_running=True, image=f"s{number % SERVING_IMAGES}", target=50
        )
        steps = [serving] * 3 + [URGENT] * 2
        steps += [
            self._make_best_effort(number + offset) for offset in range(self.load.best_effort_runs)
        ]
        for step in steps:
            job = self._submit(
                Step(**{**_fields(step), "count": 1}), 0 if not step.best_effort else 2
            )
            group = next(iter(self.cell.waiting))
            self.cell.waiting.clear()
            run = Run(
                TaskKey(job.id, group.occurrence, group.step, 0),
                0,
                worker.entry.id,
                step,
                Phase.RUNNING,
                started_at=START_S - 2.0,
                priority=job.priority,
            )
            add_run(self.cell, worker, run)

    def _list_run(self, run: Run) -> RunningTask:
        measure = TAIL_MS if run.step.target else run.step.cpu
        percent = 100 if run.step.long_running else min(99, int(40 + 10 * (self.time - START_S)))
        return RunningTask(run.task, run.attempt, "", percent, measure)

    def _submit_many(self, count: int, step: Step, priority: int) -> None:
        for _ in range(count):
            self._submit(step, priority)

    def _submit(self, step: Step, priority: int) -> Job:
        self._count += 1
        job = Job(
            f"j{self._count:05}",
            "q",
            "c",
            "spec",
            (step,),
            priority=priority,
            stretch=2.0,
            aim=1_000,
            accepted=int(self.time * 1_000),
        )
        submit_job(self.cell, job, self.now())
        return job


def _fields(step: Step) -> dict[str, object]:
    return {name: getattr(step, name) for name in step.__struct_fields__}


Decision = Callable[[FullFleet], object]
DECISIONS: dict[str, Decision] = {
    "placing": lambda fleet: place_tasks(fleet.cell, fleet.interference, fleet.now()),
    "advising": lambda fleet: plan_advice_requests(fleet.cell, fleet.interference, 8, fleet.now()),
    "moving": lambda fleet: move_tasks(fleet.cell, fleet.now()),
    "pacing": lambda fleet: control_pace(fleet.cell, fleet.interference, fleet.now()),
    "gathering": lambda fleet: consolidate_images(fleet.cell, fleet.interference, fleet.now()),
    "answers": lambda fleet: fleet.answer_polls(),
    "due": lambda fleet: begin_due(fleet.cell, fleet.now()),
    "counting": lambda fleet: count_pending(fleet.cell),
}


def measure(load: Load, turns: int) -> dict[str, float]:
    """Return the mean processor time of each decision in a turn, in ms."""
    fleet = FullFleet(load)
    spent = dict.fromkeys(DECISIONS, 0.0)
    for _ in range(turns):
        fleet.time += TURN_S
        fleet.cell.confirmed_at = fleet.time
        for name, decide in DECISIONS.items():
            started_at = time.process_time()
            decide(fleet)
            spent[name] += time.process_time() - started_at
    return {name: 1_000 * seconds / turns for name, seconds in spent.items()}


LOADS = {
    "as it is": Load(),
    "half of the workers": Load(workers=123),
    "twice the workers": Load(workers=492),
    "half of the urgent": Load(urgent_steps=10),
    "half of the lasting": Load(long_running_steps=5),
    "half of the patient": Load(patient_steps=50),
    "twice as many fillers": Load(best_effort_runs=6),
}


@click.command()
@click.option("--turns", default=30, show_default=True, help="Turns of each load.")
def main(turns: int) -> None:
    """Print what a turn takes in ms, with one quantity halved or doubled at a time."""
    click.echo(" " * 24 + "".join(f"{name:>11}" for name in DECISIONS))
    for name, load in LOADS.items():
        spent = measure(load, turns)
        click.echo(f"{name:24}" + "".join(f"{value:11.2f}" for value in spent.values()))


if __name__ == "__main__":
    main()
