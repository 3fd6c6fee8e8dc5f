"""Check of the rule LOST as RULES.md words it, by what minions, consumers and the platform see."""

from __future__ import annotations

import asyncio
import time

from review.rig.minion import Work
from review.rig.rig import Rig

__all__ = ["FINISH_S", "find_lost"]

FINISH_S = 14.0  # bounds.finish_s
STANDSTILL_S = 3.0
SAMPLE_S = 0.05
ENDED = ("completed", "failed", "canceled")


async def find_lost(rig: Rig, jobs: dict[str, tuple[int, Work]], span: float = 4.0) -> list[str]:
    """
    Return the jobs that are lost, asked ``FINISH_S`` after the end of the traffic.

    ``jobs`` has the number of tasks and the work of each accepted job of one step, whose turn has
    come with its acceptance.  A job is lost if it isn't known or gets no answer in time; or if it
    has not ended and for 3 s nothing of it runs, though there is capacity for it twice over and
    under half of the service's capacity is in use.
    """
    await asyncio.sleep(FINISH_S)
    lost, open_jobs = [], {}
    for job, needed in jobs.items():
        state = await rig.state(job)
        if state not in (*ENDED, "pending", "active"):
            rig.record(f"job {job} is asked for: {state}")
            lost.append(job)
        elif state not in ENDED:
            open_jobs[job] = needed
    idle_since = dict.fromkeys(open_jobs, time.monotonic())
    idle_for = dict.fromkeys(open_jobs, 0.0)
    until = time.monotonic() + span
    while open_jobs and time.monotonic() < until:
        await asyncio.sleep(SAMPLE_S)
        now = time.monotonic()
        up = [minion for minion in rig.minions if minion.up]
        running = {task.split(".")[0] for minion in up for task in minion.runs}
        total = sum(minion.cpu for minion in up)
        used = sum(run.work.cpu for minion in up for run in minion.runs.values())
        for job, (count, work) in open_jobs.items():
            fits = sum(minion.count_fitting(work) for minion in up) >= 2 * count
            if job in running or used * 2 >= total or not fits:
                idle_since[job] = now
            idle_for[job] = max(idle_for[job], now - idle_since[job])
    for job, longest in idle_for.items():
        if longest < STANDSTILL_S or await rig.state(job) in ENDED:
            continue
        rig.record(f"job {job} isn't ended, and has had nothing running for {longest:.1f} s")
        lost.append(job)
    return lost
