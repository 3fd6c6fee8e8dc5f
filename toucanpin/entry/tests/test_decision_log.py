"""Log lines about scheduling decisions, and limits on their number."""

from __future__ import annotations

import unittest
from dataclasses import replace

import logbook

from toucanpin.entry.decision_log import (
    MAX_LOGGED_WAITS,
    log_ended,
    log_failed_tasks,
    log_losses,
    log_placement,
    log_reappearances,
    log_steps_at_fault,
    log_waits,
)
from toucanpin.scheduling.cell import Group
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.orders import PollAnswer
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.worker_answers import apply_answer

_HISTORY = ("attempts", "failures", "losses")
_SEEN = ("task", "attempt", "worker", "end")


class DecisionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=1, cpu=1_000)
        self.handler = logbook.TestHandler()
        self.handler.push_context()
        self.addCleanup(self.handler.pop_context)

    def _events(self) -> list[str]:
        return [record.kwargs["event"] for record in self.handler.records]

    def test_a_step_that_fails_on_most_workers_is_logged_once(self) -> None:
        for number in range(3):
            self.fleet.add_worker(f"more{number}")
        for worker in self.fleet.workers.values():
            worker.failing = True
        self.fleet.submit(make_job("j", (Step(count=4, cpu=1_000, long_running=True),)))
        self.fleet.run(5.0)
        log_steps_at_fault(self.fleet.cell)
        log_steps_at_fault(self.fleet.cell)
        self.assertEqual(["job.at_fault"], self._events())

    def test_only_the_longest_waits_are_logged(self) -> None:
        """
        Thousands of steps wait in an overload.  A line for each of them would fill the log and take
        the owner's processor time.
        """
        for number in range(3 * MAX_LOGGED_WAITS):
            self.fleet.submit(make_job(f"j{number:02}", (Step(cpu=900),), accepted=number))
        self.fleet.run(0.8)
        log_waits(self.fleet.cell, self.fleet.now())
        log_waits(self.fleet.cell, self.fleet.now())
        self.assertEqual(2 * MAX_LOGGED_WAITS, self._events().count("task.waiting"))
        logged = {record.kwargs["job"] for record in self.handler.records}
        self.assertEqual(2 * MAX_LOGGED_WAITS, len(logged))
        self.assertEqual("no room", self.handler.records[0].kwargs["why"])

    def test_a_logged_wait_shows_requested_and_free_cores(self) -> None:
        """
        A step waits for 40 s while thousands of its queue are placed.  The line must show that each
        of its tasks requests more cores than any worker has free.
        """
        self.fleet.workers["w0"].duration = 60.0
        self.fleet.submit(make_job("small", (Step(cpu=600),)))
        self.fleet.run(0.5)
        self.fleet.submit(make_job("large", (Step(cpu=900),)))
        self.fleet.run(0.8)
        log_waits(self.fleet.cell, self.fleet.now())
        logged = self.handler.records[0].kwargs
        self.assertEqual((900, 400), (logged["cpu"], logged["free"]))

    def test_a_run_that_is_lost_with_its_worker_is_logged_once(self) -> None:
        """Guards against tasks that are lost repeatedly without a line in the log."""
        self.fleet.submit(make_job("j1", (Step(cpu=900),)))
        self.fleet.run(0.5)
        del self.fleet.workers["w0"]
        self.fleet.add_worker("w0'")
        self.fleet.run(0.2)
        log_losses(self.fleet.cell)
        log_losses(self.fleet.cell)
        logged = [r.kwargs for r in self.handler.records if r.kwargs["event"] == "task.lost"]
        self.assertEqual(
            [("j1.0.0.0", 1, "w0")], [(t["task"], t["attempt"], t["worker"]) for t in logged]
        )
        self.assertEqual("another life answers at its worker's address", logged[0]["cause"])

    def test_a_lost_run_shows_what_its_release_relied_on(self) -> None:
        """Guards against tasks that run twice while nothing tells why the first was released."""
        self.fleet.workers["w0"].duration = 60.0
        self.fleet.submit(make_job("j1", (Step(cpu=900),)))
        self.fleet.run(12.0)
        self.fleet.workers["w0"].silent = True
        self.fleet.refusing.add("w0")
        self.fleet.unlisted.add("w0")
        self.fleet.run(6.0)
        log_losses(self.fleet.cell)
        (lost,) = [r.kwargs for r in self.handler.records if r.kwargs["event"] == "task.lost"]
        self.assertEqual("connection refused", lost["silence"])
        since = (lost["silent"], lost["unlisted"], lost["lease_left"])
        self.assertTrue(all(isinstance(seconds, float) for seconds in since), since)
        self.assertAlmostEqual(lost["silent"], lost["unlisted"], delta=0.1)

    def test_a_released_run_that_is_seen_again_is_logged_once(self) -> None:
        """Guards against a run beside its replacement that nobody notices."""
        worker = self.fleet.workers["w0"]
        worker.duration = 60.0
        self.fleet.submit(make_job("j1", (Step(cpu=900),)))
        self.fleet.run(12.0)
        worker.silent = True
        worker.deadline = self.fleet.clock("w0") + 60.0  # a worker that ignores its lease
        self.fleet.run(6.0)
        worker.silent = False
        self.fleet.run(1.0)
        log_reappearances(self.fleet.cell)
        log_reappearances(self.fleet.cell)
        (seen,) = [r.kwargs for r in self.handler.records if r.kwargs["event"] == "task.seen_again"]
        self.assertEqual(("j1.0.0.0", 1, "w0", ""), tuple(seen[it] for it in _SEEN))
        self.assertLess(0.0, seen["after"])

    def test_an_answer_from_before_a_release_is_no_sight_of_its_run(self) -> None:
        """Guards against a warning whenever a worker's last answer comes late."""
        worker = self.fleet.workers["w0"]
        worker.duration = 60.0
        self.fleet.submit(make_job("j1", (Step(cpu=900),)))
        self.fleet.run(12.0)
        worker.silent = True
        self.fleet.run(4.0)
        known, asked_at = self.fleet.cell.workers["w0"], self.fleet.time
        answer = worker.poll(self.fleet.cell.token, 0, 0, self.fleet.clock("w0"))
        self.fleet.run(1.0)
        assert isinstance(answer, PollAnswer)
        apply_answer(self.fleet.cell, known, answer, asked_at, self.fleet.now())
        log_reappearances(self.fleet.cell)
        self.assertNotIn("task.seen_again", self._events())

    def test_a_long_wait_shows_what_keeps_workers_from_the_step(self) -> None:
        """Guards against waits whose cause can't be told: room that lies on unusable workers."""
        self.fleet.add_worker("w1", 1_000)
        leaving = self.fleet.add_worker("w2", 1_000)
        leaving.entry = replace(leaving.entry, ready=False)
        self.fleet.run(0.2)
        self.fleet.workers["w1"].silent = True
        self.fleet.submit(make_job("j1", (Step(cpu=2_000),)))
        self.fleet.run(2.5)
        log_waits(self.fleet.cell, self.fleet.now())
        logged = {record.kwargs["event"]: record.kwargs for record in self.handler.records}
        self.assertEqual("1 no room, 1 silent, 1 leaving", logged["task.excluded"]["workers"])
        self.assertEqual((0, 0, 0), tuple(logged["task.waiting"][it] for it in _HISTORY))

    def test_a_task_that_is_given_up_shows_its_losses(self) -> None:
        """Guards against jobs that are shown as failed without a trace of the reason."""
        self.fleet.submit(make_job("j1"))
        self.fleet.run(0.2)
        record, *_ = self.fleet.cell.jobs["j1"].progress.tasks[0]
        record.crashed = {"w8/7": True, "w9": False}
        record.lost_at = {"w8/7": self.fleet.now().table - 1_500}
        log_failed_tasks(self.fleet.cell, [TaskKey("j1", 0, 0, 0)], self.fleet.now())
        self.assertEqual(
            "w8/7 at the start 1.5 s ago, w9 later 0.0 s ago",
            self.handler.records[-1].kwargs["losses"],
        )

    def test_a_placement_shows_its_wait_and_an_end_is_logged_once(self) -> None:
        self.fleet.submit(make_job("first", (Step(cpu=900),), accepted=1))
        self.fleet.submit(make_job("second", (Step(cpu=900),), accepted=2))
        self.fleet.run(1.3)
        cell = self.fleet.cell
        run = next(iter(cell.workers["w0"].runs.values()))
        self.assertNotIn(Group("second", 0, 0), cell.waits)
        log_placement(cell, run, self.fleet.now())
        self.assertGreater(self.handler.records[0].kwargs["waited"], 0.8)
        for _ in range(2):
            log_ended(cell, ["first", "second", "unknown"], self.fleet.now())
        self.assertEqual(1, self._events().count("job.ended"))


if __name__ == "__main__":
    unittest.main()
