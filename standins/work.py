"""
Work of the worker stand-in
===========================

What an attempt does: units of work at one a millisecond and full share, a result that follows from
the input alone, and effects on the latency of services beside it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Literal

import msgspec

from toucanpin.platform.ports import Start, TaskReport, TaskState, UsageSample

__all__ = [
    "Attempt",
    "Progress",
    "Service",
    "Work",
    "compute_result",
    "encode_checkpoint",
    "parse_work",
]

FAILURE_PROGRESS = 0.5


class Work(msgspec.Struct, frozen=True):
    """
    Read the payload of a task.

    ``work`` is in units; ``use`` is the share of the declared processors and memory that the task
    truly takes; ``fail`` says on which attempts it fails half-way.
    """

    work: int = 0
    input: str = ""
    fail: Literal["never", "once", "always"] = "never"
    use: float = 1.0


class Progress(msgspec.Struct, frozen=True):
    """Hold a checkpoint."""

    task: str
    attempt: int
    progress: int


def parse_work(payload: bytes) -> Work | None:
    """Read a payload, None if it can't be understood; an empty one is no work."""
    try:
        return msgspec.json.decode(payload or b"{}", type=Work)
    except msgspec.MsgspecError:
        return None


def compute_result(work: Work) -> bytes:
    """Return the result, which follows from the input alone."""
    return hashlib.sha256(work.input.encode()).hexdigest().encode()


def encode_checkpoint(task: str, attempt: int, progress: int) -> bytes:
    """Return the body of a checkpoint."""
    return msgspec.json.encode(Progress(task, attempt, progress))


@dataclass(slots=True)
class Attempt:
    """Hold one attempt of a task; times are milliseconds."""

    start: Start
    work: Work
    started_at: int
    worked_until: int
    state: TaskState = TaskState.RUNNING
    detail: str = ""
    progress: float = 0.0
    checkpoint: str = ""
    checkpoint_progress: int = -1
    loading: bool = False
    writing: bool = False
    stopping: bool = False
    shares: list[tuple[int, float]] = field(default_factory=list)

    @property
    def share(self) -> float:
        """Return the share of its processors that the attempt may use."""
        return self.shares[-1][1] if self.shares else 1.0

    def work_until(self, now: int) -> None:
        """Make progress up to an instant."""
        worked = max(0, now - self.worked_until)
        self.worked_until = max(now, self.worked_until)
        if not (self.loading or self.writing or self.stopping):
            self.progress += worked * self.share
        if not self.start.standing:
            self.progress = min(self.progress, self.work.work)

    def throttle(self, now: int, share: float) -> None:
        """Change the share from now on."""
        self.shares.append((now, share))

    def must_fail(self) -> bool:
        """Tell whether the fault of the payload is due."""
        due = self.progress >= self.work.work * FAILURE_PROGRESS and not self.loading
        match self.work.fail:
            case "always":
                return due
            case "once":
                return due and self.start.attempt == 1
            case _:
                return False

    def is_done(self) -> bool:
        """Tell whether all work is done."""
        return not (self.start.standing or self.loading) and self.progress >= self.work.work

    def resume(self, body: bytes, name: str, now: int) -> bool:
        """Go on from a checkpoint; return False if it can't be read."""
        try:
            found = msgspec.json.decode(body, type=Progress)
        except msgspec.MsgspecError:
            return False
        self.loading = False
        self.worked_until = now
        self.progress = float(found.progress)
        self.record_checkpoint(name, found.progress)
        return True

    def record_checkpoint(self, name: str, progress: int) -> None:
        """Remember the checkpoint that holds the most progress."""
        if progress > self.checkpoint_progress:
            self.checkpoint = name
            self.checkpoint_progress = progress

    def report(self, sampled_at: int) -> TaskReport:
        """Report the attempt, with its use at a past instant."""
        sampled_at = max(self.started_at, sampled_at)
        working = self.state is TaskState.RUNNING
        share = self._find_share(sampled_at) * self.work.use if working else 0.0
        return TaskReport(
            task=self.start.task,
            attempt=self.start.attempt,
            state=self.state,
            progress=int(self.progress),
            checkpoint=self.checkpoint,
            detail=self.detail,
            processors=self.start.size.processors * share,
            memory=int(self.start.size.memory * self.work.use) if working else 0,
            sampled_at=sampled_at,
        )

    def _find_share(self, instant: int) -> float:
        """Return the share that was in force at an instant."""
        shares = [share for since, share in self.shares if since <= instant]
        return shares[-1] if shares else 1.0


@dataclass(frozen=True, slots=True)
class Service:
    """
    Model the latency of a service beside the tasks of a worker.

    ``base_p99`` is in milliseconds; ``load`` is between 0 and 1; ``effects`` gives, for each kind
    of task, the rise of the latency that one task at full share and full load causes.
    """

    name: str
    base_p99: float
    load: float
    effects: tuple[tuple[str, float], ...] = ()

    def measure(self, now: int, running: Iterable[Attempt]) -> UsageSample:
        """Measure the p99 of the service."""
        effects = dict(self.effects)
        rise = sum(effects.get(it.start.kind, 0.0) * it.share for it in running)
        return UsageSample(self.name, now, self.base_p99 * (1 + rise * self.load), self.load)
