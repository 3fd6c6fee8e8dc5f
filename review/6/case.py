"""A job whose progress doesn't fit a row of the store, beside ordinary ones."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.rig.checks import find_lost
from review.rig.minion import Work
from review.rig.rig import HeldError, Rig, play, trouble

HOSTS, MINIONS = 3, 24
LARGE = 2_400  # tasks of the large job; without the disruption it has 240
SMALL = Work(2_000, 4_000, 1.0)
PART = Work(200, 500, 2.7)


async def submit_small(rig: Rig) -> str:
    step = {"count": 4, "cpu": SMALL.cpu, "memMb": SMALL.memory, "estimateMs": 1_000}
    return await rig.submit([step], [SMALL])


async def submit_large(rig: Rig, count: int) -> str:
    step = {"count": count, "cpu": PART.cpu, "memMb": PART.memory, "estimateMs": 2_700}
    return await rig.submit([step], [PART])


async def case(rig: Rig) -> bool:
    await rig.start(HOSTS, [("a", f"r1-{number // 8}") for number in range(MINIONS)])
    first = await submit_small(rig)
    if await rig.wait_for(first, ("completed",), 10.0) != "completed":
        raise HeldError("an ordinary job isn't completed before the disruption")
    count = LARGE if trouble() else LARGE // 10
    large = await submit_large(rig, count)
    rig.record(f"the large job of {count} tasks is {large or 'refused'}")
    await asyncio.sleep(1.0)
    jobs = {job: (4, SMALL) for _ in range(10) if (job := await submit_small(rig))}
    if large:
        jobs[large] = (count, PART)
    rig.record(f"the traffic ends, {len(jobs)} jobs were accepted")
    lost = await find_lost(rig, jobs)
    rig.record(f"lost jobs: {len(lost)} of {len(jobs)}")
    rig.record(f"transactions that the store refused: {rig.store.refused}")
    rig.record(f"log lines 'owner failed': {rig.count_logs('owner failed')}")
    for line in rig.read_logs("owner failed", 1):
        rig.record(line)
    return not lost


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
