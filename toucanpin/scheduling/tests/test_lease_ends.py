"""What an owner tells its successor about the leases of workers that don't answer."""

from __future__ import annotations

import dataclasses
import unittest

from toucanpin.scheduling.authority import OWNER_AUTHORITY_S
from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.lease_ends import (
    MAX_LISTED_WORKERS,
    bound_earlier_leases,
    confirm_lease_ends,
    find_earlier_leases_end,
    forget_lease_ends,
    list_lease_ends,
    restore_lease_ends,
    shift_lease_ends,
    withhold_leases,
)
from toucanpin.scheduling.leases import (
    LEASE_S,
    awaits_first_renewals,
    awaits_renewal,
    mark_silent,
    plan_poll,
    update_workers,
)
from toucanpin.scheduling.ownership import OwnerRecord, decode_owner, encode_owner
from toucanpin.scheduling.presence import ENTRY_RETURN_S
from toucanpin.scheduling.starting import plan_start
from toucanpin.scheduling.tests.fleet import TIME_STEP_S, Fleet, make_job
from toucanpin.scheduling.worker import Silence, Worker

SERVICE = make_job("j1", (Step(cpu=1_000, long_running=True),))


class LeaseEndsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=1)
        self.fleet.submit(SERVICE)
        self.fleet.run(1.0)
        self.worker = self.fleet.cell.workers["w0"]

    def _list(self) -> dict[str, int]:
        return list_lease_ends(self.fleet.cell, self.fleet.time)

    def test_only_workers_that_do_not_answer_are_listed(self) -> None:
        """Guards against a successor that takes the lease of a renewed worker for ended."""
        self.assertEqual({}, self._list())
        mark_silent(self.worker, self.fleet.now())
        left = (self.worker.lease_expires_at - self.fleet.time) * 1_000
        self.assertAlmostEqual(left, self._list()["w0"], delta=1)
        self.assertGreaterEqual(self._list()["w0"], left)

    def test_a_listed_worker_gets_no_lease_before_a_row_without_it_is_written(self) -> None:
        """
        A silent worker answers just after its owner has written that its lease ends soon.  Guards
        against a renewal that the next owner doesn't know of: the task would run twice.
        """
        withhold_leases(self.fleet.cell, ["w0"])
        now = self.fleet.now()
        run = next(iter(self.worker.runs.values()))
        self.assertEqual(0, plan_poll(self.fleet.cell, self.worker, now).deadline)
        self.assertEqual(0, plan_start(self.fleet.cell, self.worker, run, now))
        confirm_lease_ends(self.fleet.cell, [])
        self.assertGreater(plan_poll(self.fleet.cell, self.worker, now).deadline, 0)

    def test_a_worker_that_answers_again_is_renewed_before_a_long_poll(self) -> None:
        """
        A worker was silent, so that it is listed and gets no lease when it answers.  Guards against
        a long poll before the next try: the rest of its lease may end meanwhile.
        """
        mark_silent(self.worker, self.fleet.now())
        withhold_leases(self.fleet.cell, self._list())
        self.worker.silent = False
        self.assertTrue(awaits_renewal(self.worker))
        order = plan_poll(self.fleet.cell, self.worker, self.fleet.now())
        self.assertEqual((0, 0.0), (order.deadline, order.wait))
        confirm_lease_ends(self.fleet.cell, [])
        self.assertGreater(plan_poll(self.fleet.cell, self.worker, self.fleet.now()).deadline, 0)
        self.assertFalse(awaits_renewal(self.worker))

    def test_a_restarted_worker_stays_withheld(self) -> None:
        """Guards against a lease for the next incarnation of a worker whose row is still listed."""
        withhold_leases(self.fleet.cell, ["w0"])
        self.fleet.restart("w0")
        self.fleet.run(0.5)
        successor = self.fleet.cell.workers["w0"]
        self.assertIsNot(self.worker, successor)
        self.assertEqual(0, plan_poll(self.fleet.cell, successor, self.fleet.now()).deadline)

    def test_refused_connections_end_no_wait_of_the_next_owner(self) -> None:
        """
        A worker that has restarted is between two incarnations when its owner ends.  Guards against
        telling the next owner that orders to the first one can have no effects any more.
        """
        late_orders_end = self.worker.late_orders_end = self.worker.lease_expires_at + 10.0
        mark_silent(self.worker, self.fleet.now(), Silence.REFUSED)
        left = (late_orders_end - self.fleet.time) * 1_000
        self.assertGreaterEqual(self._list()["w0"], left)
        self.fleet.run(ENTRY_RETURN_S)
        mark_silent(self.worker, self.fleet.now(), Silence.REFUSED)
        self.worker.unlisted_since = self.fleet.time
        left = (late_orders_end - self.fleet.time) * 1_000
        self.assertLess(self._list()["w0"], left)

    def test_missing_entry_ends_no_wait_of_the_next_owner_after_an_outage_of_the_list(self) -> None:
        """
        Entries have expired while the list couldn't be read, and their worker is between two
        incarnations.  Guards against telling the next owner that it is gone.
        """
        self.fleet.workers["w0"].duration = 600.0
        self.fleet.run(5.0)
        late_orders_end = self.worker.late_orders_end = self.fleet.time + 20.0
        self.fleet.lists_workers = False
        self.fleet.run(2.0)
        self.fleet.lists_workers = True
        self.fleet.unlisted.add("w0")
        self.fleet.run(TIME_STEP_S)
        mark_silent(self.worker, self.fleet.now(), Silence.REFUSED)
        left = (late_orders_end - self.fleet.time) * 1_000
        self.assertGreaterEqual(self._list()["w0"], left)

    def test_an_earlier_end_is_not_listed_again_for_the_next_incarnation(self) -> None:
        """
        A worker that an earlier owner listed answers, and leaves a start of this owner unanswered;
        then it restarts under its id.  Guards against telling the next owner that its lease is over
        while the next incarnation may still carry out that start: the task would run twice.
        """
        cell = self.fleet.cell
        cell.earlier_lease_ends = {"w0": self.fleet.time - 1.0}
        self.assertEqual({}, self._list())
        self.fleet.workers["w0"].delays_orders = True
        self.fleet.submit(make_job("j2"))
        self.fleet.run(3 * TIME_STEP_S)
        entry = dataclasses.replace(self.worker.entry, born=self.worker.born + 1)
        update_workers(cell, [entry], self.fleet.now())
        successor = cell.workers["w0"]
        self.assertIn("j2", {task.job for task in successor.runs})
        left = (successor.lease_expires_at - self.fleet.time) * 1_000
        self.assertGreaterEqual(self._list().get("w0", left), left)

    def test_an_end_that_was_listed_counts_on_through_two_takeovers(self) -> None:
        """Guards against a wait that begins anew with each owner."""
        mark_silent(self.worker, self.fleet.now())
        listed = self._list()
        seen_at = self.fleet.time + 0.4
        cell = Cell("c", 2, seen_at + 9.0, seen_at)
        cell.earlier_lease_ends = restore_lease_ends(listed, seen_at)
        end = bound_earlier_leases(cell, "w0")
        self.assertAlmostEqual(self.worker.lease_expires_at + 0.4, end, delta=0.01)
        self.assertEqual(seen_at + 9.0, bound_earlier_leases(cell, "w1"))
        again = list_lease_ends(cell, seen_at + 1.5)
        carried = shift_lease_ends(listed, 1.5)
        self.assertAlmostEqual(carried["w0"], again["w0"], delta=2)
        self.assertEqual({"w0": 0}, list_lease_ends(cell, end + 0.1))
        forget_lease_ends(cell)
        self.assertEqual({}, list_lease_ends(cell, end + 0.1))

    def test_the_list_is_bounded(self) -> None:
        """Guards against rows that grow with the fleet while all of it is cut off."""
        cell = self.fleet.cell
        for number in range(2 * MAX_LISTED_WORKERS):
            entry = self.worker.entry
            silent = Worker(entry, runs=dict(self.worker.runs), silent=True)
            cell.workers[f"x{number}"] = silent
            silent.entry = type(entry)(f"x{number}", "c", "", "dc", True, 1, 1, 0)
            silent.lease_expires_at = self.fleet.time + 1.0 + number
        self.assertEqual(MAX_LISTED_WORKERS, len(self._list()))
        self.assertIn("x0", self._list())


class TakeoverTest(unittest.TestCase):
    def test_leases_of_an_earlier_owner_are_due_until_they_are_renewed(self) -> None:
        """
        Guards against a new owner that starts hundreds of tasks before it renews the leases of
        those that run.  A worker that doesn't answer mustn't hold it up.
        """
        fleet = Fleet(workers=2)
        fleet.submit(make_job("j1", (Step(count=2, cpu=3_000, long_running=True),)))
        fleet.run(1.0)
        self.assertFalse(awaits_first_renewals(fleet.cell))
        fleet.replace_owner()
        update_workers(fleet.cell, [it.entry for it in fleet.workers.values()], fleet.now())
        self.assertTrue(awaits_first_renewals(fleet.cell))
        fleet.run(0.2)
        self.assertFalse(awaits_first_renewals(fleet.cell))
        fleet.replace_owner()
        update_workers(fleet.cell, [it.entry for it in fleet.workers.values()], fleet.now())
        for worker in fleet.cell.workers.values():
            mark_silent(worker, fleet.now())
        self.assertFalse(awaits_first_renewals(fleet.cell))


class FirstPlacementTest(unittest.TestCase):
    def test_a_placement_on_a_new_worker_is_no_lease_of_an_earlier_owner(self) -> None:
        """
        A worker joins, and its first task is placed while the write of the placement takes time.
        Guards against an owner that limits all starts meanwhile, though nothing is to be renewed:
        bursts are started slowly each time that a worker joins.
        """
        fleet = Fleet(workers=1)
        fleet.store_up = False
        fleet.submit(SERVICE)
        fleet.run(TIME_STEP_S)
        self.assertTrue(fleet.cell.workers["w0"].runs)
        self.assertFalse(awaits_first_renewals(fleet.cell))


class EarlierLeasesTest(unittest.TestCase):
    def test_the_wait_counts_from_the_last_write_seen(self) -> None:
        """Guards against a wait from the takeover, which comes seconds after the last write."""
        record = OwnerRecord("h", "life", 3, 7, authority=int(OWNER_AUTHORITY_S * 1_000))
        end = find_earlier_leases_end(record, 100.0, 103.0)
        self.assertGreater(end, 100.0 + OWNER_AUTHORITY_S / 0.98)
        self.assertLess(end, 100.0 + OWNER_AUTHORITY_S + LEASE_S)
        self.assertEqual(103.0, find_earlier_leases_end(None, 0.0, 103.0))

    def test_an_owner_of_an_earlier_build_is_waited_for_from_the_takeover(self) -> None:
        """
        Its row doesn't tell its authority, which it may count from a later time than that of the
        write.  Guards against two runs of a task during a rolling update.
        """
        earlier = decode_owner(encode_owner(OwnerRecord("h", "life", 3, 7)))
        self.assertGreater(find_earlier_leases_end(earlier, 100.0, 103.0), 103.0 + 8.5 / 0.98)


if __name__ == "__main__":
    unittest.main()
