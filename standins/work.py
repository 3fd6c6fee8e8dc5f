"""
Simulated work
==============

The work of a task attempt: one unit per millisecond at full share, a result that depends on the
input alone, and interference with the latency of services on the same worker.
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
    The payload of a task.

    ``work`` is in units; ``use`` is the fraction of the declared processors and memory that the
    task uses; ``fail`` selects the attempts that fail half-way.
    """

    work: int = 0
    input: str = ""
    fail: Literal["never", "once", "always"] = "never"
    use: float = 1.0


class Progress(msgspec.Struct, frozen=True):
    """The content of a checkpoint."""

    task: str
    attempt: int
    progress: int


def parse_work(payload: bytes) -> Work | None:
    """Parse a payload; return None if it is malformed.  An empty payload means no work."""
    try:
        return msgspec.json.decode(payload or b"{}", type=Work)
    except msgspec.MsgspecError:
        return None


def compute_result(work: Work) -> bytes:
    """Return the result of a task, which depends on its input alone."""
    return hashlib.sha256(work.input.encode()).hexdigest().encode()


def encode_checkpoint(task: str, attempt: int, progress: int) -> bytes:
    """Return the encoded body of a checkpoint."""
    return msgspec.json.encode(Progress(task, attempt, progress))


@dataclass(slots=True)
class Attempt:
    """The state of one attempt of a task; times are in milliseconds."""

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
        """Return the current fraction of its processors that the attempt may use."""
        return self.shares[-1][1] if self.shares else 1.0

    def work_until(self, now: int) -> None:
        """Advance the progress up to a time."""
        worked = max(0, now - self.worked_until)
        self.worked_until = max(now, self.worked_until)
        if not (self.loading or self.writing or self.stopping):
            self.progress += worked * self.share
        if not self.start.standing:
            self.progress = min(self.progress, self.work.work)

    def throttle(self, now: int, share: float) -> None:
        """Set the share from now on."""
        self.shares.append((now, share))

    def must_fail(self) -> bool:
        """Return whether the failure that the payload asks for is due."""
        due = self.progress >= self.work.work * FAILURE_PROGRESS and not self.loading
        match self.work.fail:
            case "always":
                return due
            case "once":
                return due and self.start.attempt == 1
            case _:
                return False

    def is_done(self) -> bool:
        """Return whether all work is done."""
        return not (self.start.standing or self.loading) and self.progress >= self.work.work

    def resume(self, body: bytes, name: str, now: int) -> bool:
        """Resume from a checkpoint; return False if it is malformed."""
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
        """Record a checkpoint if it has more progress than the latest one."""
        if progress > self.checkpoint_progress:
            self.checkpoint = name
            self.checkpoint_progress = progress

    def report(self, sampled_at: int) -> TaskReport:
        """Return a report of the attempt, with its usage at an earlier time."""
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
        """Return the share that applied at a time."""
        shares = [share for since, share in self.shares if since <= instant]
        return shares[-1] if shares else 1.0


@dataclass(frozen=True, slots=True)
class Service:
    """
    A model of the latency of a service on the same worker as tasks.

    ``base_p99`` is in milliseconds; ``load`` is between 0 and 1; ``effects`` gives, for each kind
    of task, the relative rise in latency that one task at full share causes at full load.
    """

    name: str
    base_p99: float
    load: float
    effects: tuple[tuple[str, float], ...] = ()

    def measure(self, now: int, running: Iterable[Attempt]) -> UsageSample:
        """Return a measurement of the p99 latency."""
        effects = dict(self.effects)
        rise = sum(effects.get(it.start.kind, 0.0) * it.share for it in running)
        return UsageSample(self.name, now, self.base_p99 * (1 + rise * self.load), self.load)
