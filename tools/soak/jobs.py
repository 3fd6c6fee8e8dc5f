"""
Jobs of the soak
================

Random jobs that callers submit, and what each of their tasks does on a worker.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

import msgspec

from toucanpin.scheduling.job import TaskKey

__all__ = [
    "LATE_LABEL",
    "MAX_ATTEMPTS",
    "ROUTES",
    "JobPlan",
    "StepPlan",
    "draw_crashing",
    "draw_job",
    "draw_long_running",
    "draw_waiting",
]

# By queue, its service and priority.
ROUTES = {"urgent": ("c0", 0), "batch": ("c0", 1), "standing": ("c0", 0), "other": ("c1", 1)}
MAX_ATTEMPTS = 4  # of a task
LATE_LABEL = "late"  # of workers that are added only after the faults
TASK_DURATIONS_S = (0.1, 1.2)
UNLIMITED_S = 1e9
CPU_SIZES = (250, 500, 1_000, 2_000)  # thousandths of a core
MEMORY_SIZES_MB = (64, 256, 512)


@dataclass(frozen=True, slots=True)
class StepPlan:
    """
    Step of equal tasks; ``duration`` is in s, sizes are in the units of a job's step.

    With ``crashes`` the first task crashes each worker that starts it.
    """

    count: int
    cpu: int
    memory: int
    duration: float
    after: tuple[int, ...] = ()
    long_running: bool = False
    speculative: bool = False
    label: str = ""
    crashes: bool = False


@dataclass(frozen=True, slots=True)
class JobPlan:
    """One job of a queue."""

    id: str
    queue: str
    steps: tuple[StepPlan, ...]

    @property
    def long_running(self) -> bool:
        """Return whether tasks of the job run until it is cancelled."""
        return any(step.long_running for step in self.steps)

    @property
    def waiting(self) -> bool:
        """Return whether the job needs a worker that is added only after the faults."""
        return any(step.label for step in self.steps)

    @property
    def crashing(self) -> bool:
        """Return whether a task of the job crashes its workers."""
        return any(step.crashes for step in self.steps)

    def crashes(self, task: TaskKey) -> bool:
        """Return whether this task crashes each worker that starts it."""
        return task.index == 0 and self.steps[task.step].crashes

    def encode(self) -> bytes:
        """Return the job as the body of a submission."""
        return msgspec.json.encode({"spec": self.id, "pipeline": [_encode(s) for s in self.steps]})


def draw_job(random_: random.Random, queue: str) -> JobPlan:
    """Draw a job of one to three steps."""
    steps = []
    for number in range(random_.choice((1, 1, 2, 3))):
        after = tuple(sorted(random_.sample(range(number), random_.randint(0, number))))
        step = StepPlan(
            count=random_.randint(1, 4),
            cpu=random_.choice(CPU_SIZES),
            memory=random_.choice(MEMORY_SIZES_MB),
            duration=random_.uniform(*TASK_DURATIONS_S),
            after=after,
            speculative=random_.random() < 0.08,
        )
        steps.append(step)
    return JobPlan(draw_id(random_), queue, tuple(steps))


def draw_long_running(random_: random.Random, queue: str) -> JobPlan:
    """Draw a job whose tasks run until it is cancelled."""
    step = StepPlan(random_.randint(1, 3), 500, 128, duration=UNLIMITED_S, long_running=True)
    return JobPlan(draw_id(random_), queue, (step,))


def draw_crashing(random_: random.Random, queue: str) -> JobPlan:
    """Draw a job with one task that crashes its workers."""
    long_running = random_.random() < 0.3
    step = StepPlan(
        count=random_.randint(1, 3),
        cpu=500,
        memory=64,
        duration=UNLIMITED_S if long_running else random_.uniform(*TASK_DURATIONS_S),
        long_running=long_running,
        speculative=random_.random() < 0.3,
        crashes=True,
    )
    return JobPlan(draw_id(random_), queue, (step,))


def draw_waiting(random_: random.Random, queue: str) -> JobPlan:
    """Draw a job that no worker can run until the late workers are added."""
    step = StepPlan(1, 500, 64, duration=0.2, label=LATE_LABEL)
    return JobPlan(draw_id(random_), queue, (step,))


def draw_id(random_: random.Random) -> str:
    """Draw the id of a job."""
    return f"{random_.getrandbits(64):016x}"


def _encode(step: StepPlan) -> dict[str, object]:
    fields: dict[str, object] = {
        "count": step.count,
        "cpu": step.cpu,
        "memMb": step.memory,
        "estimateMs": int(min(step.duration, 60.0) * 1_000),
    }
    if step.after:
        fields["after"] = step.after
    if step.long_running:
        fields["longRunning"] = True
    if step.speculative:
        fields["speculative"] = True
    if step.label:
        fields["requires"] = step.label
    return fields
