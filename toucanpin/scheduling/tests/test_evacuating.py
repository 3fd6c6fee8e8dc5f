"""Tests of the evacuation of data centres, on the virtual clock."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.evacuating import (
    EvacuationList,
    apply_evacuations,
    describe_evacuations,
    has_current_evacuations,
)
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.large_tasks import LargeTaskReservation
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.waits import WaitReason
from toucanpin.scheduling.worker import Phase

EVACUATION_BOUND_S = 5.0  # s within which an evacuation has to be in force


class EvacuatingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=0)
        self.evacuated_core = self.fleet.add_worker("a", data_centre="dc-a")
        self.other_core = self.fleet.add_worker("b", data_centre="dc-b")
        self.fleet.run(0.3)

    def _evacuate(self, *data_centres: str) -> bool:
        known = EvacuationList(frozenset(data_centres), self.fleet.time + 1_000.0)
        return apply_evacuations(self.fleet.cell, known, EVACUATION_BOUND_S)

    def test_nothing_starts_in_an_evacuated_data_centre(self) -> None:
        """Guards against tasks that are sent to workers of an evacuated data centre."""
        self.assertTrue(self._evacuate("dc-a"))
        self.fleet.submit(make_job(steps=(Step(count=6, cpu=1_000),)))
        self.fleet.run(4.0)
        self.assertEqual((0, 6), (len(self.evacuated_core.starts), len(self.other_core.starts)))

    def test_written_assignment_is_dropped_before_start(self) -> None:
        """Guards against starts that were decided before the evacuation and sent after it."""
        self.fleet.store_up = False
        self.fleet.submit(make_job(steps=(Step(count=8, cpu=1_000),)))
        self.fleet.run(0.2)
        self.assertTrue(self.fleet.cell.placed)
        self._evacuate("dc-a")
        self.fleet.store_up = True
        self.fleet.run(4.0)
        self.assertEqual((0, 8), (len(self.evacuated_core.starts), len(self.other_core.starts)))
        self.assertFalse(self.fleet.duplicate_runs)

    def test_a_start_without_an_answer_is_not_sent_again(self) -> None:
        """Guards against a start that is repeated, and takes effect, long after the evacuation."""
        self.evacuated_core.delays_orders = True
        self.fleet.submit(make_job(steps=(Step(count=8, cpu=1_000),)))
        self.fleet.run(0.3)
        self._evacuate("dc-a")
        self.evacuated_core.delayed_starts.clear()
        self.evacuated_core.delays_orders = False
        self.fleet.run(6.0)
        self.assertEqual((0, 8), (len(self.evacuated_core.starts), len(self.other_core.starts)))
        self.assertFalse(self.fleet.duplicate_runs)

    def test_runs_in_evacuated_data_centre_continue(self) -> None:
        """Guards against lost work of tasks that would end by themselves."""
        self.fleet.submit(make_job(steps=(Step(count=8, cpu=1_000),)))
        self.fleet.run(0.5)
        self._evacuate("dc-a")
        (evacuation,) = describe_evacuations(self.fleet.cell)
        self.assertEqual(("dc-a", 1, 4), (evacuation.data_centre, evacuation.workers, 4))
        self.fleet.run(2.0)
        self.assertEqual((4, 4), (len(self.evacuated_core.starts), len(self.other_core.starts)))
        (evacuation,) = describe_evacuations(self.fleet.cell)
        self.assertEqual(0, evacuation.runs)

    def test_revoked_evacuation_allows_starts_again(self) -> None:
        """Guards against workers that stay excluded, and against confusion of two evacuations."""
        self._evacuate("dc-a", "dc-b")
        self.fleet.submit(make_job(steps=(Step(count=2, cpu=1_000),)))
        self.fleet.run(2.0)
        self._evacuate("dc-b")
        self.fleet.run(2.0)
        self.assertEqual((2, 0), (len(self.evacuated_core.starts), len(self.other_core.starts)))

    def test_wait_reason_names_evacuation(self) -> None:
        """Guards against a wait that operators can't distinguish from a full fleet."""
        self._evacuate("dc-a", "dc-b")
        self.fleet.submit(make_job())
        self.fleet.run(0.5)
        (wait,) = self.fleet.cell.waits.values()
        self.assertIs(WaitReason.EVACUATED, wait.reason)

    def test_owner_with_outdated_evacuations_sends_no_start(self) -> None:
        """Guards against an owner without access to the store that relies on an outdated list."""
        cell = self.fleet.cell
        self.fleet.submit(make_job())
        apply_evacuations(
            cell,
            EvacuationList(frozenset(), self.fleet.time - EVACUATION_BOUND_S),
            EVACUATION_BOUND_S,
        )
        self.assertFalse(has_current_evacuations(cell, self.fleet.now()))
        self.fleet.run(1.0)
        self.assertFalse(self.evacuated_core.starts + self.other_core.starts)
        self._evacuate()
        self.fleet.run(1.0)
        self.assertEqual(1, len(self.evacuated_core.starts + self.other_core.starts))

    def test_gang_with_unstartable_member_is_stopped(self) -> None:
        """Guards against members that wait on their workers for one that never starts."""
        self.fleet.store_up = False
        self.fleet.submit(make_job(steps=(Step(count=4, cpu=1_000, gang=True, per_worker=2),)))
        self.fleet.run(0.2)
        self._evacuate("dc-a")
        self.fleet.store_up = True
        self.fleet.run(1.0)
        phases = {run.phase for runs in self.fleet.cell.runs.values() for run in runs}
        self.assertFalse(phases - {Phase.STOPPING})
        self.assertFalse(self.evacuated_core.starts)

    def test_reservation_share_counts_usable_workers_only(self) -> None:
        """Guards against a share of reserved workers that counts evacuated ones."""
        for number in range(20):
            self.fleet.add_worker(f"c{number}", data_centre="dc-a" if number % 2 else "dc-b")
        self.fleet.run(0.3)
        self._evacuate("dc-a")
        job = make_job(steps=(Step(count=1, cpu=5_000),))
        self.fleet.submit(job)
        eligible = [w for w in self.fleet.cell.workers.values() if w.entry.data_centre == "dc-b"]
        reservation = LargeTaskReservation(self.fleet.cell, eligible)
        (group,) = self.fleet.cell.waiting
        reservation.reserve_for(group, job.steps[0])
        self.assertEqual(len(eligible) - 1, len(reservation.eligible))
