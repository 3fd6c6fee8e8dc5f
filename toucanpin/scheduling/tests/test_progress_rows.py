"""Progress that is larger than a row of the table."""

from __future__ import annotations

import base64
import random
import unittest

import msgspec

from toucanpin.exception import MalformedError
from toucanpin.scheduling.intake import cancel_job, forget_ended
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.progress import JobState, Progress, TaskRecord, TaskState
from toucanpin.scheduling.progress_rows import (
    decode_progress,
    decode_state,
    encode_progress,
    encode_rows,
    list_piece_keys,
)
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.write_batches import take_batch

ROW_BYTES = 65_536  # of the users' store, as are the others
TRANSACTION_BYTES = 1_000_000
TRANSACTION_ENTRIES = 100
LARGEST_JOB = 3_000  # tasks
SMALL_ROW_BYTES = 256  # less than the progress of MANY tasks takes
MANY = 600


class ProgressRowsTest(unittest.TestCase):
    def setUp(self) -> None:
        drawn = random.Random(1)
        self.progress = Progress(JobState.ACTIVE, 0, [(0, 6)], {7: _draw_records(drawn)})
        self.rows = encode_rows("j1", self.progress, ROW_BYTES)

    def test_rows_and_their_transaction_have_a_bounded_size(self) -> None:
        """Guards against a row that the store refuses, which ends each owner of its cell."""
        sizes = [len(base64.b64encode(value)) for value in self.rows.values()]
        self.assertGreater(len(sizes), 2)
        self.assertLessEqual(max(sizes), ROW_BYTES)
        self.assertLess(sum(sizes), TRANSACTION_BYTES)

    def test_progress_is_read_from_its_rows(self) -> None:
        """Guards against tasks that are lost with the place where they run."""
        first, *pieces = self.rows.values()
        self.assertEqual(self.progress, decode_progress(first, pieces))
        self.assertEqual(["j1", *list_piece_keys("j1", len(pieces))], list(self.rows))
        self.assertEqual(JobState.ACTIVE, decode_state(first))

    def test_rows_that_are_missing_or_cut_off_are_malformed(self) -> None:
        """Guards against beginning a job anew, of which tasks run."""
        first, *pieces = self.rows.values()
        for found in ([], pieces[:-1], [*pieces[:-1], pieces[-1][:-1]], [b"", *pieces[1:]]):
            with self.assertRaises(MalformedError):
                decode_progress(first, found)

    def test_earlier_builds_do_not_begin_the_job_anew(self) -> None:
        """Guards against a host of an earlier build that reads the first row as a new job."""

        class Earlier(msgspec.Struct, array_like=True):
            state: int
            ended: int
            ended_occurrences: list[int]
            tasks: dict[int, list[TaskRecord]]

        with self.assertRaises(msgspec.ValidationError):
            msgspec.msgpack.decode(self.rows["j1"], type=Earlier)

    def test_progress_that_fits_is_one_row(self) -> None:
        """Guards against rows that earlier builds can't read without need."""
        progress = Progress(JobState.ACTIVE, 0, [], {0: [TaskRecord(1, 1, 0, "w0")] * 100})
        self.assertEqual({"j1": encode_progress(progress)}, encode_rows("j1", progress, ROW_BYTES))


class LargeJobTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=4, cpu=100_000)
        for core in self.fleet.workers.values():
            core.duration = 4.0
        self.fleet.cell.max_row = SMALL_ROW_BYTES
        self.fleet.submit(make_job("j1", (Step(count=MANY, cpu=10),)))
        self.fleet.run(1.0)

    def _list_pieces(self) -> list[str]:
        return [key for key in self.fleet.rows if key.startswith("j1/")]

    def test_large_job_goes_on_under_the_next_owner(self) -> None:
        """Guards against tasks of a large job that are lost or run twice after a takeover."""
        self.assertTrue(self._list_pieces())
        self.assertLessEqual(max(map(len, self.fleet.rows.values())), SMALL_ROW_BYTES)
        self.fleet.replace_owner()
        self.fleet.cell.max_row = SMALL_ROW_BYTES
        self.fleet.run(8.0)
        self.assertEqual(JobState.COMPLETED, self.fleet.state("j1"))
        starts = sum(len(core.starts) for core in self.fleet.workers.values())
        self.assertEqual(MANY, starts)
        self.assertFalse(self.fleet.duplicate_runs)

    def test_pieces_are_deleted_once_they_are_not_used(self) -> None:
        """Guards against rows that stay for good, and are read at each takeover."""
        self.fleet.run(8.0)
        self.assertEqual(JobState.COMPLETED, self.fleet.state("j1"))
        self.assertFalse(self._list_pieces())

    def test_pieces_of_a_forgotten_job_are_deleted(self) -> None:
        """Guards against pieces that stay when the first row is deleted."""
        cancel_job(self.fleet.cell, "j1", self.fleet.now())
        self.fleet.run(1.0)
        forget_ended(self.fleet.cell, self.fleet.now(), 0.0)
        self.fleet.cell.progress_rows_to_delete += self.fleet.cell.job_rows_to_delete
        self.fleet.run(0.1)
        self.assertFalse(self.fleet.rows)

    def test_batch_of_large_jobs_fits_a_transaction(self) -> None:
        """Guards against a transaction that the store refuses, as each job alone would fit."""
        drawn = random.Random(1)
        fleet = Fleet(workers=0)
        for number in range(30):
            fleet.submit(make_job(f"j{number}", (Step(count=LARGEST_JOB),)))
            fleet.cell.jobs[f"j{number}"].progress.tasks[0] = _draw_records(drawn)
            fleet.cell.dirty[f"j{number}"] = None
        while fleet.cell.dirty:
            batch = take_batch(fleet.cell)
            size = sum(len(base64.b64encode(value)) for value in batch.records.values())
            self.assertLess(size, TRANSACTION_BYTES)
            self.assertLess(len(batch.records) + len(batch.forgotten), TRANSACTION_ENTRIES - 4)


def _draw_records(drawn: random.Random) -> list[TaskRecord]:
    """Return tasks that run, have a checkpoint and were lost with two workers."""
    return [
        TaskRecord(
            TaskState.PLACED,
            3,
            0,
            f"i-{drawn.getrandbits(32):08x}",
            f"{drawn.getrandbits(64):016x}",
            [],
            {f"i-{drawn.getrandbits(32):08x}/{drawn.getrandbits(40)}": True for _ in range(2)},
            drawn.getrandbits(40),
        )
        for _ in range(LARGEST_JOB)
    ]


if __name__ == "__main__":
    unittest.main()
