"""
World
=====

The world of a scenario on a virtual clock: the decisions of the daemon, driven through fakes at the
interfaces.  Nothing here decides anything that the product decides.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Any

import msgspec
from expression import Ok

from scenarios import model
from scenarios.actors import Platform, SimulatedWorker
from scenarios.check import name_entries
from scenarios.control import Control
from scenarios.evidence import Evidence, JobTold, RequestTold
from scenarios.kernel import Kernel, Loss, Network, Reply, covers
from scenarios.model import Action, JobEnd, RequestEnd, Scenario
from scenarios.peer import PeerProcess, Surroundings
from scenarios.requesting import Fronting, SimulatedInstance
from scenarios.script import Script
from scenarios.signing import make_ring, make_submission
from scenarios.witness import Witness, describe_work
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
CALLER_PAUSE = 1.0
CALLER_TIMEOUT = 5.0
CALLER_PATIENCE = 1.0
LONG_AGO = -1_000.0
FINAL = frozenset({Reason.NEVER_FITS, Reason.FORBIDDEN, Reason.BAD_REQUEST, Reason.TOO_LARGE})


class VirtualWorld:
    """Run one scenario; two runs of one scenario are the same."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._kernel = Kernel(scenario.seed)
        self._network = Network(self._kernel)
        self._platform = Platform(self._kernel)
        self._evidence = Evidence()
        self._around = Surroundings(
            self._kernel, self._network, self._platform, self._evidence, make_ring()
        )
        self._lives: dict[str, int] = {}
        self._script = Script(self._read_time)
        self._recorders = [self._script.recorder]
        self._network.recorders[CALLER] = self._script.recorder
        self._script.recorder.record("script.start", {}, f"seed {scenario.seed}")
        witness = Witness(
            self._platform.objects.get, self._evidence, scenario.capacity, self._script.names
        )
        self._platform.watchers.append(lambda row: witness.see(self._kernel.now, row))
        self._accept_first_bundle()
        self._hosts = {each.name: each for each in list_hosts(scenario)}
        self._platform.hosts.replace(LONG_AGO, tuple(self._hosts.values()))
        for name in self._hosts:
            self._start_host(name)

    def advance(self, time: float) -> None:
        """Let everything happen up to an instant."""
        self._kernel.run_until(time)

    def apply(self, action: Action) -> None:
        """Bring about an action now."""
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
                    process.wall_step += amount
            case _:
                self._network.apply(action)

    def close(self) -> Evidence:
        """Return what was seen."""
        self._evidence.ended = self._kernel.now
        self._evidence.living = {
            each.name: each.since for each in self._around.peers.values() if each.alive
        }
        for run in self._evidence.runs:
            run.task = self._script.names.get(run.task, run.task)
        return self._evidence

    def events(self) -> Iterable[Event]:
        """Return the events of every life of every process, with the scenario's names of jobs."""
        kept = (event for each in self._recorders for event in each.read_after(0).events)
        return self._script.translate(kept)

    def _read_time(self) -> float:
        """Return the world's time."""
        return self._kernel.now

    def _start_host(self, name: str) -> None:
        """Start what runs on a host."""
        if name.startswith("w"):
            life = self._begin_life(name)
            worker = SimulatedWorker(
                self._kernel,
                self._network,
                self._platform,
                self._evidence,
                name,
                life,
                self._scenario.capacity,
            )
            self._around.workers[name] = worker
            return
        host = self._hosts[name]
        if host.role is HostRole.INSTANCE:
            served = next(it for it in self._scenario.services if it.service.name == host.service)
            life = self._begin_life(name)
            self._around.instances[name] = SimulatedInstance(self._around, name, life, served)
            return
        self._start_process(Control, f"{name}/control", host.site)
        if self._scenario.services:
            self._start_process(Fronting, f"{name}/request", host.site)

    def _start_process(self, kind: type[PeerProcess], name: str, site: str) -> None:
        """Start one process of an entry host."""
        process = kind(self._around, name, self._begin_life(name), site)
        self._around.peers[name] = process
        self._recorders.append(process.recorder)
        self._network.recorders[name] = process.recorder

    def _begin_life(self, name: str) -> int:
        """Count a new life of a process."""
        self._lives[name] = self._lives.get(name, 0) + 1
        self._network.restore(name)
        return self._lives[name]

    def _kill(self, target: str) -> None:
        """End everything that a target covers."""
        for name, other in (*self._around.workers.items(), *self._around.instances.items()):
            if covers(target, name) and other.alive:
                other.end()
                self._network.remove(name)
        for process in self._find_processes(target):
            process.end(graceful=False)

    def _find_processes(self, target: str) -> Iterator[PeerProcess]:
        """Yield the living processes that a target covers."""
        for name, process in self._around.peers.items():
            if covers(target, name) and process.alive:
                yield process

    def _accept_first_bundle(self) -> None:
        """Let version 1 be in force from the start."""
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
        """Submit a job as its owner does: again under the same key until it is told an end."""
        work = msgspec.json.encode(describe_work(action.job, action.work)).decode()
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

        def ask(control: Control, answer: Reply) -> None:
            """Put the question to a process."""
            control.submit(request, action.job, answer)

        def refuse() -> None:
            """Note that the job was refused."""
            now = self._kernel.now
            self._evidence.jobs.append(JobTold(action.job, now, JobEnd.REFUSED))

        self._insist(action.through, ask, refuse)

    def _cancel(self, job: str, entry: str) -> None:
        """Ask to cancel a job until it is told an end."""
        name = self._script.find_job(job)
        self._insist(entry, lambda control, answer: control.cancel(name, answer), lambda: None)

    def _send(self, action: model.SendRequest) -> None:
        """Send a request as a caller does, once, and note what the caller is told."""
        sent = self._kernel.now
        name = f"{action.through}/request"

        def hear(outcome: object) -> None:
            """Note the answer; a caller that hears nothing has to assume that it may have run."""
            whole = True
            match outcome:
                case Loss(sent=False) | Refusal(verdict=Verdict.NOT_RUN):
                    end = RequestEnd.NOT_RUN
                case Response(body=body):
                    end = RequestEnd.ANSWERED
                    whole = body == action.request.encode()
                case _:
                    end = RequestEnd.MAY_HAVE_RUN
            now = self._kernel.now
            told = RequestTold(action.request, action.through, sent, now, end, whole)
            self._evidence.requests.append(told)
            self._script.recorder.record("caller.told", {"request": action.request}, end.value)

        def handle(answer: Reply) -> None:
            """Let the process that bears the name now decide."""
            process = self._around.peers[name]
            if isinstance(process, Fronting):
                process.serve(action, answer)

        self._network.ask(CALLER, name, handle, hear, timeout=action.deadline + CALLER_PATIENCE)

    def _submit_bundle(self, version: int, entry: str, variant: int) -> None:
        """Submit a bundle as an operator does: the same one again until it is told an end."""
        submission = make_submission(self._scenario, version, variant, self._kernel.now)
        self._offer_bundle(submission, f"{entry}/control", str(version))

    def _offer_bundle(self, submission: BundleSubmission, name: str, version: str) -> None:
        """Submit a bundle through a process, and after a while through another."""

        def hear(outcome: object) -> None:
            """Note the end, or repeat the submission."""
            match outcome:
                case Accepted() | Refused() | Conflicted():
                    kind = f"operator.{type(outcome).__name__.lower()}"
                    ids = {"bundle": version}
                    self._script.recorder.record(kind, ids, submission.operator)
                case _:
                    other = self._kernel.random.choice(self._name_controls())
                    again = partial(self._offer_bundle, submission, other, version)
                    self._kernel.call_after(CALLER_PAUSE, again)

        def handle(answer: Reply) -> None:
            """Let the process that bears the name now decide."""
            self._around.peers[name].accept(submission, answer)

        self._network.ask(CALLER, name, handle, hear, timeout=CALLER_TIMEOUT)

    def _name_controls(self) -> list[str]:
        """Return the names of all control processes."""
        return sorted(name for name in self._around.peers if name.endswith("/control"))

    def _insist(
        self, entry: str, ask: Callable[[Control, Reply], None], refuse: Callable[[], None]
    ) -> None:
        """Ask through an entry host, and after a while through another, until there is an end."""
        name = f"{entry}/control" if entry else self._kernel.random.choice(self._name_controls())

        def handle(answer: Reply) -> None:
            """Let the process that bears the name now decide."""
            process = self._around.peers[name]
            if isinstance(process, Control):
                ask(process, answer)

        def hear(outcome: Any) -> None:
            """Take the answer, or ask again."""
            if not isinstance(outcome, Loss):
                if outcome.is_ok():
                    return
                if outcome.error.reason in FINAL:
                    refuse()
                    return
            self._kernel.call_after(CALLER_PAUSE, lambda: self._insist("", ask, refuse))

        self._network.ask(CALLER, name, handle, hear, timeout=CALLER_TIMEOUT)


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
