"""
Demonstration on the users' platform
====================================

Run jobs of several tasks on three entry hosts, four workers and a store, and kill the owner of
their cell in the middle.
"""

from __future__ import annotations

import asyncio
import sys

import logbook
import msgspec

from standins.site.site import PREFIX, Site

__all__ = ["main"]

JOBS = 12
LONG_RUNNING_JOB = "00000000000000ff"
STEPS = (
    {"count": 3, "cpu": 500, "memMb": 64, "estimateMs": 300},
    {"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 300, "after": [0], "checkpointing": True},
)


async def demonstrate() -> list[str]:
    """Run the demonstration and return a description of each error."""
    site = Site()
    site.configure()
    errors = []
    try:
        for _ in range(3):
            await site.add_host()
        for _ in range(4):
            await site.add_worker(duration=0.3)
        for number in range(3):
            if not await site.wait_until_ready(number):
                errors.append(f"host {number} isn't ready")
        await site.submit(LONG_RUNNING_JOB, longRunning=True)
        names = [f"{number:016x}" for number in range(1, JOBS + 1)]
        for number, name in enumerate(names):
            body = msgspec.json.encode({"spec": name, "pipeline": STEPS})
            answer = await site.call("POST", PREFIX + name, body, number % 3)
            if answer.status != 200:
                errors.append(f"job {name} was answered {answer.status}")
        if not await site.wait_until(lambda: any(worker.core.starts for worker in site.workers)):
            errors.append("nothing was started")
        owner = next(n for n, host in enumerate(site.hosts) if host.owned_cells())
        await site.hosts[owner].abort()
        other = (owner + 1) % 3
        for name in names:
            if not await site.wait_for_state("completed", name, other):
                errors.append(f"job {name} isn't completed")
        if not await site.wait_for_state("active", LONG_RUNNING_JOB, other):
            errors.append("the lasting task isn't active")
        starts = [task for worker in site.workers for task, _ in worker.core.starts]
        expected = JOBS * sum(step["count"] for step in STEPS)  # type: ignore[misc]
        finished = {task for task in starts if task.job != LONG_RUNNING_JOB}
        if len(finished) != expected:
            errors.append(f"{len(finished)} tasks were started in place of {expected}")
        print(f"{JOBS} jobs, {expected} tasks, {len(starts)} starts; owner killed: host {owner}")
    finally:
        await site.close()
    return errors


def main() -> int:
    """Run the demonstration; return 1 if there was any error."""
    with logbook.NullHandler().applicationbound():
        errors = asyncio.run(demonstrate())
    for error in errors:
        print("wrong:", error)
    print("the users' platform:", "wrong" if errors else "right")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
