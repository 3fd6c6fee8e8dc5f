"""Workers that restart under the id that they had."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from toucanpin.scheduling.advising import Advice, AdviceRequest, find_ticket, record_advice
from toucanpin.scheduling.cell import Group, StepTickets
from toucanpin.scheduling.incarnations import admit_answer, begin_incarnation
from toucanpin.scheduling.intake import cancel_job
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.leases import update_workers
from toucanpin.scheduling.progress import (
    JobState,
)
from toucanpin.scheduling.starting import apply_start_failure
from toucanpin.scheduling.stopping import stop_run
from toucanpin.scheduling.tests.fleet import FIRST_BORN, Fleet, make_job
from toucanpin.scheduling.trust import is_distrusted
from toucanpin.scheduling.worker import Run
from toucanpin.scheduling.write_batches import apply_batch, take_batch

LASTING = Step(cpu=1_000, long_running=True)


class RestartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=1)

    def _start_lasting(self, name: str = "j1", count: int = 1) -> None:
        self.fleet.workers["w0"].duration = 60.0
        self.fleet.submit(make_job(name, (Step(count=count, cpu=1_000, long_running=True),)))
        self.fleet.run(0.5)

    def test_ends_of_the_next_incarnation_are_counted(self) -> None:
        """Guards against ends with low numbers that are ignored, so that their tasks run again."""
        self.fleet.submit(make_job("j1", (Step(count=4, cpu=1_000),)))
        self.fleet.run(2.0)
        core = self.fleet.restart("w0")
        self.fleet.submit(make_job("j2", (Step(count=3, cpu=1_000),)))
        self.fleet.run(4.0)
        self.assertEqual(JobState.COMPLETED, self.fleet.state("j2"))
        self.assertEqual(3, len(core.starts))
        self.assertEqual((3, []), (core.acknowledged, core.ended))

    def test_runs_of_the_earlier_incarnation_start_again(self) -> None:
        """Guards against tasks that count as running on a worker that has forgotten them."""
        self._start_lasting(count=2)
        core = self.fleet.restart("w0")
        self.fleet.run(1.0)
        self.assertEqual(2, len(core.runs))
        self.assertFalse(self.fleet.duplicate_runs)

    def test_write_of_earlier_ends_acknowledges_nothing_later(self) -> None:
        """
        A worker restarts while the end that it listed is being written.  Guards against
        acknowledging the next incarnation's first end, which no owner has seen.
        """
        self.fleet.submit(make_job())
        self.fleet.run(0.5)
        self.fleet.store_up = False
        self.fleet.run(2.0)
        batch = take_batch(self.fleet.cell)
        self.fleet.restart("w0")
        self.fleet.run(0.2)
        apply_batch(self.fleet.cell, batch)
        self.assertEqual(0, self.fleet.cell.workers["w0"].acknowledged_sequence)

    def test_late_poll_acknowledges_nothing_of_the_next_incarnation(self) -> None:
        """
        Guards against a poll of the earlier incarnation that the next one carries out late, and
        that makes it forget ends which no owner has seen.
        """
        self.fleet.submit(make_job("j1", (Step(count=4, cpu=1_000),)))
        self.fleet.run(2.0)
        self.assertEqual(4, self.fleet.workers["w0"].acknowledged)
        self.fleet.workers["w0"].acknowledged = 0
        self.fleet.run(0.5)
        self.assertEqual(0, self.fleet.workers["w0"].acknowledged)

    def _leave_start_unanswered(self) -> tuple[Fleet, Run]:
        """Return a fleet of two workers, of which one has left a start unanswered, and the run."""
        fleet = Fleet(workers=2)
        for core in fleet.workers.values():
            core.duration = 60.0
            core.delays_orders = True
        fleet.submit(make_job(steps=(LASTING,)))
        fleet.run(1.0)
        (run,) = fleet.cell.runs["j1"]
        for core in fleet.workers.values():
            core.delays_orders = False
        return fleet, run

    def _assert_runs_once(self, fleet: Fleet) -> None:
        fleet.run(10.0)
        self.assertFalse(fleet.duplicate_runs)
        self.assertEqual(1, sum(len(core.runs) for core in fleet.workers.values()))

    def test_late_start_does_not_run_beside_its_successor(self) -> None:
        """
        A worker leaves a start unanswered and restarts; its next incarnation carries the start out
        late.  Its lease ends on a clock that is gone, so no refusal can be relied on.
        """
        for cancelled in (False, True):
            with self.subTest(cancelled=cancelled):
                fleet = Fleet(workers=2)
                for core in fleet.workers.values():
                    core.duration = 60.0
                    core.delays_orders = True
                fleet.submit(make_job(steps=(LASTING,)))
                fleet.run(1.0)
                cores = [fleet.restart(name) for name in ("w0", "w1")]
                if cancelled:
                    cancel_job(fleet.cell, "j1", fleet.now())
                fleet.run(10.0)
                self.assertFalse(fleet.duplicate_runs)
                self.assertEqual(0 if cancelled else 1, sum(len(core.starts) for core in cores))

    def test_task_waits_until_its_late_start_is_stopped(self) -> None:
        """
        The next incarnation leaves the stop of a late start unanswered for 5 s.  Guards against
        starting the task elsewhere before.
        """
        fleet, run = self._leave_start_unanswered()
        fleet.restart(run.worker, cpu=500).delays_orders = True
        fleet.run(5.5)
        fleet.workers[run.worker].delays_orders = False
        self._assert_runs_once(fleet)

    def test_late_start_of_an_ended_run_is_stopped(self) -> None:
        """
        The earlier incarnation acknowledged the stop of an unanswered start, so the task runs
        elsewhere.  Guards against the next incarnation, which knows of no stop, starting it too.
        """
        fleet, run = self._leave_start_unanswered()
        stop_run(fleet.cell, run, "moved")
        fleet.cell.workers[run.worker].full_until = fleet.time + 60.0
        fleet.run(2.0)
        self.assertFalse(fleet.workers[run.worker].runs)
        fleet.restart(run.worker)
        self._assert_runs_once(fleet)

    def test_start_in_flight_of_a_stopped_run_is_stopped(self) -> None:
        """
        A run is stopped while its start is in flight, and the worker restarts.  Guards against
        starting the task elsewhere before the next incarnation has refused the start.
        """
        fleet, run = self._leave_start_unanswered()
        fleet.cell.unanswered_starts.clear()  # as long as the call may still be answered
        stop_run(fleet.cell, run, "moved")
        fleet.cell.orders.clear()  # and so may the stop
        core = fleet.restart(run.worker)
        core.silent = True
        begin_incarnation(fleet.cell, fleet.cell.workers[run.worker], core.entry.born, fleet.now())
        fleet.run(3.0)
        self.assertFalse(any(core.starts for core in fleet.workers.values()))
        core.silent = False
        self._assert_runs_once(fleet)

    def test_start_that_turns_out_unanswered_after_the_restart_is_stopped(self) -> None:
        """
        A run has ended, by a stop, before its start is known to be without an answer.  Guards
        against the next incarnation, which knows of no stop, starting the task too.
        """
        fleet, run = self._leave_start_unanswered()
        worker = fleet.cell.workers[run.worker]
        fleet.cell.unanswered_starts.clear()
        stop_run(fleet.cell, run, "moved")
        worker.full_until = fleet.time + 60.0
        fleet.run(1.0)
        self.assertFalse(worker.runs)
        fleet.restart(run.worker)
        fleet.run(0.2)
        self.assertIsNot(worker, fleet.cell.workers[run.worker])
        apply_start_failure(fleet.cell, worker, run, False, fleet.now())
        self._assert_runs_once(fleet)

    def test_late_start_on_a_worker_that_was_forgotten_is_stopped(self) -> None:
        """
        A worker leaves a start unanswered, is gone for longer than its lease and returns under its
        id.  Guards against its carrying out the start while the task runs elsewhere.
        """
        fleet = Fleet(workers=2)
        fleet.start_delay = 9.0
        fleet.run(10.0)  # until the leases of earlier owners have ended
        for core in fleet.workers.values():
            core.duration = 60.0
            core.delays_orders = True
        fleet.submit(make_job(steps=(LASTING,)))
        fleet.run(0.2)
        (run,) = fleet.cell.runs["j1"]
        for core in fleet.workers.values():
            core.delays_orders = False
        gone = fleet.workers.pop(run.worker)
        fleet.run(7.0)
        self.assertNotIn(run.worker, fleet.cell.workers)
        fleet.workers[run.worker] = gone
        fleet.restart(run.worker)
        self._assert_runs_once(fleet)

    def test_gang_is_started_again_as_a_whole(self) -> None:
        """Guards against members that run on without the ones that were lost."""
        fleet = Fleet(workers=3, cpu=1_000)
        for core in fleet.workers.values():
            core.duration = 3.0
        fleet.submit(make_job(steps=(Step(count=3, cpu=1_000, gang=True),)))
        fleet.run(1.0)
        fleet.restart("w1")
        fleet.run(8.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertFalse(fleet.duplicate_runs)

    def test_judgement_of_the_earlier_incarnation_is_forgotten(self) -> None:
        """Guards against avoiding, pacing or draining a worker for what its earlier process did."""
        self._start_lasting()
        worker = self.fleet.cell.workers["w0"]
        worker.failed_jobs = {"a", "b", "c"}
        worker.suspect_until = worker.full_until = self.fleet.time + 60.0
        (run,) = worker.runs.values()
        run.pace = 10
        self.fleet.restart("w0")
        self.fleet.run(1.0)
        worker = self.fleet.cell.workers["w0"]
        self.assertFalse(is_distrusted(worker))
        self.assertEqual([100], [run.pace for run in worker.runs.values()])

    def test_size_of_the_next_incarnation_counts(self) -> None:
        """Guards against tasks on a worker that has shrunk, and against room that is never used."""
        self._start_lasting(count=4)
        for cpu, runs in ((2_500, 2), (900, 0), (8_000, 4)):
            with self.subTest(cpu=cpu):
                core = self.fleet.restart("w0", cpu=cpu)
                for _ in range(40):
                    self.fleet.run(0.05)
                    self.assertLessEqual(1_000 * len(core.runs), cpu)
                self.assertEqual(runs, len(core.runs))

    def test_tickets_are_valid_in_one_incarnation(self) -> None:
        """Guards against starts that are refused, and refusals that outlive the incarnation."""
        self.fleet.run(0.5)
        cell, now, group = self.fleet.cell, self.fleet.now(), Group("j1", 0, 0)
        known = cell.step_tickets[group] = StepTickets({"w0": ("t", 1e9)}, {"w0"}, True)
        begin_incarnation(cell, cell.workers["w0"], FIRST_BORN + 1, now)
        self.assertEqual(("", set()), (find_ticket(cell, group, "w0", now), known.refused))
        record_advice(cell, AdviceRequest(group, ("w0",)), Advice({"w0": "t"}, 9.0), now)
        self.assertEqual("", find_ticket(cell, group, "w0", now))


class RestartUnderOneTokenTest(RestartTest):
    """The same without a token for each incarnation: late orders aren't refused for theirs."""

    def setUp(self) -> None:
        patcher = patch.object(Fleet, "raises_tokens", False)
        patcher.start()
        self.addCleanup(patcher.stop)
        super().setUp()


class NewsInAnyOrderTest(unittest.TestCase):
    """Entries and answers of two incarnations overtake each other."""

    def setUp(self) -> None:
        self.fleet = Fleet(workers=1)
        self.fleet.run(0.5)
        self.entry = self.fleet.workers["w0"].entry

    def test_answer_of_an_earlier_incarnation_is_ignored(self) -> None:
        """Guards against going back to a process that has ended."""
        cell, now = self.fleet.cell, self.fleet.now()
        first = cell.workers["w0"]
        second = admit_answer(cell, first, FIRST_BORN + 1, now.steady, now)
        assert second is not None
        self.assertIs(second, cell.workers["w0"])
        for worker, born in (
            (first, FIRST_BORN),
            (first, FIRST_BORN + 1),
            (second, FIRST_BORN),
        ):
            self.assertIsNone(admit_answer(cell, worker, born, now.steady, now))
        self.assertIs(second, cell.workers["w0"])

    def test_restart_after_which_the_time_of_day_is_behind(self) -> None:
        """
        A worker restarts and its time of day is earlier than at its first start.  Guards against
        ignoring all that it says, and against going back to the first by its entry.
        """
        self.fleet.workers["w0"].duration = 60.0
        self.fleet.submit(make_job(steps=(LASTING,)))
        self.fleet.run(0.5)
        core = self.fleet.restart("w0", born=FIRST_BORN - 1)
        self.fleet.unlisted.add("w0")
        for _ in range(3):
            update_workers(self.fleet.cell, [self.entry], self.fleet.now())
            self.fleet.run(0.1)
        known = self.fleet.cell.workers["w0"]
        self.assertEqual(FIRST_BORN - 1, known.born)
        self.fleet.unlisted.clear()
        self.fleet.run(1.0)
        self.assertIs(known, self.fleet.cell.workers["w0"])
        self.assertEqual(1, len(core.runs))

    def test_entry_of_an_earlier_incarnation_is_ignored(self) -> None:
        """
        Guards against placing tasks by the size of an earlier incarnation: the next one answers
        before its entry is listed, and may be smaller.
        """
        self.fleet.unlisted.add("w0")
        core = self.fleet.restart("w0", cpu=500)
        self.fleet.submit(make_job())
        for _ in range(5):
            update_workers(self.fleet.cell, [self.entry], self.fleet.now())
            self.fleet.run(0.2)
        self.assertFalse(core.starts)
        self.fleet.unlisted.clear()
        cancel_job(self.fleet.cell, "j1", self.fleet.now())
        self.fleet.submit(make_job("j2", (Step(cpu=400),)))
        self.fleet.run(0.5)
        self.assertEqual(["j2"], [task.job for task, _ in core.starts])
        update_workers(self.fleet.cell, [self.entry], self.fleet.now())
        self.assertEqual(500, self.fleet.cell.workers["w0"].entry.cpu)

    def test_entry_of_the_next_incarnation_comes_before_its_first_answer(self) -> None:
        """Guards against waiting for the lease of a silent worker that has restarted elsewhere."""
        self.fleet.workers["w0"].duration = 60.0
        self.fleet.submit(make_job(steps=(LASTING,)))
        self.fleet.run(0.5)
        core = self.fleet.restart("w0", address="w0:2")
        (worker,) = update_workers(self.fleet.cell, [core.entry], self.fleet.now())
        self.assertEqual(("w0:2", FIRST_BORN + 1), (worker.entry.address, worker.born))
        self.fleet.run(1.0)
        self.assertEqual(1, len(core.runs))

    def test_worker_that_tells_no_incarnation_keeps_its_runs(self) -> None:
        """Guards against losing the runs of workers of an older platform."""
        fleet = Fleet(workers=0)
        core = fleet.add_worker("w0", born=0)
        core.duration = 60.0
        fleet.submit(make_job(steps=(LASTING,)))
        fleet.run(0.5)
        worker = fleet.cell.workers["w0"]
        for born in (FIRST_BORN, 0):
            found = admit_answer(fleet.cell, worker, born, fleet.time, fleet.now())
            self.assertIs(worker, found)
        fleet.run(6.0)
        self.assertEqual((1, 1), (len(core.runs), len(core.starts)))


if __name__ == "__main__":
    unittest.main()
