"""Failures that jobs bring about by themselves, and workers that are bad."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.job import Step
from toucanpin.scheduling.orders import RefusalReason
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.trust import is_distrusted

CORES = 1_000
HEALTHY_S = 6.0  # of a task of a job that is well
PROMISED_S = 3.0  # within which a job has a task running beside free workers


class MixedFleet(Fleet):
    """Fleet on which the tasks of some jobs fail by themselves."""

    def __init__(self, workers: int, cpu: int = 16 * CORES) -> None:
        super().__init__(workers, cpu)
        for worker in self.workers.values():
            worker.duration = HEALTHY_S
        self.longest_standstill: dict[str, float] = {}
        self._ran_at: dict[str, float] = {}

    def add_failing(
        self,
        name: str,
        count: int,
        after: float = 0.3,
        long_running: bool = True,
        label: str = "",
        gang: bool = False,
    ) -> None:
        """Submit a job whose tasks fail some seconds after each start, wherever it is."""
        for worker in self.workers.values():
            worker.failing_jobs[name] = after
        step = Step(count, CORES, long_running=long_running, label=label, gang=gang)
        self.submit(make_job(name, (step,), max_failures=50))

    def submit_healthy(self, name: str, count: int = 4, **fields: object) -> None:
        """Submit a job that is well, and watch for how long nothing of it runs."""
        self._ran_at[name] = self.time
        self.submit(make_job(name, (Step(count=count, cpu=CORES),), **fields))

    def count_distrusted(self) -> int:
        return sum(is_distrusted(worker) for worker in self.cell.workers.values())

    def _turn(self) -> None:
        super()._turn()
        running = {task.job for core in self.workers.values() for task in core.runs}
        for name, ran_at in self._ran_at.items():
            if name in running or self.state(name) == JobState.COMPLETED:
                self._ran_at[name] = self.time
            stood = self.time - ran_at
            self.longest_standstill[name] = max(self.longest_standstill.get(name, 0.0), stood)


def play(fleet: MixedFleet, jobs: int = 30, **fields: int) -> list[str]:
    """Submit healthy jobs beside what runs, and return those that stood still for too long."""
    names = [f"well{number}" for number in range(jobs)]
    for name in names:
        fleet.submit_healthy(name, **fields)
        fleet.run(0.3)
    fleet.run(20.0)
    return [name for name in names if fleet.longest_standstill[name] > PROMISED_S]


class JobsThatFailByThemselvesTest(unittest.TestCase):
    def check(self, fleet: MixedFleet, jobs: int = 30, **fields: int) -> None:
        self.assertEqual([], play(fleet, jobs, **fields))
        self.assertTrue(all(fleet.state(f"well{n}") == JobState.COMPLETED for n in range(jobs)))

    def test_standing_tasks_of_three_jobs_that_fail_take_no_worker_from_others(self) -> None:
        """Guards against workers that are distrusted for standing tasks that fail everywhere."""
        fleet = MixedFleet(12)
        for name in ("a", "b", "c"):
            fleet.add_failing(name, 12)
        self.check(fleet)

    def test_failing_jobs_outnumber_the_workers(self) -> None:
        """Guards against blame for jobs of which each has tried a few workers only."""
        fleet = MixedFleet(12)
        for number in range(20):
            fleet.add_failing(f"bad{number}", 3)
        self.check(fleet)

    def test_jobs_of_one_task_that_fail(self) -> None:
        fleet = MixedFleet(12)
        for number in range(60):
            fleet.add_failing(f"bad{number}", 1)
        self.check(fleet)

    def test_failing_jobs_on_few_workers(self) -> None:
        """Guards against a fleet too small for jobs to show that they fail everywhere."""
        for workers in (1, 2, 3):
            with self.subTest(workers):
                fleet = MixedFleet(workers, 64 * CORES)
                for number in range(8):
                    fleet.add_failing(f"bad{number}", 2)
                self.check(fleet, jobs=8, count=1)

    def test_batch_tasks_that_fail(self) -> None:
        fleet = MixedFleet(12)
        for number in range(6):
            fleet.add_failing(f"bad{number}", 8, long_running=False)
        self.check(fleet)

    def test_gangs_that_fail(self) -> None:
        fleet = MixedFleet(12)
        for number in range(6):
            fleet.add_failing(f"bad{number}", 8, long_running=False, gang=True)
        self.check(fleet)

    def test_tasks_that_fail_after_a_while(self) -> None:
        for after in (0.0, 1.0, 1.9, 4.0):
            with self.subTest(after):
                fleet = MixedFleet(12)
                for number in range(4):
                    fleet.add_failing(f"bad{number}", 12, after)
                self.check(fleet)

    def test_failing_tasks_that_fit_few_workers(self) -> None:
        """Guards against blame by jobs that a label keeps to two workers of twelve."""
        fleet = MixedFleet(10)
        for name in ("x0", "x1"):
            fleet.add_worker(name, 16 * CORES, labels=("x",)).duration = HEALTHY_S
        for number in range(5):
            fleet.add_failing(f"bad{number}", 2, label="x")
        fleet.run(1.0)
        for number in range(4):
            job = make_job(f"well{number}", (Step(count=2, cpu=CORES, label="x"),))
            fleet._ran_at[job.id] = fleet.time
            fleet.submit(job)
        fleet.run(20.0)
        late = {name: at for name, at in fleet.longest_standstill.items() if at > PROMISED_S}
        self.assertEqual({}, late)

    def test_tasks_that_stand_still(self) -> None:
        """Guards against workers that are distrusted for tasks that make no progress anywhere."""
        fleet = MixedFleet(12)
        for number in range(6):
            for worker in fleet.workers.values():
                worker.stuck_jobs.add(f"bad{number}")
            fleet.submit(make_job(f"bad{number}", (Step(count=6, cpu=CORES),)))
        self.check(fleet)

    def test_tasks_that_all_workers_refuse(self) -> None:
        """Guards against workers that count as full for tasks that none of them takes."""
        for reason in RefusalReason:
            if reason is RefusalReason.FENCED:
                continue
            with self.subTest(reason):
                fleet = MixedFleet(12)
                for number in range(6):
                    for worker in fleet.workers.values():
                        worker.refused_jobs[f"bad{number}"] = reason
                    fleet.submit(make_job(f"bad{number}", (Step(count=12, cpu=CORES),)))
                self.check(fleet)

    def test_blame_does_not_follow_a_job_that_recovers(self) -> None:
        fleet = MixedFleet(6)
        for name in ("a", "b", "c"):
            fleet.add_failing(name, 6)
        fleet.run(5.0)
        for worker in fleet.workers.values():
            worker.failing_jobs.clear()
        fleet.run(5.0)
        runs = [task.job for worker in fleet.workers.values() for task in worker.runs]
        self.assertEqual(18, len(runs))
        self.assertEqual(0, fleet.count_distrusted())


class BadWorkersTest(unittest.TestCase):
    def check(self, fleet: MixedFleet, bad: tuple[str, ...], jobs: int = 40) -> None:
        """Jobs of three attempts survive, and the bad workers get a task now and then only."""
        for name in bad:
            fleet.workers[name].failing = True
        names = [f"well{number}" for number in range(jobs)]
        for name in names:
            fleet.submit_healthy(name, count=1, max_failures=3)
            fleet.run(0.2)
        fleet.run(20.0)
        self.assertEqual([], [it for it in names if fleet.state(it) != JobState.COMPLETED])
        for name in bad:
            own = [task for task, _ in fleet.workers[name].starts if task.job in names]
            self.assertLess(len(own), jobs / 2, name)

    def test_a_bad_worker_is_kept_out_beside_jobs_that_fail_by_themselves(self) -> None:
        """Guards against a pardon for a bad worker because of jobs that fail everywhere."""
        fleet = MixedFleet(12)
        for name in ("a", "b", "c"):
            fleet.add_failing(name, 12)
        fleet.run(3.0)
        self.check(fleet, ("w0",))

    def test_some_bad_workers_are_kept_out(self) -> None:
        fleet = MixedFleet(12)
        self.check(fleet, ("w0", "w4", "w8"))

    def test_a_worker_that_turns_bad_is_kept_out(self) -> None:
        fleet = MixedFleet(6)
        for name in ("a", "b", "c", "d"):
            fleet.add_failing(name, 6)
        play(fleet, 10)
        self.check(fleet, ("w2",))


if __name__ == "__main__":
    unittest.main()
