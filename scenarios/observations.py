"""
Evidence
========

What happened in a world, as seen from outside the system: what ran where and when, what callers
and submitters were told, which bundle was in force in which process.  Times are in seconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from scenarios.model import FOREVER, JobEnd, RequestEnd

__all__ = [
    "Violation",
    "BundleInForce",
    "Observations",
    "JobOutcome",
    "RequestRun",
    "RequestOutcome",
    "TaskRun",
]


@dataclass(slots=True)
class TaskRun:
    """Hold the time that one attempt truly ran at a worker."""

    task: str
    attempt: int
    host: str
    started: float
    stopped: float = FOREVER
    resumed: bool = False


@dataclass(frozen=True, slots=True)
class JobOutcome:
    """Hold an end of a job as its submitter can read it; ``right`` tells of the result's body."""

    job: str
    time: float
    end: JobEnd
    correct: bool = True


@dataclass(frozen=True, slots=True)
class RequestRun:
    """Hold one run of a request at an instance."""

    request: str
    host: str
    started: float


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """Hold what a caller was told; ``whole`` says that the answer is complete and its own."""

    request: str
    entry: str
    sent: float
    time: float
    end: RequestEnd
    valid: bool = True


@dataclass(frozen=True, slots=True)
class BundleInForce:
    """
    Hold the instant at which a life of a process took a version into force.

    Version 0 means that from then on it serves by none.
    """

    process: str
    incarnation: int
    version: int
    time: float
    digest: str = ""


@dataclass(frozen=True, slots=True)
class Violation:
    """Hold a promise that was seen broken."""

    time: float
    detail: str


@dataclass(slots=True)
class Observations:
    """
    Gather everything that was seen until ``ended``.

    ``accepted`` gives the instants at which versions of the bundle were accepted; ``living`` the
    instant since when each process that runs at the end has run; ``lives_ended`` when others ended;
    ``kinds`` counts the events on the time line.
    """

    ended: float = 0.0
    runs: list[TaskRun] = field(default_factory=list)
    jobs: list[JobOutcome] = field(default_factory=list)
    requests: list[RequestOutcome] = field(default_factory=list)
    request_runs: list[RequestRun] = field(default_factory=list)
    accepted: dict[int, float] = field(default_factory=dict)
    bundles: list[BundleInForce] = field(default_factory=list)
    running_since: dict[str, float] = field(default_factory=dict)
    ended_incarnations: dict[tuple[str, int], float] = field(default_factory=dict)
    overcommitted: list[Violation] = field(default_factory=list)
    event_counts: Counter[str] = field(default_factory=Counter)
