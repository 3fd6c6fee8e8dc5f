"""Losses of tasks on workers that restart under their id, and their rows in two builds."""

from __future__ import annotations

import unittest

import msgspec

from toucanpin.scheduling.intake import forget_ended
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.progress import JobState, TaskRecord
from toucanpin.scheduling.progress_rows import decode_progress
from toucanpin.scheduling.tests.fleet import FIRST_BORN, Fleet, make_job

MAX_CRASHES = 5  # two more starts after the third crash
LASTING = Step(cpu=1_000, long_running=True)


class CrashCountTest(unittest.TestCase):
    def test_task_that_crashes_workers_which_keep_their_ids_fails(self) -> None:
        """Guards against a crash loop: the worker answers again, so nothing seems to be lost."""
        for replaced in (False, True):
            with self.subTest(owner_replaced=replaced):
                fleet = Fleet(workers=2)
                fleet.keeps_names = True
                fleet.crashing = {TaskKey("bad", 0, 0, 0)}
                fleet.submit(make_job("bad"))
                for _ in range(8):
                    known = len(fleet.crashes)
                    while len(fleet.crashes) == known and fleet.state("bad") != JobState.FAILED:
                        fleet.run(0.1)
                    if replaced:
                        fleet.run(0.3)
                        fleet.replace_owner()
                self.assertLessEqual(len(fleet.crashes), MAX_CRASHES)
                self.assertEqual(JobState.FAILED, fleet.state("bad"))

    def test_start_that_crashes_two_incarnations_counts_twice(self) -> None:
        """Guards against a start that is repeated and crashes each next incarnation of a worker."""
        fleet = Fleet(workers=1)
        fleet.workers["w0"].delays_orders = True
        fleet.submit(make_job())
        fleet.run(0.2)
        for _ in range(2):
            fleet.restart("w0").delays_orders = True
            fleet.run(0.1)
        (record,) = fleet.cell.jobs["j1"].progress.tasks[0]
        lost = {f"w0/{FIRST_BORN}": True, f"w0/{FIRST_BORN + 1}": True}
        self.assertEqual(lost, record.crashed)

    def test_next_owner_counts_a_restart_that_no_owner_saw(self) -> None:
        """Guards against a worker that restarts between two owners and hides that it crashed."""
        fleet = Fleet(workers=1)
        fleet.workers["w0"].duration = 60.0
        fleet.submit(make_job(steps=(LASTING,)))
        fleet.run(0.5)
        fleet.replace_owner()
        core = fleet.restart("w0")
        fleet.run(1.0)
        (record,) = fleet.cell.jobs["j1"].progress.tasks[0]
        self.assertEqual({f"w0/{FIRST_BORN}": False}, record.crashed)
        self.assertEqual(1, len(core.runs))

    def test_late_start_makes_a_run_one_of_the_next_incarnation(self) -> None:
        """
        The start of an earlier owner is carried out by a worker's next incarnation, which is cut
        off later.  Guards against counting that as the certain crash of an incarnation.
        """
        fleet = Fleet(workers=1)
        fleet.workers["w0"].duration = 60.0
        fleet.submit(make_job(steps=(LASTING,)))
        fleet.run(0.5)
        ((task, attempt),) = fleet.workers["w0"].starts
        fleet.replace_owner()
        core = fleet.restart("w0")
        core.start(task, attempt, 10_000, 1, 1.0)
        fleet.run(0.5)
        self.assertTrue(core.runs)
        core.silent = True
        fleet.run(12.0)
        (record,) = fleet.cell.jobs["j1"].progress.tasks[0]
        self.assertEqual([f"w0/{FIRST_BORN + 1}"], list(record.crashed))

    def test_losses_of_a_lasting_task_are_forgotten(self) -> None:
        """Guards against memory that grows with each restart of a worker."""
        fleet = Fleet(workers=1)
        fleet.workers["w0"].duration = 60.0
        fleet.submit(make_job(steps=(LASTING,)))
        fleet.run(0.5)
        for _ in range(3):
            fleet.restart("w0")
            fleet.run(6.0)
            forget_ended(fleet.cell, fleet.now(), 60.0)
        self.assertEqual({}, fleet.cell.suspects)

    def test_answer_of_the_same_incarnation_clears_its_loss(self) -> None:
        """Guards against counting a worker that was only cut off for longer than its lease."""
        fleet = Fleet(workers=1)
        fleet.workers["w0"].duration = 60.0
        fleet.submit(make_job(steps=(LASTING,)))
        fleet.run(0.5)
        fleet.workers["w0"].silent = True
        fleet.run(12.0)
        (record,) = fleet.cell.jobs["j1"].progress.tasks[0]
        self.assertEqual([f"w0/{FIRST_BORN}"], list(record.crashed))
        fleet.workers["w0"].silent = False
        fleet.run(1.0)
        self.assertEqual({}, record.crashed)


class _EarlierRecord(msgspec.Struct, array_like=True, omit_defaults=True):
    """Record as the previous build reads it."""

    state: int = 0
    attempt: int = 0
    failures: int = 0
    worker: str = ""
    checkpoint: str = ""
    counted: list[int] = []
    crashed: dict[str, bool] = {}


class RowsOfTwoBuildsTest(unittest.TestCase):
    def test_rows_are_read_by_both_builds(self) -> None:
        """Guards against jobs that are blocked during a rolling update."""
        new = TaskRecord(1, 2, 0, "w0", "", [], {"w0/5": True}, 7)
        read = msgspec.msgpack.decode(msgspec.msgpack.encode(new), type=_EarlierRecord)
        self.assertEqual(("w0", {"w0/5": True}), (read.worker, read.crashed))
        earlier = [1, 0, [], {0: [_EarlierRecord(1, 2, 0, "w0")]}]
        progress = decode_progress(msgspec.msgpack.encode(earlier))
        self.assertEqual([TaskRecord(1, 2, 0, "w0")], progress.tasks[0])


if __name__ == "__main__":
    unittest.main()
