"""One entry of another writer among those of the minions, with a field of another type."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.rig.checks import find_lost
from review.rig.minion import Work
from review.rig.rig import HeldError, Rig, play, trouble

HOSTS, MINIONS = 3, 12
DEPTH = 2_000  # of the lists in the entry, which has some 4 KB of the 64 KB of a row
WORK = Work(2_000, 4_000, 1.0)
OTHER_WRITERS_KEY = "i-00000000"


def make_entry() -> bytes:
    """Return an entry whose `born` is a list, not a number."""
    entry = {"service": "another", "address": "127.0.0.1:9", "zone": "welshpool", "seq": 1}
    born = "[" * DEPTH + "]" * DEPTH
    return json.dumps(entry).encode()[:-1] + f', "born": {born}}}'.encode()


async def submit(rig: Rig) -> str:
    step = {"count": 4, "cpu": WORK.cpu, "memMb": WORK.memory, "estimateMs": 1_000}
    return await rig.submit([step], [WORK])


async def case(rig: Rig) -> bool:
    await rig.start(HOSTS, [("a", f"r1-{number // 6}") for number in range(MINIONS)])
    first = await submit(rig)
    if await rig.wait_for(first, ("completed",), 10.0) != "completed":
        raise HeldError("a job isn't completed before the disruption")
    if trouble():
        rig.record(f"another writer puts servers/{OTHER_WRITERS_KEY}: {make_entry()[:120]!r}...")
        rig.store.put("servers", OTHER_WRITERS_KEY, make_entry())
    await asyncio.sleep(2.0)
    jobs = {job: (4, WORK) for _ in range(10) if (job := await submit(rig))}
    rig.record(f"the traffic ends, {len(jobs)} jobs were accepted")
    if not jobs:
        raise HeldError("no job was accepted, so none can be lost")
    lost = await find_lost(rig, jobs)
    rig.record(f"lost jobs: {len(lost)} of {len(jobs)}")
    rig.record(f"log lines 'owner failed': {rig.count_logs('owner failed')}")
    for line in rig.read_logs("owner failed", 1):
        rig.record(line)
    return not lost


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
