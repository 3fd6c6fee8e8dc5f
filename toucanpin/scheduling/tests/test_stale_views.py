"""Decisions beside lists that aren't whole, and beside what was listed long ago."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.leases import apply_answer
from toucanpin.scheduling.moving import move_tasks
from toucanpin.scheduling.orders import EndedRun, PollAnswer, RunEnd, StopOrder
from toucanpin.scheduling.pacing import control_pace
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.upkeep import drain_worker
from toucanpin.scheduling.worker import Phase


class PartialListTest(unittest.TestCase):
    def test_an_end_that_did_not_fit_the_list_of_ends_is_waited_for(self) -> None:
        """
        The caller's task is done twice.  A worker tells at most 500 ends at a time, and many wait
        to be acknowledged after an outage.  A task whose end comes after these is listed neither as
        running nor as ended; it was taken for one that was lost, and placed again.
        """
        fleet = Fleet(workers=1)
        fleet.workers["w0"].lasts = 60.0
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


class WokenOwnerTest(unittest.TestCase):
    def test_tasks_do_not_stand_still_for_an_owner_that_was_suspended(self) -> None:
        """
        The process of the owner is suspended for two seconds and keeps its cell.  Its newest lists
        are two seconds old as it wakes, and they show no progress since, so every task seemed to
        stand still: all of them were stopped, and what can't resume began anew.
        """
        fleet = Fleet()
        for worker in fleet.workers.values():
            worker.lasts = 30.0
        fleet.submit(make_job(steps=(Step(count=4, cpu=1_000),)))
        fleet.run(1.0)
        self.assertEqual(4, len(fleet.cell.runs["j1"]))
        fleet.time += 2.0
        move_tasks(fleet.cell, fleet.now())
        self.assertEqual([], fleet.cell.orders)

    def test_what_fills_is_not_cleared_for_a_tail_that_nobody_measured_again(self) -> None:
        """
        A serving task was over its target in the newest list, and its owner is suspended for two
        seconds.  As it woke the task seemed to have been over its target all the while, and all
        batch work beside it was stopped.
        """
        fleet = Fleet(workers=1)
        fleet.workers["w0"].lasts = 30.0
        serving = Step(cpu=1_000, long_running=True, target=100, image="serves")
        filling = Step(cpu=1_000, best_effort=True, checkpoints=True, image="fills")
        fleet.submit(make_job("s", (serving,)))
        fleet.submit(make_job("b", (filling,)))
        fleet.run(0.5)
        (served,) = fleet.cell.runs["s"]
        self.assertTrue(fleet.cell.runs["b"])
        served.measure = 101.0
        fleet.cell.workers["w0"].throttled_at = fleet.time
        control_pace(fleet.cell, fleet.model, fleet.now())
        fleet.time += 0.25
        control_pace(fleet.cell, fleet.model, fleet.now())
        fleet.time += 2.0
        control_pace(fleet.cell, fleet.model, fleet.now())
        stops = [order.reason for order in fleet.cell.orders if isinstance(order, StopOrder)]
        self.assertNotIn("serving task over its target", stops)

    def test_a_lasting_task_on_a_worker_not_heard_of_counts_as_away(self) -> None:
        """
        Users bear one task of their service away.  One stood on a worker that crashed 3 s ago; its
        newest list shows it at work and its lease still runs, so a second one was stopped for an
        upkeep while the first was away.
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
