"""
In-memory ports
===============

The platform's four ports on top of the stand-in cores, with injected faults, for unit tests and
scenarios.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from expression import Error, Ok, Result

from standins.faults import Effect, FaultPlan
from standins.hostlist import HostListCore
from standins.objects import ObjectsCore
from standins.table import TableCore
from standins.worker import Get, Put, WorkerCore
from toucanpin.platform.ports import (
    CommitFault,
    Committed,
    Conflict,
    ListedHost,
    Poll,
    Report,
    Row,
    StoreFault,
    Transaction,
    Unavailable,
    Unknown,
    WorkerFault,
)

__all__ = ["FaultyLink", "MemoryHostList", "MemoryObjects", "MemoryTable", "MemoryWorkers"]

MILLISECONDS = 1_000
TIMEOUT_S = 2.0

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class DelayedOperation:
    """An operation that takes effect after its client has given up."""

    due: float
    operation: Callable[[], object]


class FaultyLink:
    """
    Call a core, with the faults of a plan.

    ``now`` and ``sleep`` are in seconds.  With a delay of at least ``timeout`` the answer is lost
    and the operation takes effect at the end of the delay.
    """

    def __init__(
        self,
        now: Callable[[], float],
        plan: FaultPlan | None = None,
        sleep: Callable[[float], None] = lambda seconds: None,
        timeout: float = TIMEOUT_S,
    ) -> None:
        self.now = now
        self.plan = FaultPlan() if plan is None else plan
        self._sleep = sleep
        self._timeout = timeout
        self._delayed: list[DelayedOperation] = []

    def call(
        self, operation: str, client: str, act: Callable[[], T], *names: str
    ) -> Result[T, StoreFault]:
        """Perform one operation, or inject the fault that applies to it."""
        self.run_delayed()
        rule = self.plan.take_rule(operation, client, *names)
        match rule and rule.effect:
            case Effect.DOWN:
                return Error(Unavailable("down"))
            case Effect.LOSE_BEFORE:
                return Error(Unknown("the connection broke"))
            case Effect.LOSE_AFTER:
                act()
                return Error(Unknown("the connection broke"))
            case Effect.SLOW if rule and rule.delay >= self._timeout:
                self._delayed.append(DelayedOperation(self.now() + rule.delay, act))
                self._sleep(self._timeout)
                return Error(Unknown("no answer in time"))
            case Effect.SLOW if rule:
                self._sleep(rule.delay)
        return Ok(act())

    def run_delayed(self) -> None:
        """Perform the delayed operations that are due, in order of their due times."""
        now = self.now()
        due = sorted((it for it in self._delayed if it.due <= now), key=lambda it: it.due)
        self._delayed = [it for it in self._delayed if it.due > now]
        for delayed in due:
            delayed.operation()


class MemoryTable:
    """Access a table core as one client."""

    def __init__(self, core: TableCore, link: FaultyLink, client: str) -> None:
        self._core = core
        self._link = link
        self._client = client

    def read(self, key: str) -> Result[Row | None, StoreFault]:
        """Return one row, None if it does not exist."""
        return self._link.call("read", self._client, lambda: self._core.read(key))

    def scan(self, prefix: str, after: int = 0) -> Result[tuple[Row, ...], StoreFault]:
        """Return the rows with a key prefix that changed after a version."""
        return self._link.call("scan", self._client, lambda: self._core.scan(prefix, after))

    def commit(self, transaction: Transaction) -> Result[Committed, CommitFault]:
        """Apply all writes of a transaction or none."""
        outcome = self._link.call("commit", self._client, lambda: self._core.commit(transaction))
        match outcome:
            case Result(tag="ok", ok=Committed() as committed):
                return Ok(committed)
            case Result(tag="ok", ok=Conflict() as conflict):
                return Error(conflict)
            case Result(error=fault):
                return Error(fault)


class MemoryObjects:
    """Access an object store core as one client."""

    def __init__(self, core: ObjectsCore, link: FaultyLink, client: str) -> None:
        self._core = core
        self._link = link
        self._client = client

    def put(self, name: str, body: bytes) -> Result[None, StoreFault]:
        """Store an object."""
        return self._link.call("put", self._client, lambda: self._core.put(name, body))

    def get(self, name: str) -> Result[bytes | None, StoreFault]:
        """Return an object, None if it does not exist."""
        return self._link.call("get", self._client, lambda: self._core.get(name))

    def names(self, prefix: str) -> Result[tuple[str, ...], StoreFault]:
        """Return the object names with a prefix."""
        return self._link.call("names", self._client, lambda: self._core.names(prefix))


class MemoryHostList:
    """Access a host list core as one client."""

    def __init__(self, core: HostListCore, link: FaultyLink, client: str) -> None:
        self._core = core
        self._link = link
        self._client = client

    def hosts(self) -> Result[tuple[ListedHost, ...], StoreFault]:
        """Return the whole list."""
        return self._link.call("hosts", self._client, lambda: self._core.hosts(self._link.now()))


class MemoryWorkers:
    """
    Access worker cores by name as one client.

    ``stopped`` holds the names of workers that refuse connections.  The client of a fault rule may
    also be a worker's name.  Workers write to ``objects``.
    """

    def __init__(
        self, cores: dict[str, WorkerCore], objects: MemoryObjects, link: FaultyLink, client: str
    ) -> None:
        self.cores = cores
        self.stopped: set[str] = set()
        self._objects = objects
        self._link = link
        self._client = client
        self._paused: dict[str, list[Poll]] = {}

    def pause(self, name: str) -> None:
        """Pause a worker; the polls that reach it are queued as in its socket."""
        self._paused.setdefault(name, [])

    def resume(self, name: str) -> None:
        """Resume a worker, which then handles the queued polls."""
        for poll in self._paused.pop(name, []):
            self.cores[name].poll(self._clock(), poll)

    def poll(self, host: ListedHost, poll: Poll) -> Result[Report, WorkerFault]:
        """Send one poll to the worker of this name."""
        if host.name not in self.cores or host.name in self.stopped:
            return Error(WorkerFault("connection refused", reached=False))
        if host.name in self._paused:
            self._paused[host.name].append(poll)
            return Error(WorkerFault("no answer in time", reached=True))
        core = self.cores[host.name]
        outcome = self._link.call(
            "poll", self._client, lambda: core.poll(self._clock(), poll), host.name
        )
        self._run_effects(core)
        return outcome.map_error(
            lambda fault: WorkerFault(fault.detail, reached=isinstance(fault, Unknown))
        )

    def advance(self) -> None:
        """Advance every worker that runs up to now."""
        self._link.run_delayed()
        for name, core in self.cores.items():
            if name not in self._paused and name not in self.stopped:
                core.advance(self._clock())
                self._run_effects(core)

    def _clock(self) -> int:
        """Return the current time in milliseconds."""
        return int(self._link.now() * MILLISECONDS)

    def _run_effects(self, core: WorkerCore) -> None:
        """Perform the object store effects of a core once."""
        for effect in list(core.take_effects()):
            match effect:
                case Put(name=name, body=body):
                    stored = self._objects.put(name, body).is_ok()
                    core.finish_put(self._clock(), effect, stored)
                case Get(name=name):
                    found = self._objects.get(name)
                    content = found.ok if found.is_ok() else None
                    core.finish_get(self._clock(), effect, content, found.is_ok())
