"""
Scenarios with real processes
=============================

Run scenarios in real time with real processes on loopback addresses: daemons, platform, workers and
instances.  Unsupported actions and expectations are reported before the start.
"""

from __future__ import annotations

import shutil
import signal
import sys
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from scenarios import model
from scenarios.callers import Callers
from scenarios.host_launcher import HostLauncher
from scenarios.language import read
from scenarios.model import Action, Scenario
from scenarios.observations import Observations, RequestRun, TaskRun
from scenarios.process_support import check_supported, make_rules, place_hosts
from scenarios.runner import run
from scenarios.script import Script
from scenarios.signing import make_ring, make_submission
from scenarios.table_observer import TableObserver
from scenarios.world import list_hosts
from standins.faults import Effect, Rule
from tools.demo.bundle import run_tool
from tools.demo.processes import Launcher
from tools.demo.topology import (
    PLATFORM_PORT,
    ROLES,
    write_settings,
)
from toucanpin.bundles.record import encode_signed
from toucanpin.platform.http import HttpObjectStore, HttpTable
from toucanpin.platform.ports import HostRole
from toucanpin.timeline.codec import decode_lines
from toucanpin.timeline.event import Event

__all__ = ["ProcessWorld", "main"]

FOLDER = Path("var/scenario")
WATCH_PERIOD_S = 0.1
CALLER_THREADS = 32
LOG_TIMEOUT_S = 0.5
TIMEOUT_S = 3.0
MILLISECONDS = 1_000


class ProcessWorld:
    """One scenario with real processes; ``close`` ends them all."""

    def __init__(self, scenario: Scenario) -> None:
        check_supported(scenario)
        self._scenario = scenario
        shutil.rmtree(FOLDER, ignore_errors=True)
        FOLDER.mkdir(parents=True)
        self._folder = FOLDER.resolve()
        self._launcher = Launcher(self._folder)
        self._topology = place_hosts(scenario)
        self._host_launcher = HostLauncher(scenario, self._topology, self._folder, self._launcher)
        self._observations = Observations()
        self._started_at = time.monotonic()
        self._script = Script(self._read_time)
        self._callers = Callers(
            self._topology.entries, self._observations, self._script, self._read_time
        )
        self._pool = ThreadPoolExecutor(CALLER_THREADS)
        self._pending_removals: list[tuple[float, Callable[[], None]]] = []
        self._rules: list[Rule] = []
        self._runs: dict[tuple[str, str, int], TaskRun] = {}
        self._leaving: set[str] = set()
        self._stopped = threading.Event()
        url = self._topology.platform_url
        self._objects = HttpObjectStore(url, "witness")
        self._table = HttpTable(url, "witness")
        self._observer = TableObserver(
            self._read_object, self._observations, scenario.capacity, self._script.names
        )
        try:
            self._start()
        except BaseException:
            self._launcher.end_all()
            raise
        self._started_at = time.monotonic()
        self._watcher = threading.Thread(target=self._watch, daemon=True)
        self._watcher.start()

    def advance(self, time_: float) -> None:
        """Wait until a time, and remove the faults that end before it."""
        while self._pending_removals and self._pending_removals[0][0] <= time_:
            due, remove_fault = self._pending_removals.pop(0)
            time.sleep(max(0.0, self._started_at + due - time.monotonic()))
            remove_fault()
        time.sleep(max(0.0, self._started_at + time_ - time.monotonic()))

    def apply(self, action: Action) -> None:
        """Perform an action now."""
        self._script.record(action)
        match action:
            case model.SubmitJob():
                self._script.name_job(action.team, action.job)
                self._pool.submit(self._callers.submit, action)
            case model.CancelJob(job, entry):
                self._pool.submit(self._callers.cancel, job, entry)
            case model.SendRequest():
                self._pool.submit(self._callers.send, action)
            case model.Kill(target):
                self._kill(target)
            case model.Replace(target):
                self._kill(target)
                self._host_launcher.start(target)
            case model.Pause(target, duration):
                self._signal(target, signal.SIGSTOP)
                self._schedule_removal(duration, lambda: self._signal(target, signal.SIGCONT))
            case model.Leave(target):
                self._leaving.add(target)
                self._publish_host_list()
            case model.Outage(target, duration, client):
                self._inject_fault(Effect.DOWN, target, client, duration)
            case model.Cut(client, target, duration=duration):
                self._inject_fault(Effect.LOSE_BEFORE, target, client, duration)
            case model.LoseAnswers(target, client, count):
                rules = list(make_rules(Effect.LOSE_AFTER, target, client, count))
                self._put_rules([*rules, *self._rules])

    def close(self) -> Observations:
        """End every process and return the observations."""
        self._stopped.set()
        self._watcher.join()
        self._read_worker_logs()
        self._observations.ended = self._read_time()
        self._count_requests()
        self._events = list(self._collect_events())
        self._pool.shutdown(wait=False, cancel_futures=True)
        self._launcher.end_all()
        self._observations.runs = list(self._runs.values())
        return self._observations

    def events(self) -> Iterable[Event]:
        """Return the events of every process, including killed ones."""
        return self._script.translate((*self._script.recorder.read_after(0).events, *self._events))

    def _read_time(self) -> float:
        """Return the time since the start of the scenario."""
        return time.monotonic() - self._started_at

    def _start(self) -> None:
        """Start everything and bring the first bundle into force."""
        ring = make_ring()
        (signer,) = ring.signers
        (self._folder / "ring.toml").write_text(
            f'deployment = "{ring.deployment}"\nversion = 1\nthreshold = 1\n'
            f'[[signers]]\nid = "{signer.id}"\npublic = "{signer.public}"\n'
        )
        write_settings(self._topology, self._folder)
        platform = f"{self._topology.platform}:{PLATFORM_PORT}"
        self._launcher.start("platform", "standins.platform", ["--listen", platform])
        self._launcher.wait_ready("platform", f"{self._topology.platform_url}/counts")
        self._publish_host_list()
        for name in self._name_hosts():
            self._host_launcher.start(name)
        entry = self._topology.entries[0]
        self._launcher.wait_ready(f"{entry.name}-control", f"{entry.operators('control')}/livez")
        signed = make_submission(self._scenario, 1, 0, 0.0).signed
        (self._folder / "bundle.json").write_bytes(encode_signed(signed))
        run_tool(
            self._folder,
            *("bundle", "submit", "bundle.json", "--operators", entry.operators("control")),
        )
        for each in self._topology.entries:
            for role in ROLES:
                self._launcher.wait_ready(f"{each.name}-{role}", f"{each.operators(role)}/readyz")

    def _name_hosts(self) -> Iterator[str]:
        """Yield the names of all hosts except the platform."""
        topology = self._topology
        yield from (worker.name for worker in topology.workers)
        yield from (instance.name for instance in topology.instances)
        yield from (entry.name for entry in topology.entries)

    def _publish_host_list(self) -> None:
        """Send the host list to the platform."""
        hosts = [
            replace(
                each,
                address=self._host_launcher.find_host(each.name).address,
                port=getattr(self._host_launcher.find_host(each.name), "port", 0),
                leaving=each.name in self._leaving,
            )
            for each in list_hosts(self._scenario)
            if each.role is not HostRole.ENTRY
        ]
        self._put(f"{self._topology.platform_url}/hosts", hosts)

    def _put(self, url: str, value: Any) -> None:
        """Send a value to a stand-in."""
        answer = urllib3.request("PUT", url, body=msgspec.json.encode(value), timeout=TIMEOUT_S)
        if answer.status >= 400:
            raise RuntimeError(f"{url} refused: {answer.data.decode()}")

    def _kill(self, target: str) -> None:
        """Kill the processes of a target."""
        self._read_worker_logs()
        for name in self._host_launcher.name_processes(target):
            self._launcher.kill(name)
        for run_ in self._runs.values():
            if run_.host == target:
                run_.stopped = min(run_.stopped, self._read_time())

    def _signal(self, target: str, number: signal.Signals) -> None:
        """Send a signal to the processes of a target."""
        for name in self._host_launcher.name_processes(target):
            self._launcher.send_signal(name, number)

    def _schedule_removal(self, delay: float, remove_fault: Callable[[], None]) -> None:
        """Schedule the removal of a fault."""
        due = self._read_time() + delay
        self._pending_removals.append((due, remove_fault))
        self._pending_removals.sort(key=lambda entry: entry[0])

    def _inject_fault(self, effect: Effect, target: str, client: str, duration: float) -> None:
        """Inject a fault of the platform for a while."""
        rules = list(make_rules(effect, target, client))
        self._put_rules([*self._rules, *rules])
        self._rules += rules

        def remove_fault() -> None:
            """Remove these rules."""
            self._rules = [rule for rule in self._rules if rule not in rules]
            self._put_rules(self._rules)

        if duration != model.FOREVER:
            self._schedule_removal(duration, remove_fault)

    def _put_rules(self, rules: list[Rule]) -> None:
        """Replace the active fault rules."""
        self._put(f"{self._topology.platform_url}/faults", rules)

    def _watch(self) -> None:
        """Read the workers' logs and the table periodically."""
        seen = 0
        while not self._stopped.wait(WATCH_PERIOD_S):
            self._read_worker_logs()
            found = self._table.scan("", seen)
            if found.is_ok():
                for row in sorted(found.ok, key=lambda row: row.version):
                    self._observer.observe(self._read_time(), row)
                    seen = max(seen, row.version)

    def _read_worker_logs(self) -> None:
        """Read the workers' logs, whose times are of this machine's clock."""
        for worker in self._topology.workers:
            try:
                answer = urllib3.request(
                    "GET", f"{worker.url}/log", timeout=LOG_TIMEOUT_S, retries=False
                )
            except HTTPError:
                continue
            for entry in msgspec.json.decode(answer.data):
                self._record_run(worker.name, entry)

    def _record_run(self, worker: str, entry: dict[str, Any]) -> None:
        """Record when an attempt ran."""
        key = (worker, entry["task"], entry["started_at"])
        started = entry["started_at"] / MILLISECONDS - self._started_at
        task = self._script.names.get(entry["task"], entry["task"])
        new_run = TaskRun(task, entry["attempt"], worker, started, resumed=entry["attempt"] > 1)
        run_ = self._runs.setdefault(key, new_run)
        if entry["stopped_at"] is not None:
            run_.stopped = min(run_.stopped, entry["stopped_at"] / MILLISECONDS - self._started_at)

    def _count_requests(self) -> None:
        """Read how often each request ran; the executions of killed instances are unknown."""
        for instance in self._topology.instances:
            try:
                url = f"{instance.control}/executions"
                answer = urllib3.request("GET", url, timeout=TIMEOUT_S, retries=False)
            except HTTPError:
                continue
            for request, count in msgspec.json.decode(answer.data).items():
                run_ = RequestRun(request, instance.name, 0.0)
                self._observations.request_runs += [run_] * count

    def _collect_events(self) -> Iterator[Event]:
        """Yield the events of the merged timeline, fetched with the command-line tool."""
        sources = [
            part
            for entry in self._topology.entries
            for role in ROLES
            for part in ("--from", entry.operators(role))
        ]
        command = ("timeline", *sources, "--store", self._topology.platform_url)
        try:
            text = run_tool(self._folder, *command, "--output", "json")
        except RuntimeError:
            # The tool fails if a process was killed; the store has the events that it sent.
            text = run_tool(self._folder, *command[:1], *command[-2:], "--output", "json")
        for item in decode_lines("timeline", text.encode()):
            if isinstance(item, Event):
                yield replace(item, wall=item.monotonic - self._started_at)

    def _read_object(self, name: str) -> bytes | None:
        """Read an object for the table observer."""
        found = self._objects.get(name)
        return found.ok if found.is_ok() else None


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
def main(files: tuple[Path, ...]) -> None:
    """Run scenario FILES with real processes and print their sessions."""
    failed = 0
    for path in files:
        outcome = run(read(path), ProcessWorld)
        click.echo(outcome.session)
        failed += bool(outcome.failures)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
