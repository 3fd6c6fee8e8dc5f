"""Tests of the recorder."""

import itertools
import sys
import threading
import unittest

from toucanpin.timeline.event import Cause
from toucanpin.timeline.recorder import Recorder


def make_recorder(capacity=4):
    """Make a recorder whose monotonic clock advances by 1 s with each reading."""
    ticks = itertools.count()
    return Recorder("a/control", "1", lambda: float(next(ticks)), lambda: 0.0, capacity)


class RecorderTest(unittest.TestCase):
    def test_sequence_numbers_start_at_one(self):
        recorder = make_recorder()
        self.assertEqual(recorder.record("process.started", {}).sequence, 1)
        self.assertEqual(recorder.last_sequence, 1)

    def test_full_buffer_drops_and_counts_the_oldest(self):
        recorder = make_recorder(capacity=4)
        for _ in range(7):
            recorder.record("x", {})
        excerpt = recorder.read_after(1)
        self.assertEqual([event.sequence for event in excerpt.events], [4, 5, 6, 7])
        self.assertEqual(excerpt.missed, 2)
        self.assertEqual(recorder.dropped, 3)

    def test_reads_after_a_sequence_number_up_to_a_limit(self):
        recorder = make_recorder(capacity=10)
        for _ in range(6):
            recorder.record("x", {})
        excerpt = recorder.read_after(2, limit=2)
        self.assertEqual([event.sequence for event in excerpt.events], [3, 4])
        self.assertEqual(recorder.read_after(6).events, ())
        self.assertEqual(recorder.read_after(99).events, ())

    def test_observed_cause_is_attached_to_the_next_event_only(self):
        recorder = make_recorder()
        recorder.observe(Cause("b/control", 7, "1"))
        recorder.observe(Cause("b/control", 5, "1"))
        recorder.observe(Cause("c/control", 0, "1"))
        self.assertEqual(recorder.record("x", {}).causes, (Cause("b/control", 7, "1"),))
        self.assertEqual(recorder.record("y", {}).causes, ())
        recorder.observe(Cause("b/control", 7, "1"))
        self.assertEqual(recorder.record("z", {}).causes, ())

    def test_lower_sequence_number_of_another_incarnation_is_a_new_cause(self):
        recorder = make_recorder()
        recorder.observe(Cause("b/control", 7, "1"))
        recorder.record("x", {})
        recorder.observe(Cause("b/control", 2, "2"))
        self.assertEqual(recorder.record("y", {}).causes, (Cause("b/control", 2, "2"),))

    def test_event_copies_its_ids(self):
        ids = {"job": "a"}
        event = make_recorder().record("x", ids)
        ids["job"] = "b"
        self.assertEqual(event.ids, {"job": "a"})

    def test_sequence_and_clock_agree_between_threads(self):
        # Switching threads as often as possible exposes clocks that are read outside the lock: two
        # threads then read the clock in one order and record in the other.
        self.addCleanup(sys.setswitchinterval, sys.getswitchinterval())
        sys.setswitchinterval(1e-6)
        recorder = make_recorder(capacity=4_000)
        threads = [
            threading.Thread(target=lambda: [recorder.record("x", {}) for _ in range(500)])
            for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        events = recorder.read_after(0).events
        self.assertEqual([event.sequence for event in events], list(range(1, 2_001)))
        self.assertEqual([event.monotonic for event in events], [float(n) for n in range(2_000)])


if __name__ == "__main__":
    unittest.main()
