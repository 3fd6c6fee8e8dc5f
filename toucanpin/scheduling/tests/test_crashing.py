"""Tasks that crash every worker that runs them, and workers that crash for other reasons."""

from __future__ import annotations

import dataclasses
import unittest
from collections import Counter
from random import Random

from standins.site.worker_core import WorkerCore
from toucanpin.scheduling.crashing import fail_crashing_jobs
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.progress_rows import encode_progress
from toucanpin.scheduling.suspicion import (
    MAX_CRASHES_AT_START,
    MIN_PROOF_CRASHES,
    NEW_WORKER_PERIOD_S,
)
from toucanpin.scheduling.tests.fleet import TIME_STEP_S, Fleet, make_job

# A task is started at most twice more after it has crashed three workers.
MAX_STARTS = 5
# By seed, the share of the workers that crash, with which probability in each half second, and for
# how long tasks run in s.
STORMS = ((1, 0.3, 0.3, 1.4), (0, 0.6, 0.3, 1.4), (0, 1.0, 0.15, 1.4), (1, 0.3, 0.3, 3.0))
STORM_PERIOD_S = 0.5
MAX_TIME_S = 400.0


def _runs(worker: WorkerCore, job: str) -> bool:
    return any(task.job == job for task in worker.runs)


def _crash_holders(
    fleet: Fleet, every: float, at: float = 0.0, crashes: int = 100, replaces_owner: bool = False
) -> int:
    """
    Restart the worker of a task that resumes, ``every`` s after a start or ``at`` s of its work.

    Return how many workers were restarted until the job ended.
    """
    saved: dict[TaskKey, float] = {}
    count = 0
    while not JobState(fleet.state("j1")).ended and fleet.time < MAX_TIME_S:
        for worker in fleet.workers.values():
            worker.duration, worker.checkpoint_every, worker.saved_work = 45.0, 1.0, saved
        fleet.run(TIME_STEP_S)
        for name, worker in list(fleet.workers.items()):
            for run in worker.runs.values():
                worked = fleet.clock(name) - run.started
                if count < crashes and (worked > every or 0 < at < run.resumed + worked):
                    fleet.restart(name)
                    count += 1
                    fleet.run(TIME_STEP_S)
                    if replaces_owner:
                        fleet.replace_owner()
    return count


def _play_storm(
    random: Random, share: float, chance: float, duration: float, crashing_jobs: int = 0
) -> Fleet:
    """Run jobs on workers that crash and restart under their names for 26 s, and end them."""
    fleet = Fleet(workers=24, cpu=8_000)
    fleet.keeps_names = True
    unstable = [name for name in fleet.workers if random.random() < share]
    for number in range(5):
        step = Step(count=4, cpu=1_000, long_running=True)
        fleet.submit(make_job(f"long{number}", (step,), max_failures=4))
    for number in range(52):
        if number % 15 == 5 and len(fleet.crashing) < crashing_jobs:
            fleet.crashing.add(TaskKey(f"bad{number}", 0, 0, 0))
            fleet.submit(make_job(f"bad{number}", (Step(count=3, cpu=500),), max_failures=4))
        steps = (Step(count=4, cpu=1_000), Step(count=4, cpu=1_500, after=(0,)))
        fleet.submit(make_job(f"j{number}", steps[: 1 + number % 2], max_failures=4))
        for name in unstable:
            if name in fleet.workers and random.random() < chance:
                fleet.restart(name)
        for worker in fleet.workers.values():
            worker.duration = duration
        fleet.run(STORM_PERIOD_S)
    fleet.run(20.0)
    return fleet


class CrashingTaskTest(unittest.TestCase):
    def test_task_that_crashes_every_worker_fails(self) -> None:
        """Guards against crash loops: a task that crashes its worker right after each start."""
        fleet = Fleet(workers=8)
        fleet.crashing = {TaskKey("bad", 0, 0, 1)}
        fleet.submit(make_job("bad", (Step(count=2, cpu=1_000),), max_failures=2))
        fleet.run(60.0)
        self.assertLessEqual(len(fleet.crashes), MAX_STARTS)
        self.assertEqual(JobState.FAILED, fleet.state("bad"))

    def test_task_that_crashes_every_worker_later_fails(self) -> None:
        """Guards against crash loops of tasks that run for a while before their workers crash."""
        fleet = Fleet(workers=8)
        for worker in fleet.workers.values():
            worker.duration = 4.0
        fleet.submit(make_job("bad", max_failures=2))
        crashes = 0
        for _ in range(120):
            fleet.run(0.5)
            for name, worker in list(fleet.workers.items()):
                if any(run.started < fleet.time - 2.0 for run in worker.runs.values()):
                    fleet.crash(name)
                    crashes += 1
        self.assertLessEqual(crashes, MAX_STARTS)
        self.assertEqual(JobState.FAILED, fleet.state("bad"))

    def test_long_running_task_that_crashes_every_worker_fails(self) -> None:
        """
        Guards against crash loops of long-running tasks, which are restarted however they end.
        """
        fleet = Fleet(workers=8)
        fleet.crashing = {TaskKey("bad", 0, 0, 0)}
        fleet.submit(make_job("bad", (Step(count=2, cpu=1_000, long_running=True),)))
        fleet.run(60.0)
        self.assertLessEqual(len(fleet.crashes), MAX_STARTS)
        self.assertEqual(JobState.FAILED, fleet.state("bad"))

    def test_copies_of_a_task_share_the_crash_limit(self) -> None:
        """
        Guards against copies that are started before the loss of the first one's worker is known.
        """
        fleet = Fleet(workers=12)
        fleet.crashing = {TaskKey("bad", 0, 0, 0)}
        fleet.submit(make_job("bad", (Step(cpu=1_000, speculative=True),), max_failures=2))
        fleet.run(60.0)
        self.assertLessEqual(Counter(fleet.crashes)[TaskKey("bad", 0, 0, 0)], MAX_STARTS)
        self.assertEqual(JobState.FAILED, fleet.state("bad"))

    def test_gang_with_a_crashing_member_fails(self) -> None:
        """Guards against gangs of which one member crashes a worker at each attempt."""
        fleet = Fleet(workers=8)
        for worker in fleet.workers.values():
            worker.duration = 100.0
        fleet.crashing = {TaskKey("bad", 0, 0, 2)}
        fleet.submit(make_job("bad", (Step(count=3, cpu=1_000, gang=True),), max_failures=2))
        fleet.run(60.0)
        self.assertLessEqual(len(fleet.crashes), MAX_STARTS)
        self.assertEqual(JobState.FAILED, fleet.state("bad"))

    def test_crash_counts_survive_owner_changes(self) -> None:
        """Guards against counts that start again from zero with each owner."""
        fleet = Fleet(workers=12)
        fleet.crashing = {TaskKey("bad", 0, 0, 0)}
        fleet.submit(make_job("bad"))
        for _ in range(8):
            known = len(fleet.crashes)
            while len(fleet.crashes) == known and fleet.state("bad") != JobState.FAILED:
                fleet.run(0.1)
            fleet.run(0.3)
            fleet.replace_owner()
        self.assertLessEqual(len(fleet.crashes), MAX_STARTS)
        self.assertEqual(JobState.FAILED, fleet.state("bad"))

    def test_neighbours_of_a_crashing_task_do_not_fail(self) -> None:
        """Guards against failing tasks that are repeatedly lost with a crashing task."""
        for long_running in (False, True):
            with self.subTest(long_running=long_running):
                fleet = Fleet(workers=4, cpu=16_000)
                for worker in fleet.workers.values():
                    worker.duration = 4.0
                fleet.crashing = {TaskKey("bad", 0, 0, 0)}
                step = Step(cpu=1_000, long_running=long_running)
                names = [f"good{number}" for number in range(24)]
                for name in names:
                    fleet.submit(make_job(name, (step,)))
                fleet.submit(make_job("bad", (step,)))
                fleet.run(40.0)
                self.assertEqual(JobState.FAILED, fleet.state("bad"))
                expected = JobState.ACTIVE if long_running else JobState.COMPLETED
                self.assertEqual({expected}, {JobState(fleet.state(name)) for name in names})

    def test_tasks_that_crash_workers_are_known_while_others_crash_anyway(self) -> None:
        """Guards against crash loops that hide among workers that crash on their own."""
        for seed, share in ((0, 0.3), (1, 0.6), (2, 0.1)):
            with self.subTest(seed=seed, share=share):
                fleet = _play_storm(Random(seed), share, 0.3, 1.4, crashing_jobs=3)
                fleet.run(40.0)
                counts = Counter(fleet.crashes)
                self.assertEqual(3, len(counts))
                self.assertLessEqual(max(counts.values()), MAX_STARTS)
                failed = {job for job in fleet.jobs if fleet.state(job) == JobState.FAILED}
                self.assertEqual({task.job for task in fleet.crashing}, failed)

    def test_tasks_that_crash_workers_together_are_both_known(self) -> None:
        """
        Guards against a task that crashes workers beside another such task, whose failure would
        discard its losses.
        """
        fleet = Fleet(workers=12, cpu=8_000)
        fleet.crashing = {TaskKey(f"bad{number}", 0, 0, 0) for number in range(3)}
        for number in range(3):
            fleet.submit(make_job(f"bad{number}", (Step(cpu=500),)))
        fleet.run(60.0)
        counts = Counter(fleet.crashes)
        self.assertLessEqual(max(counts.values()), MAX_STARTS)
        for number in range(3):
            self.assertEqual(JobState.FAILED, fleet.state(f"bad{number}"))

    def test_losses_explained_by_another_task_are_discarded(self) -> None:
        """
        Guards against failing a task that was lost with a crashing task, and once more by chance.
        """
        fleet = Fleet(workers=8, cpu=8_000)
        for worker in fleet.workers.values():
            worker.duration = 100.0
        fleet.crashing = {TaskKey("bad", 0, 0, 0)}
        fleet.submit(make_job("good", (Step(count=3, cpu=500, long_running=True),)))
        fleet.submit(make_job("bad", (Step(cpu=500),)))
        while len(fleet.crashes) < MAX_CRASHES_AT_START:
            fleet.run(0.05)
        fleet.run(0.5)
        record, *_ = fleet.cell.jobs["good"].progress.tasks[0]
        fleet.crash(record.worker)
        fleet.run(10.0)
        self.assertEqual(JobState.FAILED, fleet.state("bad"))
        self.assertEqual(JobState.ACTIVE, fleet.state("good"))

    def test_resumed_task_that_crashes_every_worker_fails(self) -> None:
        """Guards against crash loops of tasks that save some work before each crash."""
        for every, at in ((0.5, 0.0), (2.0, 0.0), (100.0, 20.0), (100.0, 0.5)):
            with self.subTest(every=every, at=at):
                fleet = Fleet(workers=8)
                fleet.submit(make_job(steps=(Step(cpu=1_000, checkpoints=True),)))
                self.assertLessEqual(_crash_holders(fleet, every, at), MAX_STARTS)
                self.assertEqual(JobState.FAILED, fleet.state("j1"))

    def test_neighbour_of_a_crashing_task_does_not_fail_before_that(self) -> None:
        """
        Guards against failing a task that was lost twice with a crashing task, and once more by
        chance before that one has crashed its third worker.
        """
        for good in ("a", "z"):  # before and after the crashing one
            with self.subTest(good=good):
                fleet = Fleet(workers=8, cpu=8_000)
                fleet.keeps_names = True
                fleet.crashing = {TaskKey("bad", 0, 0, 0)}
                for worker in fleet.workers.values():
                    worker.duration = 100.0
                fleet.submit(make_job(good, (Step(cpu=500, long_running=True),)))
                fleet.submit(make_job("bad", (Step(cpu=500),)))
                while len(fleet.crashes) < MIN_PROOF_CRASHES - 1:
                    fleet.run(TIME_STEP_S)
                while any(_runs(worker, good) for worker in fleet.workers.values()):
                    fleet.run(TIME_STEP_S)
                while not (holders := [it for it, w in fleet.workers.items() if _runs(w, good)]):
                    fleet.run(TIME_STEP_S)
                (holder,) = holders
                fleet.restart(holder)
                fleet.run(30.0)
                self.assertEqual(JobState.FAILED, fleet.state("bad"))
                self.assertLessEqual(len(fleet.crashes), MAX_STARTS)
                self.assertEqual(JobState.ACTIVE, fleet.state(good))


class CrashingWorkerTest(unittest.TestCase):
    def test_random_worker_crashes_fail_no_job(self) -> None:
        """Guards against blaming tasks for crashes that hit a fleet at random."""
        for seed in range(5):
            with self.subTest(seed=seed):
                random = Random(seed)
                fleet = Fleet(workers=8, cpu=8_000)
                fleet.submit(make_job("long", (Step(count=4, cpu=1_000, long_running=True),)))
                names = [f"j{number}" for number in range(40)]
                for name in names:
                    fleet.submit(make_job(name, (Step(count=2, cpu=1_000),)))
                    fleet.run(1.0)
                    if random.random() < 0.5:
                        fleet.crash(random.choice(sorted(fleet.workers)))
                fleet.run(20.0)
                self.assertEqual({JobState.COMPLETED}, {fleet.state(name) for name in names})
                self.assertEqual(JobState.ACTIVE, fleet.state("long"))

    def test_repeatedly_crashing_workers_fail_no_job(self) -> None:
        """
        Guards against retries of lost tasks on workers that have just restarted and crash again.
        """
        fleet = Fleet(workers=8)
        machines = [f"w{number}" for number in range(4)]
        names = [f"j{number}" for number in range(60)]
        fleet.run(NEW_WORKER_PERIOD_S)
        for name in names:
            for worker in fleet.workers.values():
                worker.duration = 4.0
            fleet.submit(make_job(name, (Step(count=2, cpu=1_000),)))
            fleet.run(0.5)
            due = [
                incarnation for incarnation in fleet.workers if incarnation.rstrip("'") in machines
            ]
            for incarnation in due if fleet.time % 4.0 < 0.5 else ():
                fleet.crash(incarnation)
        fleet.run(40.0)
        self.assertEqual({JobState.COMPLETED}, {fleet.state(name) for name in names})

    def test_workers_that_restart_anyway_fail_no_job(self) -> None:
        """Guards against blaming tasks for crashes that hit workers whatever they run."""
        for seed, share, chance, duration in STORMS:
            with self.subTest(seed=seed, share=share, duration=duration):
                fleet = _play_storm(Random(seed), share, chance, duration)
                failed = [job for job in fleet.jobs if fleet.state(job) == JobState.FAILED]
                self.assertFalse(failed)
                unended = [
                    job
                    for job, known in fleet.jobs.items()
                    if not known.steps[0].long_running and fleet.state(job) != JobState.COMPLETED
                ]
                self.assertFalse(unended)

    def test_a_worker_that_restarts_again_and_again_fails_no_job(self) -> None:
        """Guards against blaming a task that lasts for three restarts of one worker."""
        fleet = Fleet(workers=3, cpu=4_000)
        for worker in fleet.workers.values():
            worker.duration = 1_000.0
        fleet.submit(make_job("long", (Step(cpu=1_000, long_running=True),)))
        fleet.submit(make_job("full", (Step(count=2, cpu=3_500, long_running=True, per_worker=1),)))
        fleet.run(12.0)
        (name,) = [it for it, worker in fleet.workers.items() if _runs(worker, "long")]
        for _ in range(6):
            for _ in range(20):
                fleet.run(TIME_STEP_S)
                if _runs(fleet.workers[name], "long"):
                    break
            fleet.restart(name)
        fleet.run(15.0)
        self.assertEqual(JobState.ACTIVE, fleet.state("long"))

    def test_workers_that_restart_anyway_fail_no_task_that_gets_on(self) -> None:
        """
        Guards against failing a long task that is resumed after each of several restarts, which hit
        no other workers, as it needs these.
        """
        for replaces_owner in (False, True):
            with self.subTest(replaces_owner=replaces_owner):
                fleet = Fleet(workers=2)
                fleet.submit(make_job(steps=(Step(cpu=1_000, checkpoints=True),)))
                crashes = _crash_holders(fleet, 5.3, crashes=7, replaces_owner=replaces_owner)
                self.assertEqual(7, crashes)
                self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_disconnected_workers_count_against_no_task(self) -> None:
        """
        Guards against counting a lost connection as a crash: the task runs to its end elsewhere.
        """
        fleet = Fleet(workers=4)
        for worker in fleet.workers.values():
            worker.duration = 4.0
        fleet.submit(make_job("j1"))
        fleet.run(0.5)
        for _ in range(4):
            holders = [worker for worker in fleet.workers.values() if worker.runs]
            for worker in holders:
                worker.silent = True
            fleet.run(6.0)
            for worker in holders:
                worker.silent = False
            fleet.run(0.5)
        fleet.run(6.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_owner_without_worker_list_fails_no_job(self) -> None:
        """Guards against a new owner that considers workers gone which it hasn't listed yet."""
        fleet = Fleet(workers=4)
        fleet.submit(make_job("j1"))
        fleet.run(0.5)
        progress = fleet.cell.jobs["j1"].progress
        progress.tasks[0][0].crashed = dict.fromkeys(("w0", "w1", "w2"), True)
        fleet.rows["j1"] = encode_progress(progress)
        fleet.replace_owner()
        self.assertFalse(fail_crashing_jobs(fleet.cell, fleet.now()))
        fleet.run(3.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_announced_shutdowns_count_against_no_task(self) -> None:
        """Guards against counting announced shutdowns of workers as crashes."""
        fleet = Fleet(workers=8)
        for worker in fleet.workers.values():
            worker.duration = 100.0
        fleet.submit(make_job("j1", (Step(cpu=1_000, long_running=True),)))
        for _ in range(4):
            fleet.run(1.0)
            (name,) = [name for name, worker in fleet.workers.items() if worker.runs]
            draining = fleet.workers[name]
            draining.entry = dataclasses.replace(draining.entry, ready=False)
            draining.delays_orders = True
            fleet.run(0.5)
            fleet.crash(name)
            fleet.run(6.0)
        self.assertEqual(JobState.ACTIVE, fleet.state("j1"))
