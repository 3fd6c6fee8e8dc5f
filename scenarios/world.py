"""
Virtual world
=============

Run a scenario on a virtual clock: the daemon's decisions with simulated interfaces.  No decision of
the system is reimplemented here.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Any

import msgspec
from expression import Ok

from scenarios import model
from scenarios.check import name_entries
from scenarios.control_process import ControlProcess
from scenarios.kernel import CallFailure, Kernel, Network, Reply, covers
from scenarios.model import Action, JobEnd, RequestEnd, Scenario
from scenarios.observations import JobOutcome, Observations, RequestOutcome
from scenarios.peer import PeerProcess, SimulationContext
from scenarios.request_process import RequestProcess, SimulatedInstance
from scenarios.script import Script
from scenarios.signing import make_ring, make_submission
from scenarios.simulation import Platform, SimulatedWorker
from scenarios.table_observer import TableObserver, make_work
from toucanpin.bundles.acceptance import (
    Accepted,
    Commit,
    Conflicted,
    Read,
    Refused,
    accept_bundle,
)
from toucanpin.bundles.acceptance import Submission as BundleSubmission
from toucanpin.placement.submission import Submission
from toucanpin.platform.ports import HostRole, ListedHost
from toucanpin.requests.messages import Response
from toucanpin.timeline.event import Event
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["VirtualWorld"]

JOB_KIND = "master"
CALLER = "caller"
CALLER_RETRY_S = 1.0
CALLER_TIMEOUT_S = 5.0
CALLER_GRACE_S = 1.0
BEFORE_START = -1_000.0
FINAL_REASONS = frozenset(
    {Reason.NEVER_FITS, Reason.FORBIDDEN, Reason.BAD_REQUEST, Reason.TOO_LARGE}
)


class VirtualWorld:
    """One scenario on a virtual clock; its runs are reproducible."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._kernel = Kernel(scenario.seed)
        self._network = Network(self._kernel)
        self._platform = Platform(self._kernel)
        self._observations = Observations()
        self._context = SimulationContext(
            self._kernel, self._network, self._platform, self._observations, make_ring()
        )
        self._incarnations: dict[str, int] = {}
        self._script = Script(self._read_time)
        self._recorders = [self._script.recorder]
        self._network.recorders[CALLER] = self._script.recorder
        self._script.recorder.record("script.start", {}, f"seed {scenario.seed}")
        observer = TableObserver(
            self._platform.objects.get, self._observations, scenario.capacity, self._script.names
        )
        self._platform.row_listeners.append(lambda row: observer.observe(self._kernel.now, row))
        self._accept_first_bundle()
        self._hosts = {each.name: each for each in list_hosts(scenario)}
        self._platform.hosts.replace(BEFORE_START, tuple(self._hosts.values()))
        for name in self._hosts:
            self._start_host(name)

    def advance(self, time: float) -> None:
        """Advance to a time."""
        self._kernel.run_until(time)

    def apply(self, action: Action) -> None:
        """Perform an action now."""
        self._script.record(action)
        match action:
            case model.SubmitJob():
                self._submit(action)
            case model.SendRequest():
                self._send(action)
            case model.SubmitBundle(version, entry, variant):
                self._submit_bundle(version, entry, variant)
            case model.CancelJob(job, entry):
                self._cancel(job, entry)
            case model.Kill(target):
                self._kill(target)
            case model.Replace(target):
                self._kill(target)
                self._start_host(target)
            case model.Leave(target):
                self._platform.hosts.mark_leaving(self._kernel.now, target)
            case model.ShutDown(target):
                for process in self._find_processes(target):
                    process.shut_down()
            case model.StepClock(target, amount):
                for process in self._find_processes(target):
                    process.wall_offset += amount
            case _:
                self._network.apply(action)

    def close(self) -> Observations:
        """Return the observations."""
        self._observations.ended = self._kernel.now
        self._observations.running_since = {
            each.name: each.started_at for each in self._context.peers.values() if each.alive
        }
        for run in self._observations.runs:
            run.task = self._script.names.get(run.task, run.task)
        return self._observations

    def events(self) -> Iterable[Event]:
        """Return the events of all incarnations of all processes, with the scenario's job names."""
        kept = (event for each in self._recorders for event in each.read_after(0).events)
        return self._script.translate(kept)

    def _read_time(self) -> float:
        """Return the simulated time."""
        return self._kernel.now

    def _start_host(self, name: str) -> None:
        """Start the processes of a host."""
        if name.startswith("w"):
            incarnation = self._start_incarnation(name)
            worker = SimulatedWorker(
                self._kernel,
                self._network,
                self._platform,
                self._observations,
                name,
                incarnation,
                self._scenario.capacity,
            )
            self._context.workers[name] = worker
            return
        host = self._hosts[name]
        if host.role is HostRole.INSTANCE:
            served = next(it for it in self._scenario.services if it.service.name == host.service)
            incarnation = self._start_incarnation(name)
            self._context.instances[name] = SimulatedInstance(
                self._context, name, incarnation, served
            )
            return
        self._start_process(ControlProcess, f"{name}/control", host.site)
        if self._scenario.services:
            self._start_process(RequestProcess, f"{name}/request", host.site)

    def _start_process(self, kind: type[PeerProcess], name: str, site: str) -> None:
        """Start one process of an entry host."""
        process = kind(self._context, name, self._start_incarnation(name), site)
        self._context.peers[name] = process
        self._recorders.append(process.recorder)
        self._network.recorders[name] = process.recorder

    def _start_incarnation(self, name: str) -> int:
        """Return the number of a new incarnation of a process."""
        self._incarnations[name] = self._incarnations.get(name, 0) + 1
        self._network.restore(name)
        return self._incarnations[name]

    def _kill(self, target: str) -> None:
        """Kill all processes that a target covers."""
        for name, other in (*self._context.workers.items(), *self._context.instances.items()):
            if covers(target, name) and other.alive:
                other.end()
                self._network.remove(name)
        for process in self._find_processes(target):
            process.end(graceful=False)

    def _find_processes(self, target: str) -> Iterator[PeerProcess]:
        """Yield the running processes that a target covers."""
        for name, process in self._context.peers.items():
            if covers(target, name) and process.alive:
                yield process

    def _accept_first_bundle(self) -> None:
        """Accept version 1 of the bundle before the start."""
        submission = make_submission(self._scenario, 1, 0, 0.0)
        decision = accept_bundle(make_ring(), submission, lambda: "first")
        outcome: Any = None
        with contextlib.suppress(StopIteration):
            while True:
                match decision.send(outcome):
                    case Read(key):
                        outcome = Ok(self._platform.table.read(key))
                    case Commit(transaction):
                        outcome = Ok(self._platform.table.commit(transaction))

    def _submit(self, action: model.SubmitJob) -> None:
        """Submit a job, retrying with the same key until there is a final answer."""
        work = msgspec.json.encode(make_work(action.job, action.work)).decode()
        size = action.size
        request = Submission(
            JOB_KIND,
            action.team,
            size.processors,
            size.memory,
            size.accelerators,
            urgent=action.urgent,
            payload=work,
        )
        self._script.name_job(action.team, action.job)

        def send_call(control: ControlProcess, answer: Reply) -> None:
            """Submit the job to a control process."""
            control.submit(request, action.job, answer)

        def refuse() -> None:
            """Record that the job was refused."""
            now = self._kernel.now
            self._observations.jobs.append(JobOutcome(action.job, now, JobEnd.REFUSED))

        self._call_until_final(action.through, send_call, refuse)

    def _cancel(self, job: str, entry: str) -> None:
        """Cancel a job, retrying until there is a final answer."""
        name = self._script.find_job(job)
        self._call_until_final(
            entry, lambda control, answer: control.cancel(name, answer), lambda: None
        )

    def _send(self, action: model.SendRequest) -> None:
        """Send a request once and record its outcome."""
        sent = self._kernel.now
        name = f"{action.through}/request"

        def on_answer(outcome: object) -> None:
            """Record the outcome; without an answer the request may have run."""
            valid = True
            match outcome:
                case CallFailure(sent=False) | Refusal(verdict=Verdict.NOT_RUN):
                    end = RequestEnd.NOT_RUN
                case Response(body=body):
                    end = RequestEnd.ANSWERED
                    valid = body == action.request.encode()
                case _:
                    end = RequestEnd.MAY_HAVE_RUN
            now = self._kernel.now
            reported = RequestOutcome(action.request, action.through, sent, now, end, valid)
            self._observations.requests.append(reported)
            self._script.recorder.record("caller.told", {"request": action.request}, end.value)

        def handle(answer: Reply) -> None:
            """Pass the call to the current process with the name."""
            process = self._context.peers[name]
            if isinstance(process, RequestProcess):
                process.serve(action, answer)

        self._network.request(
            CALLER, name, handle, on_answer, timeout=action.deadline + CALLER_GRACE_S
        )

    def _submit_bundle(self, version: int, entry: str, variant: int) -> None:
        """Submit a bundle, retrying until there is a final answer."""
        submission = make_submission(self._scenario, version, variant, self._kernel.now)
        self._send_bundle(submission, f"{entry}/control", str(version))

    def _send_bundle(self, submission: BundleSubmission, name: str, version: str) -> None:
        """Submit a bundle through a process, and retry through others."""

        def on_answer(outcome: object) -> None:
            """Record the final answer, or retry."""
            match outcome:
                case Accepted() | Refused() | Conflicted():
                    kind = f"operator.{type(outcome).__name__.lower()}"
                    ids = {"bundle": version}
                    self._script.recorder.record(kind, ids, submission.operator)
                case _:
                    other = self._kernel.random.choice(self._list_control_processes())
                    again = partial(self._send_bundle, submission, other, version)
                    self._kernel.call_after(CALLER_RETRY_S, again)

        def handle(answer: Reply) -> None:
            """Pass the call to the current process with the name."""
            self._context.peers[name].accept(submission, answer)

        self._network.request(CALLER, name, handle, on_answer, timeout=CALLER_TIMEOUT_S)

    def _list_control_processes(self) -> list[str]:
        """Return the names of all control processes."""
        return sorted(name for name in self._context.peers if name.endswith("/control"))

    def _call_until_final(
        self,
        entry: str,
        send_call: Callable[[ControlProcess, Reply], None],
        refuse: Callable[[], None],
    ) -> None:
        """Call through an entry host, and retry through others until there is a final answer."""
        name = (
            f"{entry}/control"
            if entry
            else self._kernel.random.choice(self._list_control_processes())
        )

        def handle(answer: Reply) -> None:
            """Pass the call to the current process with the name."""
            process = self._context.peers[name]
            if isinstance(process, ControlProcess):
                send_call(process, answer)

        def on_answer(outcome: Any) -> None:
            """Handle a final answer, or retry."""
            if not isinstance(outcome, CallFailure):
                if outcome.is_ok():
                    return
                if outcome.error.reason in FINAL_REASONS:
                    refuse()
                    return
            self._kernel.call_after(
                CALLER_RETRY_S, lambda: self._call_until_final("", send_call, refuse)
            )

        self._network.request(CALLER, name, handle, on_answer, timeout=CALLER_TIMEOUT_S)


def list_hosts(scenario: Scenario) -> Iterator[ListedHost]:
    """Yield the hosts of a scenario, spread over its sites and racks."""
    hosts, capacity = scenario.hosts, scenario.capacity
    for number, name in enumerate(name_entries(hosts)):
        site = f"site-{number % hosts.site + 1}"
        yield ListedHost(name, HostRole.ENTRY, site, "", "", 0)
    for number in range(hosts.worker):
        site = f"site-{number % hosts.site + 1}"
        rack = f"rack-{number // hosts.site % hosts.rack + 1}"
        yield ListedHost(f"w{number + 1}", HostRole.WORKER, site, rack, "", 0, size=capacity)
    for number in range(hosts.instance if scenario.services else 0):
        service = scenario.services[number % len(scenario.services)].service
        yield ListedHost(
            f"i{number + 1}",
            HostRole.INSTANCE,
            f"site-{number % hosts.site + 1}",
            "",
            "",
            0,
            service=service.name,
            slots=service.slots,
            connections=service.connections,
        )
