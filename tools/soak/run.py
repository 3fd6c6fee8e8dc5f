"""
Run
===

Play one seed: callers and faults, a calm time, then the end of all that was accepted.
"""

from __future__ import annotations

import asyncio
import random
import resource
import signal
import time
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from tools.soak.callers import Caller
from tools.soak.checker import Violation
from tools.soak.conductor import Conductor
from tools.soak.deployment import CRASHING_QUEUE, LASTING_QUEUE, Deployment
from tools.soak.events import Started, Troubled
from tools.soak.faults import Timed
from tools.soak.jobs import JobPlan, draw_crashing, draw_lasting
from tools.soak.plan import Size
from toucanpin.scheduling.job import TaskKey

__all__ = ["Outcome", "play"]

PROGRAM = ("-m", "toucanpin.entry")
READY_WITHIN = 60.0  # s until the first hosts answer, on a busy machine
LASTING = 2  # jobs whose tasks run until the end
LAG_LOOK = 0.1  # s between looks at how late this process is itself
LAG = 0.4  # s by which it may be late before answers are judged no more
ASK_AGAIN = 0.2  # s between questions for what isn't completed


@dataclass(frozen=True, slots=True)
class Outcome:
    """Hold what came of a seed."""

    seed: int
    violations: tuple[Violation, ...]
    begun: float
    took: float
    accepted: int
    completed: int
    starts: int
    events: int
    judged_counts: int
    processes: int
    cpu: float  # s of processor time of the entry processes


async def play(
    seed: int,
    plan: tuple[Timed, ...],
    size: Size,
    directory: Path,
    settle: float = 90.0,
    program: tuple[str, ...] = PROGRAM,
) -> Outcome:
    """Play a plan; ``settle`` is how long, in s, what was accepted may take after the faults."""
    site = Deployment(size, directory, program)
    # Told to end, this process must not leave those that it started behind.
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await _Run(seed, site, settle).play(plan)
    finally:
        await site.close()
        asyncio.get_running_loop().remove_signal_handler(signal.SIGTERM)


class _Run:
    def __init__(self, seed: int, site: Deployment, settle: float) -> None:
        self._seed = seed
        self._site = site
        self._settle = settle
        self._completed: set[str] = set()
        self._observer = self._make_caller(-1)

    async def play(self, plan: tuple[Timed, ...]) -> Outcome:
        started = time.monotonic()
        used = _children_time()
        await self._site.start()
        await self._submit_first()
        begun = time.monotonic()
        callers = [self._make_caller(number) for number in range(self._site.size.callers)]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        tasks.append(asyncio.ensure_future(self._measure_lag()))
        try:
            await Conductor(self._site).carry_out(plan)
            self._site.book.quiet = True
            await asyncio.sleep(self._site.size.calm)
            await self._site.add_late_workers()
            await self._finish()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._observer.close()
        self._site.checker.close()
        for host in self._site.hosts:
            host.finish()
        return self._conclude(begun, time.monotonic() - started, _children_time() - used)

    def _make_caller(self, number: int) -> Caller:
        random_ = random.Random(f"caller/{self._seed}/{number}")
        return Caller(self._site.hosts, self._site.book, self._site.record, random_)

    async def _submit_first(self) -> None:
        """Wait until hosts answer, with jobs that run for long and one that crashes workers."""
        lasting = random.Random(f"lasting/{self._seed}")
        crashing = random.Random(f"crashing/{self._seed}")
        draws = [partial(draw_lasting, lasting, LASTING_QUEUE) for _ in range(LASTING)]
        draws.append(partial(draw_crashing, crashing, CRASHING_QUEUE))
        given_up = time.monotonic() + READY_WITHIN
        while draws:
            if await self._observer.submit(draws[-1]()):
                draws.pop()
            elif time.monotonic() > given_up:
                self._complain("Ready", "no job was accepted at the beginning")
                return

    async def _measure_lag(self) -> None:
        """Tell of trouble whenever this process is late itself: what it sees is late then."""
        while True:
            due = time.monotonic() + LAG_LOOK
            await asyncio.sleep(LAG_LOOK)
            now = time.monotonic()
            if now > due + LAG:
                self._site.record(Troubled(now))

    async def _finish(self) -> None:
        """Wait until all that was accepted is completed and lasting tasks run."""
        given_up = time.monotonic() + self._settle
        while time.monotonic() < given_up:
            for job in tuple(self._open_jobs()):
                await self._look(job)
            if not any(self._open_jobs()) and not any(self._find_misplaced()):
                return
            await asyncio.sleep(ASK_AGAIN)
        for job in self._open_jobs():
            self._complain("Completed", f"job {job.id} of {job.queue} is not completed")
        for detail in self._find_misplaced():
            self._complain("Completed", detail)

    def _open_jobs(self) -> Iterator[JobPlan]:
        book = self._site.book
        for name in dict.fromkeys(book.accepted):
            over = name in self._completed or name in book.cancelled
            # One that crashes its workers has to end as failed, also if it would last.
            if not over and (book.jobs[name].crashing or not book.jobs[name].lasting):
                yield book.jobs[name]

    async def _look(self, job: JobPlan) -> None:
        value = await self._observer.ask_state(job)
        if value == "completed" or value == "failed":
            self._completed.add(job.id)

    def _find_misplaced(self) -> Iterator[str]:
        """Yield lasting tasks that don't run, and tasks of cancelled jobs that still do."""
        workers = (*self._site.workers, *self._site.extra_workers)
        running = {task for worker in workers if worker for task in worker.core.runs}
        book = self._site.book
        for name in dict.fromkeys(book.accepted):
            steps = book.jobs[name].steps
            lasts = book.jobs[name].lasting and not book.jobs[name].crashing
            for index in range(steps[0].count if lasts else 0):
                if TaskKey(name, 0, 0, index) not in running:
                    yield f"lasting task {name}.0.0.{index} does not run"
        for name in book.cancelled_for_good:
            if any(task.job == name for task in running):
                yield f"job {name} was cancelled and still runs"

    def _complain(self, check: str, detail: str) -> None:
        self._site.checker.violations.append(Violation(time.monotonic(), check, detail))

    def _conclude(self, begun: float, took: float, cpu: float) -> Outcome:
        checker = self._site.checker
        book = self._site.book
        return Outcome(
            seed=self._seed,
            violations=tuple(checker.violations),
            begun=begun,
            took=took,
            accepted=len(set(book.accepted)),
            completed=len(self._completed),
            starts=sum(isinstance(event, Started) for event in checker.events),
            events=len(checker.events),
            judged_counts=checker.judged_counts,
            processes=sum(host.life for host in self._site.hosts),
            cpu=cpu,
        )


def _children_time() -> float:
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime
