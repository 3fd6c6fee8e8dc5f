"""
One case: a store, minions, and entry hosts as separate processes with the deploy file's command,
on loopback addresses and the real clock.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.rig.http import request
from review.rig.minion import Minion, Work
from review.rig.store import PlatformStore

__all__ = ["BATCH_PREFIX", "PREFIX", "HeldError", "Rig", "play", "trouble"]

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("welshpool", "malaga", "osborne-park", "canning-vale")
SERVICE = "changeover-svc"
HOST = "nony24.example"
PREFIX = "/lohu930/"
BATCH_PREFIX = "/pufi791/"  # of a less urgent queue
RETRIES = 4  # of a consumer
FRONT, READINESS, CONTROL, STORE, CLOUD, ADVICE, MINION = 8161, 8167, 8166, 8169, 8170, 8171, 8080
# The settings of DEPLOY.md for the small site sceac-line, but for names and addresses.
SETTINGS = """\
nodeName=edge-{zone}-{number}
role=entry
machineClass=edge
serves=edge
ip={ip}
zone={zone}
region=perth-metro
listen.front={ip}:8161
listen.readiness={ip}:8167
listen.control={ip}:8166
internalPorts=7720,7735
seeds=
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
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseDelayS=2
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
advice=
platform.address={store}
platform.form=table
platform.writesPerS=800
platform.readsPerS=2000
platform.txnTimeoutMs=5.0
platform.partitionWritesS=200
platform.rowBytes=65536
platform.crossPartition=false
platform.historyS=20
platform.blobBytes=8388608
platform.blobMs=25.0
platform.blobMbS=80.0
cloudApi.address=
cloudApi.ratePerS=60.0
cloudApi.duties=
cloudApi.dutyPerS=60.0
"""


class HeldError(Exception):
    """Raised if a case couldn't run."""


def trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Rig:
    """The parts of one case, and the record of what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._record_file = (folder / "record.txt").open("w")
        self._began = time.monotonic()
        self.network = _find_network()
        self.store = PlatformStore(self.record)
        self.minions: list[Minion] = []
        self.work: dict[tuple[str, int], Work] = {}  # by job and step
        self.processes: list[subprocess.Popen] = []
        self.fronts: list[str] = []
        self._directory = Path(tempfile.mkdtemp(prefix="review-"))

    def record(self, text: str) -> None:
        print(f"{time.monotonic() - self._began:8.3f} {text}", file=self._record_file, flush=True)

    def address(self, kind: int, number: int = 0) -> str:
        return f"127.{self.network}.{kind}.{number + 1}"

    async def start(self, hosts: int, minions: list[tuple[str, ...]]) -> None:
        """Start all parts; ``minions`` are the labels of each minion: its kind and its rack."""
        await self.store.start(self.address(1), STORE)
        self._configure()
        for labels in minions:
            await self.add_minion(labels)
        for number in range(hosts):
            self._start_host(number)
        await self._wait_until_ready()

    async def add_minion(self, labels: tuple[str, ...]) -> Minion:
        number = len(self.minions)
        minion = Minion(
            self.store,
            SERVICE,
            self.address(3, number),
            MINION,
            ZONES[number % len(ZONES)],
            labels,
            self._find_work,
            self.record,
        )
        self.minions.append(minion)
        await minion.start()
        self.record(f"minion {minion.id} is up at {minion.host}, labels {labels}")
        return minion

    async def restart_minion(self, earlier: Minion) -> Minion:
        """Start a minion again at its address and under its id; it knows nothing of before."""
        minion = Minion(
            self.store,
            SERVICE,
            earlier.host,
            earlier.port,
            earlier.zone,
            earlier.labels,
            self._find_work,
            self.record,
            identifier=earlier.id,
        )
        self.minions.append(minion)
        await minion.start()
        self.record(f"minion {minion.id} is up again under its id")
        return minion

    def _find_work(self, task: str) -> Work:
        job, _, step, _ = task.split(".")
        return self.work[job, int(step)]

    def _configure(self) -> None:
        route = {
            "name": "r-wrr6x73",
            "host": HOST,
            "pathPrefix": PREFIX,
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "targetLatencyMs": 1000,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 2,
            "stretch": 2.0,
        }
        service = {
            "name": SERVICE,
            "healthPath": "/healthz",
            "maxConns": 64,
            "protocol": "h1",
            "tls": False,
            "rejectsOverload": True,
            "standby": False,
        }
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        batch = {"name": "r-d3zji9n", "pathPrefix": BATCH_PREFIX, "priority": 2}
        routes = [route, {**route, **batch}]
        document = {"version": 7, "routes": routes, "services": [service], "limits": limits}
        self.store.put("op", "config", json.dumps(document).encode())

    def _start_host(self, number: int) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        ip = self.address(2, number)
        settings = self._directory / f"host-{number}.conf"
        store = f"{self.address(1)}:{STORE}"
        zone = ZONES[number % len(ZONES)]
        settings.write_text(SETTINGS.format(zone=zone, number=number, ip=ip, store=store))
        log = (self._directory / f"host-{number}.log").open("w")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={
                **kept,
                "TOUCANPIN_NODE_FILE": str(settings),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.processes.append(process)
        self.fronts.append(f"{ip}:{FRONT}")
        self.record(f"host {number} starts at {ip}")

    async def _wait_until_ready(self) -> None:
        until = time.monotonic() + 20.0
        for number in range(len(self.fronts)):
            while True:
                if self.processes[number].poll() is not None:
                    raise HeldError(f"host {number} ended with {self.processes[number].poll()}")
                try:
                    probe = f"{self.address(2, number)}:{READINESS}"
                    if (await request(probe, "GET", "/readyz"))[0] == 200:
                        break
                except (OSError, TimeoutError):
                    pass
                if time.monotonic() > until:
                    raise HeldError(f"host {number} isn't ready within 20 s")
                await asyncio.sleep(0.1)
        self.record("all hosts are ready")

    def make_id(self) -> str:
        return secrets.token_hex(8)

    async def submit(
        self, pipeline: list[dict], work: list[Work], job: str = "", prefix: str = PREFIX
    ) -> str:
        """Hand a job in as a consumer does; return its id, empty if it wasn't accepted."""
        job = job or self.make_id()
        for number, needed in enumerate(work):
            self.work[job, number] = needed
        body = json.dumps({"spec": "reels", "pipeline": pipeline}).encode()
        for _ in range(RETRIES + 1):
            status, headers, _ = await self.call("POST", prefix + job, body)
            if 200 <= status < 300:
                return job
            await asyncio.sleep(float(headers.get("retry-after", "0.2")))
        return ""

    async def state(self, job: str) -> str:
        """Return the state that a host shows for a job, or the status of its answer."""
        status, _, body = await self.call("GET", PREFIX + job)
        return json.loads(body)["state"] if status == 200 else str(status)

    async def wait_for(self, job: str, states: tuple[str, ...], limit: float) -> str:
        """Ask for a job's state until it is one of ``states``, for ``limit`` s at most."""
        until = time.monotonic() + limit
        while True:
            state = await self.state(job)
            if state in states or time.monotonic() > until:
                return state
            await asyncio.sleep(0.5)

    async def call(
        self, method: str, path: str, body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a consumer's request to a host of its zone; the status is 0 without an answer."""
        front = random.choice(self.fronts)
        headers = {"Host": HOST, "X-Deadline-Ms": "3000"}
        try:
            answer = await request(front, method, path, body, headers, 3.0)
        except (OSError, TimeoutError) as error:
            self.record(f"{method} {path} at {front}: no answer, {error!r}")
            return 0, {}, b""
        self.record(f"{method} {path} at {front}: {answer[0]} {answer[2][:80].decode()}")
        return answer

    def read_logs(self, words: str, limit: int = 3) -> list[str]:
        """Return some lines of the hosts' logs that hold ``words``."""
        found = []
        for path in sorted(self._directory.glob("host-*.log")):
            lines = (line for line in path.read_text().splitlines() if words in line)
            found += [f"{path.stem}: {line.replace(str(ROOT), '.')[:900]}" for line in lines]
        return found[:limit]

    def count_logs(self, words: str) -> int:
        """Return how many lines of the hosts' logs hold ``words``."""
        return len(self.read_logs(words, 1_000_000))

    def kill(self, number: int) -> None:
        """Kill the process of a host."""
        self.record(f"host {number} is killed")
        self.processes[number].kill()

    def close(self) -> None:
        """End all that was started here."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        for minion in self.minions:
            minion.stop()
        self.store.stop()
        kept = os.environ.get("REVIEW_LOGS")
        if kept:
            shutil.copytree(self._directory, kept, dirs_exist_ok=True)
        shutil.rmtree(self._directory, ignore_errors=True)
        self._record_file.close()


def play(folder: Path, case: Callable[[Rig], Awaitable[bool]], limit: float = 110.0) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

    async def run() -> int:
        rig = Rig(folder)
        try:
            async with asyncio.timeout(limit):
                held = await case(rig)
            rig.record("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except (HeldError, TimeoutError, OSError) as error:
            rig.record(f"the case couldn't run: {error!r}")
            print(f"the case couldn't run: {error!r}", file=sys.stderr)
            return 2
        finally:
            rig.close()

    return asyncio.run(run())


def _find_network() -> int:
    """Return the second octet of 127.*.x.y of a network that nothing here listens on."""
    for number in random.sample(range(20, 250), 40):
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{number}.1.1", STORE))
            except OSError:
                continue
            return number
    raise HeldError("no free loopback network")
