"""When a cell may be taken."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.ownership import (
    OWNER_TIMEOUT_S,
    OwnerRecord,
    OwnerWatch,
    decode_owner,
    encode_owner,
    plan_next_read,
    plan_takeover,
    record_read,
)

OWNER = OwnerRecord("h", "life", 3, 1)


class OwnershipTest(unittest.TestCase):
    def _watch(self, readings: list[tuple[float, int]], record: OwnerRecord | None) -> OwnerWatch:
        watch = OwnerWatch()
        for now, version in readings:
            record_read(watch, version, record, 0.005, now)
        return watch

    def test_an_owner_that_writes_keeps_its_cell(self) -> None:
        watch = self._watch([(i * 0.4, i) for i in range(20)], OWNER)
        self.assertIsNone(plan_takeover(watch, 0.0))

    def test_an_owner_that_is_unheard_loses_it(self) -> None:
        watch = self._watch([(i * 0.4, 1) for i in range(5)], OWNER)
        self.assertEqual(0.0, plan_takeover(watch, 0.0))

    def test_time_without_a_reading_is_not_silence(self) -> None:
        """
        The table is away for 20 s.  Afterwards its owner has not written yet, and would be replaced
        at the first reading if the outage counted.
        """
        watch = self._watch([(0.0, 1), (0.4, 1), (20.4, 1)], OWNER)
        self.assertIsNone(plan_takeover(watch, 0.0))
        self.assertLess(watch.silent_time, OWNER_TIMEOUT_S)

    def test_a_slow_table_gives_an_owner_more_time(self) -> None:
        watch = OwnerWatch()
        for i in range(5):
            record_read(watch, 1, OWNER, 0.3, i * 0.4)
        self.assertIsNone(plan_takeover(watch, 0.0))

    def test_a_free_cell_is_taken_by_rank(self) -> None:
        free = self._watch([(0.0, 0)], None)
        first, second = plan_takeover(free, 0.1), plan_takeover(free, 0.9)
        assert first is not None and second is not None
        self.assertLess(first, second)
        resigned = self._watch([(0.0, 5)], OwnerRecord("", "life", 3, 1))
        self.assertIsNotNone(plan_takeover(resigned, 0.5))

    def test_a_weak_host_leaves_a_cell_to_stronger_ones(self) -> None:
        """
        Half a core is used up by the orders and answers of 176 workers.  Such an owner read no job
        for four seconds, and tasks of jobs that were cancelled in the meantime were started.
        """
        free = self._watch([(0.0, 0)], None)
        weak, strong = plan_takeover(free, 0.0, weak=True), plan_takeover(free, 1.0)
        assert weak is not None and strong is not None
        self.assertLess(strong + 0.4, weak)
        unheard = self._watch([(i * 0.4, 1) for i in range(5)], OWNER)
        self.assertIsNone(plan_takeover(unheard, 0.0, weak=True))
        unheard = self._watch([(i * 0.4, 1) for i in range(8)], OWNER)
        self.assertEqual(0.0, plan_takeover(unheard, 0.0, weak=True))

    def test_a_restarted_owner_takes_its_cell_back_at_once(self) -> None:
        """
        All hosts lose power.  Each of them would wait for the silence of an owner that can't come
        back, and the leases of all workers would lapse meanwhile; the owner's own host needn't.
        """
        watch = self._watch([(0.0, 5)], OWNER)
        self.assertEqual(0.0, plan_takeover(watch, 0.5, "h", "another life"))
        self.assertIsNone(plan_takeover(watch, 0.5, "h", "life"))
        self.assertIsNone(plan_takeover(watch, 0.5, "other", "another life"))

    def test_hosts_that_are_not_next_in_line_seldom_look_at_a_sound_owner(self) -> None:
        """
        A hundred hosts looked at each cell's row every 0.4 s, two in three of all calls that the
        store answered.  Those far behind in the line look seldom while the owner writes, and as
        often as the others once it is silent, since those in front may be lost too.
        """
        sound = self._watch([(0.0, 1), (1.2, 4)], OWNER)
        self.assertEqual(0.4, plan_next_read(sound, 0))
        self.assertEqual(1.2, plan_next_read(sound, 50))
        silent = self._watch([(0.0, 1), (1.2, 1)], OWNER)
        self.assertEqual(0.4, plan_next_read(silent, 50))
        self.assertEqual(0.4, plan_next_read(self._watch([(0.0, 0)], None), 50))
        self.assertEqual(0.4, plan_next_read(OwnerWatch(), 50))

    def test_an_owner_lost_with_all_who_are_next_in_line_is_replaced(self) -> None:
        """
        The owner and all hosts that look closely lose power.  The leases of its workers end 4.5 s
        after its last questions, and all that they run with them, unless one of the others has
        taken the cell by then.
        """
        watch, now, last_write = OwnerWatch(), 0.0, 2.1
        while plan_takeover(watch, 1.0) is None:
            record_read(watch, 1 + int(min(now, last_write) / 0.35), OWNER, 0.005, now)
            now += plan_next_read(watch, 50)
        self.assertLess(now - last_write, 4.5)

    def test_a_record_survives_its_row(self) -> None:
        self.assertEqual(OWNER, decode_owner(encode_owner(OWNER)))


if __name__ == "__main__":
    unittest.main()
