"""Tests of the interference model and of the pacing that relies on it."""

from __future__ import annotations

import math
import unittest
from unittest.mock import patch

from toucanpin.scheduling.cell import Cell, Now, add_run
from toucanpin.scheduling.interference_model import (
    CAUTION_DEVIATIONS,
    LOOKAHEAD_S,
    PRIOR_DEVIATION,
    PRIOR_EFFECT,
    Effect,
    InterferenceModel,
)
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.learning import MAX_SAMPLES_PER_S, learn_effects, measure_loads
from toucanpin.scheduling.orders import PaceOrder, StopOrder, WorkerEntry
from toucanpin.scheduling.pacing import EVICT_ALL_AFTER_S, control_pace
from toucanpin.scheduling.prediction import estimate_utilization, predict_share
from toucanpin.scheduling.worker import Phase, Run, Worker

LATENCY_CRITICAL = Step(cpu=10_000, long_running=True, image="web", target=50)
BEST_EFFORT = Step(cpu=6_000, best_effort=True, image="batch", checkpoints=True)
IDLE_TAIL = 10.0


def _tail(utilization: float) -> float:
    return IDLE_TAIL / (1 - utilization)


def _compute_varying_load(steady: float) -> float:
    """Return a load that varies by three fifths with a period of 14 s."""
    return 0.4 * (1 + 0.6 * math.sin(2 * math.pi * steady / 14))


def _now(steady: float) -> Now:
    return Now(steady, int(steady * 1_000), int(steady * 1_000))


class InterferenceModelTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cell = Cell("c", 1, 0.0, 0.0)
        self.model = InterferenceModel()
        self.model.record_tail("web", IDLE_TAIL / 0.775, -100.0)
        self.model.record_tail("web", IDLE_TAIL / 0.775, 0.0)
        for name in ("w0", "w1"):
            entry = WorkerEntry(name, "c", "a:1", "dc", True, 60_000, 256_000, 0)
            self.cell.workers[name] = Worker(entry, reached=True)

    def _add(self, worker: str, job: str, step: Step, index: int = 0, measure: float = 0.0) -> Run:
        run = Run(TaskKey(job, 0, 0, index), 1, worker, step, Phase.RUNNING, percent=100)
        run.measure = measure
        run.started_at = -10.0
        add_run(self.cell, self.cell.workers[worker], run)
        return run

    def _observe(self, steady: float) -> None:
        for worker in self.cell.workers.values():
            worker.answered_at = steady
        measure_loads(self.cell, self.model, _now(steady))
        for worker in self.cell.workers.values():
            learn_effects(self.model, worker, 1, _now(steady))

    def test_an_effect_is_learned_from_a_task_of_the_same_job_without_neighbours(self) -> None:
        self._add("w0", "s", LATENCY_CRITICAL, 0, _tail(0.3))
        self._add("w1", "s", LATENCY_CRITICAL, 1, _tail(0.45))
        self._add("w1", "b", BEST_EFFORT, 0, 6_000)
        for turn in range(20):
            self._observe(10.0 + turn)
        # A tenth of the worker raised utilization by half: an effect of five.
        self.assertAlmostEqual(5.0, self.model.cautious_effect("web", "batch"), delta=1.0)

    def test_harmless_pair_differs_from_unknown_one(self) -> None:
        self._add("w0", "s", LATENCY_CRITICAL, 0, _tail(0.3))
        self._add("w1", "s", LATENCY_CRITICAL, 1, _tail(0.3))
        self._add("w1", "b", BEST_EFFORT, 0, 6_000)
        for turn in range(20):
            self._observe(10.0 + turn)
        self.assertLess(self.model.cautious_effect("web", "batch"), 1.0)
        unknown = PRIOR_EFFECT + CAUTION_DEVIATIONS * PRIOR_DEVIATION
        self.assertEqual(unknown, self.model.cautious_effect("web", "other"))

    def test_learning_rate_is_bounded_on_thousands_of_workers(self) -> None:
        """
        Guards against learning from every answer of a worker, which took an eighth of an owner's
        time with 446 workers.  A few hundred samples per second suffice for each pair of images.
        """
        worker = self.cell.workers["w1"]
        self._add("w0", "s", LATENCY_CRITICAL, 0, _tail(0.3))
        self._add("w1", "s", LATENCY_CRITICAL, 1, _tail(0.45))
        self._add("w1", "b", BEST_EFFORT, 0, 6_000)
        self._observe(10.0)
        workers = 5_000
        with patch.object(InterferenceModel, "learn", autospec=True) as learned:
            for tenth in range(1, 401):
                learn_effects(self.model, worker, workers, _now(10.0 + tenth / 10))
        self.assertLessEqual(learned.call_count * workers / 40.0, 1.1 * MAX_SAMPLES_PER_S)
        self.assertGreater(learned.call_count, 0)

    def test_utilization_exceeds_one_at_high_tails(self) -> None:
        run = self._add("w0", "s", LATENCY_CRITICAL, 0, 600.0)
        self.assertGreater(self.model.utilization(run), 1.0)
        run.measure = 5.0
        self.assertEqual(0.0, self.model.utilization(run))

    def test_trend_beats_fixed_margin_for_varying_load(self) -> None:
        """
        Guards against best-effort work sized for a past load, and against idle cores as the load
        falls.
        """
        run = self._add("w0", "s", LATENCY_CRITICAL)
        shortfalls, excesses, rises = [], [], []
        for number in range(350):
            steady = 10.0 + 0.2 * number
            self.model.record_load("s", _compute_varying_load(steady), True, steady)
            planned, after = self.model.planned_load(run), _compute_varying_load(
                steady + LOOKAHEAD_S
            )
            shortfalls.append(after - planned)
            excesses.append(planned - after)
            rises.append(after - _compute_varying_load(steady))
        margin = max(rises) - max(shortfalls)  # fixed margin with the same worst shortfall
        self.assertLess(sum(excesses) / len(excesses), 0.8 * margin)

    def test_neighbour_raises_predicted_share(self) -> None:
        self._add("w0", "s", LATENCY_CRITICAL, 0, _tail(0.4))
        self._observe(10.0)
        worker = self.cell.workers["w0"]
        utilization = estimate_utilization(self.model, worker)
        alone = predict_share(self.model, utilization, "batch", 0)
        beside = predict_share(self.model, utilization, "batch", 6_000)
        self.assertGreater(beside, alone)

    def test_harmful_resumable_task_is_stopped(self) -> None:
        self._add("w0", "s", LATENCY_CRITICAL, 0, _tail(0.4))
        self._add("w1", "s", LATENCY_CRITICAL, 1, _tail(0.79))
        self._add("w1", "b", BEST_EFFORT, 0, 6_000)
        self._observe(10.0)
        control_pace(self.cell, self.model, _now(10.3))
        self.assertIsInstance(self.cell.orders[0], StopOrder)

    def test_harmful_task_that_cannot_resume_is_slowed_down(self) -> None:
        step = Step(cpu=6_000, best_effort=True, image="batch")
        self._add("w0", "s", LATENCY_CRITICAL, 0, _tail(0.4))
        self._add("w1", "s", LATENCY_CRITICAL, 1, _tail(0.79))
        run = self._add("w1", "b", step, 0, 6_000)
        run.percent = 60
        self._observe(10.0)
        control_pace(self.cell, self.model, _now(10.3))
        self.assertIsInstance(self.cell.orders[0], PaceOrder)
        self.assertLess(run.pace, 100)

    def test_failing_worker_is_no_destination(self) -> None:
        """
        Guards against stopping a task that can't resume for a worker on which all tasks fail, which
        is empty and looks best: the task would lose its work and find no worker.
        """
        step = Step(cpu=6_000, best_effort=True, image="batch")
        self._add("w0", "s", LATENCY_CRITICAL, 0, _tail(0.79))
        run = self._add("w0", "b", step, 0, 6_000)
        run.percent = 10
        failing = self.cell.workers["w1"]
        failing.failed_jobs = {"x", "y", "z"}
        failing.retries_blocked_until = 12.0
        self._observe(10.0)
        control_pace(self.cell, self.model, _now(10.3))
        self.assertIsInstance(self.cell.orders[0], PaceOrder)

    def test_all_best_effort_tasks_leave_before_the_limit(self) -> None:
        """
        Guards against a target that is exceeded for four seconds because the estimates take harmful
        neighbours for harmless.
        """
        self._add("w0", "s", LATENCY_CRITICAL, 0, _tail(0.9))
        run = self._add("w0", "b", BEST_EFFORT, 0, 6_000)
        self.model._store_effect(Effect("web", "batch", 0.0, 0.1))
        steady = 10.0
        while run.phase is Phase.RUNNING and steady < 15.0:
            self.cell.workers["w0"].answered_at = steady
            control_pace(self.cell, self.model, _now(steady))
            steady += 0.25
        self.assertLess(steady - 10.0, EVICT_ALL_AFTER_S + 1.0)


if __name__ == "__main__":
    unittest.main()
