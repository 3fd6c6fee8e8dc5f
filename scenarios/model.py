"""
Model of a scenario
===================

The content of a scenario file as plain data.  Times are in seconds since the start.
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
    """A line of a scenario file."""

    file: str
    line: int

    def __str__(self) -> str:
        """Return the location in the form that editors recognise."""
        return f"{self.file}:{self.line}"


class ScenarioError(ToucanpinError):
    """Raised for an error in a scenario file, with its location."""

    def __init__(self, location: Location, detail: str) -> None:
        super().__init__(f"{location}: {detail}")
        self.location = location


@dataclass(frozen=True, slots=True)
class Hosts:
    """Numbers of hosts by role, and of the sites and racks that they are spread over."""

    entry: int = 1
    worker: int = 0
    instance: int = 0
    site: int = 1
    rack: int = 1


@dataclass(frozen=True, slots=True)
class ServedService:
    """A service and the seconds that its instances need for a request."""

    service: Service
    service_time: float = DEFAULT_SERVICE_TIME_S


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Submit a job of ``work`` seconds through an entry host, or any if ``through`` is empty."""

    job: str
    size: Size
    work: int = 1
    team: str = "team"
    urgent: bool = False
    through: str = ""


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job."""

    job: str
    through: str = ""


@dataclass(frozen=True, slots=True)
class Kill:
    """Kill a process."""

    target: str


@dataclass(frozen=True, slots=True)
class Pause:
    """Suspend a process for a while."""

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
    """Lose the next answers of ``source`` to ``target``, after it has performed the calls."""

    source: str
    target: str
    count: int = 1


@dataclass(frozen=True, slots=True)
class Outage:
    """Let a service of the platform refuse a client, or all clients if ``client`` is empty."""

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
    """Kill a host and start an empty one with the same name."""

    target: str


@dataclass(frozen=True, slots=True)
class Leave:
    """Mark a host as leaving in the platform's host list."""

    target: str


@dataclass(frozen=True, slots=True)
class ShutDown:
    """Shut a process down gracefully."""

    target: str


@dataclass(frozen=True, slots=True)
class SubmitBundle:
    """Submit a signed bundle; ``variant`` distinguishes the bundles of racing operators."""

    version: int
    through: str
    variant: int = 0


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send one request; its name is also its request id."""

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
    """The expected end of a job."""

    FINISHED = "finished once"
    ENDED = "ended once"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    FAILED = "failed"


class RequestEnd(enum.Enum):
    """The expected answer to a caller."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    AT_MOST_ONCE = "run at most once"


class Invariant(enum.Enum):
    """An invariant that must hold throughout a run."""

    ONE_PLACE = "never two places"
    NEVER_OVERCOMMITTED = "never overcommitted"
    NO_REVERT = "bundles never revert"
    NO_FALSE_NOT_RUN = "no false not run"


@dataclass(frozen=True, slots=True)
class JobEnds:
    """Expect an end of a job, or of every job if ``job`` is empty."""

    job: str
    end: JobEnd
    within: float = FOREVER


@dataclass(frozen=True, slots=True)
class JobResumes:
    """Expect a job to run in exactly two attempts, the second from a checkpoint."""

    job: str


@dataclass(frozen=True, slots=True)
class StandingRuns:
    """Expect every gap of a standing task to be shorter than ``gap``."""

    task: str
    gap: float


@dataclass(frozen=True, slots=True)
class BundleEverywhere:
    """Expect a version to be in force in every process within a time after its acceptance."""

    version: int
    within: float


@dataclass(frozen=True, slots=True)
class RequestEnds:
    """Expect an end of a request, or of every request if ``request`` is empty."""

    request: str
    end: RequestEnd
    within: float = FOREVER


@dataclass(frozen=True, slots=True)
class NoWork:
    """Expect no task or request to start on a host after a time."""

    host: str
    after: float


@dataclass(frozen=True, slots=True)
class MaxEvents:
    """Expect at most ``limit`` events of a kind on the timeline."""

    limit: int
    kind: str


@dataclass(frozen=True, slots=True)
class InvariantHolds:
    """Expect an invariant to hold throughout a run."""

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
    """An action at a time."""

    location: Location
    time: float
    action: Action


@dataclass(frozen=True, slots=True)
class Expectation:
    """An expected outcome with its location."""

    location: Location
    expected: Expected


@dataclass(frozen=True, slots=True)
class Scenario:
    """The content of one scenario file."""

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
