"""A lasting task waits for 23 s after its minion's next life has crashed too: see claim.txt."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab3"))

from minions import Minion, Work  # noqa: E402
from site3 import Site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MINIONS = 10
DOWN_S = 1.0  # between the minion's end and its next life
UP_S = 0.1  # for which the next life is up
WATCH_S = 30.0
# From 6 s after its last run a task may be idle for 3 s, if these and the 4 s before are calm.
FROM_S, STILL_S, CALM_S = 6.0, 3.0, 4.0
JOB = "a" * 16


class DeafMinion(Minion):
    """A minion that leaves the first start of each task unanswered, and doesn't carry it out."""

    heard: set[str]

    async def _answer_call(self, method, path, headers, body):
        if path == "/run-start":
            self.heard = getattr(self, "heard", set())
            task = json.loads(body)["task"]
            if task not in self.heard:
                self.heard.add(task)
                self._log("start-unanswered", minion=self.name, task=task)
                await asyncio.sleep(60)
                return None
        return await super()._answer_call(method, path, headers, body)


async def run() -> int:
    site = Site(Path(__file__).resolve().parent / "record.txt", hosts=3)
    try:
        await site.start()
        for _ in range(MINIONS):
            await site.add_minion(kind_of=DeafMinion if TROUBLE else Minion)
        for number in range(3):
            site.start_host(number)
        if not await site.wait_ready():
            return 2
        await asyncio.sleep(3.0)
        work = Work(lambda task: 1e9, lasting=True, cpu=1_000, mem=256)
        step = {"count": 1, "cpu": 1_000, "memMb": 256, "longRunning": True}
        if not await site.submit(JOB, [step], work):
            return 2
        began = time.monotonic()
        while not any(minion.runs for minion in site.minions):
            await asyncio.sleep(0.05)
            if time.monotonic() > began + 8.0:
                return 2
        await asyncio.sleep(3.0)
        for minion in site.minions:
            minion.heard = {f"{JOB}.0.0.0"}  # the disruption is over
        minion = next(minion for minion in site.minions if minion.runs)
        crashed_at = calm_from = site.now()
        if TROUBLE:
            minion.crash()
            await asyncio.sleep(DOWN_S)
            second = await site.add_minion(minion.name, minion.address)  # under its id
            await asyncio.sleep(UP_S)
            second.crash()  # for good
            calm_from = site.now()
            await asyncio.sleep(3.3)
            site.table.put("servers", minion.name, None)  # three reports are missing
        await asyncio.sleep(WATCH_S)
        end = site.now()
        again = [e["t"] for e in site.events if e["what"] == "start" and e["t"] > crashed_at]
        begins = max(crashed_at + FROM_S, calm_from + CALM_S)
        idle = (again[0] if again else end) - begins if TROUBLE else 0.0
        runs_now = any(it.runs for it in site.minions)
        site.log(
            "summary", crashed_at=crashed_at, calm_from=calm_from, started_again=again,
            after_s=round((again[0] if again else end) - crashed_at, 2),
            idle_beyond_bound_s=round(idle, 2), runs_now=runs_now,
        )
        print(json.dumps(site.events[-1]))
        if idle > STILL_S:
            return 1
        return 0 if runs_now else 2
    finally:
        site.close()


if __name__ == "__main__":
    began = time.monotonic()
    code = asyncio.run(run())
    print(f"exit {code} after {time.monotonic() - began:.0f} s")
    sys.exit(code)
