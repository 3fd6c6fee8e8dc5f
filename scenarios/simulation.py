"""
Simulated processes
===================

Processes, workers and the platform's services on the virtual clock.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from functools import partial
from typing import Any

from expression import Error, Ok, Result

from scenarios.kernel import CallFailure, Kernel, Network
from scenarios.observations import Observations, TaskRun
from standins.hostlist import HostListCore
from standins.objects import ObjectsCore
from standins.table import TableCore
from standins.worker import Get, Put, WorkerCore
from toucanpin.platform.ports import (
    Conflict,
    Poll,
    Report,
    Row,
    Size,
    Start,
    StoreFault,
    Transaction,
    Unavailable,
    Unknown,
    WorkerFault,
)
from toucanpin.timeline.recorder import Recorder

__all__ = ["Platform", "Process", "SimulatedWorker"]

MILLISECONDS = 1_000
TICK_S = 0.05
WORKER_TIMEOUT_S = 1.0
MAX_CLOCK_DRIFT = 0.0095
MIN_CLOCK_START_S = 10_000.0
MAX_WALL_SKEW_S = 0.005
HOST_LIST_LAG_S = 2.0


class Process:
    """
    One incarnation of a process, with its own clocks and no state of earlier incarnations.

    A callback of a paused process waits until it resumes; one of a dead process never runs.
    """

    def __init__(self, kernel: Kernel, network: Network, name: str, incarnation: int) -> None:
        self.kernel = kernel
        self.network = network
        self.name = name
        self.host = name.split("/", 1)[0]
        self.incarnation = incarnation
        self.alive = True
        self.started_at = kernel.now
        self.wall_offset = kernel.random.uniform(-MAX_WALL_SKEW_S, MAX_WALL_SKEW_S)
        self._clock_rate = 1.0 + kernel.random.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        self.recorder = Recorder(name, str(incarnation), self.read_clock, self.read_wall)

    def read_clock(self) -> float:
        """Return the process's monotonic clock, which starts at 0 and runs at its own rate."""
        return (self.kernel.now - self.started_at) * self._clock_rate

    def read_wall(self) -> float:
        """Return the wall clock of the process's host."""
        return self.kernel.now + self.wall_offset

    def guard(self, callback: Callable[..., None]) -> Callable[..., None]:
        """Return a callback that runs only in this incarnation, and not while it is paused."""

        def run(*arguments: Any) -> None:
            """Run the callback now, after the pause, or never."""
            if not self.alive:
                return
            resumed = self.network.resumes_at(self.name)
            if resumed > self.kernel.now:
                self.kernel.call_at(resumed, lambda: run(*arguments))
            else:
                callback(*arguments)

        return run

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Run a callback in this incarnation after a delay."""
        self.kernel.call_after(delay, self.guard(callback))

    def call(
        self,
        target: str,
        act: Callable[[], object],
        reply: Callable[[Any], None],
        **timing: float,
    ) -> None:
        """Call another endpoint and handle its answer in this incarnation."""
        self.network.call(self.name, target, act, self.guard(reply), **timing)

    def drive(
        self,
        decision: Generator[Any, Any, Any],
        perform: Callable[[Any, Callable[[Any], None]], None],
        done: Callable[[Any], None] = lambda value: None,
    ) -> None:
        """Run a decision: perform each of its actions and send it the outcome."""

        def step(outcome: Any) -> None:
            """Send an outcome and perform the next action."""
            try:
                action = decision.send(outcome)
            except StopIteration as end:
                done(end.value)
                return
            perform(action, self.guard(step))

        step(None)


class Platform:
    """The platform's services, called over the simulated network."""

    def __init__(self, kernel: Kernel) -> None:
        self.table = TableCore()
        self.objects = ObjectsCore()
        self.hosts = HostListCore(lag=HOST_LIST_LAG_S)
        self.row_listeners: list[Callable[[Row], None]] = []
        self._kernel = kernel

    def commit(
        self, caller: Process, transaction: Transaction, reply: Callable[[Result], None]
    ) -> None:
        """Commit a transaction for a process and reply with the outcome or a fault."""

        def act() -> object:
            """Commit at the table and pass every changed row to the listeners."""
            outcome = self.table.commit(transaction)
            if not isinstance(outcome, Conflict):
                for write in transaction.writes:
                    row = Row(write.key, outcome.version, write.value or b"")
                    for listener in () if write.check_only else self.row_listeners:
                        listener(row)
            return outcome

        caller.call("table", act, lambda outcome: reply(_to_result(outcome)))

    def read(self, caller: Process, key: str, reply: Callable[[Result], None]) -> None:
        """Read one row for a process."""
        act = partial(self.table.read, key)
        caller.call("table", act, lambda outcome: reply(_to_result(outcome)))

    def scan(
        self, caller: Process, prefix: str, after: int, reply: Callable[[Result], None]
    ) -> None:
        """Read the changed rows with a key prefix for a process."""
        act = partial(self.table.scan, prefix, after)
        caller.call("table", act, lambda outcome: reply(_to_result(outcome)))

    def list_hosts(self, caller: Process, reply: Callable[[Result], None]) -> None:
        """Read the host list for a process."""
        caller.call(
            "hostlist",
            lambda: self.hosts.hosts(self._kernel.now),
            lambda outcome: reply(_to_result(outcome)),
        )


class SimulatedWorker(Process):
    """A worker with its own clock that records what ran."""

    def __init__(
        self,
        kernel: Kernel,
        network: Network,
        platform: Platform,
        observations: Observations,
        name: str,
        incarnation: int,
        size: Size,
    ) -> None:
        super().__init__(kernel, network, name, incarnation)
        self.core = WorkerCore(name, str(incarnation), size)
        self._platform = platform
        self._observations = observations
        self._recorded_runs: dict[int, TaskRun] = {}
        self._resumed: set[tuple[str, int]] = set()
        self._clock_start = MIN_CLOCK_START_S + kernel.random.uniform(0.0, MIN_CLOCK_START_S)
        self.after(TICK_S, self._tick)

    def read_milliseconds(self) -> int:
        """Return the worker's monotonic clock in milliseconds."""
        return int((self.read_clock() + self._clock_start) * MILLISECONDS)

    def poll(self, poll: Poll) -> Report:
        """Handle a poll."""
        for order in poll.orders:
            match order:
                case Start(task, attempt, checkpoint=checkpoint) if checkpoint:
                    self._resumed.add((task, attempt))
        report = self.core.poll(self.read_milliseconds(), poll)
        self._process_effects()
        return report

    def end(self) -> None:
        """End without a graceful shutdown."""
        # A worker that is killed while paused has done no work since, also not after its lease.
        self.core.advance(self.read_milliseconds())
        self._record_runs(self.kernel.now)
        self.alive = False
        for run in self._recorded_runs.values():
            run.stopped = min(run.stopped, self.kernel.now)

    def _tick(self) -> None:
        """Advance the tasks periodically."""
        self.core.advance(self.read_milliseconds())
        self._process_effects()
        self.after(TICK_S, self._tick)

    def _process_effects(self) -> None:
        """Perform the core's object store effects and record what ran."""
        for effect in list(self.core.take_effects()):
            self._run_effect(effect)
        self._record_runs(self.kernel.now)

    def _run_effect(self, effect: Put | Get) -> None:
        """Perform one effect at the object store."""
        match effect:
            case Put(name=name, body=body):
                act = partial(self._platform.objects.put, name, body)
                self.call("objects", act, partial(self._finish_put, effect))
            case Get(name=name):
                read = partial(self._platform.objects.get, name)
                self.call("objects", read, partial(self._finish_get, effect))

    def _finish_put(self, put: Put, outcome: object) -> None:
        """Pass the outcome of a write to the core."""
        self.core.finish_put(self.read_milliseconds(), put, not isinstance(outcome, CallFailure))
        self._process_effects()

    def _finish_get(self, get: Get, outcome: Any) -> None:
        """Pass the outcome of a read to the core."""
        answered = not isinstance(outcome, CallFailure)
        body = outcome if answered else None
        self.core.finish_get(self.read_milliseconds(), get, body, answered)
        self._process_effects()

    def _record_runs(self, now: float) -> None:
        """Record the runs that started or stopped; they stop by the worker's own clock."""
        for number, interval in enumerate(self.core.log):
            run = self._recorded_runs.get(number)
            if run is None:
                resumed = (interval.task, interval.attempt) in self._resumed
                run = TaskRun(interval.task, interval.attempt, self.name, now, resumed=resumed)
                self._recorded_runs[number] = run
                self._observations.runs.append(run)
            if interval.stopped_at is not None and run.stopped > now:
                run.stopped = max(
                    run.started, min(now, self._to_simulated_time(interval.stopped_at))
                )

    def _to_simulated_time(self, milliseconds: int) -> float:
        """Convert a reading of the worker's clock into simulated time."""
        return (
            self.started_at + (milliseconds / MILLISECONDS - self._clock_start) / self._clock_rate
        )


def poll_worker(
    caller: Process,
    name: str,
    find: Callable[[str], SimulatedWorker | None],
    poll: Poll,
    reply: Callable[[Result[Report, WorkerFault]], None],
) -> None:
    """Send one poll to the worker that has a name when the poll arrives."""

    def act() -> object:
        """Handle the poll at the worker."""
        worker = find(name)
        return CallFailure("refused", sent=False) if worker is None else worker.poll(poll)

    def on_outcome(outcome: object) -> None:
        """Convert a failed call into the port's fault."""
        match outcome:
            case CallFailure(detail, sent):
                reply(Error(WorkerFault(detail, reached=sent)))
            case Report():
                reply(Ok(outcome))

    caller.call(name, act, on_outcome, timeout=WORKER_TIMEOUT_S)


def _to_result(outcome: Any) -> Result[Any, StoreFault | Conflict]:
    """Convert a failed call into the port's fault."""
    match outcome:
        case CallFailure(detail, sent):
            return Error(Unknown(detail) if sent else Unavailable(detail))
        case Conflict():
            return Error(outcome)
        case _:
            return Ok(outcome)
