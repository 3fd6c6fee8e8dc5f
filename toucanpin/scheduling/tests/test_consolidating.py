"""Tests of moving long-running tasks off workers where they block best-effort work."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.cell import Cell, Group, Now, add_run
from toucanpin.scheduling.consolidating import consolidate_images
from toucanpin.scheduling.intake import submit_job
from toucanpin.scheduling.interference_model import Effect, InterferenceModel
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.orders import StopOrder, WorkerEntry
from toucanpin.scheduling.tests.fleet import make_job
from toucanpin.scheduling.waits import Wait, WaitReason
from toucanpin.scheduling.worker import Phase, Run, Worker

WEB = Step(count=4, cpu=12_000, long_running=True, image="web", target=50)
FEED = Step(count=4, cpu=12_000, long_running=True, image="feed", target=50)
BEST_EFFORT = Step(count=6, cpu=7_000, best_effort=True, image="batch", checkpoints=True)
NOW = Now(100.0, 100_000, 100_000)


class ConsolidatingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cell = Cell("c", 1, 0.0, 100.0)
        self.model = InterferenceModel()
        for name in ("w0", "w1"):
            entry = WorkerEntry(name, "c", "10.0.0.1:1", "dc", True, 64_000, 256_000, 0)
            worker = Worker(entry, reached=True, answered_at=NOW.steady)
            self.cell.workers[name] = worker
        self._learn("web", 0.3)
        self._learn("feed", 4.5)
        submit_job(self.cell, make_job("web", (WEB,)), NOW)
        submit_job(self.cell, make_job("feed", (FEED,)), NOW)
        submit_job(self.cell, make_job("batch", (BEST_EFFORT,), priority=2), NOW)
        self.cell.waits[Group("batch", 0, 0)] = Wait(95.0, WaitReason.INTERFERENCE)
        for index in range(3):
            self._run("w0", "web", WEB, index)
            self._run("w1", "feed", FEED, index)
        self.misplaced = self._run("w0", "feed", FEED, 3)

    def _learn(self, image: str, effect: float) -> None:
        self.model._store_effect(Effect(image, "batch", effect, 0.2))

    def _run(self, worker: str, job: str, step: Step, index: int) -> Run:
        run = Run(
            TaskKey(job, 0, 0, index),
            1,
            worker,
            step,
            Phase.RUNNING,
            percent=100,
            last_listed_at=NOW.steady,
        )
        add_run(self.cell, self.cell.workers[worker], run)
        return run

    def test_task_that_blocks_best_effort_work_is_moved(self) -> None:
        """
        Guards against best-effort tasks that wait for seconds beside idle cores, because a single
        task of another image on the worker would be disturbed, though workers of that image have
        room for it.
        """
        self.assertIs(self.misplaced, consolidate_images(self.cell, self.model, NOW))
        self.assertIsInstance(self.cell.orders[0], StopOrder)

    def test_no_move_without_waiting_best_effort_work(self) -> None:
        self.cell.waits.clear()
        self.assertIsNone(consolidate_images(self.cell, self.model, NOW))

    def test_no_move_without_worker_of_same_image(self) -> None:
        self.cell.workers["w1"].malformed = True
        self.assertIsNone(consolidate_images(self.cell, self.model, NOW))

    def test_no_move_for_harmless_best_effort_work(self) -> None:
        self._learn("feed", 0.3)
        self.assertIsNone(consolidate_images(self.cell, self.model, NOW))

    def test_no_move_while_another_task_is_unavailable(self) -> None:
        """Guards against an outage of a service by moves of several of its tasks at a time."""
        next(iter(self.cell.workers["w1"].runs.values())).percent = 0
        self.assertIsNone(consolidate_images(self.cell, self.model, NOW))


if __name__ == "__main__":
    unittest.main()
