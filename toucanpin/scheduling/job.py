"""
Jobs
====

What a caller hands in: steps of tasks, with all that decides where and when each may run.
"""

from __future__ import annotations

import msgspec

__all__ = ["Job", "Step", "TaskKey", "decode_job", "encode_job", "find_job_fault", "format_task"]

MAX_TASKS = 3_000  # of one occurrence: its record has to fit one row of the table
MAX_STEPS = 200


class Step(msgspec.Struct, frozen=True, omit_defaults=True, rename="camel"):
    """
    Describe equal tasks of a job.

    ``cpu`` is in thousandths of a core, ``memory`` in MB, ``estimate`` and ``target`` in ms.
    ``after`` numbers the earlier steps that come first; ``rack`` holds the data; ``per_worker``
    limits the tasks on one worker; ``target`` is the tail latency that a serving task keeps.
    """

    count: int = 1
    cpu: int = 0
    memory: int = 0
    accelerators: int = 0
    estimate: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    per_worker: int = 0
    speculative: bool = False
    long_running: bool = msgspec.field(default=False, name="lasting")
    image: str = ""
    target: int = 0
    best_effort: bool = msgspec.field(default=False, name="fills")
    max_unavailable: int = msgspec.field(default=0, name="mayMiss")


class Job(msgspec.Struct, frozen=True, omit_defaults=True, rename="camel"):
    """
    Hold a job as it was accepted.

    ``accepted`` is on the table's clock, ``start_at`` counts from 1970, both in ms.
    """

    id: str
    queue: str
    cell: str
    spec: str
    steps: tuple[Step, ...]
    priority: int = 0
    max_failures: int = 1
    stretch: float = 2.0
    aim: int = 1_000
    accepted: int = 0
    repeats: int = 0
    start_at: int = 0
    interval: int = 0
    advised: bool = False

    @property
    def occurrences(self) -> int:
        """Return how often the steps run."""
        return max(1, self.repeats)


class TaskKey(msgspec.Struct, frozen=True, order=True):
    """Name one task of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int


def format_task(task: TaskKey) -> str:
    """Return a task's name as logs and operators read it."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def find_job_fault(job: Job) -> str:
    """Return what makes a job malformed, empty if nothing does."""
    if not 1 <= len(job.steps) <= MAX_STEPS:
        return f"a job has 1 to {MAX_STEPS} steps, not {len(job.steps)}"
    if sum(step.count for step in job.steps) > MAX_TASKS:
        return f"a job has at most {MAX_TASKS} tasks"
    if job.repeats < 0 or job.interval < 0:
        return "repeats and interval can't be negative"
    for number, step in enumerate(job.steps):
        if step.count < 1 or min(step.cpu, step.memory, step.accelerators) < 0:
            return f"step {number}: count and sizes must be positive"
        # Steps name earlier ones only, so no cycle can be written down.
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"step {number}: it can only follow earlier steps, not {list(step.after)}"
    return ""


def encode_job(job: Job) -> bytes:
    """Return a job as it stands in its row."""
    return msgspec.json.encode(job)


def decode_job(value: bytes) -> Job:
    """Read a job from its row."""
    return msgspec.json.decode(value, type=Job)
