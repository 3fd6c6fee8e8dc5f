"""Tests of the work of one turn of an owner on a full fleet."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest.mock import patch

from toucanpin.scheduling import choosing, placement_round, preempting
from toucanpin.scheduling.cell import Group
from toucanpin.scheduling.choosing import CandidateWorkers
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.large_tasks import LargeTaskReservation
from toucanpin.scheduling.orders import WorkerEntry
from toucanpin.scheduling.placing import place_tasks
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.unplaceable import UNPLACEABLE_PERIOD_S
from toucanpin.scheduling.waits import WaitReason
from toucanpin.scheduling.worker import Worker

WORKERS = 30
WAITING = 20  # steps
RESERVED = 3  # workers that long-running tasks leave to short ones


class FullFleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=WORKERS, cpu=4_000)
        for worker in self.fleet.workers.values():
            worker.duration = 600.0
        long_running_step = Step(count=WORKERS - RESERVED, cpu=3_000, long_running=True)
        self.fleet.submit(make_job("long", (long_running_step,)))
        self.fleet.run(1.0)
        self.fleet.submit(make_job("short", (Step(count=RESERVED, cpu=3_000),)))
        self.fleet.run(1.0)
        self.assertEqual({3_000}, {worker.cpu for worker in self.fleet.cell.workers.values()})
        best_effort = Step(count=WORKERS, cpu=500, best_effort=True, image="f", checkpoints=True)
        self.fleet.submit(make_job("batch", (best_effort,), priority=2))
        self.fleet.run(1.0)

    def _count(self, name: str) -> int:
        """Return how often a turn calls a function of the preempting module."""
        place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.fleet.time += 0.05
        original = getattr(preempting, name)
        with patch.object(preempting, name, wraps=original) as counted:
            place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        return counted.call_count

    def _count_cost_entries(self) -> int:
        """Return for how many workers a turn computes costs."""
        original = CandidateWorkers._make_entry
        entries = []

        def make_entry(candidates: CandidateWorkers, number: int) -> object:
            entries.append(number)
            return original(candidates, number)

        with patch.object(CandidateWorkers, "_make_entry", make_entry):
            place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        return len(entries)

    def test_steps_without_room_share_one_scan(self) -> None:
        """
        Guards against waiting steps that each scan all workers in each turn after a smaller step
        found no room, which took half of a turn with 246 workers.
        """
        for number in range(WAITING):
            self.fleet.submit(make_job(f"u{number:02}", (Step(count=4, cpu=2_000 + number),)))
        self.assertLessEqual(self._count_cost_entries(), WORKERS)

    def test_steps_with_per_worker_limit_share_one_scan(self) -> None:
        """
        Guards against scans of all workers by each step with a limit per worker, though free
        resources and not the limit exclude the workers.  Sixteen such steps did so in each turn
        with 246 workers.
        """
        for number in range(WAITING):
            step = Step(count=4, cpu=2_000, long_running=True, per_worker=1)
            self.fleet.submit(make_job(f"l{number:02}", (step,)))
        self.assertLessEqual(self._count_cost_entries(), WORKERS)

    def test_steps_blocked_by_the_reserve_share_one_scan(self) -> None:
        """
        Guards against long-running steps that each scan all workers in each turn to find that only
        reserved cores are left.
        """
        first = next(iter(self.fleet.workers.values()))
        first.entry = replace(first.entry, cpu=5_000)
        self.fleet.run(0.05)
        for number in range(WAITING):
            step = Step(count=4, cpu=1_900 + number, long_running=True)
            self.fleet.submit(make_job(f"l{number:02}", (step,)))
        self.assertLessEqual(self._count_cost_entries(), WORKERS)
        reasons = {wait.reason for wait in self.fleet.cell.waits.values()}
        self.assertEqual({WaitReason.RESERVED}, reasons)

    def test_infeasible_preemption_is_tried_once(self) -> None:
        """
        Guards against urgent steps that each search all workers in each turn for tasks to stop.  It
        took 78 ms with 246 workers and 30 such steps, with a turn for each answer of a worker, so
        the owner answered late and jobs expired.
        """
        for number in range(WAITING):
            step = Step(count=4, cpu=2_000 + number)
            self.fleet.submit(make_job(f"u{number:02}", (step,)))
        self.assertLessEqual(self._count("_find_victims"), WORKERS)

    def test_large_task_reservation_does_not_scan_all_workers(self) -> None:
        """
        Guards against a turn that grows with the square of the number of workers: up to an eighth
        of them are reserved for large tasks, and each reservation scanned all workers for the one
        with most free cores.
        """
        for number in range(WAITING):
            step = Step(count=4, cpu=2_000 + number, per_worker=1)
            self.fleet.submit(make_job(f"u{number:02}", (step,)))
        with patch.object(choosing, "_count_group", wraps=choosing._count_group) as counted:
            place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.assertLessEqual(counted.call_count, WAITING)

    def test_reservation_follows_changes_of_free_cores(self) -> None:
        """
        Guards against reserving a worker that an urgent step has filled since the round began.
        """
        cell = Fleet(workers=10, cpu=4_000).cell
        eligible = []
        for number in range(10):
            entry = WorkerEntry(f"w{number}", "c", "a:1", "dc", True, 4_000, 8_000, 0)
            cell.workers[entry.id] = Worker(entry, cpu=1_000 + 100 * number)
            eligible.append(cell.workers[entry.id])
        reservation = LargeTaskReservation(cell, eligible)
        group = Group("large", 0, 0)
        cell.waiting[group] = {0}
        reservation.reserve_for(group, Step(cpu=3_900))
        self.assertNotIn("w0", [worker.entry.id for worker in reservation.eligible])
        eligible[1].cpu = 4_000
        reservation.reserve_for(group, Step(cpu=3_900))
        left = [worker.entry.id for worker in reservation.eligible]
        self.assertIn("w1", left)
        self.assertNotIn("w2", left)

    def test_utilization_is_cached_between_turns(self) -> None:
        """
        Guards against computing the utilization of all workers in each turn, which was most of a
        turn's time on a large fleet with ten best-effort steps a second.  The loads behind it are
        measured five times a second.
        """
        self._submit_best_effort("g0")
        place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.fleet.time += 0.01
        self._submit_best_effort("g1")
        with patch.object(
            placement_round, "estimate_utilization", wraps=placement_round.estimate_utilization
        ) as counted:
            place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.assertEqual(0, counted.call_count)

    def test_cached_utilization_expires(self) -> None:
        self._submit_best_effort("g0")
        place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.fleet.time += 0.25
        self._submit_best_effort("g1")
        with patch.object(
            placement_round, "estimate_utilization", wraps=placement_round.estimate_utilization
        ) as counted:
            place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.assertEqual(WORKERS, counted.call_count)

    def _submit_best_effort(self, name: str) -> None:
        best_effort = Step(count=4, cpu=1_500, best_effort=True, image=name)
        self.fleet.submit(make_job(name, (best_effort,), priority=2))

    def test_unplaceable_images_are_retried_together(self) -> None:
        """
        Guards against three images without room that are retried at different times, each of which
        computed the utilization of all workers anew.  With 246 workers and nine images this was a
        third of the time of placement.
        """
        period = UNPLACEABLE_PERIOD_S * WORKERS
        for number in range(3):
            best_effort = Step(count=4, cpu=1_500, best_effort=True, image=f"g{number}")
            self.fleet.submit(make_job(f"g{number}", (best_effort,), priority=2))
            place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
            self.fleet.time += period / 4
        turns = 40
        with patch.object(
            placement_round, "estimate_utilization", wraps=placement_round.estimate_utilization
        ) as counted:
            for _ in range(turns):
                self.fleet.time += period / 4
                place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.assertLessEqual(counted.call_count, (turns / 4 + 1) * WORKERS)

    def test_infeasible_preemption_with_per_worker_limit_is_tried_once(self) -> None:
        """
        Guards against steps with a limit per worker that each search all workers for tasks to stop.
        """
        for number in range(WAITING):
            step = Step(count=4, cpu=2_000, long_running=True, per_worker=1)
            self.fleet.submit(make_job(f"l{number:02}", (step,)))
        self.assertLessEqual(self._count("bound_freeable_cpu"), WORKERS)

    def test_runs_are_not_checked_if_stops_cannot_suffice(self) -> None:
        """
        Guards against checking each run of each worker in each turn, half of the time of placement,
        where only long-running and best-effort tasks run, whose stops free no cores.  The sums per
        worker tell as much.
        """
        for number in range(WAITING):
            self.fleet.submit(make_job(f"u{number:02}", (Step(count=4, cpu=2_000 - number),)))
        self.assertEqual(0, self._count("_is_preemptible"))

    def test_step_scans_workers_for_preemption_once(self) -> None:
        """
        Guards against a scan of all workers for each of the sixteen tasks of an urgent step, which
        delays all answers of that turn.
        """
        patient = Step(count=WORKERS, cpu=900, checkpoints=True)
        self.fleet.submit(make_job("patient", (patient,), priority=2))
        self.fleet.run(1.0)
        self.fleet.submit(make_job("wide", (Step(count=16, cpu=900),)))
        stops = len(self.fleet.cell.orders)
        original = preempting._find_victims
        with patch.object(preempting, "_find_victims", wraps=original) as counted:
            place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.assertEqual(16, len(self.fleet.cell.orders) - stops)
        self.assertLessEqual(counted.call_count, WORKERS + 16)


if __name__ == "__main__":
    unittest.main()
