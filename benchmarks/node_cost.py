"""
Cost of control on an entry host
================================

Processor time, resident memory and heartbeat bytes of each role, measured on real processes at
several sizes, and their slopes over members and workers.
"""

from __future__ import annotations

import os
import shutil
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import urllib3

from tools.demo.bundle import make_keys, submit_bundle
from tools.demo.environment import start_environment, start_system
from tools.demo.processes import Launcher
from tools.demo.topology import ROLES, Topology, make_topology, write_settings

__all__ = ["Cost", "main", "measure"]

FOLDER = Path("var/node-cost")
SETTLE_TIME_S = 12.0
WINDOW_S = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEGABYTE = 1_000_000.0
PROCESSOR_BUDGET = 22.0  # ms/s
MEMORY_BUDGET = 256.0  # MB
HEARTBEAT_BUDGET = 21_000.0  # B/s
SMALL_SIZE, MORE_WORKERS_SIZE, MORE_HOSTS_SIZE = (3, 4), (3, 16), (6, 4)
SENT_BYTES_METRIC = "toucanpin_heartbeat_sent_bytes"


@dataclass(frozen=True, slots=True)
class Cost:
    """Mean cost of one process: processor ms/s, MB of memory, heartbeat bytes/s."""

    processor: float
    memory: float
    heartbeats: float


def main() -> None:
    """Measure three sizes and print the figures and slopes."""
    small, workers, hosts = (
        measure(*size) for size in (SMALL_SIZE, MORE_WORKERS_SIZE, MORE_HOSTS_SIZE)
    )
    for role in ROLES:
        for line in _describe(role, small[role], workers[role], hosts[role]):
            print(line)


def measure(entries: int, workers: int) -> dict[str, Cost]:
    """Run a deployment of a size without load and return the mean cost of each role."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    FOLDER.mkdir(parents=True)
    folder = FOLDER.resolve()
    topology = make_topology(entries, workers, instances=2)
    with Launcher(folder) as launcher:
        make_keys(folder)
        write_settings(topology, folder)
        start_environment(topology, launcher)
        start_system(topology, folder, launcher)
        submit_bundle(folder, topology.entries[0])
        time.sleep(SETTLE_TIME_S)
        before = _read_all(topology, launcher)
        time.sleep(WINDOW_S)
        after = _read_all(topology, launcher)
    return {role: _compare(before[role], after[role]) for role in ROLES}


def _read_all(topology: Topology, launcher: Launcher) -> dict[str, list[Cost]]:
    """Return the cumulative costs of every process by role; memory is the current value."""
    return {
        role: [
            _read(launcher.pid(f"{entry.name}-{role}"), entry.operators(role))
            for entry in topology.entries
        ]
        for role in ROLES
    }


def _read(process: int, url: str) -> Cost:
    """Return the cumulative costs of one process."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    text = urllib3.request("GET", f"{url}/metrics").data.decode()
    sent = next(line for line in text.splitlines() if line.startswith(SENT_BYTES_METRIC))
    return Cost(ticks * 1_000 / TICKS_PER_S, pages * PAGE_BYTES / MEGABYTE, float(sent.split()[-1]))


def _compare(before: list[Cost], after: list[Cost]) -> Cost:
    """Return the mean cost of one process between two readings."""
    pairs = list(zip(before, after, strict=True))
    share = len(pairs) * WINDOW_S
    return Cost(
        sum(b.processor - a.processor for a, b in pairs) / share,
        sum(b.memory for _, b in pairs) / len(pairs),
        sum(b.heartbeats - a.heartbeats for a, b in pairs) / share,
    )


def _describe(role: str, small: Cost, workers: Cost, hosts: Cost) -> Iterator[str]:
    """Yield the printed lines of one role."""
    yield _format_line(f"idle_{role}_processor", small.processor, "ms/s", PROCESSOR_BUDGET)
    yield _format_line(f"idle_{role}_memory", small.memory, "MB", MEMORY_BUDGET)
    yield _format_line(f"idle_{role}_heartbeats", small.heartbeats, "B/s", HEARTBEAT_BUDGET)
    more_workers = (MORE_WORKERS_SIZE[1] - SMALL_SIZE[1]) / SMALL_SIZE[0]
    yield _format_line(
        f"slope_{role}_processor_owned_worker",
        (workers.processor - small.processor) / more_workers,
        "ms/s",
        PROCESSOR_BUDGET,
    )
    members = (MORE_HOSTS_SIZE[0] - SMALL_SIZE[0]) * len(ROLES)
    yield _format_line(
        f"slope_{role}_processor_member",
        (hosts.processor - small.processor) / members,
        "ms/s",
        PROCESSOR_BUDGET,
    )
    yield _format_line(
        f"slope_{role}_heartbeats_member",
        (hosts.heartbeats - small.heartbeats) / members,
        "B/s",
        HEARTBEAT_BUDGET,
    )


def _format_line(name: str, value: float, unit: str, budget: float) -> str:
    """Format one figure with the users' budget of a node as its baseline."""
    return (
        f"bench {name} value={value:.3f} unit={unit} "
        f"baseline={budget:.3f} ratio={value / budget:.4f}"
    )


if __name__ == "__main__":
    main()
