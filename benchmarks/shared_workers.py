"""
Model of shared workers
=======================

Workers on which best-effort tasks raise the tail latency of serving tasks; time is an argument.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.orders import EndedRun, PollAnswer, RunEnd, RunningTask, WorkerEntry

__all__ = ["PairEffects", "SharedRun", "SharedWorker", "SharedWorld"]

IDLE_TAIL_SHARE = 0.2  # tail of an idle serving task as a share of its target
MEASUREMENT_WINDOW_S = 0.5  # over which a worker averages
TAIL_NOISE = 0.05  # relative, of a measured tail
RESTORE_TIME_S = 0.25  # that a resumed task needs first
CHECKPOINT_INTERVAL_S = 1.0  # of work between checkpoints


@dataclass(slots=True)
class PairEffects:
    """How much each best-effort image raises the utilization of each serving image."""

    effects: dict[tuple[str, str], float]

    @classmethod
    def draw(
        cls, rng: random.Random, serving: int, best_effort: int, heavy: float, resources: int = 0
    ) -> PairEffects:
        """
        Draw a table in which a share ``heavy`` of the pairs interferes strongly.

        With ``resources``, a pair does if the best-effort image uses much of a resource that the
        latency-critical one depends on, so some images resemble each other.
        """
        effects = {}
        used = [rng.randrange(resources + 1) for _ in range(best_effort)] if resources else []
        needed = [
            {number for number in range(resources) if rng.random() < heavy} for _ in range(serving)
        ]
        for serving_image in range(serving):
            for best_effort_image in range(best_effort):
                harmful = (
                    used[best_effort_image] in needed[serving_image]
                    if resources
                    else rng.random() < heavy
                )
                strength = 4.5 if harmful else 0.3
                effects[f"s{serving_image}", f"f{best_effort_image}"] = strength * rng.uniform(
                    0.7, 1.3
                )
        return cls(effects)


@dataclass(slots=True)
class SharedRun:
    """State of one run; ``work`` and ``done`` are in seconds at full speed."""

    task: TaskKey
    attempt: int
    step: Step
    started: float
    work: float
    usage: float
    done: float = 0.0
    fails: bool = False
    pace: int = 100
    tails: list[tuple[float, float]] = field(default_factory=list)
    cores: list[tuple[float, float]] = field(default_factory=list)
    over_target: bool = False
    over_by_neighbours: bool = False


@dataclass(slots=True)
class SharedWorker:
    """Worker whose tasks interfere with each other."""

    entry: WorkerEntry
    runs: dict[TaskKey, SharedRun] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    sequence: int = 0
    polled_at: float = 0.0
    listed_sequence: int = 0

    def poll(self, acknowledged: int, now: float) -> PollAnswer:
        """Return the running and the ended runs."""
        self.ended = [ended for ended in self.ended if ended.sequence > acknowledged]
        running = tuple(_list_run(run, now) for run in self.runs.values())
        self.polled_at = now
        self.listed_sequence = self.sequence
        return PollAnswer(int(now * 1_000), running, tuple(self.ended))

    def end(self, task: TaskKey, end: RunEnd) -> None:
        """End a run and keep its checkpoint."""
        run = self.runs.pop(task)
        self.sequence += 1
        checkpoint = repr(run.done) if run.step.checkpoints and end is not RunEnd.DONE else ""
        self.ended.append(EndedRun(self.sequence, task, run.attempt, end, checkpoint))


class SharedWorld:
    """All workers, the loads of serving jobs and the table of effects."""

    def __init__(
        self, rng: random.Random, pairs: PairEffects, amplitude: float, period: float
    ) -> None:
        self.rng = rng
        self.pairs = pairs
        self.workers: dict[str, SharedWorker] = {}
        self.wasted_work = 0.0
        self._amplitude = amplitude
        self._period = period
        self._phases: dict[str, float] = {}

    def load(self, job: str, now: float) -> float:
        """Return the load that a job's callers generate on each of its tasks."""
        phase = self._phases.setdefault(job, self.rng.random())
        return 0.45 * (1 + self._amplitude * math.sin(2 * math.pi * (now / self._period + phase)))

    def advance(self, now: float, seconds: float) -> None:
        """Advance all workers by some seconds."""
        for worker in self.workers.values():
            self._advance(worker, now, seconds)

    def _advance(self, worker: SharedWorker, now: float, seconds: float) -> None:
        capacity = worker.entry.cpu
        serving = [run for run in worker.runs.values() if run.step.target]
        guaranteed = sum(
            run.step.cpu * (self.load(run.task.job, now) if run.step.target else 1.0)
            for run in worker.runs.values()
            if not run.step.best_effort
        )
        best_effort_runs = [run for run in worker.runs.values() if run.step.best_effort]
        demand = sum(run.usage * run.pace / 100 for run in best_effort_runs)
        granted_share = min(1.0, max(0.0, capacity - guaranteed) / demand) if demand else 1.0
        amounts: dict[str, float] = {}
        for run in best_effort_runs:
            cores = run.usage * run.pace / 100 * granted_share
            amounts[run.step.image] = amounts.get(run.step.image, 0.0) + cores / capacity
            _add_sample(run.cores, now, cores)
        for run in serving:
            self._measure_tail(run, amounts, now)
        for run in list(worker.runs.values()):
            if run.step.target:
                continue
            speed = run.pace / 100 * granted_share if run.step.best_effort else 1.0
            run.done += seconds * speed
            if run.done >= run.work:
                worker.end(run.task, RunEnd.FAILED if run.fails else RunEnd.DONE)

    def _measure_tail(self, run: SharedRun, amounts: dict[str, float], now: float) -> None:
        load = self.load(run.task.job, now)
        growth = sum(
            share * self.pairs.effects[run.step.image, image] for image, share in amounts.items()
        )
        used = load * (1 + growth)
        idle_tail = IDLE_TAIL_SHARE * run.step.target
        tail = idle_tail / (1 - used) if used < 0.98 else idle_tail * 50 * (1 + used - 0.98)
        run.over_target = tail > run.step.target
        run.over_by_neighbours = run.over_target and idle_tail / (1 - load) <= run.step.target
        _add_sample(run.tails, now, tail * self.rng.gauss(1.0, TAIL_NOISE))


def _add_sample(values: list[tuple[float, float]], now: float, value: float) -> None:
    values.append((now, value))
    while values[0][0] < now - MEASUREMENT_WINDOW_S:
        values.pop(0)


def _mean(values: list[tuple[float, float]]) -> float:
    return sum(value for _, value in values) / len(values) if values else 0.0


def _list_run(run: SharedRun, now: float) -> RunningTask:
    if run.step.target:
        ready = now - run.started > 0.3
        return RunningTask(run.task, run.attempt, "", 100 if ready else 0, round(_mean(run.tails)))
    percent = min(99, int(100 * run.done / run.work))
    checkpoint = (
        repr(CHECKPOINT_INTERVAL_S * int(run.done / CHECKPOINT_INTERVAL_S))
        if run.step.checkpoints
        else ""
    )
    measure = _mean(run.cores) if run.step.best_effort else run.step.cpu
    return RunningTask(run.task, run.attempt, checkpoint, percent, measure)
