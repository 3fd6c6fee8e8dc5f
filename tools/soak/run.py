"""
Run
===

Play one seed: callers under faults, a time without faults, then the end of all accepted jobs.
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
from tools.soak.deployment import CRASHING_QUEUE, LONG_RUNNING_QUEUE, Deployment
from tools.soak.events import DisturbanceSeen, RunStarted
from tools.soak.faults import TimedFault
from tools.soak.injector import FaultInjector
from tools.soak.jobs import JobPlan, draw_crashing, draw_long_running
from tools.soak.plan import Size
from toucanpin.scheduling.job import TaskKey

__all__ = ["Outcome", "play"]

PROGRAM = ("-m", "toucanpin.entry")
READY_TIMEOUT_S = 60.0  # until the first hosts answer; generous for a busy machine
LONG_RUNNING_JOBS = 2
LAG_CHECK_PERIOD_S = 0.1  # between checks how late this process is
MAX_LAG_S = 0.4  # lag of this process beyond which its observations count as disturbed
POLL_PERIOD_S = 0.2  # between requests for the states of open jobs


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a seed."""

    seed: int
    violations: tuple[Violation, ...]
    started_at: float
    elapsed: float
    accepted: int
    completed: int
    starts: int
    events: int
    judged_counts: int
    processes: int
    cpu: float  # s of processor time of the entry processes


async def play(
    seed: int,
    plan: tuple[TimedFault, ...],
    size: Size,
    directory: Path,
    settle: float = 90.0,
    program: tuple[str, ...] = PROGRAM,
) -> Outcome:
    """Play a plan; ``settle`` is the time in s for accepted jobs to end after the faults."""
    deployment = Deployment(size, directory, program)
    # On SIGTERM this process must not leave behind the processes that it started.
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await _Run(seed, deployment, settle).play(plan)
    finally:
        await deployment.close()
        asyncio.get_running_loop().remove_signal_handler(signal.SIGTERM)


class _Run:
    def __init__(self, seed: int, deployment: Deployment, settle: float) -> None:
        self._seed = seed
        self._deployment = deployment
        self._settle = settle
        self._completed: set[str] = set()
        self._observer = self._make_caller(-1)

    async def play(self, plan: tuple[TimedFault, ...]) -> Outcome:
        started = time.monotonic()
        cpu_before = _children_time()
        await self._deployment.start()
        await self._submit_first()
        started_at = time.monotonic()
        callers = [self._make_caller(number) for number in range(self._deployment.size.callers)]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        tasks.append(asyncio.ensure_future(self._measure_lag()))
        try:
            await FaultInjector(self._deployment).run(plan)
            self._deployment.state.submissions_ended = True
            await asyncio.sleep(self._deployment.size.recovery)
            await self._deployment.add_late_workers()
            await self._finish()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._observer.close()
        self._deployment.checker.close()
        for host in self._deployment.hosts:
            host.finish()
        return self._make_outcome(
            started_at, time.monotonic() - started, _children_time() - cpu_before
        )

    def _make_caller(self, number: int) -> Caller:
        random_ = random.Random(f"caller/{self._seed}/{number}")
        return Caller(
            self._deployment.hosts, self._deployment.state, self._deployment.record, random_
        )

    async def _submit_first(self) -> None:
        """Submit the long-running jobs and one that crashes workers, until hosts accept them."""
        long_running = random.Random(f"lasting/{self._seed}")
        crashing = random.Random(f"crashing/{self._seed}")
        draws = [
            partial(draw_long_running, long_running, LONG_RUNNING_QUEUE)
            for _ in range(LONG_RUNNING_JOBS)
        ]
        draws.append(partial(draw_crashing, crashing, CRASHING_QUEUE))
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while draws:
            if await self._observer.submit(draws[-1]()):
                draws.pop()
            elif time.monotonic() > give_up_at:
                self._add_violation("Ready", "no job was accepted at the beginning")
                return

    async def _measure_lag(self) -> None:
        """Record a disturbance whenever this process lags, as its observations are then late."""
        while True:
            due = time.monotonic() + LAG_CHECK_PERIOD_S
            await asyncio.sleep(LAG_CHECK_PERIOD_S)
            now = time.monotonic()
            if now > due + MAX_LAG_S:
                self._deployment.record(DisturbanceSeen(now))

    async def _finish(self) -> None:
        """Wait until all accepted jobs have ended and the long-running tasks run."""
        give_up_at = time.monotonic() + self._settle
        while time.monotonic() < give_up_at:
            for job in tuple(self._open_jobs()):
                await self._poll_state(job)
            if not any(self._open_jobs()) and not any(self._find_stray_tasks()):
                return
            await asyncio.sleep(POLL_PERIOD_S)
        for job in self._open_jobs():
            self._add_violation("Completed", f"job {job.id} of {job.queue} is not completed")
        for detail in self._find_stray_tasks():
            self._add_violation("Completed", detail)

    def _open_jobs(self) -> Iterator[JobPlan]:
        state = self._deployment.state
        for name in dict.fromkeys(state.accepted):
            is_over = name in self._completed or name in state.cancelled
            # A job that crashes its workers has to fail, also if it is long-running.
            if not is_over and (state.jobs[name].crashing or not state.jobs[name].long_running):
                yield state.jobs[name]

    async def _poll_state(self, job: JobPlan) -> None:
        value = await self._observer.read_state(job)
        if value == "completed" or value == "failed":
            self._completed.add(job.id)

    def _find_stray_tasks(self) -> Iterator[str]:
        """Describe long-running tasks that don't run, and cancelled jobs that still do."""
        workers = (*self._deployment.workers, *self._deployment.extra_workers)
        running = {task for worker in workers if worker for task in worker.core.runs}
        state = self._deployment.state
        for name in dict.fromkeys(state.accepted):
            steps = state.jobs[name].steps
            long_running = state.jobs[name].long_running and not state.jobs[name].crashing
            for index in range(steps[0].count if long_running else 0):
                if TaskKey(name, 0, 0, index) not in running:
                    yield f"lasting task {name}.0.0.{index} does not run"
        for name in state.cancel_confirmed:
            if any(task.job == name for task in running):
                yield f"job {name} was cancelled and still runs"

    def _add_violation(self, check: str, detail: str) -> None:
        self._deployment.checker.violations.append(Violation(time.monotonic(), check, detail))

    def _make_outcome(self, started_at: float, elapsed: float, cpu: float) -> Outcome:
        checker = self._deployment.checker
        state = self._deployment.state
        return Outcome(
            seed=self._seed,
            violations=tuple(checker.violations),
            started_at=started_at,
            elapsed=elapsed,
            accepted=len(set(state.accepted)),
            completed=len(self._completed),
            starts=sum(isinstance(event, RunStarted) for event in checker.events),
            events=len(checker.events),
            judged_counts=checker.judged_counts,
            processes=sum(host.incarnation for host in self._deployment.hosts),
            cpu=cpu,
        )


def _children_time() -> float:
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime
