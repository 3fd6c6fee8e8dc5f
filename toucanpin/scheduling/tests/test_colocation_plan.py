"""Tests of placing latency-critical and best-effort tasks by one plan."""

from __future__ import annotations

import unittest
from collections import Counter
from itertools import count

from toucanpin.scheduling.cell import Cell, Group, Now, add_run
from toucanpin.scheduling.colocation_plan import ColocationPlan, update_plan
from toucanpin.scheduling.colocation_report import Obstacle, describe_colocation
from toucanpin.scheduling.consolidating import consolidate_images
from toucanpin.scheduling.durations import Durations
from toucanpin.scheduling.intake import submit_job
from toucanpin.scheduling.interference_model import Effect, InterferenceModel
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.learning import learn_effects, measure_loads
from toucanpin.scheduling.orders import WorkerEntry
from toucanpin.scheduling.placing import place_tasks
from toucanpin.scheduling.tests.fleet import make_job
from toucanpin.scheduling.waits import Wait, WaitReason
from toucanpin.scheduling.worker import Phase, Run, Worker

NOW = Now(100.0, 100_000, 100_000)
IDLE_TAIL = 10.0
HARMLESS, HARMFUL = 0.2, 4.5
# By service, the effects of an image that is harmless to all, and of one that needs "calm".
EFFECTS = {"calm": (HARMLESS, HARMLESS), "tender": (HARMLESS, HARMFUL)}
EASY = Step(count=8, cpu=7_000, memory=1_000, best_effort=True, image="easy")
PICKY = Step(count=8, cpu=7_000, memory=1_000, best_effort=True, image="picky")


def _serve(image: str, tasks: int = 4) -> Step:
    return Step(count=tasks, cpu=12_000, long_running=True, image=image, target=50)


def _tail(utilization: float) -> float:
    return IDLE_TAIL / (1 - utilization)


class ColocationTest(unittest.TestCase):
    """A cell whose workers run one latency-critical image each."""

    def set_up(self, plan: ColocationPlan | None, cores: int = 64) -> None:
        self.cell = Cell("c", 1, 0.0, 100.0)
        self.model = InterferenceModel(plan)
        self.cores = cores
        self.indices = count()
        for service, effects in EFFECTS.items():
            self.model.record_tail(service, IDLE_TAIL / 0.775, -100.0)
            self.model.record_tail(service, IDLE_TAIL / 0.775, 0.0)
            for image, effect in zip(("easy", "picky"), effects, strict=True):
                self.model._store_effect(Effect(service, image, effect, 0.1))

    def add_worker(self, name: str, *images: str) -> Worker:
        capacity = 1_000 * self.cores
        entry = WorkerEntry(name, "c", "10.0.0.1:1", "dc", True, capacity, 4 * capacity, 0)
        worker = Worker(entry, reached=True, answered_at=NOW.steady)
        self.cell.workers[name] = worker
        for image in images:
            self.add_run(worker, image, _serve(image), _tail(0.4))
        return worker

    def add_run(self, worker: Worker, job: str, step: Step, measure: float) -> Run:
        task = TaskKey(job, 0, 0, next(self.indices))
        run = Run(task, 1, worker.entry.id, step, Phase.RUNNING, percent=100, measure=measure)
        run.last_listed_at = NOW.steady
        run.started_at = 80.0
        add_run(self.cell, worker, run)
        return run

    def place(self, job: str, step: Step, priority: int = 2) -> list[str]:
        """Place the tasks of a job, and return the workers chosen for them."""
        submit_job(self.cell, make_job(job, (step,), priority=priority), NOW)
        place_tasks(self.cell, self.model, NOW)
        return [run.worker for run in self.cell.placed if run.task.job == job]

    def want(self, **cores: int) -> None:
        if self.model.plan is not None:
            self.model.plan.record_demand(Counter(cores), NOW.steady)


class BestEffortPlacementTest(ColocationTest):
    def test_undemanding_task_leaves_the_only_harmless_worker_to_another(self) -> None:
        """
        Guards against best-effort tasks that wait because others, which could run anywhere, have
        taken the few workers whose services they don't harm.
        """
        chosen = {}
        for plan in (None, ColocationPlan()):
            self.set_up(plan)
            self.add_worker("w0", "calm", "calm")
            self.add_worker("w1", "tender", "tender", "tender")
            self.want(easy=10, picky=200)
            chosen[plan is not None] = set(self.place("easy", Step(**_fields(EASY, count=3))))
        self.assertEqual({"w1"}, chosen[True])
        self.assertIn("w0", chosen[False])  # as before without the feature

    def test_workers_without_services_are_kept_as_well(self) -> None:
        self.set_up(ColocationPlan())
        self.add_worker("w0")
        self.add_worker("w1", "tender", "tender")
        self.want(picky=200)
        self.assertEqual(["w1"], self.place("easy", Step(**_fields(EASY, count=1))))


class PlanTest(unittest.TestCase):
    def test_share_falls_with_each_service_that_is_harmed(self) -> None:
        plan = ColocationPlan()
        plan.record_demand(Counter(easy=50, picky=50), 1.0)

        def effect(service: str, image: str) -> float:
            return EFFECTS[service][image == "picky"]

        self.assertEqual(1.0, plan.usable_share(effect, frozenset({"calm"})))
        tender = plan.usable_share(effect, frozenset({"calm", "tender"}))
        self.assertAlmostEqual(0.5 + 0.5 / HARMFUL, tender)

    def test_images_that_nobody_requests_are_forgotten(self) -> None:
        """Guards against a plan that grows with each image, in a cell that is kept for months."""
        plan = ColocationPlan()
        plan.record_demand(Counter(old=50), 1.0)
        plan.record_demand(Counter(new=50), 100.0)
        self.assertEqual({"new"}, set(plan.demand))

    def test_waiting_work_counts_more_than_running(self) -> None:
        cell = Cell("c", 1, 0.0, 100.0)
        submit_job(cell, make_job("easy", (EASY,), priority=2), NOW)
        plan = ColocationPlan()
        update_plan(cell, plan, NOW)
        self.assertEqual({"easy": 56.0}, plan.demand)


class HangingWorkerTest(ColocationTest):
    """A worker hangs for seconds: the tails of its services grow to tens of seconds."""

    def _measure(self, plan: ColocationPlan | None) -> None:
        self.set_up(plan)
        for number in range(4):
            self.add_worker(f"w{number}", "calm")
        hanging = self.cell.workers["w3"]
        next(iter(hanging.runs.values())).measure = 30_000.0
        self.add_run(hanging, "batch", EASY, 7_000)
        measure_loads(self.cell, self.model, NOW)

    def test_one_hanging_worker_does_not_change_the_load_of_a_job(self) -> None:
        """
        Guards against best-effort tasks that are stopped on all workers of a service and placed
        on none, because the mean over its tasks counts one worker that hangs.
        """
        self._measure(ColocationPlan())
        self.assertAlmostEqual(0.4, self.model.loads["calm"].value, delta=0.02)
        self._measure(None)
        self.assertGreater(self.model.loads["calm"].value, 1.0)  # as before without the feature

    def test_best_effort_image_is_not_blamed_for_a_hang(self) -> None:
        """
        Guards against a harmless image that counts as harmful for minutes, because its tasks were
        on a worker that hung.
        """
        self._measure(ColocationPlan())
        learn_effects(self.model, self.cell.workers["w3"], 4, NOW)
        self.assertAlmostEqual(HARMLESS, self.model.expected_effect("calm", "easy"))


class SmallWorkerTest(ColocationTest):
    def test_move_on_small_workers_needs_to_help_one_task_only(self) -> None:
        """
        Guards against best-effort tasks that wait beside idle cores on workers of 16 cores, where
        no move can make the cores of a large task usable.
        """
        for plan, moves in ((None, False), (ColocationPlan(), True)):
            self.set_up(plan, cores=16)
            step = Step(count=2, cpu=4_000, long_running=True, image="tender", target=50)
            calm = Step(count=2, cpu=12_000, long_running=True, image="calm", target=50)
            batch = Step(count=4, cpu=3_000, best_effort=True, image="picky", checkpoints=True)
            submit_job(self.cell, make_job("tender", (step,)), NOW)
            submit_job(self.cell, make_job("batch", (batch,), priority=2), NOW)
            self.cell.waits[Group("batch", 0, 0)] = Wait(95.0, WaitReason.INTERFERENCE)
            first, second = self.add_worker("w0"), self.add_worker("w1")
            self.indices = count()
            stray = self.add_run(first, "tender", step, _tail(0.4))
            self.add_run(second, "tender", step, _tail(0.4))
            self.add_run(first, "calm", calm, _tail(0.4))
            found = consolidate_images(self.cell, self.model, NOW)
            self.assertIs(stray if moves else None, found)


class ReportTest(ColocationTest):
    def test_obstacle_of_waiting_work_is_named(self) -> None:
        self.set_up(ColocationPlan())
        worker = self.add_worker("w0", "tender", "tender")
        for run in worker.runs.values():
            run.measure = _tail(0.7)
        measure_loads(self.cell, self.model, NOW)
        submit_job(self.cell, make_job("batch", (PICKY,), priority=2), NOW)
        place_tasks(self.cell, self.model, NOW)
        report = describe_colocation(self.cell, self.model, NOW)
        self.assertEqual(56.0, report.waiting)
        self.assertEqual({Obstacle.HARMFUL}, set(report.blocked))
        self.assertEqual({1: 1}, dict(report.images))


class TakeoverTest(unittest.TestCase):
    def test_next_owner_places_by_what_was_learned(self) -> None:
        """Guards against a new owner that places harmful pairs together until it has relearned."""
        model = InterferenceModel(ColocationPlan())
        model._store_effect(Effect("tender", "picky", HARMFUL, 0.1))
        model._store_effect(Effect("calm", "picky", HARMLESS, 0.1))
        successor = InterferenceModel(ColocationPlan())
        successor.restore(model.export(Durations({}), {}), 200.0)
        self.assertAlmostEqual(HARMFUL, successor.expected_effect("tender", "picky"))
        self.assertAlmostEqual(HARMLESS, successor.expected_effect("calm", "picky"))


def _fields(step: Step, **changes: int) -> dict:
    fields = {name: getattr(step, name) for name in step.__struct_fields__}
    return fields | changes


if __name__ == "__main__":
    unittest.main()
