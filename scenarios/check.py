"""
Scenario checks
===============

Errors in a scenario that its grammar does not catch, such as names that do not exist.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from scenarios import model
from scenarios.model import Location, Scenario, ScenarioError

__all__ = ["PLATFORM", "ROLES", "find_faults", "name_hosts"]

PLATFORM = ("table", "objects", "hostlist")
ROLES = ("control", "request")


def name_hosts(hosts: model.Hosts) -> Iterator[str]:
    """Yield the names of entry hosts, workers and instances."""
    yield from name_entries(hosts)
    yield from (f"w{number}" for number in range(1, hosts.worker + 1))
    yield from (f"i{number}" for number in range(1, hosts.instance + 1))


def name_entries(hosts: model.Hosts) -> Iterator[str]:
    """Yield the names of entry hosts: entry-a, entry-b and so on."""
    return (f"entry-{chr(ord('a') + number)}" for number in range(hosts.entry))


def find_faults(scenario: Scenario) -> Iterator[ScenarioError]:
    """Yield the errors of a scenario in line order."""
    faults = [*_check_events(scenario), *_check_expectations(scenario)]
    if not scenario.expectations:
        faults.append(ScenarioError(Location(scenario.file, 1), "the scenario expects nothing"))
    yield from sorted(faults, key=lambda fault: fault.location.line)


def _check_events(scenario: Scenario) -> Iterator[ScenarioError]:
    """Yield the errors of events."""
    entries = {"", *name_entries(scenario.hosts)}
    processes = {f"{entry}/{role}" for entry in name_entries(scenario.hosts) for role in ROLES}
    targets = {*name_hosts(scenario.hosts), *processes, *PLATFORM}
    services = {each.service.name for each in scenario.services}
    seen: set[str] = set()
    for event in scenario.events:
        match event.action:
            case model.SubmitJob(job, through=entry):
                yield from _require(event.location, "entry host", entry, entries)
                if job in seen:
                    yield ScenarioError(event.location, f"job {job} is submitted twice")
                seen.add(job)
            case model.CancelJob(job, entry):
                yield from _require(event.location, "entry host", entry, entries)
                yield from _require(event.location, "job", job, seen)
            case model.SubmitBundle(through=entry):
                yield from _require(event.location, "entry host", entry, entries)
            case model.SendRequest(service=service, through=entry):
                yield from _require(event.location, "entry host", entry, entries)
                yield from _require(event.location, "service", service, services)
            case model.Outage(target, client=client):
                yield from _require(event.location, "service of the platform", target, PLATFORM)
                yield from _require(event.location, "host", client, targets | {""})
            case model.Cut(source, target) | model.Slow(source, target):
                yield from _require(event.location, "host", source, targets)
                yield from _require(event.location, "host", target, targets)
            case model.LoseAnswers(source, target):
                yield from _require(event.location, "host", source, targets)
                yield from _require(event.location, "host", target, targets)
            case action:
                yield from _require(event.location, "host", action.target, targets - {*PLATFORM})


def _check_expectations(scenario: Scenario) -> Iterator[ScenarioError]:
    """Yield the errors of expectations."""
    actions = [event.action for event in scenario.events]
    jobs = {action.job for action in actions if isinstance(action, model.SubmitJob)}
    requests = {action.request for action in actions if isinstance(action, model.SendRequest)}
    bundles = {action.version for action in actions if isinstance(action, model.SubmitBundle)}
    standing = {task.name for task in scenario.standing}
    for expectation in scenario.expectations:
        location = expectation.location
        match expectation.expected:
            case model.JobEnds(job) | model.JobResumes(job):
                yield from _require(location, "job", job, jobs | ({""} if jobs else set()))
            case model.RequestEnds(request):
                known = requests | ({""} if requests else set())
                yield from _require(location, "request", request, known)
            case model.StandingRuns(task):
                yield from _require(location, "standing task", task, standing)
            case model.BundleEverywhere(version):
                yield from _require(location, "bundle", str(version), map(str, bundles | {1}))
            case model.NoWork(host):
                yield from _require(location, "host", host, name_hosts(scenario.hosts))


def _require(
    location: Location, what: str, name: str, known: Iterable[str]
) -> Iterator[ScenarioError]:
    """Yield an error if a name is not known."""
    names = sorted(name for name in known if name)
    if name not in names and (name or not names or "" not in known):
        missing = f"no {what} is named {name!r}" if name else f"there is no {what}"
        yield ScenarioError(location, f"{missing}; there are: {', '.join(names) or 'none'}")
