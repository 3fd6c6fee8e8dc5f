"""What an evacuated data centre still gets, on the virtual clock."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.cell import WaitReason
from toucanpin.scheduling.evacuating import (
    EvacuationList,
    apply_evacuations,
    describe_evacuations,
    has_current_evacuations,
)
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.large_tasks import LargeTaskReservation
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.worker import Phase

BOUND = 5.0  # s within which an evacuation has to be in force


class EvacuatingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=0)
        self.here = self.fleet.add_worker("a", data_centre="here")
        self.there = self.fleet.add_worker("b", data_centre="there")
        self.fleet.run(0.3)

    def _evacuate(self, *data_centres: str) -> bool:
        known = EvacuationList(frozenset(data_centres), self.fleet.time + 1_000.0)
        return apply_evacuations(self.fleet.cell, known, BOUND)

    def test_nothing_starts_in_an_evacuated_data_centre(self) -> None:
        """Guards against tasks that are sent to workers of a data centre that is being emptied."""
        self.assertTrue(self._evacuate("here"))
        self.fleet.submit(make_job(steps=(Step(count=6, cpu=1_000),)))
        self.fleet.run(4.0)
        self.assertEqual((0, 6), (len(self.here.starts), len(self.there.starts)))

    def test_a_place_that_was_written_is_given_up_before_its_start_is_sent(self) -> None:
        """Guards against starts that were decided before the evacuation and sent after it."""
        self.fleet.store_up = False
        self.fleet.submit(make_job(steps=(Step(count=8, cpu=1_000),)))
        self.fleet.run(0.2)
        self.assertTrue(self.fleet.cell.placed)
        self._evacuate("here")
        self.fleet.store_up = True
        self.fleet.run(4.0)
        self.assertEqual((0, 8), (len(self.here.starts), len(self.there.starts)))
        self.assertFalse(self.fleet.duplicate_runs)

    def test_a_start_without_an_answer_is_not_sent_again(self) -> None:
        """Guards against a start that is repeated, and begins, long after the evacuation."""
        self.here.deaf = True
        self.fleet.submit(make_job(steps=(Step(count=8, cpu=1_000),)))
        self.fleet.run(0.3)
        self._evacuate("here")
        self.here.late.clear()
        self.here.deaf = False
        self.fleet.run(6.0)
        self.assertEqual((0, 8), (len(self.here.starts), len(self.there.starts)))
        self.assertFalse(self.fleet.duplicate_runs)

    def test_what_runs_there_goes_on(self) -> None:
        """Guards against work that is thrown away though it would end by itself."""
        self.fleet.submit(make_job(steps=(Step(count=8, cpu=1_000),)))
        self.fleet.run(0.5)
        self._evacuate("here")
        (evacuation,) = describe_evacuations(self.fleet.cell)
        self.assertEqual(("here", 1, 4), (evacuation.data_centre, evacuation.workers, 4))
        self.fleet.run(2.0)
        self.assertEqual((4, 4), (len(self.here.starts), len(self.there.starts)))
        (evacuation,) = describe_evacuations(self.fleet.cell)
        self.assertEqual(0, evacuation.runs)

    def test_one_that_is_taken_back_gets_tasks_again(self) -> None:
        """Guards against workers that stay shut out, and against two evacuations taken for one."""
        self._evacuate("here", "there")
        self.fleet.submit(make_job(steps=(Step(count=2, cpu=1_000),)))
        self.fleet.run(2.0)
        self._evacuate("there")
        self.fleet.run(2.0)
        self.assertEqual((2, 0), (len(self.here.starts), len(self.there.starts)))

    def test_a_task_that_waits_for_it_says_so(self) -> None:
        """Guards against a wait that operators can't tell from a full fleet."""
        self._evacuate("here", "there")
        self.fleet.submit(make_job())
        self.fleet.run(0.5)
        (wait,) = self.fleet.cell.waits.values()
        self.assertIs(WaitReason.EVACUATED, wait.reason)

    def test_an_owner_that_has_read_nothing_lately_sends_no_start(self) -> None:
        """Guards against an owner cut off from the store that goes on with what it once read."""
        cell = self.fleet.cell
        self.fleet.submit(make_job())
        apply_evacuations(cell, EvacuationList(frozenset(), self.fleet.time - BOUND), BOUND)
        self.assertFalse(has_current_evacuations(cell, self.fleet.now()))
        self.fleet.run(1.0)
        self.assertFalse(self.here.starts + self.there.starts)
        self._evacuate()
        self.fleet.run(1.0)
        self.assertEqual(1, len(self.here.starts + self.there.starts))

    def test_a_member_of_a_gang_that_may_not_start_takes_its_gang_along(self) -> None:
        """Guards against members that wait on their workers for one that never comes."""
        self.fleet.store_up = False
        self.fleet.submit(make_job(steps=(Step(count=4, cpu=1_000, gang=True, per_worker=2),)))
        self.fleet.run(0.2)
        self._evacuate("here")
        self.fleet.store_up = True
        self.fleet.run(1.0)
        phases = {run.phase for runs in self.fleet.cell.runs.values() for run in runs}
        self.assertFalse(phases - {Phase.STOPPING})
        self.assertFalse(self.here.starts)

    def test_workers_are_still_kept_for_large_tasks(self) -> None:
        """Guards against a share of kept workers that counts those which nobody may use."""
        for number in range(20):
            self.fleet.add_worker(f"c{number}", data_centre="here" if number % 2 else "there")
        self.fleet.run(0.3)
        self._evacuate("here")
        job = make_job(steps=(Step(count=1, cpu=5_000),))
        self.fleet.submit(job)
        able = [w for w in self.fleet.cell.workers.values() if w.entry.data_centre == "there"]
        reservation = LargeTaskReservation(self.fleet.cell, able)
        (group,) = self.fleet.cell.waiting
        reservation.reserve_for(group, job.steps[0])
        self.assertEqual(len(able) - 1, len(reservation.eligible))
