"""Tests of the summary of a cell's cores."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.job import Step
from toucanpin.scheduling.room import describe_room
from toucanpin.scheduling.tests.fleet import Fleet, make_job


class RoomTest(unittest.TestCase):
    def test_cores_by_who_holds_and_who_waits_for_them(self) -> None:
        """Guards against a wait for room of which nobody can tell what took the room."""
        fleet = Fleet(workers=3, cpu=8_000)
        fleet.submit(make_job("service", (Step(cpu=3_000, long_running=True),)))
        fleet.run(0.5)
        fleet.submit(make_job("short", (Step(count=3, cpu=6_000),)))
        fleet.submit(make_job("filler", (Step(count=9, cpu=8_000, best_effort=True),)))
        fleet.run(0.5)
        room = describe_room(fleet.cell)
        self.assertEqual((24_000, 9_000, 4_000), (room.total, room.free, room.unoccupied))
        self.assertEqual((2, 5_000), (room.whole, room.largest))
        self.assertEqual((12_000, 6_000), (room.short.used, room.short.waiting))
        self.assertEqual((3_000, 0), (room.long_running.used, room.long_running.waiting))


if __name__ == "__main__":
    unittest.main()
