"""
Topology
========

Addresses, names and settings files of the demonstration's processes.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Entry", "Instance", "Topology", "Worker", "make_topology", "write_settings"]

DEPLOYMENT = "swan-coast"
SERVICE = "changeover"
SITES = ("welshpool", "malaga")
ROLES = ("request", "control")
CALLERS_PORT = 8080
OPERATORS_PORTS = {"request": 9080, "control": 9081}
INNER_PORTS = {"request": 7070, "control": 7071}
PLATFORM_PORT = 5000
WORKER_PORT = 6000
INSTANCE_PORT = 6100
INSTANCE_CONTROL_PORT = 6101
PEER_KEY_BYTES = 32


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry host, which runs one process of each role."""

    name: str
    site: str
    address: str

    @property
    def callers(self) -> str:
        """Return the URL for callers."""
        return f"http://{self.address}:{CALLERS_PORT}"

    def operators(self, role: str) -> str:
        """Return the operators' URL of the process of one role."""
        return f"http://{self.address}:{OPERATORS_PORTS[role]}"


@dataclass(frozen=True, slots=True)
class Worker:
    """A worker."""

    name: str
    site: str
    rack: str
    address: str
    port: int = WORKER_PORT

    @property
    def url(self) -> str:
        """Return the URL of the worker's agent."""
        return f"http://{self.address}:{self.port}"


@dataclass(frozen=True, slots=True)
class Instance:
    """An instance of the service."""

    name: str
    site: str
    address: str
    port: int = INSTANCE_PORT
    control_port: int = INSTANCE_CONTROL_PORT

    @property
    def control(self) -> str:
        """Return the URL for faults and counts."""
        return f"http://{self.address}:{self.control_port}"


@dataclass(frozen=True, slots=True)
class Topology:
    """All hosts of the demonstration."""

    platform: str
    entries: tuple[Entry, ...]
    workers: tuple[Worker, ...]
    instances: tuple[Instance, ...]

    @property
    def platform_url(self) -> str:
        """Return the URL of the platform's services."""
        return f"http://{self.platform}:{PLATFORM_PORT}"


def make_topology(entries: int = 3, workers: int = 4, instances: int = 6) -> Topology:
    """Return a topology on loopback addresses that are derived from the process id."""
    net = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
    return Topology(
        platform=f"{net}.1",
        entries=tuple(
            Entry(f"entry-{chr(ord('a') + at)}", _pick_site(at), f"{net}.{10 + at}")
            for at in range(entries)
        ),
        workers=tuple(
            Worker(f"worker-{at + 1}", _pick_site(at), f"rack-{at % 2 + 1}", f"{net}.{50 + at}")
            for at in range(workers)
        ),
        instances=tuple(
            Instance(f"instance-{at + 1}", _pick_site(at), f"{net}.{100 + at}")
            for at in range(instances)
        ),
    )


def write_settings(topology: Topology, folder: Path) -> None:
    """Write the peers' key and a settings file for each process into a folder."""
    key = folder / "peers.toml"
    key.touch(mode=0o600)
    key.write_text(f'current = "k1"\n[keys]\nk1 = "{secrets.token_hex(PEER_KEY_BYTES)}"\n')
    for entry in topology.entries:
        for role in ROLES:
            path = settings_path(folder, entry, role)
            path.write_text("\n".join(_write_lines(topology, entry, role)) + "\n")


def settings_path(folder: Path, entry: Entry, role: str) -> Path:
    """Return the path of the settings file of one process."""
    return folder / f"{entry.name}-{role}.toml"


def _pick_site(at: int) -> str:
    """Return the site of a host; hosts are spread over the sites in turn."""
    return SITES[at % len(SITES)]


def _write_lines(topology: Topology, entry: Entry, role: str) -> Iterator[str]:
    """Yield the lines of a settings file."""
    yield "[process]"
    yield f'deployment = "{DEPLOYMENT}"'
    yield f'host = "{entry.name}"'
    yield f'site = "{entry.site}"'
    yield f'role = "{role}"'
    yield "[listen]"
    if role == "request":
        yield f'callers = "{entry.address}:{CALLERS_PORT}"'
    yield f'operators = "{entry.address}:{OPERATORS_PORTS[role]}"'
    yield f'inner = "{entry.address}:{INNER_PORTS[role]}"'
    yield "[platform]"
    for service in ("table", "objects", "hosts"):
        yield f'{service} = "{topology.platform_url}"'
    yield "[peers]"
    yield 'key_file = "peers.toml"'
    seeds = (
        f'"{other.address}:{port}"' for other in topology.entries for port in INNER_PORTS.values()
    )
    yield f"seeds = [{', '.join(seeds)}]"
    yield "[keys]"
    yield 'ring_file = "ring.toml"'
