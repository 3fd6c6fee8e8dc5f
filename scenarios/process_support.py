"""
Support for real processes
==========================

The topology of a scenario's hosts as real processes, the fault rules of the platform stand-in, and
the check for actions and expectations that are not supported with real processes.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from scenarios import model
from scenarios.check import PLATFORM
from scenarios.model import Scenario, ScenarioError
from scenarios.world import list_hosts
from standins.faults import UNLIMITED, WILDCARD, Effect, Rule
from tools.demo.topology import ROLES, Topology, make_topology
from toucanpin.platform.ports import ListedHost

__all__ = ["check_supported", "make_rules", "place_hosts"]

OPERATIONS = {
    "table": ("read", "scan", "commit"),
    "objects": ("put", "get", "names"),
    "hostlist": ("hosts",),
}


def check_supported(scenario: Scenario) -> None:
    """Raise ScenarioError for what is not supported with real processes on one machine."""
    for event in scenario.events:
        match event.action:
            case model.Slow() | model.StepClock() | model.SubmitBundle() | model.ShutDown():
                raise ScenarioError(
                    event.location, f"{event.action} is not supported with processes"
                )
            case model.Cut(_, target) | model.LoseAnswers(target) if target not in PLATFORM:
                raise ScenarioError(
                    event.location, f"only the platform can be cut off, not {target!r}"
                )
    for expectation in scenario.expectations:
        match expectation.expected:
            case model.BundleEverywhere() | model.NoWork():
                raise ScenarioError(
                    expectation.location, f"{expectation.expected} can't be checked with processes"
                )


def place_hosts(scenario: Scenario) -> Topology:
    """Return the scenario's hosts on loopback addresses, under the scenario's names."""
    hosts = scenario.hosts
    made = make_topology(hosts.entry, hosts.worker, hosts.instance if scenario.services else 0)
    listed: dict[str, ListedHost] = {each.name: each for each in list_hosts(scenario)}
    workers = tuple(replace(it, name=f"w{at + 1}") for at, it in enumerate(made.workers))
    instances = tuple(replace(it, name=f"i{at + 1}") for at, it in enumerate(made.instances))
    return Topology(
        made.platform,
        tuple(replace(it, site=listed[it.name].site) for it in made.entries),
        tuple(replace(it, site=listed[it.name].site) for it in workers),
        tuple(replace(it, site=listed[it.name].site) for it in instances),
    )


def make_rules(effect: Effect, target: str, client: str, times: int = UNLIMITED) -> Iterator[Rule]:
    """Yield the platform stand-in's rules for a fault of one of its services."""
    clients = [f"{client}/{role}" for role in ROLES] if client and "/" not in client else [client]
    for operation in OPERATIONS[target]:
        for each in clients:
            yield Rule(effect, each or WILDCARD, operation, times)
