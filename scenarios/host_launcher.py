"""
Host launcher
=============

Start the processes of each host of a scenario.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from scenarios import model
from scenarios.model import Scenario
from scenarios.world import list_hosts
from tools.demo.processes import Launcher
from tools.demo.topology import ROLES, Entry, Instance, Topology, Worker, settings_path

__all__ = ["HostLauncher"]

MILLISECONDS = 1_000


class HostLauncher:
    """Start the processes of a scenario's hosts."""

    def __init__(
        self, scenario: Scenario, topology: Topology, folder: Path, launcher: Launcher
    ) -> None:
        self._scenario = scenario
        self._topology = topology
        self._folder = folder
        self._launcher = launcher

    def start(self, name: str) -> None:
        """Start the processes of a host."""
        match self.find_host(name):
            case Entry() as entry:
                for role in ROLES:
                    path = settings_path(self._folder, entry, role)
                    arguments = ["--config", str(path)]
                    self._launcher.start(f"{name}-{role}", "toucanpin.daemon.main", arguments)
            case Worker() as worker:
                size = self._scenario.capacity
                arguments = ["--listen", f"{worker.address}:{worker.port}", "--name", name]
                arguments += ["--objects", self._topology.platform_url]
                arguments += ["--processors", str(size.processors), "--memory", str(size.memory)]
                arguments += ["--accelerators", str(size.accelerators)]
                self._launcher.start(name, "standins.workerd", arguments)
            case Instance() as instance:
                served = self._find_service(name)
                arguments = ["--listen", f"{instance.address}:{instance.port}", "--name", name]
                arguments += ["--control", f"{instance.address}:{instance.control_port}"]
                arguments += ["--service", served.service.name]
                arguments += ["--service-time", str(int(served.service_time * MILLISECONDS))]
                self._launcher.start(name, "standins.instanced", arguments)

    def name_processes(self, target: str) -> Iterator[str]:
        """Yield the launcher's names of the processes of a target."""
        host, _, role = target.partition("/")
        if isinstance(self.find_host(host), Entry):
            yield from (f"{host}-{each}" for each in ROLES if role in ("", each))
        else:
            yield host

    def find_host(self, name: str) -> Entry | Worker | Instance:
        """Return the host with a name, which may include a role."""
        topology = self._topology
        hosts: tuple[Entry | Worker | Instance, ...] = (
            *topology.entries,
            *topology.workers,
            *topology.instances,
        )
        return next(host for host in hosts if host.name == name.partition("/")[0])

    def _find_service(self, name: str) -> model.ServedService:
        """Return the service that an instance serves."""
        listed = next(each for each in list_hosts(self._scenario) if each.name == name)
        return next(it for it in self._scenario.services if it.service.name == listed.service)
