"""
Bundles over real processes
===========================

Start nine daemons and a platform, submit bundles, and read from the daemons' time lines when each
bundle came into force.
"""

from __future__ import annotations

import os
import shutil
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import urllib3

from tools.demo.bundle import make_keys
from tools.demo.processes import Launcher
from tools.demo.topology import (
    DEPLOYMENT,
    PLATFORM_PORT,
    Entry,
    Topology,
    make_topology,
    settings_path,
    write_settings,
)
from toucanpin.bundles.canonical import encode_bundle
from toucanpin.bundles.schema import Bundle, Service
from toucanpin.bundles.signature import SignedBundle, sign_bundle
from toucanpin.cli.keys import PrivateKey, load_key
from toucanpin.daemon.bundle_apps import SubmitRequest

__all__ = ["measure_processes"]

ENTRIES = 9
CHANGES = 16
SETTLE_TIME_S = 4.0
IDLE_WINDOW_S = 10.0
ROLE = "request"
FOLDER = Path("var/bench-bundles")
SPREAD_WAIT_S = 0.6

PrintLine = Callable[[str, float, str, float], None]


def measure_processes(print_line: PrintLine) -> None:
    """Print the delays until bundles are in force at nine real processes."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    FOLDER.mkdir(parents=True)
    folder = FOLDER.resolve()
    topology = make_topology(ENTRIES, 0, 0)
    with Launcher(folder) as launcher:
        key = _start(topology, folder, launcher)
        version = 1
        _submit(topology.entries[0], key, version)
        for entry in topology.entries:
            launcher.wait_ready(entry.name, f"{entry.operators(ROLE)}/readyz")
        for condition in ("healthy", "third_cut", "table_down"):
            delays = []
            for _ in range(CHANGES):
                version += 1
                delays.append(_change(topology, key, version, condition))
            _set_faults(topology, [])
            delays.sort()
            middle, last = delays[len(delays) // 2], delays[-1]
            print_line(f"bundle_processes_p50_{condition}", middle * 1_000, "ms", 1_000.0)
            print_line(f"bundle_processes_max_{condition}", last * 1_000, "ms", 1_000.0)
        _print_idle(topology, launcher, print_line)


def _print_idle(topology: Topology, launcher: Launcher, print_line: PrintLine) -> None:
    """Print the cost of an idle request role against the budget of 2.2% of a core and 256 MB."""
    pids = [launcher.pid(entry.name) for entry in topology.entries]
    before = [_read_processor(pid) for pid in pids]
    time.sleep(IDLE_WINDOW_S)
    spent = [
        (_read_processor(pid) - old) / IDLE_WINDOW_S for pid, old in zip(pids, before, strict=True)
    ]
    print_line("request_role_idle_processor", max(spent) * 1_000, "ms/s", 22.0)
    print_line("request_role_memory", max(map(_read_memory, pids)), "MB", 256.0)


def _read_processor(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _read_memory(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1_000_000


def _start(topology: Topology, folder: Path, launcher: Launcher) -> PrivateKey:
    """Start the platform and the daemons, and return the signer's key."""
    make_keys(folder)
    write_settings(topology, folder)
    listen = f"{topology.platform}:{PLATFORM_PORT}"
    launcher.start("platform", "standins.platform", ["--listen", listen])
    launcher.wait_ready("platform", f"{topology.platform_url}/counts")
    for entry in topology.entries:
        settings = str(settings_path(folder, entry, ROLE))
        launcher.start(entry.name, "toucanpin.daemon.main", ["--config", settings])
    for entry in topology.entries:
        launcher.wait_ready(entry.name, f"{entry.operators(ROLE)}/livez")
    time.sleep(SETTLE_TIME_S)
    return load_key(folder / "supervisor.key").ok


def _change(topology: Topology, key: PrivateKey, version: int, condition: str) -> float:
    """Submit one bundle under a condition and return the seconds until it is in force."""
    match condition:
        case "third_cut":
            cut = [f"{entry.name}/{ROLE}" for entry in topology.entries[-ENTRIES // 3 :]]
            _set_faults(topology, [{"effect": "down", "client": name} for name in cut])
        case "table_down":
            # Scans fail from now on while commits succeed: only the accepting process gets the
            # bundle from the table.
            _set_faults(topology, [{"effect": "down", "operation": "scan"}])
    entry = topology.entries[version % (ENTRIES // 3)]
    _submit(entry, key, version)
    time.sleep(SPREAD_WAIT_S)
    reached_at = [at for each in topology.entries for at in _read_instants(each, version)]
    if len(reached_at) != ENTRIES:
        raise RuntimeError(f"version {version} is in force at {len(reached_at)} processes only")
    return max(reached_at) - min(reached_at)


def _submit(entry: Entry, key: PrivateKey, version: int) -> None:
    """Submit one bundle."""
    service = Service("changeover", slots=1 + version)
    document = encode_bundle(Bundle(DEPLOYMENT, version, (service,)))
    signed = sign_bundle(SignedBundle(document, ()), key.id, key.key)
    body = msgspec.json.encode(SubmitRequest(version - 1, signed))
    answer = urllib3.request("POST", f"{entry.operators(ROLE)}/v1/bundle", body=body)
    if answer.status != 200:
        raise RuntimeError(f"version {version}: {answer.status} {answer.data!r}")


def _read_instants(entry: Entry, version: int) -> Iterator[float]:
    """Yield the wall time at which a version came into force at one process, if it did."""
    answer = urllib3.request("GET", f"{entry.operators(ROLE)}/v1/timeline")
    for event in _read_events(answer.data):
        ids = event.get("ids", {})
        if event["kind"] == "bundle.in-force" and ids.get("bundle") == str(version):
            yield event["wall"]
            return


def _read_events(data: bytes) -> Iterator[dict[str, Any]]:
    """Yield the events of a time line, one JSON document a line."""
    for line in data.splitlines():
        if line.strip():
            yield msgspec.json.decode(line)


def _set_faults(topology: Topology, rules: list[dict[str, str]]) -> None:
    """Set the faults of the platform."""
    body = msgspec.json.encode(rules)
    urllib3.request("PUT", f"{topology.platform_url}/faults", body=body)
