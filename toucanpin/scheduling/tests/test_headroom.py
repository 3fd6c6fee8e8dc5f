"""Tests of the cores that long-running tasks leave to urgent ones."""

from __future__ import annotations

import math
import unittest
from dataclasses import replace
from unittest.mock import patch

from toucanpin.scheduling import evicting
from toucanpin.scheduling.evicting import MAX_EVICTED_SHARE, make_room
from toucanpin.scheduling.features import Features
from toucanpin.scheduling.headroom import (
    MAX_HEADROOM_SHARE,
    Headroom,
    forecast_demand,
    plan_headroom,
    record_demand,
)
from toucanpin.scheduling.intake import cancel_job
from toucanpin.scheduling.job import Job, Step, TaskKey
from toucanpin.scheduling.orders import RunEnd, WorkerEntry
from toucanpin.scheduling.placing import place_tasks
from toucanpin.scheduling.reserving import RESERVE_PERIOD_S, reserve_cores
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.tests.urgent_load import LONG_DURATION_S, ServingWorker, UrgentLoad
from toucanpin.scheduling.waits import Wait
from toucanpin.scheduling.worker import Worker, count_fitting_tasks

ON = Features(urgent_headroom=True)
OFF = Features()
CORES = 64_000
SEEDS = (1, 2, 3)
MAX_WAITED_SHARE = 0.75  # of the time that urgent tasks wait without the feature
MIN_WORKED_SHARE = 0.95  # of the work of long-running tasks without it
LIMIT = 1_000_000.0


def make_worker(name: str, data_centre: str, cpu: int = CORES) -> Worker:
    return Worker(WorkerEntry(name, "c", f"{name}:1", data_centre, True, cpu, 256_000, 0))


class ForecastTest(unittest.TestCase):
    def _record(self, headroom: Headroom, begin: float, *cores: dict[str, int]) -> None:
        for number, requested in enumerate(cores):
            record_demand(headroom, requested, LIMIT, begin + number * RESERVE_PERIOD_S)

    def test_one_burst_at_a_time(self) -> None:
        """Guards against a forecast that adds up bursts that queues had at different times."""
        headroom = Headroom()
        quiet = {"a": 1_000, "b": 1_000}
        self._record(headroom, 0.0, quiet, {**quiet, "a": 5_000}, quiet, {**quiet, "b": 5_000})
        self.assertGreater(forecast_demand(headroom), 5_900)
        self.assertLess(forecast_demand(headroom), 7_000)

    def test_burst_is_remembered_for_some_waves(self) -> None:
        """Guards against a reserve that is given up between two waves of demand."""
        headroom = Headroom()
        self._record(headroom, 0.0, {"a": 1_000}, {"a": 4_000}, *({"a": 1_000} for _ in range(60)))
        self.assertGreater(forecast_demand(headroom), 2_500)

    def test_backlog_is_limited(self) -> None:
        """Guards against tasks that pile up for want of room and reserve the whole fleet."""
        headroom = Headroom()
        self._record(headroom, 0.0, *({"a": 9 * int(LIMIT)} for _ in range(40)))
        self.assertLessEqual(forecast_demand(headroom), 1.5 * LIMIT)

    def test_forecast_fits_without_the_largest_data_centre(self) -> None:
        """
        Guards against a reserve that suffices only until a data centre is evacuated: long-running
        tasks keep the cores of the others for minutes.
        """
        workers = [make_worker(f"w{n}", f"dc{n % 4}") for n in range(40)]
        headroom = Headroom()
        total = 40 * CORES
        self._record(headroom, 0.0, *({"a": total // 10} for _ in range(200)))
        planned = plan_headroom(headroom, workers, evacuating=False, used=0)
        self.assertGreaterEqual(planned * 3 / 4, forecast_demand(headroom) - 2)
        evacuating = plan_headroom(headroom, workers, evacuating=True, used=0)
        self.assertAlmostEqual(evacuating, forecast_demand(headroom), delta=2)
        self.assertLessEqual(planned, MAX_HEADROOM_SHARE * total)

    def test_new_owner_keeps_a_tenth(self) -> None:
        """Guards against long-running tasks that fill the fleet before any demand is known."""
        workers = [make_worker(f"w{n}", "dc") for n in range(10)]
        self.assertEqual(CORES, plan_headroom(Headroom(), workers, False, 0))

    def test_reserve_is_spread_over_data_centres(self) -> None:
        """Guards against a reserve on workers that are all evacuated together."""
        fleet = Fleet(workers=0)
        fleet.cell.features = ON
        for number in range(40):
            fleet.add_worker(f"w{number:02}", CORES, "ab"[number // 20])
        fleet.run(0.1)
        reserve_cores(fleet.cell, list(fleet.cell.workers.values()), fleet.now())
        reserved = {"a": 0, "b": 0}
        for worker in fleet.cell.workers.values():
            reserved[worker.entry.data_centre] += worker.reserved_cpu
        self.assertEqual(reserved["a"], reserved["b"])
        self.assertGreater(reserved["a"], 0)


class UrgentLoadTest(unittest.TestCase):
    def _sum(self, features: Features, evacuated_at: float) -> tuple[float, float]:
        """Return how long urgent tasks waited and how much long-running ones worked."""
        waited = worked = 0.0
        for seed in SEEDS:
            load = UrgentLoad(features, workers=64, seed=seed)
            load.run(12.0, burst=1.8, burst_at=(6.0, 9.0), evacuated_at=evacuated_at)
            waited += load.waited
            worked += load.worked
        return waited, worked

    def _assert_served(self, evacuated_at: float) -> None:
        """Check that urgent tasks wait less, and long-running ones work nearly as much."""
        waited_before, worked_before = self._sum(OFF, evacuated_at)
        waited, worked = self._sum(ON, evacuated_at)
        self.assertLess(waited, MAX_WAITED_SHARE * waited_before)
        self.assertGreater(worked, MIN_WORKED_SHARE * worked_before)

    def test_burst_of_urgent_work(self) -> None:
        """
        Guards against a burst of 1.8 times the urgent work that waits for seconds, since
        long-running tasks hold what the past load left free.
        """
        self._assert_served(evacuated_at=math.inf)

    def test_burst_while_a_data_centre_is_evacuated(self) -> None:
        """
        Guards against urgent tasks that wait longer and longer while a quarter of the fleet is
        evacuated: the rest runs as many long-running tasks as before.
        """
        self._assert_served(evacuated_at=3.0)


class EvictionTest(unittest.TestCase):
    def _make_full_fleet(self, features: Features, services: int = 4, tasks: int = 9) -> Fleet:
        """Return a fleet of ten workers, each full of tasks of services, which all serve."""
        fleet = Fleet(workers=10, cpu=CORES)
        fleet.cell.features = features
        for name, worker in fleet.workers.items():
            fleet.workers[name] = ServingWorker(worker.entry, duration=10 * LONG_DURATION_S)
        for number in range(services):
            step = Step(count=tasks, cpu=16_000, long_running=True, max_unavailable=1)
            fleet.submit(make_job(f"s{number}", (step,)))
        fleet.run(1.0)
        filler = Step(cpu=16_000)
        known = fleet.cell.workers.values()
        places = sum(count_fitting_tasks(worker, filler) for worker in known)
        fleet.submit(make_job("old", (Step(count=places, cpu=16_000),)))
        fleet.run(3.0)
        return fleet

    def _submit_urgent(self, fleet: Fleet, count: int, seconds: float) -> set[TaskKey]:
        """Submit an urgent job; return the tasks that make room for it."""
        fleet.submit(make_job("urgent", (Step(count=count, cpu=16_000),)))
        fleet.run(seconds)
        return set(fleet.cell.headroom.evicted)

    def test_one_task_of_a_service_is_evicted_for_urgent_work(self) -> None:
        """
        Guards against urgent tasks that wait for minutes on a fleet full of long-running ones, and
        against services that lose two tasks at a time for them.
        """
        fleet = self._make_full_fleet(ON)
        evicted = self._submit_urgent(fleet, 1, 2.0)
        self.assertEqual(1, len(evicted))
        self.assertIn("urgent", fleet.cell.runs)

    def test_stopped_task_does_not_return_while_urgent_work_waits(self) -> None:
        """Guards against a long-running task that takes the cores that it has made free."""
        fleet = self._make_full_fleet(ON)
        evicted = self._submit_urgent(fleet, 30, 4.0)
        self.assertTrue(evicted)
        running = {task for worker in fleet.workers.values() for task in worker.runs}
        self.assertFalse(running & evicted)

    def test_stopped_task_returns_in_time(self) -> None:
        """
        Guards against a task of a service that waits for over 6 s while there is room for two such
        tasks, since urgent work that is wider than the fleet waits all the time.
        """
        fleet = self._make_full_fleet(ON)
        task = next(run.task for run in fleet.cell.runs["s0"])
        fleet.submit(make_job("urgent", (Step(count=60, cpu=CORES),)))
        fleet.run(1.0)
        for name in ("s1", "s2"):
            cancel_job(fleet.cell, name, fleet.now())
        holder = next(worker for worker in fleet.workers.values() if task in worker.runs)
        holder.end(task, RunEnd.FAILED)
        fleet.run(6.0)
        self.assertTrue(any(task in worker.runs for worker in fleet.workers.values()))

    def test_first_task_of_a_service_starts_while_cores_are_scarce(self) -> None:
        """Guards against a service without any task, though there is room for two."""
        fleet = self._make_full_fleet(ON)
        fleet.submit(make_job("urgent", (Step(count=60, cpu=CORES),)))
        fleet.run(1.0)
        cancel_job(fleet.cell, "s1", fleet.now())
        fleet.submit(make_job("new", (Step(count=4, cpu=16_000, long_running=True),)))
        fleet.run(3.0)
        self.assertIn("new", fleet.cell.runs)

    def test_all_tasks_of_a_service_start_while_cores_are_scarce(self) -> None:
        """
        Guards against a service of which only the first task ever starts: urgent work that is wider
        than the free parts waits all the time, though more is free than is planned for it.
        """
        fleet = self._make_full_fleet(ON)
        fleet.submit(make_job("urgent", (Step(count=60, cpu=CORES),)))
        fleet.run(1.0)
        for name in ("s1", "s2"):
            cancel_job(fleet.cell, name, fleet.now())
        fleet.submit(make_job("new", (Step(count=4, cpu=16_000, long_running=True),)))
        fleet.run(8.0)
        self.assertGreater(fleet.cell.headroom.scarce_until, fleet.now().steady)
        self.assertEqual(4, len(fleet.cell.runs["new"]))

    def test_only_task_of_a_service_is_not_evicted(self) -> None:
        """Guards against a service that is gone altogether while urgent work waits."""
        fleet = self._make_full_fleet(ON, services=36, tasks=1)
        self.assertFalse(self._submit_urgent(fleet, 4, 3.0))

    def _count_evicted(self, fleet: Fleet, job: Job) -> int:
        """Return how many tasks are evicted for a job that has waited for long."""
        fleet.submit(job)
        (group,) = (group for group in fleet.cell.waiting if group.job == job.id)
        fleet.cell.waits[group] = Wait(fleet.now().steady - 10.0)
        make_room(fleet.cell, list(fleet.cell.workers.values()), fleet.now())
        return len(fleet.cell.headroom.evicted)

    def test_nothing_is_evicted_for_work_that_lacks_accelerators(self) -> None:
        """Guards against long-running tasks that are stopped for cores that nobody waits for."""
        fleet = self._make_full_fleet(ON)
        for worker in fleet.cell.workers.values():
            worker.entry = replace(worker.entry, accelerators=1)
            worker.accelerators = 1
        step = Step(cpu=16_000, accelerators=1)
        self.assertEqual(0, self._count_evicted(fleet, make_job("urgent", (step,))))

    def test_nothing_is_evicted_for_work_without_a_ticket(self) -> None:
        """Guards against long-running tasks that are stopped where the short one may not run."""
        step = Step(cpu=16_000)
        for advised in (False, True):
            fleet = self._make_full_fleet(ON)
            job = Job("urgent", "q", "c", "spec", (step,), advised=advised)
            self.assertEqual(int(not advised), self._count_evicted(fleet, job))

    def test_wide_work_does_not_hold_up_others(self) -> None:
        """Guards against urgent tasks that wait behind many which no eviction could help."""
        fleet = self._make_full_fleet(ON)
        fleet.submit(make_job("wide", (Step(count=60, cpu=CORES),)))
        fleet.run(1.0)
        self.assertTrue(self._submit_urgent(fleet, 1, 2.0))

    def test_services_that_must_stay_whole_are_searched_once(self) -> None:
        """Guards against a turn that passes over each long-running task for each waiting one."""
        fleet = self._make_full_fleet(ON)
        runs = [run for runs in fleet.cell.runs.values() for run in runs if run.step.long_running]
        for run in runs:
            run.percent = min(run.percent, 100 if run.task.index else 50)
        for number in range(20):
            job = make_job(f"urgent{number}", (Step(cpu=16_000),))
            fleet.submit(job)
        for group in fleet.cell.waiting:
            fleet.cell.waits[group] = Wait(fleet.now().steady - 10.0)
        with patch.object(evicting, "meets_constraints", wraps=evicting.meets_constraints) as calls:
            make_room(fleet.cell, list(fleet.cell.workers.values()), fleet.now())
        self.assertLessEqual(calls.call_count, 2 * len(runs))

    def test_few_tasks_are_evicted(self) -> None:
        """
        Guards against services that lose two tasks at a time, and against urgent work that takes
        the place of long-running work for good.
        """
        fleet = self._make_full_fleet(ON)
        evicted = self._submit_urgent(fleet, 30, 4.0)
        self.assertEqual(len(evicted), len({task.job for task in evicted}))
        used = 16_000 * sum(
            job.startswith("s") * len(runs) for job, runs in fleet.cell.runs.items()
        )
        self.assertLessEqual(16_000 * len(evicted), MAX_EVICTED_SHARE * (used + 16_000))

    def test_less_urgent_short_work_gets_no_headroom(self) -> None:
        """
        Guards against long-running tasks that wait for the sake of less urgent work, of which some
        may always wait.
        """
        fleet = self._make_full_fleet(ON)
        step = Step(count=60, cpu=16_000)
        fleet.submit(Job("patient", "p", "c", "spec", (step,), priority=2))
        fleet.submit(make_job("new", (Step(count=4, cpu=16_000, long_running=True),)))
        fleet.run(3.0)
        cancel_job(fleet.cell, "s1", fleet.now())
        fleet.run(0.6)
        self.assertFalse(fleet.cell.headroom.evicted)
        self.assertNotIn("p", fleet.cell.headroom.queues)
        self.assertIn("new", fleet.cell.runs)

    def test_unplaceable_short_work_holds_nothing_back(self) -> None:
        """Guards against long-running tasks that wait for a short one that fits no worker."""
        fleet = self._make_full_fleet(ON)
        fleet.submit(make_job("large", (Step(cpu=2 * CORES),)))
        fleet.submit(make_job("other", (Step(cpu=1_000, label="none"),)))
        fleet.run(3.0)
        self.assertEqual(0.0, fleet.cell.headroom.scarce_until)

    def test_many_unplaceable_steps_share_a_scan(self) -> None:
        """Guards against a turn that compares each waiting step with each worker."""
        fleet = self._make_full_fleet(ON)
        for number in range(50):
            fleet.submit(make_job(f"o{number}", (Step(cpu=1_000 + number, label="none"),)))
        fleet.run(1.0)
        fleet.time += 2 * RESERVE_PERIOD_S
        with patch.object(evicting, "has_label", wraps=evicting.has_label) as counted:
            place_tasks(fleet.cell, fleet.model, fleet.now())
        self.assertLessEqual(counted.call_count, len(fleet.workers))

    def test_without_the_feature_nothing_is_evicted(self) -> None:
        """Guards against a change for deployments that can correct choices later."""
        fleet = self._make_full_fleet(OFF)
        self.assertFalse(self._submit_urgent(fleet, 2, 2.0))
        self.assertFalse(fleet.cell.headroom.queues)
        self.assertNotIn("urgent", fleet.cell.runs)

    def test_without_the_feature_the_reserve_follows_the_recent_peak(self) -> None:
        """Guards against a change of the reserve where the feature is off."""
        fleet = Fleet(workers=10, cpu=CORES)
        fleet.run(0.05)
        eligible = list(fleet.cell.workers.values())
        fleet.cell.reserved_at = float("-inf")
        fleet.cell.short_task_peak = None
        reserve_cores(fleet.cell, eligible, fleet.now())
        self.assertEqual([CORES - 1_581], [w.reserved_cpu for w in eligible if w.reserved_cpu])


if __name__ == "__main__":
    unittest.main()
