"""
System and environment
======================

Start the platform, the workers, the instances and both roles on every entry host.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import urllib3

from tools.demo.processes import Launcher
from tools.demo.topology import (
    PLATFORM_PORT,
    ROLES,
    SERVICE,
    Topology,
    Worker,
    settings_path,
)
from toucanpin.platform.ports import HostRole, ListedHost, Size

__all__ = ["start_environment", "start_system"]

WORKER_SIZE = Size(64, 250_000, 2)


def start_environment(topology: Topology, launcher: Launcher) -> None:
    """Start the platform, the workers and the instances, and list them."""
    launcher.start(
        "platform", "standins.platform", ["--listen", f"{topology.platform}:{PLATFORM_PORT}"]
    )
    launcher.wait_ready("platform", f"{topology.platform_url}/counts")
    for worker in topology.workers:
        launcher.start(worker.name, "standins.workerd", _worker_arguments(topology, worker))
    for instance in topology.instances:
        arguments = ["--listen", f"{instance.address}:{instance.port}"]
        arguments += ["--control", f"{instance.address}:{instance.control_port}"]
        arguments += ["--service", SERVICE, "--name", instance.name, "--service-time", "10"]
        launcher.start(instance.name, "standins.instanced", arguments)
    for worker in topology.workers:
        launcher.wait_ready(worker.name, f"{worker.url}/counts")
    for instance in topology.instances:
        launcher.wait_ready(instance.name, f"{instance.control}/counts")
    _list_hosts(topology)


def _worker_arguments(topology: Topology, worker: Worker) -> list[str]:
    """Return the command-line arguments of a worker."""
    return [
        *("--listen", f"{worker.address}:{worker.port}", "--name", worker.name),
        *("--site", worker.site, "--rack", worker.rack),
        *("--processors", str(WORKER_SIZE.processors), "--memory", str(WORKER_SIZE.memory)),
        *("--accelerators", str(WORKER_SIZE.accelerators), "--objects", topology.platform_url),
    ]


def _list_hosts(topology: Topology) -> None:
    """Upload the host list to the platform."""
    hosts = [
        ListedHost(
            it.name,
            HostRole.WORKER,
            it.site,
            it.rack,
            it.address,
            it.port,
            size=WORKER_SIZE,
        )
        for it in topology.workers
    ]
    hosts += [
        ListedHost(
            it.name,
            HostRole.INSTANCE,
            it.site,
            "rack-1",
            it.address,
            it.port,
            service=SERVICE,
            slots=8,
            connections=64,
        )
        for it in topology.instances
    ]
    body = msgspec.json.encode(hosts)
    answer = urllib3.request("PUT", f"{topology.platform_url}/hosts", body=body, timeout=5.0)
    if answer.status >= 400:
        raise RuntimeError(f"the platform refused the host list: {answer.data.decode()}")


def start_system(
    topology: Topology, folder: Path, launcher: Launcher, roles: tuple[str, ...] = ROLES
) -> None:
    """Start some roles, by default both, on every entry host."""
    for entry in topology.entries:
        for role in roles:
            path = settings_path(folder, entry, role)
            launcher.start(f"{entry.name}-{role}", "toucanpin.daemon.main", ["--config", str(path)])
    for entry in topology.entries:
        for role in roles:
            launcher.wait_ready(f"{entry.name}-{role}", f"{entry.operators(role)}/livez")
