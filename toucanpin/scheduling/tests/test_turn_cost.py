"""How much work one turn of an owner is on a full fleet."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest.mock import patch

from toucanpin.scheduling import choosing, preempting
from toucanpin.scheduling.cell import Group, WaitReason
from toucanpin.scheduling.choosing import CandidateWorkers
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.large_tasks import LargeTaskReservation
from toucanpin.scheduling.orders import WorkerEntry
from toucanpin.scheduling.placing import place_tasks
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.unplaceable import UNPLACEABLE_PERIOD_S
from toucanpin.scheduling.worker import Worker

WORKERS = 30
WAITING = 20  # steps
RESERVED = 3  # workers on which lasting tasks leave all room to brief ones


class FullFleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=WORKERS, cpu=4_000)
        for worker in self.fleet.workers.values():
            worker.lasts = 600.0
        lasting = Step(count=WORKERS - RESERVED, cpu=3_000, long_running=True)
        self.fleet.submit(make_job("lasts", (lasting,)))
        self.fleet.run(1.0)
        self.fleet.submit(make_job("brief", (Step(count=RESERVED, cpu=3_000),)))
        self.fleet.run(1.0)
        self.assertEqual({3_000}, {worker.cpu for worker in self.fleet.cell.workers.values()})
        fill = Step(count=WORKERS, cpu=500, best_effort=True, image="f", checkpoints=True)
        self.fleet.submit(make_job("fills", (fill,), priority=2))
        self.fleet.run(1.0)

    def _count(self, name: str) -> int:
        """Return how often a turn calls one function of preemption."""
        place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.fleet.time += 0.05
        original = getattr(preempting, name)
        with patch.object(preempting, name, wraps=original) as counted:
            place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        return counted.call_count

    def _count_cost_entries(self) -> int:
        """Return how many places a turn weighs."""
        original = CandidateWorkers._make_entry
        entries = []

        def make_entry(places: CandidateWorkers, number: int) -> object:
            entries.append(number)
            return original(places, number)

        with patch.object(CandidateWorkers, "_make_entry", make_entry):
            place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        return len(entries)

    def test_steps_without_room_share_one_scan(self) -> None:
        """
        Urgent steps wait on a fleet without room.  Each weighed each worker in each turn, though
        a smaller one had just found no place, and on 246 workers half of a turn went there.
        """
        for number in range(WAITING):
            self.fleet.submit(make_job(f"u{number:02}", (Step(count=4, cpu=2_000 + number),)))
        self.assertLessEqual(self._count_cost_entries(), WORKERS)

    def test_steps_with_per_worker_limit_share_one_scan(self) -> None:
        """
        Lasting steps of which a worker may run one task each wait on a fleet without room.  Room
        shuts them out everywhere, their limit nowhere; yet since they have one, each weighed each
        worker in each turn, sixteen such steps a turn on a day with 246 workers.
        """
        for number in range(WAITING):
            step = Step(count=4, cpu=2_000, long_running=True, per_worker=1)
            self.fleet.submit(make_job(f"l{number:02}", (step,)))
        self.assertLessEqual(self._count_cost_entries(), WORKERS)

    def test_steps_blocked_by_the_reserve_share_one_scan(self) -> None:
        """
        Lasting steps wait for the one place that is kept for brief tasks.  Each weighed each
        worker in each turn to learn that it is the last.
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
        Urgent steps wait on a fleet on which no stop would make room for them.  Each step looked
        at each worker in each turn, 78 ms with 246 workers and 30 such steps, and a turn comes with
        each answer of a worker: the owner answered late, and jobs expired.
        """
        for number in range(WAITING):
            step = Step(count=4, cpu=2_000 + number)
            self.fleet.submit(make_job(f"u{number:02}", (step,)))
        self.assertLessEqual(self._count("_find_victims"), WORKERS)

    def test_large_task_reservation_does_not_scan_all_workers(self) -> None:
        """
        Brief steps wait on a full fleet, and a worker is kept for each, up to an eighth of them.
        Each looked at all workers for the roomiest, so a turn grew with the square of their number.
        """
        for number in range(WAITING):
            step = Step(count=4, cpu=2_000 + number, per_worker=1)
            self.fleet.submit(make_job(f"u{number:02}", (step,)))
        with patch.object(choosing, "_count_group", wraps=choosing._count_group) as counted:
            place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.assertLessEqual(counted.call_count, WAITING)

    def test_reservation_follows_changes_of_free_cores(self) -> None:
        """
        A worker was the roomiest when the turn began, and an urgent step has filled it since.  Kept
        in its stead for the large step that follows, it would help nobody.
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
        Batch steps come one after the other, some ten a second on a large fleet, each in a turn of
        its own.  Each turn summed up anew what all workers serve and suffer, though the loads in
        these sums are measured five times a second, and that was most of a turn's time.
        """
        self._submit_fill("g0")
        place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.fleet.time += 0.01
        self._submit_fill("g1")
        with patch.object(
            choosing, "estimate_utilization", wraps=choosing.estimate_utilization
        ) as counted:
            place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.assertEqual(0, counted.call_count)

    def test_cached_utilization_expires(self) -> None:
        self._submit_fill("g0")
        place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.fleet.time += 0.25
        self._submit_fill("g1")
        with patch.object(
            choosing, "estimate_utilization", wraps=choosing.estimate_utilization
        ) as counted:
            place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.assertEqual(WORKERS, counted.call_count)

    def _submit_fill(self, name: str) -> None:
        fill = Step(count=4, cpu=1_500, best_effort=True, image=name)
        self.fleet.submit(make_job(name, (fill,), priority=2))

    def test_unplaceable_images_are_retried_together(self) -> None:
        """
        Batch tasks of three images find no place, one after the other, and each image rests before
        it is weighed again.  Their rests ended at different moments, and each time all workers were
        summed up anew: a third of the time of placing on a day with 246 workers and nine images.
        """
        period = UNPLACEABLE_PERIOD_S * WORKERS
        for number in range(3):
            fill = Step(count=4, cpu=1_500, best_effort=True, image=f"g{number}")
            self.fleet.submit(make_job(f"g{number}", (fill,), priority=2))
            place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
            self.fleet.time += period / 4
        turns = 40
        with patch.object(
            choosing, "estimate_utilization", wraps=choosing.estimate_utilization
        ) as counted:
            for _ in range(turns):
                self.fleet.time += period / 4
                place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.assertLessEqual(counted.call_count, (turns / 4 + 1) * WORKERS)

    def test_infeasible_preemption_with_per_worker_limit_is_tried_once(self) -> None:
        """Steps with such a limit looked for what to stop on each worker, each by itself."""
        for number in range(WAITING):
            step = Step(count=4, cpu=2_000, long_running=True, per_worker=1)
            self.fleet.submit(make_job(f"l{number:02}", (step,)))
        self.assertLessEqual(self._count("bound_freeable_cpu"), WORKERS)

    def test_runs_are_not_checked_if_stops_cannot_suffice(self) -> None:
        """
        Urgent steps wait on a fleet of lasting tasks and of tasks that fill, whose stops free no
        cores.  Each turn looked at each run of each worker, half of the time of placing, for what
        the sums of a worker's runs tell.
        """
        for number in range(WAITING):
            self.fleet.submit(make_job(f"u{number:02}", (Step(count=4, cpu=2_000 - number),)))
        self.assertEqual(0, self._count("_is_preemptible"))

    def test_step_scans_workers_for_preemption_once(self) -> None:
        """
        An urgent step of sixteen tasks comes while patient work has the room.  Each of its tasks
        looked at each worker for what to stop, so one wide step held up all answers of its turn.
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
