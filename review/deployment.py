"""
A small deployment: entry hosts by the deploy file's command, a store, minions and an operator.

All addresses are of 127.0.0.0/8; each entry host has one of its own, since the command of the
deploy file names the port of the metrics.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import wire
from minion import Minion, Shared
from store import ROW_BYTES, Store

ROOT = Path(__file__).resolve().parents[1]
SERVICE = "library"
HOST = "nony24.example"
PREFIX = "/lohu930/"
ZONES = ("nne-casco", "nne-kennebec", "nne-seacoast", "nne-whitemtn")
METRICS_PORT = 9_464
KEPT = ("PATH", "HOME", "JAVA_HOME", "LANG")  # of the caller's environment, by DEPLOY.md


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def __call__(self, what: str, /, **fields: object) -> None:
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {words}\n")
        self._file.flush()


class Site:
    """The deployment."""

    def __init__(
        self, record: Record, hosts: int = 6, minions: int = 24, kinds: dict[int, str] | None = None
    ) -> None:
        self.record = record
        self.store = Store(record)
        self.shared = Shared()
        self.network = _find_network(hosts)
        self.fronts: list[str] = []
        self.processes: list[subprocess.Popen[bytes]] = []
        self.minions = [self._make_minion(n, (kinds or {}).get(n, "a")) for n in range(minions)]
        self._count = hosts
        self._folder = tempfile.TemporaryDirectory()
        self._store_port = 0

    async def add_minion(self, number: int, kind: str) -> Minion:
        """Start a minion of a kind, in the place of the one with this number."""
        minion = self.minions[number] = self._make_minion(number, kind)
        await minion.start(f"{self.network}.201")
        self.record("minion starts", minion=minion.id, kind=kind)
        return minion

    def _make_minion(self, number: int, kind: str) -> Minion:
        zone, rack = ZONES[number % 4], f"r{number % 4}-{number // 6}"
        return Minion(self.store, self.record, self.shared, SERVICE, zone, rack, kind=kind)

    async def start(self) -> None:
        self._store_port = await self.store.listen(f"{self.network}.200")
        self.store.put("op", "config", self.configuration())
        for minion in self.minions:
            await minion.start(f"{self.network}.201")
        for number in range(self._count):
            self._start_host(number)

    def configuration(self) -> dict:
        route = {
            "name": "master-pass",
            "host": HOST,
            "pathPrefix": PREFIX,
            "service": SERVICE,
            "priority": 0,
            "maxAttempts": 3,
            "stretch": 2.0,
            "targetLatencyMs": 1_000,
            "timeoutMs": 3_000,
        }
        return {
            "version": 7,
            "routes": [route],
            "services": [{"name": SERVICE, "rejectsOverload": True}],
            "limits": {"maxBodyBytes": 262_144},
        }

    async def close(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for minion in self.minions:
            await minion.close()
        await self.store.close()
        self._folder.cleanup()

    async def wait_ready(self, limit_s: float = 15.0) -> bool:
        """Wait until each host answers its readiness probe with 200."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            probes = [self._probe(number) for number in range(self._count)]
            if all(await asyncio.gather(*probes)):
                return True
            await asyncio.sleep(0.2)
        return False

    async def _probe(self, number: int) -> bool:
        address = self.fronts[number].replace(":8161", ":8167")
        answer = await wire.call(address, "GET", "/readyz", wait_s=1.0)
        return answer is not None and answer.status == 200

    async def submit(
        self, job: str, steps: list[dict], lengths: list[int], host: int, **options: Any
    ) -> int:
        """Submit a job; return the status of the answer, 0 without one."""
        for number, step in enumerate(steps):
            self.shared.steps[job, number] = step
        body = {"spec": " ".join(map(str, lengths)), "pipeline": steps}
        tasks = sum(step["count"] for step in steps)
        return await self.ask("POST", job, host, body, tasks=tasks, **options)

    async def ask(
        self,
        method: str,
        job: str,
        host: int,
        body: object = None,
        wait_s: float | None = None,
        **noted: object,
    ) -> int:
        """Send a consumer's request; return the status of the answer, 0 without one."""
        return (await self.ask_for(method, job, host, body, wait_s, **noted))[0]

    async def ask_for(
        self,
        method: str,
        job: str,
        host: int,
        body: object = None,
        wait_s: float | None = None,
        **noted: object,
    ) -> tuple[int, str]:
        """Send a consumer's request; return the status, 0 without an answer, and the state."""
        sent = self.record.now()
        front = self.fronts[host % self._count]
        answer = await wire.call(front, method, PREFIX + job, body, HOST, wait_s=wait_s)
        status = answer.status if answer is not None else 0
        state = ""
        if answer is not None and method == "GET" and status == 200:
            state = answer.json().get("state", "")
        self.record(
            "consumer",
            sent=f"{sent:.3f}",
            method=method,
            job=job,
            host=host % self._count,
            **noted,
            answer=status or "none",
            state=state or "-",
        )
        return status, state

    def _start_host(self, number: int) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        address = f"{self.network}.{number + 1}"
        self.fronts.append(f"{address}:8161")
        settings = Path(self._folder.name) / f"node-{number}.conf"
        settings.write_text(self._write_settings(number, address))
        environment = {name: os.environ[name] for name in KEPT if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["TOUCANPIN_NODE_FILE"] = str(settings)
        with (Path(self._folder.name) / f"node-{number}.log").open("wb") as log:
            self.processes.append(
                subprocess.Popen(
                    [sys.executable, *command[1:]],
                    cwd=ROOT,
                    env=environment,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=subprocess.STDOUT,
                )
            )

    def logs(self) -> list[str]:
        """Return the lines that the hosts have written."""
        lines = []
        for number in range(self._count):
            path = Path(self._folder.name) / f"node-{number}.log"
            text = path.read_text().replace(str(ROOT), "")
            lines += [f"host {number}: {line}" for line in text.splitlines()]
        return lines

    def _write_settings(self, number: int, address: str) -> str:
        zone = ZONES[number % 4]
        lines = [
            f"nodeName=edge-{zone}-{number // 4 + 1}",
            "role=entry",
            "machineClass=edge",
            "serves=edge",
            f"ip={address}",
            f"zone={zone}",
            "region=nne",
            *(f"zones.{name}=nne" for name in ZONES),
            f"listen.front={address}:8161",
            f"listen.readiness={address}:8167",
            "internalPorts=7720,7735",
            "bootstrap=true",
            "limits.cpuShare=0.537",
            "limits.cores=2",
            "limits.memoryMb=300",
            "limits.maxFds=4100",
            "discovery=platform",
            "entry=virtual_ip",
            "heartbeatMs=1500",
            *(f"bounds.{name}={value}" for name, value in BOUNDS.items()),
            "controlMode=invoke",
            f"platform.address={self.network}.200:{self._store_port}",
            "platform.form=table",
            "platform.writesPerS=600",
            "platform.readsPerS=2000",
            "platform.txnTimeoutMs=5.0",
            "platform.partitionWritesS=200",
            f"platform.rowBytes={ROW_BYTES}",
            "platform.crossPartition=false",
            "platform.historyS=20",
        ]
        return "\n".join(lines) + "\n"


# Of the site file sites/swh-toucanpin.toml, as SYSTEM.md gives them.
BOUNDS = {
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "maxStretchMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": 10000,
    "stopTimeoutMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "spreadFactor": 2,
    "checkpointS": 2,
    "restoreMs": 100,
    "noticeMs": 4500,
    "migrationS": 1.5,
    "maintenanceS": 2,
    "fencingEnforced": "false",
    "leaseMs": 3000,
    "thawMs": 300,
    "pacingMs": 100,
    "interferenceMs": 4000,
}


def _find_network(hosts: int) -> str:
    """Return the first three numbers of loopback addresses on which the ports are free."""
    for _ in range(50):
        network = f"127.{random.randrange(60, 120)}.{random.randrange(1, 250)}"
        try:
            for number in range(hosts):
                for port in (8_161, 8_167, 7_720, METRICS_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{number + 1}", port))
            return network
        except OSError:
            continue
    raise OSError("no free loopback network")


def run_case(
    case: Callable[[Record, bool], Coroutine[Any, Any, list[str] | None]], folder: Path
) -> int:
    """Run a case with or without its trouble; return the exit code of the script."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", folder=folder.name, trouble=int(trouble))
    try:
        broken = asyncio.run(case(record, trouble))
    except Exception as error:  # the case couldn't run, whatever stopped it
        record("case failed", error=repr(error))
        print(f"couldn't run: {error!r}", file=sys.stderr)
        return 2
    if broken is None:
        record("case couldn't run")
        return 2
    record("rule broken" if broken else "rule held")
    print("rule broken:" if broken else "rule held", broken or "")
    return 1 if broken else 0
