"""Decisions based on incomplete answers and on old ones."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.moving import move_tasks
from toucanpin.scheduling.orders import EndedRun, PollAnswer, RunEnd, StopOrder
from toucanpin.scheduling.pacing import control_pace
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.upkeep import drain_worker
from toucanpin.scheduling.worker import Phase
from toucanpin.scheduling.worker_answers import apply_answer


class PartialListTest(unittest.TestCase):
    def test_missing_run_is_kept_while_the_list_of_ends_is_full(self) -> None:
        """
        A worker reports at most 500 ends at a time, and more may be pending after an outage. Guards
        against treating a task whose end comes later, and that is listed neither as running nor as
        ended, as lost, so that it runs twice.
        """
        fleet = Fleet(workers=1)
        fleet.workers["w0"].duration = 60.0
        fleet.submit(make_job())
        fleet.run(0.5)
        worker = fleet.cell.workers["w0"]
        (run,) = fleet.cell.runs["j1"]
        ends = [
            EndedRun(number, TaskKey("old", 0, 0, number), 1, RunEnd.STOPPED, "")
            for number in range(1, 501)
        ]
        apply_answer(
            fleet.cell, worker, PollAnswer(1, (), tuple(ends)), fleet.time + 1.0, fleet.now()
        )
        self.assertIs(Phase.RUNNING, run.phase)
        done = EndedRun(501, run.task, run.attempt, RunEnd.DONE, "")
        apply_answer(fleet.cell, worker, PollAnswer(2, (), (done,)), fleet.time + 1.0, fleet.now())
        self.assertEqual(JobState.COMPLETED, fleet.cell.jobs["j1"].progress.state)


class ResumedOwnerTest(unittest.TestCase):
    def test_tasks_are_not_stalled_for_a_resumed_owner(self) -> None:
        """
        The owner's process is suspended for two seconds and keeps its cell. Guards against stopping
        all tasks as stalled because its latest answers, two seconds old, show no progress since.
        """
        fleet = Fleet()
        for worker in fleet.workers.values():
            worker.duration = 30.0
        fleet.submit(make_job(steps=(Step(count=4, cpu=1_000),)))
        fleet.run(1.0)
        self.assertEqual(4, len(fleet.cell.runs["j1"]))
        fleet.time += 2.0
        move_tasks(fleet.cell, fleet.now())
        self.assertEqual([], fleet.cell.orders)

    def test_best_effort_tasks_are_not_evicted_on_an_old_measurement(self) -> None:
        """
        A latency-critical task exceeded its target in the latest answer before the owner was
        suspended for two seconds. Guards against treating it as over its target all the time, and
        stopping the best-effort tasks beside it.
        """
        fleet = Fleet(workers=1)
        fleet.workers["w0"].duration = 30.0
        critical = Step(cpu=1_000, long_running=True, target=100, image="web")
        best_effort = Step(cpu=1_000, best_effort=True, checkpoints=True, image="batch")
        fleet.submit(make_job("s", (critical,)))
        fleet.submit(make_job("b", (best_effort,)))
        fleet.run(0.5)
        (service_run,) = fleet.cell.runs["s"]
        self.assertTrue(fleet.cell.runs["b"])
        service_run.measure = 101.0
        fleet.cell.workers["w0"].slowed_down_at = fleet.time
        control_pace(fleet.cell, fleet.model, fleet.now())
        fleet.time += 0.25
        control_pace(fleet.cell, fleet.model, fleet.now())
        fleet.time += 2.0
        control_pace(fleet.cell, fleet.model, fleet.now())
        stops = [order.reason for order in fleet.cell.orders if isinstance(order, StopOrder)]
        self.assertNotIn("serving task over its target", stops)

    def test_task_on_a_silent_worker_counts_as_unavailable(self) -> None:
        """
        One task of a service may be unavailable. A worker crashed 3 s ago; its latest answer shows
        its task running and its lease hasn't expired. Guards against stopping a second task for
        upkeep meanwhile.
        """
        fleet = Fleet()
        step = Step(count=2, cpu=1_000, long_running=True, per_worker=1, max_unavailable=1)
        fleet.submit(make_job("s", (step,)))
        fleet.run(0.5)
        for run in fleet.cell.runs["s"]:
            run.percent = 100
        fleet.workers["w0"].silent = True
        drain_worker(fleet.cell, fleet.cell.workers["w1"], fleet.now())
        self.assertEqual(["w1"], [order.worker for order in fleet.cell.orders])
        fleet.cell.orders.clear()
        for run in fleet.cell.runs["s"]:
            run.phase = Phase.RUNNING
        fleet.time += 3.0
        drain_worker(fleet.cell, fleet.cell.workers["w1"], fleet.now())
        self.assertEqual([], fleet.cell.orders)


if __name__ == "__main__":
    unittest.main()
