"""
Small deployment of this review
===============================

Entry hosts as processes of their own, started with the command of ``deploy/system.toml``, beside a
store, minions and callers in this process.  All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from http11 import call
from minions import Minion, Work
from table import Table

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "changeover-svc"
ROUTE_HOST = "line.example"
PREFIX = "/prep/"

# Bounds of sceac-line (SYSTEM.md), whose settings DEPLOY.md shows.
SETTINGS = """role=entry
machineClass=edge
serves=edge
region=perth-metro
bootstrap=true
faultCounted=false
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=virtual_ip
heartbeatMs=1100
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
faultTolerance.machines=2
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.recoveryS=12
bounds.maxHoldMs=10000
bounds.stopTimeoutMs=200
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.spreadFactor=3
bounds.checkpointS=1
bounds.restoreMs=250
bounds.noticeMs=4500
bounds.migrationS=1.5
bounds.maintenanceS=2
bounds.fencingEnforced=false
bounds.leaseMs=3000
bounds.thawMs=300
bounds.pacingMs=100
bounds.interferenceMs=4000
controlMode=invoke
platform.form=table
platform.writesPerS=800
platform.readsPerS=2000
platform.txnTimeoutMs=5.0
platform.partitionWritesS=200
platform.rowBytes=65536
platform.crossPartition=false
platform.historyS=20
"""


class Site:
    """A deployment; ``record`` writes lines of JSON into the case's record."""

    def __init__(self, record_path: Path, hosts: int = 3) -> None:
        self._record = record_path.open("w")
        self._began = time.monotonic()
        self.events: list[dict] = []
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = _find_network(hosts)
        self.table = Table(65_536)
        self.store = f"{self.net}.250:8169"
        self.hosts: list[str] = [f"{self.net}.{number + 1}" for number in range(hosts)]
        self.processes: dict[int, subprocess.Popen] = {}
        self.minions: list[Minion] = []
        self.jobs: dict[str, Work] = {}
        self.gangs: dict[tuple[str, int], set[str]] = {}
        self.extra_settings = ""
        self._minion_ports = 20_000
        self._lives = 0

    def now(self) -> float:
        return round(time.monotonic() - self._began, 3)

    def log(self, what: str, **fields: object) -> None:
        event = {"t": self.now(), "what": what, **fields}
        self.events.append(event)
        self._record.write(json.dumps(event) + "\n")

    async def start(self) -> None:
        await self.table.listen(self.store)
        self.configure(1)

    def configure(self, version: int, services: tuple[str, ...] = (SERVICE,), **route) -> None:
        """Write the configuration, as the operator does: one route, and the services."""
        routes = [
            {
                "name": "prep",
                "host": ROUTE_HOST,
                "pathPrefix": PREFIX,
                "service": SERVICE,
                "priority": 2,
                "maxAttempts": 2,
                "stretch": 2.0,
                "targetLatencyMs": 1_000,
                "timeoutMs": 3_000,
                **route,
            }
        ]
        limits = {"maxHeaderBytes": 16_384, "maxBodyBytes": 262_144}
        document = {
            "version": version,
            "routes": routes,
            "services": [{"name": name, "rejectsOverload": True} for name in services],
            "limits": limits,
        }
        self.table.put("op", "config", document)
        self.log("configured", version=version)

    def start_host(self, number: int) -> None:
        """Start a host's process with the deploy file's command."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        address = self.hosts[number]
        zones = ("welshpool", "malaga", "osborne-park", "canning-vale")
        lines = [f"nodeName=edge-{zones[number % 4]}-{number + 1}", f"ip={address}"]
        lines += [f"zone={zones[number % 4]}", f"listen.front={address}:8161"]
        lines += [f"listen.readiness={address}:8167", f"listen.control={address}:8166"]
        lines += ["internalPorts=7720,7735", f"platform.address={self.store}"]
        lines += [f"seeds={','.join(host + ':8166' for host in self.hosts[:3])}"]
        path = self.directory / f"host-{number}.conf"
        path.write_text("\n".join(lines) + "\n" + SETTINGS + self.extra_settings)
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "TOUCANPIN_NODE_FILE": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self.directory / f"host-{number}.log").open("ab")
        self.processes[number] = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.log("host-started", host=number)

    def signal_host(self, number: int, kind: signal.Signals) -> None:
        self.log("signal", host=number, kind=kind.name)
        self.processes[number].send_signal(kind)

    def host_log(self, number: int) -> str:
        return (self.directory / f"host-{number}.log").read_text(errors="replace")

    def used_share(self) -> float:
        """Return the share of all minions' cores that running tasks ask for."""
        alive = [minion for minion in self.minions if minion.alive]
        used = sum(run.work.cpu for minion in alive for run in minion.runs.values())
        return used / max(1, sum(minion.cpu for minion in alive))

    def owners(self) -> dict[str, tuple[int, int]]:
        """Return by cell the newest token and the host that took it, by the logs of the hosts."""
        found: dict[str, tuple[int, int]] = {}
        for number, process in self.processes.items():
            if process.poll() is not None:
                continue
            for line in self.host_log(number).splitlines():
                if '"cell.owned"' in line:
                    event = json.loads(line)
                    known = (int(event["token"]), number)
                    found[event["cell"]] = max(known, found.get(event["cell"], known))
        return found

    async def add_minion(
        self,
        name: str = "",
        address: str = "",
        service: str = SERVICE,
        kind_of: type[Minion] = Minion,
        **options: object,
    ) -> Minion:
        if not address:
            self._minion_ports += 1
            address = f"{self.net}.100:{self._minion_ports}"
        self._lives += 1
        name = name or f"i-{random.getrandbits(32):08x}"
        minion = kind_of(
            self.table, name, address, service, "welshpool", self.log, self.jobs, self.gangs,
            **options,
        )
        self.minions.append(minion)
        await minion.start()
        return minion

    async def wait_ready(self, timeout: float = 15.0) -> bool:
        until = time.monotonic() + timeout
        for number in self.processes:
            while (await call(f"{self.hosts[number]}:8167", "GET", "/readyz", timeout=1))[0] != 200:
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def request(
        self, host: int, method: str, identifier: str = "", body: dict | None = None,
        timeout: float = 3.0,
    ) -> tuple[int, dict]:
        """Send a caller's request and record it with its answer."""
        headers = {"Host": ROUTE_HOST, "X-Deadline-Ms": str(int(timeout * 1_000))}
        sent = self.now()
        content = b"" if body is None else json.dumps(body).encode()
        status, answer = await call(
            f"{self.hosts[host]}:8161", method, PREFIX + identifier, content, headers, timeout
        )
        known = json.loads(answer) if answer[:1] == b"{" else {}
        self.log(
            "request", host=host, method=method, id=identifier, sent=sent, status=status, got=known
        )
        return status, known

    async def submit(
        self, identifier: str, steps: list[dict], work: Work, tries: int = 4, **fields: object
    ) -> bool:
        """Hand a job in, as a consumer does: again after no answer or a refusal."""
        self.jobs[identifier] = work
        body = {"spec": f"spec of {identifier}", "pipeline": steps, **fields}
        live = [number for number, it in self.processes.items() if it.poll() is None]
        for number in range(tries):
            status, _ = await self.request(live[number % len(live)], "POST", identifier, body)
            if 200 <= status < 300:
                return True
            if status in (404, 400):
                return False
            await asyncio.sleep(1.0)
        return False

    def close(self) -> None:
        """End all that was started here."""
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for minion in self.minions:
            if minion.alive:
                minion.crash()
        for number, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._record.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.directory, ignore_errors=True)
        else:
            print(self.directory)


def _find_network(hosts: int) -> str:
    """Return the first three numbers of loopback addresses on which all ports used are free."""
    while True:
        net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        wanted = [(f"{net}.{n + 1}", port) for n in range(hosts) for port in (8161, 8167, 9464, 7720)]
        wanted += [(f"{net}.250", 8169), (f"{net}.240", 8169), (f"{net}.100", 20_001)]
        try:
            for address in wanted:
                with socket.socket() as probe:
                    probe.bind(address)
        except OSError:
            continue
        return net
