"""
Observations
============

What was observed from outside the system during a run: what ran where and when, the outcomes of
jobs and requests, and the bundle in force in each process.  Times are in seconds.
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
    """The time that one attempt actually ran on a worker."""

    task: str
    attempt: int
    host: str
    started: float
    stopped: float = FOREVER
    resumed: bool = False


@dataclass(frozen=True, slots=True)
class JobOutcome:
    """An end of a job as seen by its submitter; ``correct`` says whether its result is."""

    job: str
    time: float
    end: JobEnd
    correct: bool = True


@dataclass(frozen=True, slots=True)
class RequestRun:
    """One execution of a request by an instance."""

    request: str
    host: str
    started: float


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """The outcome of a request; ``valid`` says that the answer is complete and belongs to it."""

    request: str
    entry: str
    sent: float
    time: float
    end: RequestEnd
    valid: bool = True


@dataclass(frozen=True, slots=True)
class BundleInForce:
    """
    The time at which a version came into force in an incarnation of a process.

    Version 0 means that no bundle is in force from then on.
    """

    process: str
    incarnation: int
    version: int
    time: float
    digest: str = ""


@dataclass(frozen=True, slots=True)
class Violation:
    """An observed violation of an invariant."""

    time: float
    detail: str


@dataclass(slots=True)
class Observations:
    """
    Everything that was observed until ``ended``.

    ``accepted`` gives the times at which versions of the bundle were accepted; ``running_since``
    the start of each process that runs at the end; ``ended_incarnations`` the ends of the others;
    ``event_counts`` the number of events of each kind on the timeline.
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
