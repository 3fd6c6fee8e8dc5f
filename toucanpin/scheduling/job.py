"""
Jobs
====

Submitted jobs: steps of tasks, with the constraints on where and when each may run.
"""

from __future__ import annotations

from operator import attrgetter

import msgspec

from toucanpin.decoding import MAX_NUMBER, decode_json

__all__ = ["Job", "Step", "TaskKey", "decode_job", "encode_job", "find_job_fault", "format_task"]

MAX_TASKS = 3_000  # per occurrence: its progress has to fit one transaction of the table
MAX_STEPS = 200
MAX_OCCURRENCES = 10_000
_STEP_NUMBERS = (
    "count",
    "cpu",
    "memory",
    "accelerators",
    "estimate",
    "per_worker",
    "target",
    "max_unavailable",
)
_JOB_NUMBERS = ("priority", "max_failures", "stretch", "aim", "accepted", "start_at", "interval")


class Step(msgspec.Struct, frozen=True, omit_defaults=True, rename="camel"):
    """
    Equal tasks of a job.

    ``cpu`` is in thousandths of a core, ``memory`` in MB, ``estimate`` and ``target`` in ms.
    ``after`` lists the numbers of the earlier steps that must be done first; ``rack`` is the rack
    that holds the data; ``per_worker`` limits the tasks on one worker; ``target`` is the tail
    latency objective of a latency-critical task; ``best_effort`` tasks use cores that others leave
    idle; ``max_unavailable`` limits how many tasks of a service may be stopped at a time.
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
    A job as it was accepted.

    ``accepted`` is on the table's clock, ``start_at`` is Unix time, both in ms. A job's time limit
    is ``aim`` ms plus ``stretch`` times its expected duration.
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
    """Identity of one task of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int


def format_task(task: TaskKey) -> str:
    """Return a task's name as shown in logs and to operators."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def find_job_fault(job: Job) -> str:
    """Return why a job is malformed, or an empty string."""
    if not 1 <= len(job.steps) <= MAX_STEPS:
        return f"a job has 1 to {MAX_STEPS} steps, not {len(job.steps)}"
    if sum(step.count for step in job.steps) > MAX_TASKS:
        return f"a job has at most {MAX_TASKS} tasks"
    if job.repeats < 0 or job.interval < 0:
        return "repeats and interval can't be negative"
    if job.repeats > MAX_OCCURRENCES:
        return f"a job is repeated {MAX_OCCURRENCES} times at most, not {job.repeats}"
    if fault := _find_large_number("job", job):
        return fault
    for number, step in enumerate(job.steps):
        if fault := _find_large_number(f"step {number}", step):
            return fault
        if step.count < 1 or min(step.cpu, step.memory, step.accelerators) < 0:
            return f"step {number}: count and sizes must be positive"
        # Steps depend on earlier ones only, so there are no cycles.
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"step {number}: it can only follow earlier steps, not {list(step.after)}"
    return ""


def _find_large_number(name: str, part: Job | Step) -> str:
    """Return which number of a job or step is out of range, or an empty string."""
    fields = _JOB_NUMBERS if isinstance(part, Job) else _STEP_NUMBERS
    values = attrgetter(*fields)(part)
    if min(values) >= -MAX_NUMBER and max(values) <= MAX_NUMBER:
        return ""
    field, value = max(zip(fields, values, strict=True), key=lambda it: abs(it[1]))
    return f"{name}: {field} is {value:.3g}; allowed are -{MAX_NUMBER} to {MAX_NUMBER}"


def encode_job(job: Job) -> bytes:
    """Return the encoded row of a job."""
    return msgspec.json.encode(job)


def decode_job(value: bytes) -> Job:
    """Decode a job from its row."""
    return decode_json(value, Job)
