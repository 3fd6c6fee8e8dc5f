"""
World
=====

The world of a scenario on a virtual clock: the decisions of the daemon, driven through fakes at the
interfaces.  Nothing here decides anything that the product decides.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from scenarios import model
from scenarios.actors import Platform, SimulatedWorker
from scenarios.beliefs import Beliefs
from scenarios.check import name_entries
from scenarios.control import Control, Neighbours
from scenarios.evidence import Evidence, JobTold
from scenarios.kernel import Kernel, Loss, Network, Reply, covers
from scenarios.model import Action, Hosts, JobEnd, Scenario
from scenarios.witness import Witness, describe_work
from toucanpin.bundles.schema import Bundle
from toucanpin.placement.submission import Submission, name_job
from toucanpin.platform.ports import HostRole, ListedHost, Size
from toucanpin.timeline.event import Event
from toucanpin.timeline.recorder import Recorder
from toucanpin.verdict import Reason

__all__ = ["VirtualWorld"]

DEPLOYMENT = "scenario"
JOB_KIND = "master"
CALLER = "caller"
CALLER_PAUSE = 1.0
CALLER_TIMEOUT = 5.0
LONG_AGO = -1_000.0
IDS = {"job": "job", "request": "request", "version": "bundle"}
FINAL = frozenset({Reason.NEVER_FITS, Reason.FORBIDDEN, Reason.BAD_REQUEST, Reason.TOO_LARGE})


class VirtualWorld:
    """Run one scenario; two runs of one scenario are the same."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._kernel = Kernel(scenario.seed)
        self._network = Network(self._kernel)
        self._platform = Platform(self._kernel)
        self._neighbours = Neighbours()
        self._beliefs = Beliefs(self._neighbours.processes)
        self._evidence = Evidence()
        self._names: dict[str, str] = {}
        self._lives: dict[str, int] = {}
        self._script = Recorder("scenario", "1", self._read_time, self._read_time)
        self._recorders = [self._script]
        self._script.record("script.start", {}, f"seed {scenario.seed}")
        self._bundle = Bundle(
            deployment=DEPLOYMENT,
            version=1,
            services=tuple(each.service for each in scenario.services),
            standing=scenario.standing,
            teams=scenario.teams,
        )
        witness = Witness(self._platform.objects, self._evidence, scenario.capacity, self._names)
        self._platform.watchers.append(lambda row: witness.see(self._kernel.now, row))
        hosts = tuple(list_hosts(scenario.hosts, scenario.capacity))
        self._platform.hosts.replace(LONG_AGO, hosts)
        for host in hosts:
            self._start_host(host.name)

    def advance(self, time: float) -> None:
        """Let everything happen up to an instant."""
        self._kernel.run_until(time)

    def apply(self, action: Action) -> None:
        """Bring about an action now."""
        self._record(action)
        match action:
            case model.SubmitJob():
                self._submit(action)
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
                for control in self._find_processes(target):
                    control.shut_down()
            case model.StepClock(target, amount):
                for process in self._find_processes(target):
                    process.wall_step += amount
            case _:
                self._network.apply(action)

    def close(self) -> Evidence:
        """Return what was seen."""
        self._evidence.ended = self._kernel.now
        self._evidence.living = {
            each.name: each.since for each in self._neighbours.processes.values() if each.alive
        }
        for run in self._evidence.runs:
            run.task = self._names.get(run.task, run.task)
        return self._evidence

    def events(self) -> Iterable[Event]:
        """Return the events of every life of every process, with the scenario's names of jobs."""
        for recorder in self._recorders:
            for event in recorder.read_after(0).events:
                ids = {key: self._names.get(value, value) for key, value in event.ids.items()}
                yield dataclasses.replace(event, ids=ids, detail=self._translate(event.detail))

    def _read_time(self) -> float:
        """Return the world's time."""
        return self._kernel.now

    def _translate(self, text: str) -> str:
        """Put the scenario's names of jobs into a text."""
        for job, name in self._names.items():
            text = text.replace(job, name)
        return text

    def _record(self, action: Action) -> None:
        """Put an action of the script on the time line."""
        given = {
            each.name: getattr(action, each.name)
            for each in dataclasses.fields(action)
            if getattr(action, each.name) != each.default
        }
        ids = {IDS[name]: str(value) for name, value in given.items() if name in IDS}
        words = (f"{key} {describe(value)}" for key, value in given.items() if key not in IDS)
        self._script.record(f"script.{type(action).__name__.lower()}", ids, ", ".join(words))

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
            self._neighbours.workers[name] = worker
            return
        process = f"{name}/control"
        control = Control(
            self._kernel,
            self._network,
            self._platform,
            self._neighbours,
            process,
            self._begin_life(process),
            self._beliefs.show,
            lambda _: self._bundle,
        )
        self._neighbours.processes[process] = control
        self._recorders.append(control.recorder)
        self._beliefs.join(control)

    def _begin_life(self, name: str) -> int:
        """Count a new life of a process."""
        self._lives[name] = self._lives.get(name, 0) + 1
        self._network.restore(name)
        return self._lives[name]

    def _kill(self, target: str) -> None:
        """End everything that a target covers."""
        for name, worker in self._neighbours.workers.items():
            if covers(target, name) and worker.alive:
                worker.end()
                self._network.remove(name)
        for process in self._find_processes(target):
            process.alive = False
            self._network.remove(process.name)

    def _find_processes(self, target: str) -> Iterator[Control]:
        """Yield the living processes that a target covers."""
        for name, process in self._neighbours.processes.items():
            if covers(target, name) and process.alive and isinstance(process, Control):
                yield process

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
        self._names[name_job(action.team, action.job)] = action.job

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
        ids = {name: each for each, name in self._names.items()}
        self._insist(entry, lambda control, answer: control.cancel(ids[job], answer), lambda: None)

    def _insist(
        self, entry: str, ask: Callable[[Control, Reply], None], refuse: Callable[[], None]
    ) -> None:
        """Ask through an entry host, and after a while through another, until there is an end."""
        names = sorted(self._neighbours.processes)
        name = f"{entry}/control" if entry else self._kernel.random.choice(names)

        def handle(answer: Reply) -> None:
            """Let the process that bears the name now decide."""
            process = self._neighbours.processes[name]
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


def describe(value: object) -> str:
    """Write a field of an action."""
    match value:
        case Size(processors, memory, accelerators):
            return f"{processors}/{memory}/{accelerators}"
        case _:
            return str(value)


def list_hosts(hosts: Hosts, capacity: Size) -> Iterator[ListedHost]:
    """Yield the hosts of a scenario, spread over its sites and racks."""
    for number, name in enumerate(name_entries(hosts)):
        site = f"site-{number % hosts.site + 1}"
        yield ListedHost(name, HostRole.ENTRY, site, "", "", 0)
    for number in range(hosts.worker):
        site = f"site-{number % hosts.site + 1}"
        rack = f"rack-{number // hosts.site % hosts.rack + 1}"
        yield ListedHost(f"w{number + 1}", HostRole.WORKER, site, rack, "", 0, size=capacity)
