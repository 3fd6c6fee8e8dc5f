"""
Model of a scenario
===================

What a scenario file says, as plain data.  Times are in seconds since the start.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from toucanpin.bundles.schema import Service, StandingTask, Team
from toucanpin.exception import ToucanpinError
from toucanpin.platform.ports import Size

__all__ = [
    "DEFAULT_CAPACITY",
    "DEFAULT_SERVICE_TIME_S",
    "FOREVER",
    "Action",
    "Invariant",
    "InvariantHolds",
    "BundleEverywhere",
    "CancelJob",
    "Cut",
    "Event",
    "Expectation",
    "Expected",
    "MaxEvents",
    "Hosts",
    "JobEnd",
    "JobEnds",
    "JobResumes",
    "Kill",
    "Leave",
    "LoseAnswers",
    "NoWork",
    "Outage",
    "Pause",
    "Location",
    "Replace",
    "RequestEnd",
    "RequestEnds",
    "Scenario",
    "ScenarioError",
    "ServedService",
    "SendRequest",
    "ShutDown",
    "Slow",
    "StandingRuns",
    "StepClock",
    "SubmitBundle",
    "SubmitJob",
]

FOREVER = float("inf")
DEFAULT_CAPACITY = Size(8, 16_384)
DEFAULT_SERVICE_TIME_S = 0.02


@dataclass(frozen=True, slots=True)
class Location:
    """Point at a line of a scenario file."""

    file: str
    line: int

    def __str__(self) -> str:
        """Write the place as editors read it."""
        return f"{self.file}:{self.line}"


class ScenarioError(ToucanpinError):
    """Report a fault of a scenario file, with its place."""

    def __init__(self, location: Location, detail: str) -> None:
        super().__init__(f"{location}: {detail}")
        self.location = location


@dataclass(frozen=True, slots=True)
class Hosts:
    """Count the hosts of each role, and the sites and racks that they are spread over."""

    entry: int = 1
    worker: int = 0
    instance: int = 0
    site: int = 1
    rack: int = 1


@dataclass(frozen=True, slots=True)
class ServedService:
    """Describe a service and the seconds that its instances take for a request."""

    service: Service
    service_time: float = DEFAULT_SERVICE_TIME_S


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Submit a job of ``work`` seconds through an entry host, any if none is named."""

    job: str
    size: Size
    work: int = 1
    team: str = "team"
    urgent: bool = False
    through: str = ""


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Ask to cancel a job."""

    job: str
    through: str = ""


@dataclass(frozen=True, slots=True)
class Kill:
    """End a process at once."""

    target: str


@dataclass(frozen=True, slots=True)
class Pause:
    """Stop a process from doing anything for a while; it doesn't notice."""

    target: str
    duration: float


@dataclass(frozen=True, slots=True)
class Cut:
    """Lose messages between two processes; ``one_way`` loses only those from ``source``."""

    source: str
    target: str
    one_way: bool
    duration: float = FOREVER


@dataclass(frozen=True, slots=True)
class Slow:
    """Delay messages between two processes."""

    source: str
    target: str
    delay: float
    duration: float = FOREVER


@dataclass(frozen=True, slots=True)
class LoseAnswers:
    """Let ``source`` do what ``target`` asks next and lose its answers."""

    source: str
    target: str
    count: int = 1


@dataclass(frozen=True, slots=True)
class Outage:
    """Let a service of the platform refuse one client, everybody if none is named."""

    target: str
    duration: float = FOREVER
    client: str = ""


@dataclass(frozen=True, slots=True)
class StepClock:
    """Step the wall clock of a host."""

    target: str
    amount: float


@dataclass(frozen=True, slots=True)
class Replace:
    """End a host at once and start an empty one of the same name."""

    target: str


@dataclass(frozen=True, slots=True)
class Leave:
    """Mark a host as leaving in the platform's host list."""

    target: str


@dataclass(frozen=True, slots=True)
class ShutDown:
    """Ask a process to finish what is in flight and end."""

    target: str


@dataclass(frozen=True, slots=True)
class SubmitBundle:
    """Submit a signed bundle; ``variant`` tells the bundles of racing operators apart."""

    version: int
    through: str
    variant: int = 0


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send one request; the same name sent again is the same request id."""

    request: str
    service: str
    through: str
    idempotent: bool = False
    deadline: float = 2.0


Action = (
    SubmitJob
    | CancelJob
    | Kill
    | Pause
    | Cut
    | Slow
    | LoseAnswers
    | Outage
    | StepClock
    | Replace
    | Leave
    | ShutDown
    | SubmitBundle
    | SendRequest
)


class JobEnd(enum.Enum):
    """Say how a job is expected to end."""

    FINISHED = "finished once"
    ENDED = "ended once"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    FAILED = "failed"


class RequestEnd(enum.Enum):
    """Say what a caller is expected to be told."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    AT_MOST_ONCE = "run at most once"


class Invariant(enum.Enum):
    """Name a promise that must hold all the time."""

    ONE_PLACE = "never two places"
    NEVER_OVERCOMMITTED = "never overcommitted"
    NO_REVERT = "bundles never revert"
    NO_FALSE_NOT_RUN = "no false not run"


@dataclass(frozen=True, slots=True)
class JobEnds:
    """Expect an end of a job, of every job if none is named."""

    job: str
    end: JobEnd
    within: float = FOREVER


@dataclass(frozen=True, slots=True)
class JobResumes:
    """Expect a job to run in exactly two attempts, the second from a checkpoint."""

    job: str


@dataclass(frozen=True, slots=True)
class StandingRuns:
    """Expect no gap of a standing task to reach a length."""

    task: str
    gap: float


@dataclass(frozen=True, slots=True)
class BundleEverywhere:
    """Expect a version in force in every process that runs, so long after it was accepted."""

    version: int
    within: float


@dataclass(frozen=True, slots=True)
class RequestEnds:
    """Expect the end of a request, of every request if none is named."""

    request: str
    end: RequestEnd
    within: float = FOREVER


@dataclass(frozen=True, slots=True)
class NoWork:
    """Expect no start of a task or request at a host after an instant."""

    host: str
    after: float


@dataclass(frozen=True, slots=True)
class MaxEvents:
    """Expect no more events of a kind on the time line."""

    limit: int
    kind: str


@dataclass(frozen=True, slots=True)
class InvariantHolds:
    """Expect a promise to hold all the time."""

    invariant: Invariant


Expected = (
    JobEnds
    | JobResumes
    | StandingRuns
    | BundleEverywhere
    | RequestEnds
    | NoWork
    | MaxEvents
    | InvariantHolds
)


@dataclass(frozen=True, slots=True)
class Event:
    """Put an action at an instant."""

    location: Location
    time: float
    action: Action


@dataclass(frozen=True, slots=True)
class Expectation:
    """Put an expected outcome at its line."""

    location: Location
    expected: Expected


@dataclass(frozen=True, slots=True)
class Scenario:
    """Hold one scenario file."""

    file: str
    title: str
    seed: int
    hosts: Hosts
    capacity: Size
    services: tuple[ServedService, ...]
    standing: tuple[StandingTask, ...]
    teams: tuple[Team, ...]
    events: tuple[Event, ...]
    expectations: tuple[Expectation, ...]
