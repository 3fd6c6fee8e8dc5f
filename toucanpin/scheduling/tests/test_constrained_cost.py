"""Tests of the work of one turn while many steps with constraints wait on a full fleet."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from unittest.mock import patch

import msgspec

from toucanpin.scheduling import (
    choosing,
    large_tasks,
    placement_round,
    placing,
    preempting,
    standing_jobs,
)
from toucanpin.scheduling.advising import plan_advice_requests
from toucanpin.scheduling.cell import Group
from toucanpin.scheduling.choosing import CandidateWorkers
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.placement_round import PlacementRound
from toucanpin.scheduling.placing import place_tasks
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.unplaceable import is_known_unplaceable, record_unplaceable
from toucanpin.scheduling.worker import Worker, count_fitting_tasks

WORKERS = 48
RACK = 12  # workers
FEW_STEPS = 40
MANY_STEPS = 160
BEST_EFFORT_IMAGES = 4
TURNS = 3
# Four times as many steps may cost one more scan of each of three decisions in each turn, and two
# more for each image, as twice on average one of random size is smaller than all before it.
MAX_GROWTH = (TURNS * 3 + 2 * BEST_EFFORT_IMAGES) * WORKERS
SEED = 7
HUGE_FLEET = 3_000  # workers
MAX_RETRY_S = 1.5  # half the time in which a task has to start; a start takes time as well


class ScanCounter:
    """Number of workers that decisions weigh."""

    def __init__(self) -> None:
        self.weighed = 0

    @contextmanager
    def count(self) -> Iterator[None]:
        """Count the workers weighed for placement, preemption, reservation and advice."""
        with (
            patch.object(choosing, "has_room", self._wrap(choosing.has_room)),
            patch.object(standing_jobs, "has_room", self._wrap(standing_jobs.has_room)),
            patch.object(
                placement_round,
                "estimate_utilization",
                self._wrap(placement_round.estimate_utilization),
            ),
            patch.object(
                preempting, "bound_freeable_cpu", self._wrap(preempting.bound_freeable_cpu)
            ),
            patch.object(
                large_tasks, "meets_constraints", self._wrap(large_tasks.meets_constraints)
            ),
            patch.object(placing, "find_suspicion", self._wrap(placing.find_suspicion)),
        ):
            yield

    def _wrap(self, function: Callable) -> Callable:
        def counted(*args: object, **fields: object) -> object:
            self.weighed += 1
            return function(*args, **fields)

        return counted


class ConstrainedLoadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.random = random.Random(SEED)

    def _make_fleet(self) -> Fleet:
        """Return a fleet with room for a few tasks, whose workers start whatever they are told."""
        fleet = Fleet(workers=0)
        for number in range(WORKERS):
            labels = ("a", f"r{number // RACK}")
            fleet.add_worker(f"w{number:02}", 4_000, labels=labels).duration = 600.0
        fleet.cell.workers_enforce_limits = False
        service = Step(count=WORKERS, cpu=2_500, long_running=True, image="s", target=50)
        fleet.submit(make_job("service", (service,)))
        fleet.submit(make_job("short", (Step(count=WORKERS - 5, cpu=1_000),)))
        filling = Step(count=WORKERS, cpu=500, best_effort=True, image="f", checkpoints=True)
        fleet.submit(make_job("batch", (filling,), priority=2))
        fleet.run(1.0)
        return fleet

    def _count(self, fields: dict[str, object], steps: int, advised: bool = False) -> int:
        """Return how many workers the turns weigh while steps of this kind wait."""
        fleet = self._make_fleet()
        for number in range(steps):
            cpu = 3_600 - 2_000 * number // steps
            if fields.get("best_effort"):
                cpu = self.random.randrange(900, 2_000)
            image = f"f{number % BEST_EFFORT_IMAGES}" if fields.get("best_effort") else ""
            default = Step(count=10, cpu=cpu, memory=100, image=image)
            step = msgspec.structs.replace(default, **fields)
            priority = 2 if step.best_effort else 0
            job = make_job(f"j{number:03}", (step,), priority=priority, advised=advised)
            fleet.submit(job)
        place_tasks(fleet.cell, fleet.model, fleet.now())
        counter = ScanCounter()
        with counter.count():
            for _ in range(TURNS):
                fleet.time += 0.001
                place_tasks(fleet.cell, fleet.model, fleet.now())
                plan_advice_requests(fleet.cell, fleet.model, 4, fleet.now())
        return counter.weighed

    def _assert_bounded(self, fields: dict[str, object], advised: bool = False) -> None:
        few = self._count(fields, FEW_STEPS, advised)
        many = self._count(fields, MANY_STEPS, advised)
        self.assertLessEqual(many - few, MAX_GROWTH, f"{fields}: {few} and {many} workers")

    def test_gangs_without_room_share_scans(self) -> None:
        """
        Guards against gangs that each weigh all workers in each turn to find too few places.  With
        246 workers and 400 steps of which a third were gangs the owner used a whole core.
        """
        self._assert_bounded({"gang": True})
        self._assert_bounded({"gang": True, "same_rack": True})
        self._assert_bounded({"gang": True, "rack": "r1"})

    def test_best_effort_gangs_without_room_share_scans(self) -> None:
        """
        Guards against best-effort gangs that are tried in each turn, each of which computes the
        utilization anew of all workers where some of its tasks would fit.
        """
        self._assert_bounded({"gang": True, "best_effort": True, "checkpoints": True})

    def test_steps_that_prefer_racks_share_scans(self) -> None:
        """Guards against a scan by each step that is placed near its data or on one rack."""
        self._assert_bounded({"rack": "r1"})
        self._assert_bounded({"same_rack": True})
        self._assert_bounded({"rack": "r1", "best_effort": True})

    def test_steps_with_labels_share_scans(self) -> None:
        """
        Guards against steps that each weigh all workers for placement, preemption and reservation,
        though no worker has the label that they require, or none with it has room.
        """
        self._assert_bounded({"label": "a"})
        self._assert_bounded({"label": "none"})
        self._assert_bounded({"label": "none", "best_effort": True})
        self._assert_bounded({"label": "a", "long_running": True, "image": "s", "target": 50})

    def test_steps_with_per_worker_limit_wait_between_scans(self) -> None:
        """
        Guards against steps that each weigh all workers in each turn, as the only ones with room
        already run their tasks.  No other step can use this result.
        """
        wide = {"per_worker": 1, "count": WORKERS + 12, "memory": 1}
        self._assert_bounded({**wide, "cpu": 2})
        self._assert_bounded({**wide, "best_effort": True, "cpu": 1, "image": "f"})

    def test_advised_steps_share_scans(self) -> None:
        """
        Guards against steps without tickets that each look up a ticket for each worker in each turn
        and weigh all workers for the next request.
        """
        self._assert_bounded({}, advised=True)
        self._assert_bounded({"best_effort": True}, advised=True)

    def test_equal_wide_jobs_share_scans(self) -> None:
        """
        Guards against a turn that looks at each waiting task of hundreds of equal wide jobs: a
        burst of them delayed the answers of all workers.
        """
        self._assert_bounded({"count": 60, "cpu": 2_000})
        self._assert_bounded({"count": 60, "best_effort": True, "cpu": 1_500, "image": "f"})

    def test_smaller_gang_is_placed_after_a_larger_one_fails(self) -> None:
        """Guards against recalled shortages that keep a gang from workers with room for it."""
        fleet = self._make_fleet()
        step = Step(cpu=1_200, gang=True)
        workers = fleet.cell.workers.values()
        places = sum(count_fitting_tasks(worker, step) for worker in workers)
        for name, count in (("large", places + 1), ("small", places)):
            priority = 0 if name == "large" else 1
            step = Step(count=count, cpu=1_200, gang=True)
            fleet.submit(make_job(name, (step,), priority=priority))
        fleet.run(0.1)
        self.assertNotIn("large", fleet.cell.runs)
        self.assertEqual(places, len(fleet.cell.runs["small"]))

    def test_labelled_step_is_placed_after_one_with_another_label_fails(self) -> None:
        """Guards against a shortage of one label that keeps steps with another one waiting."""
        fleet = self._make_fleet()
        fleet.submit(make_job("none", (Step(cpu=100, label="none"),)))
        fleet.submit(make_job("other", (Step(cpu=1_000, label="a"),)))
        fleet.submit(make_job("any", (Step(cpu=1_000),)))
        fleet.run(0.1)
        self.assertNotIn("none", fleet.cell.runs)
        self.assertIn("other", fleet.cell.runs)
        self.assertIn("any", fleet.cell.runs)

    def test_smaller_best_effort_step_is_placed_after_a_larger_one_fails(self) -> None:
        """
        Guards against a best-effort step that no worker has the memory or the accelerators for, and
        that keeps other steps with its image from workers with room for as long as it waits.
        """
        small = Step(cpu=500, best_effort=True, image="f")
        for fields in ({"memory": 9_000}, {"accelerators": 1}):
            fleet = Fleet(workers=4)
            fleet.time += 0.001  # so that no turn falls on the end of a period
            fleet.run(0.1)
            fleet.submit(make_job("large", (msgspec.structs.replace(small, **fields),)))
            fleet.submit(make_job("small", (small,)))
            fleet.run(0.5)
            with self.subTest(**fields):
                self.assertNotIn("large", fleet.cell.runs)
                self.assertIn("small", fleet.cell.runs)

    def test_best_effort_step_is_tried_again_soon_on_a_huge_fleet(self) -> None:
        """
        Guards against a period without another try that grows with the fleet beyond the 3 s in
        which a task has to start once there is room.
        """
        fleet = Fleet(workers=0)
        for number in range(HUGE_FLEET):
            fleet.cell.workers[f"w{number}"] = Worker(fleet.add_worker(f"w{number}").entry)
        step = Step(cpu=500, best_effort=True, image="f")
        fleet.submit(make_job("late", (step,)))
        live = fleet.cell.jobs["late"]
        group = Group("late", 0, 0)
        candidates = CandidateWorkers(
            PlacementRound(fleet.model, fleet.now()), live, group, step, ()
        )
        for _ in range(4):
            fleet.time += MAX_RETRY_S
            with self.subTest(time=fleet.time):
                self.assertFalse(is_known_unplaceable(fleet.cell, step, fleet.now()))
                record_unplaceable(fleet.cell, step, candidates, fleet.now())


if __name__ == "__main__":
    unittest.main()
