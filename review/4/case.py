"""Three standing jobs whose tasks fail soon after each start, beside jobs that are well."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.rig.checks import find_lost
from review.rig.minion import Work
from review.rig.rig import HeldError, Rig, play, trouble

HOSTS, MINIONS = 3, 12
STANDING_JOBS, STANDING_TASKS = 3, 12
FAILS_AFTER_S = 0.3  # from each start of a standing task
WORK = Work(1_000, 2_000, 6.0)
TASKS = 4  # of a job that is well
JOBS_BEFORE, JOBS_BESIDE = 10, 40
JOB_PERIOD_S = 0.3


async def submit(rig: Rig) -> str:
    step = {"count": TASKS, "cpu": WORK.cpu, "memMb": WORK.memory}
    job = await rig.submit([{**step, "estimateMs": int(WORK.seconds * 1_000)}], [WORK])
    if not job:
        raise HeldError("a job isn't accepted")
    return job


async def submit_standing(rig: Rig) -> str:
    work = Work(1_000, 2_000, 0.0, lasting=True, fails_after=FAILS_AFTER_S if trouble() else 0.0)
    step = {"count": STANDING_TASKS, "cpu": work.cpu, "memMb": work.memory}
    job = await rig.submit([{**step, "longRunning": True}], [work])
    rig.record(f"standing job {job}")
    return job


async def case(rig: Rig) -> bool:
    await rig.start(HOSTS, [("a", f"r1-{number // 6}") for number in range(MINIONS)])
    jobs: dict[str, tuple[int, Work]] = {}
    for number in range(JOBS_BEFORE + JOBS_BESIDE):
        due = time.monotonic() + JOB_PERIOD_S
        if number == JOBS_BEFORE:
            for _ in range(STANDING_JOBS):
                await submit_standing(rig)
        jobs[await submit(rig)] = (TASKS, WORK)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    rig.record(f"the traffic ends, {len(jobs)} jobs besides the standing ones were accepted")
    lost = await find_lost(rig, jobs, span=30.0)
    rig.record(f"lost jobs: {len(lost)} of {len(jobs)}")
    rig.record(f"distrusted minions, by the hosts' logs: {rig.count_logs('worker.doubted')}")
    for line in rig.read_logs("worker.doubted", 1):
        rig.record(line)
    return not lost


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
