"""Tests of short tasks on a fleet that long-running ones would fill."""

from __future__ import annotations

import unittest

import msgspec

from toucanpin.scheduling.features import Features
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.orders import RunEnd, WorkerEntry
from toucanpin.scheduling.reserving import MIN_RESERVED_SHARE
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.tests.urgent_load import UrgentLoad
from toucanpin.scheduling.worker import Worker
from toucanpin.scheduling.worker_costs import compute_packing_cost

WORKERS = 40
CORES = 64_000
SEEDS = (1, 2, 3)
URGENT_AIM_S = 0.3  # that a caller allows an urgent job beyond its work
LONG_RUNNING = Step(count=24, cpu=13_000, long_running=True)


def make_worker(name: str) -> Worker:
    return Worker(WorkerEntry(name, "c", f"{name}:1", "dc", True, CORES, 256_000, 0))


class ReservingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=WORKERS, cpu=CORES)
        for worker in self.fleet.workers.values():
            worker.duration = 60.0

    def _fill_up(self) -> None:
        """Submit long-running jobs that request a quarter more cores than the fleet has."""
        for number in range(10):
            self.fleet.submit(make_job(f"l{number:02}", (LONG_RUNNING,)))
        self.fleet.run(2.0)

    def _running(self, job: str) -> list[TaskKey]:
        return [t for worker in self.fleet.workers.values() for t in worker.runs if t.job == job]

    def test_large_short_tasks_start_at_once_on_full_fleet(self) -> None:
        """
        Guards against short tasks of a third of a worker that wait for as long as the fleet is
        full, because long-running tasks leave only a tenth of each worker free.
        """
        self._fill_up()
        self.fleet.submit(make_job("short", (Step(count=9, cpu=21_000),)))
        self.fleet.run(0.3)
        self.assertEqual(9, len(self._running("short")))

    def test_short_task_of_a_whole_worker_starts_at_once(self) -> None:
        """
        Guards against a task of a whole worker that finds no room because each worker runs some
        long-running task.
        """
        self._fill_up()
        self.fleet.submit(make_job("short", (Step(count=1, cpu=CORES),)))
        self.fleet.run(0.3)
        self.assertEqual(1, len(self._running("short")))

    def test_other_workers_are_packed(self) -> None:
        """Guards against a reserve that costs more cores than its share."""
        self._fill_up()
        used = sum(13_000 * len(worker.runs) for worker in self.fleet.workers.values())
        packed = CORES // 13_000 * 13_000
        self.assertGreaterEqual(used, 0.9 * WORKERS * packed)

    def test_first_task_of_a_job_may_use_the_reserve(self) -> None:
        """
        Guards against a service that is unavailable for minutes because only reserved cores are
        left: one of its tasks may use them.
        """
        self._fill_up()
        self.fleet.submit(make_job("new", (LONG_RUNNING,)))
        self.fleet.run(3.0)
        self.assertEqual(1, len(self._running("new")))

    def test_the_reserve_moves_when_its_workers_are_lost(self) -> None:
        """
        Guards against short tasks that wait until the lost workers with reserved cores are back,
        though long-running tasks end on others.
        """
        self._fill_up()
        for worker in list(self.fleet.workers.values()):
            if not worker.runs:
                worker.silent = True
        self.fleet.run(3.0)
        reserved = [w for w in self.fleet.cell.workers.values() if w.reserved_cpu]
        self.assertTrue(reserved)
        self.assertFalse([w for w in reserved if w.silent])

    def test_a_failed_task_opens_no_reserved_cores(self) -> None:
        """
        Guards against urgent tasks that find no room for minutes: the place of a failed task, on a
        worker that is avoided from then on, let all long-running tasks onto reserved workers.
        """
        self._fill_up()
        packed = next(it for it in self.fleet.workers.values() if len(it.runs) == 4)
        packed.end(next(iter(packed.runs)), RunEnd.FAILED)
        self.fleet.run(0.5)
        self.assertGreaterEqual(self._count_whole(), MIN_RESERVED_SHARE * WORKERS)

    def test_a_restarted_task_leaves_workers_whole_that_short_tasks_fill(self) -> None:
        """
        Guards against a reserve that wears off: a long-running task that may use reserved cores
        chose the worker that short tasks filled for a moment, and kept it for minutes.
        """
        packed, filled = (make_worker(name) for name in "ab")
        packed.cpu = packed.long_running_cpu = 3 * LONG_RUNNING.cpu
        packed.reserved_cpu = CORES - packed.cpu
        filled.cpu = 50_000
        filled.reserved_cpu = CORES
        costs = [compute_packing_cost(worker, LONG_RUNNING) for worker in (packed, filled)]
        self.assertLess(*costs)

    def test_a_new_owner_keeps_the_workers_that_it_knows_first(self) -> None:
        """
        Guards against a change of the owner that costs the reserve: a tenth of the few workers that
        the next owner knows at first is reserved, and the other whole ones among them are taken.
        """
        self._fill_up()
        whole = self._count_whole()
        self.fleet.replace_owner()
        packed = {name for name, worker in self.fleet.workers.items() if worker.runs}
        self.fleet.unlisted = packed
        self.fleet.cell.introduced = False
        self.fleet.run(0.5)
        self.fleet.unlisted = set()
        self.fleet.run(0.5)
        self.fleet.cell.introduced = True
        self.fleet.run(0.5)
        self.assertGreaterEqual(self._count_whole(), whole)

    def test_a_worker_that_answers_again_is_not_taken_at_once(self) -> None:
        """
        Guards against whole workers that are lost one by one, as each can be had for a moment
        between its answer and the next choice of reserved workers.
        """
        self._fill_up()
        whole = [it for it in self.fleet.cell.workers.values() if not it.long_running_cpu]
        for number in range(12):
            silent = self.fleet.workers[whole[number % len(whole)].entry.id]
            silent.silent = True
            self.fleet.run(0.35)
            silent.silent = False
            self.fleet.run(0.25)
        self.assertGreaterEqual(self._count_whole(), MIN_RESERVED_SHARE * WORKERS)

    def test_urgent_tasks_find_room_beside_long_running_ones_that_fail(self) -> None:
        """
        Guards against a reserve that is lost on a fleet on which some task fails at any time: whole
        workers are taken at a failure, and urgent tasks wait for as long as others run there.
        """
        waited, tasks = 0.0, 0
        for seed in SEEDS:
            load = UrgentLoad(Features(), workers=64, seed=seed, failures_per_s=0.003)
            load.run(24.0)
            waited += load.waited
            urgent = (job for name, job in load.jobs.items() if name.startswith("urgent"))
            tasks += sum(step.count for job in urgent for step in job.steps)
            workers = load.fleet.cell.workers.values()
            self.assertTrue([worker for worker in workers if not worker.long_running_cpu])
        self.assertLess(waited / tasks, URGENT_AIM_S)

    def _count_whole(self) -> int:
        """Return the number of workers without a long-running task."""
        return sum(not worker.long_running_cpu for worker in self.fleet.cell.workers.values())

    def test_service_starts_after_one_with_a_limit_per_worker_found_no_two_places(self) -> None:
        """
        Guards against a service that waits though the reserve has room for two of its tasks: they
        are on one worker, and a service before it may run only one task there.
        """
        fleet = Fleet(workers=1, cpu=4_000)
        fleet.workers["w0"].duration = 60.0
        fleet.submit(make_job("short", (Step(cpu=3_690),)))
        fleet.run(1.0)
        service = Step(count=3, cpu=150, long_running=True)
        limited = msgspec.structs.replace(service, per_worker=1)
        fleet.submit(make_job("first", (limited,)))
        fleet.submit(make_job("second", (service,)))
        fleet.run(1.0)
        self.assertIn("second", fleet.cell.runs)


if __name__ == "__main__":
    unittest.main()
