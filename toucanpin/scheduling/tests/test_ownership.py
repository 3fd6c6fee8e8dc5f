"""Takeover of a cell, and reads of its owner's row."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.ownership import (
    OWNER_TIMEOUT_S,
    OwnerRecord,
    OwnerWatch,
    decode_owner,
    encode_owner,
    plan_next_read,
    plan_rank,
    plan_takeover,
    record_failed_read,
    record_read,
)

OWNER = OwnerRecord("h", "life", 3, 1)


class OwnershipTest(unittest.TestCase):
    def _watch(self, readings: list[tuple[float, int]], record: OwnerRecord | None) -> OwnerWatch:
        watch = OwnerWatch()
        for now, version in readings:
            record_read(watch, version, record, 0.005, now)
        return watch

    def test_writing_owner_keeps_its_cell(self) -> None:
        watch = self._watch([(i * 0.4, i) for i in range(20)], OWNER)
        self.assertIsNone(plan_takeover(watch, 0.0))

    def test_silent_owner_loses_its_cell(self) -> None:
        watch = self._watch([(i * 0.4, 1) for i in range(5)], OWNER)
        self.assertEqual(0.0, plan_takeover(watch, 0.0))

    def test_time_without_reads_does_not_count_as_silence(self) -> None:
        """
        The table is down for 20 s. Guards against replacing the owner at the first read afterwards,
        before it could write again.
        """
        watch = self._watch([(0.0, 1), (0.4, 1), (20.4, 1)], OWNER)
        self.assertIsNone(plan_takeover(watch, 0.0))
        self.assertLess(watch.silent_time, OWNER_TIMEOUT_S)

    def test_an_outage_restarts_the_silent_time_once(self) -> None:
        """
        The store is away for 4 s, and the read that was sent into it ends after it. Guards against
        counting the silence from before it, and against never replacing an owner on slow reads.
        """
        watch = self._watch([(0.0, 1), (0.4, 1), (0.8, 1)], OWNER)
        record_read(watch, 1, OWNER, 4.0, 4.8)
        self.assertEqual(0.0, watch.silent_time)
        self.assertLess(watch.read_time, 0.1)
        for number in range(1, 5):
            self.assertIsNone(plan_takeover(watch, 0.0))
            record_read(watch, 1, OWNER, 0.005, 4.8 + number * 0.4)
        self.assertEqual(0.0, plan_takeover(watch, 0.0))
        slow = OwnerWatch()
        for number in range(8):
            record_read(slow, 1, OWNER, 1.2, number * 1.6)
        self.assertEqual(0.0, plan_takeover(slow, 1.0))

    def test_a_short_refusal_restarts_the_silent_time(self) -> None:
        watch = self._watch([(0.0, 1), (0.4, 1)], OWNER)
        record_failed_read(watch)
        record_read(watch, 1, OWNER, 0.005, 1.2)
        self.assertEqual(0.0, watch.silent_time)

    def test_the_first_successor_reads_when_the_timeout_is_due(self) -> None:
        """Guards against a takeover that comes up to 0.4 s late, by the period of the reads."""
        self.assertEqual(0.0, plan_rank(0, 0.9))
        self.assertGreater(plan_rank(1, 0.0), 0.0)
        watch = self._watch([(i * 0.4, 1) for i in range(4)], OWNER)
        self.assertIsNone(plan_takeover(watch, 0.0))
        self.assertLess(plan_next_read(watch, 0), 0.2)

    def test_slow_table_extends_the_owner_timeout(self) -> None:
        watch = OwnerWatch()
        for i in range(5):
            record_read(watch, 1, OWNER, 0.3, i * 0.4)
        self.assertIsNone(plan_takeover(watch, 0.0))

    def test_cell_without_owner_is_taken_by_rank(self) -> None:
        free = self._watch([(0.0, 0)], None)
        first, second = plan_takeover(free, 0.1), plan_takeover(free, 0.9)
        assert first is not None and second is not None
        self.assertLess(first, second)
        resigned = self._watch([(0.0, 5)], OwnerRecord("", "life", 3, 1))
        self.assertIsNotNone(plan_takeover(resigned, 0.5))

    def test_weak_host_defers_to_stronger_ones(self) -> None:
        """
        Orders and answers of 176 workers take all time of half a core. Guards against such an
        owner, which read no job for four seconds and started tasks of jobs that were cancelled
        meanwhile.
        """
        free = self._watch([(0.0, 0)], None)
        weak, strong = plan_takeover(free, 0.0, weak=True), plan_takeover(free, 1.0)
        assert weak is not None and strong is not None
        self.assertLess(strong + 0.4, weak)
        silent = self._watch([(i * 0.4, 1) for i in range(5)], OWNER)
        self.assertIsNone(plan_takeover(silent, 0.0, weak=True))
        silent = self._watch([(i * 0.4, 1) for i in range(8)], OWNER)
        self.assertEqual(0.0, plan_takeover(silent, 0.0, weak=True))

    def test_restarted_owner_retakes_its_cell_at_once(self) -> None:
        """
        All hosts lose power. Guards against waiting for the timeout of an owner that can't return,
        while the leases of all workers expire; the owner's own host needn't wait.
        """
        watch = self._watch([(0.0, 5)], OWNER)
        self.assertEqual(0.0, plan_takeover(watch, 0.5, "h", "another life"))
        self.assertIsNone(plan_takeover(watch, 0.5, "h", "life"))
        self.assertIsNone(plan_takeover(watch, 0.5, "other", "another life"))

    def test_distant_successors_read_a_healthy_owners_row_rarely(self) -> None:
        """
        With a hundred hosts that read each cell's row every 0.4 s, two thirds of the store's load
        were these reads. Hosts far down the order read rarely while the owner writes, and as often
        as the others once it is silent, since the first successors may have failed too.
        """
        healthy = self._watch([(0.0, 1), (1.2, 4)], OWNER)
        self.assertEqual(0.4, plan_next_read(healthy, 0))
        self.assertEqual(1.2, plan_next_read(healthy, 50))
        silent = self._watch([(0.0, 1), (1.2, 1)], OWNER)
        self.assertEqual(0.4, plan_next_read(silent, 50))
        self.assertEqual(0.4, plan_next_read(self._watch([(0.0, 0)], None), 50))
        self.assertEqual(0.4, plan_next_read(OwnerWatch(), 50))

    def test_owner_lost_with_all_first_successors_is_replaced(self) -> None:
        """
        The owner and its first successors lose power. One of the other hosts must take the cell
        within 4.5 s, before the leases of its workers expire and their tasks are lost.
        """
        watch, now, last_write = OwnerWatch(), 0.0, 2.1
        while plan_takeover(watch, 1.0) is None:
            record_read(watch, 1 + int(min(now, last_write) / 0.35), OWNER, 0.005, now)
            now += plan_next_read(watch, 50)
        self.assertLess(now - last_write, 4.5)

    def test_record_round_trip(self) -> None:
        self.assertEqual(OWNER, decode_owner(encode_owner(OWNER)))


if __name__ == "__main__":
    unittest.main()
