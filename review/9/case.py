"""A recurring job that is behind ends the process of each host that takes its cell: see claim.txt."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab3"))

from minions import Work  # noqa: E402
from site3 import Site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 3
MEMORY_MB = 300  # limits.memoryMb: "A process that exceeds memoryMb is killed"
RESTART_S = 1.0  # "restarted after a short delay"
WATCH_S = 70.0
ENDS, MACHINES = 3, 2  # the rule's: three ends in the day on two machines at least
COUNT, REPEATS, INTERVAL_MS = 100, 10_000, 60_000  # 100 tasks each minute for a week
JOB, PLAIN = "b" * 16, "c" * 15


def read_memory(pid: int) -> float:
    """Return the resident memory of a process in MB, 0 if it has ended."""
    try:
        text = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    line = next((it for it in text.splitlines() if it.startswith("VmRSS:")), "VmRSS: 0 kB")
    return int(line.split()[1]) * 1_024 / 1_000_000


async def guard(site: Site, ends: dict[int, int]) -> None:
    """Kill processes over their memory and start them again, as the platform does."""
    while True:
        await asyncio.sleep(0.1)
        for number, process in list(site.processes.items()):
            if process.poll() is not None:
                continue
            memory = read_memory(process.pid)
            if memory > MEMORY_MB:
                site.log("over-memory", host=number, mb=round(memory))
                ends[number] += 1
                site.signal_host(number, signal.SIGKILL)
                process.wait()
                asyncio.get_running_loop().call_later(RESTART_S, site.start_host, number)


async def run() -> int:
    site = Site(Path(__file__).resolve().parent / "record.txt", hosts=HOSTS)
    ends = dict.fromkeys(range(HOSTS), 0)
    guarding = None
    try:
        await site.start()
        for _ in range(8):
            await site.add_minion()
        for number in range(HOSTS):
            site.start_host(number)
        if not await site.wait_ready():
            return 2
        guarding = asyncio.ensure_future(guard(site, ends))
        await asyncio.sleep(3.0)
        idle = [round(read_memory(it.pid)) for it in site.processes.values()]
        site.log("memory", mb=idle)
        week = REPEATS * INTERVAL_MS
        start_at = int(time.time() * 1_000) - (week if TROUBLE else 0)
        step = {"count": COUNT, "cpu": 250, "memMb": 64, "estimateMs": 1_000}
        work = Work(lambda task: 1.0, cpu=250, mem=64)
        schedule = {"repeatCount": REPEATS, "startAtMs": start_at, "intervalMs": INTERVAL_MS}
        if not await site.submit(JOB, [step], work, **schedule):
            return 2
        until = time.monotonic() + WATCH_S
        number = unanswered = 0
        while time.monotonic() < until and not await reached(ends):
            await asyncio.sleep(2.0)
            number += 1
            body = {"spec": "plain", "pipeline": [{"count": 1, "cpu": 250, "memMb": 64}]}
            job = f"{PLAIN[:13]}{number:03x}"
            site.jobs[job] = Work(lambda task: 0.2, cpu=250, mem=64)
            status, _ = await site.request(number % HOSTS, "POST", job, body)
            unanswered += status == 0
        guarding.cancel()
        done = sum(e["what"] == "end" and e["how"] == "done" for e in site.events)
        refused = [(round(size / 1e6, 1), what) for _, what, size in site.table.refused[:2]]
        site.log(
            "summary", ends=ends, idle_mb=idle, tasks_done=done, plain_jobs=number,
            plain_unanswered=unanswered, refused_mb=refused,
        )
        print(json.dumps(site.events[-1]))
        if any(it.poll() is not None and not ends[n] for n, it in site.processes.items()):
            return 2
        return 1 if await reached(ends) else 0
    finally:
        if guarding is not None:
            guarding.cancel()
        await asyncio.sleep(RESTART_S + 0.2)  # a start that is due
        site.close()


async def reached(ends: dict[int, int]) -> bool:
    """Return whether processes of enough machines have ended often enough."""
    return sum(count >= ENDS for count in ends.values()) >= MACHINES


if __name__ == "__main__":
    began = time.monotonic()
    code = asyncio.run(run())
    print(f"exit {code} after {time.monotonic() - began:.0f} s")
    sys.exit(code)
