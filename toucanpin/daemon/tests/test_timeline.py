"""Tests of the daemon's time line."""

import itertools
import random
import unittest

from expression import Error, Ok

from toucanpin.daemon import timeline
from toucanpin.daemon.timeline import TimelineStreamer, make_timeline_app
from toucanpin.platform.ports import Unavailable, Unknown
from toucanpin.timeline.codec import decode_lines
from toucanpin.timeline.event import Event
from toucanpin.timeline.recorder import Recorder


def make_recorder(capacity=100):
    """Make a recorder with clocks that count."""
    ticks = itertools.count()
    return Recorder("entry-a/control", "7", lambda: float(next(ticks)), lambda: 0.0, capacity)


def read_sequences(body):
    """Return the numbers of the events in a body."""
    return [item.sequence for item in decode_lines("x", body) if isinstance(item, Event)]


class FakeObjects:
    """Keep objects; the next puts go as ``plan`` says: ok, away, or stored with a lost answer."""

    def __init__(self, *plan):
        self.plan = list(plan)
        self.bodies = {}

    def put(self, name, body):
        step = self.plan.pop(0) if self.plan else "ok"
        if step == "away":
            return Error(Unavailable("outage"))
        self.bodies[name] = body
        return Error(Unknown("answer lost")) if step == "lost" else Ok(None)

    def read(self):
        """Return every event number that the store holds, duplicates too."""
        return [
            number for name in sorted(self.bodies) for number in read_sequences(self.bodies[name])
        ]

    def get(self, name):
        return Ok(self.bodies.get(name))

    def names(self, prefix):
        return Ok(tuple(name for name in sorted(self.bodies) if name.startswith(prefix)))


class AppTest(unittest.TestCase):
    def ask(self, query, method="GET"):
        """Ask the application and return status, headers and body."""
        recorder = make_recorder(capacity=3)
        for _ in range(5):
            recorder.record("x", {})
        seen = []
        body = make_timeline_app(recorder)(
            {"QUERY_STRING": query, "REQUEST_METHOD": method},
            lambda status, headers: seen.extend([status, dict(headers)]),
        )
        return seen[0], seen[1], b"".join(body)

    def test_answers_json_lines_after_a_number(self):
        status, headers, body = self.ask("after=4")
        self.assertEqual(status, "200 OK")
        self.assertEqual(read_sequences(body), [5])
        self.assertEqual(headers["Toucanpin-Timeline-Incarnation"], "7")

    def test_says_how_many_events_are_gone(self):
        _, headers, body = self.ask("")
        self.assertEqual(headers["Toucanpin-Timeline-Missed"], "2")
        self.assertEqual(read_sequences(body), [3, 4, 5])

    def test_refuses_what_is_no_number(self):
        for query in ("after=", "after=-1", "after=x", "after=%D9%A3", "after=" + "9" * 400):
            with self.subTest(query):
                status, _, body = self.ask(query)
                self.assertEqual(status, "400 Bad Request")
                self.assertIn(b"not-run", body)
        self.assertEqual(self.ask("", method="POST")[0], "405 Method Not Allowed")


class StreamerTest(unittest.TestCase):
    def test_sends_only_what_is_new(self):
        recorder, objects = make_recorder(), FakeObjects()
        streamer = TimelineStreamer(recorder, objects, random.Random(1))
        for _ in range(3):
            recorder.record("x", {})
            self.assertTrue(streamer.send())
        self.assertTrue(streamer.send())
        self.assertEqual(objects.read(), [1, 2, 3])
        self.assertEqual(min(objects.bodies), "timeline/entry-a/control/7/000000000001")

    def test_outage_loses_only_what_does_not_fit(self):
        """
        The store is away while the process records more than its buffer holds.

        When the store is back, the newest events that fitted are sent and the older ones show as
        a gap; the delay grew meanwhile, so that the store isn't asked at full pace.
        """
        recorder, objects = make_recorder(capacity=4), FakeObjects("ok", "away", "away")
        streamer = TimelineStreamer(recorder, objects, random.Random(1), period=1.0)
        recorder.record("x", {})
        self.assertTrue(streamer.send())
        calm = streamer.choose_delay()
        for _ in range(2):
            for _ in range(4):
                recorder.record("x", {})
            self.assertFalse(streamer.send())
        self.assertGreater(streamer.choose_delay(), 2 * calm)
        self.assertTrue(streamer.send())
        self.assertEqual(objects.read(), [1, 6, 7, 8, 9])
        self.assertLess(streamer.choose_delay(), 2 * calm)

    def test_lost_answer_doubles_no_event(self):
        """
        The store keeps a batch but its answer is lost, and more events come before the next try.

        The next batch starts at the same event, so it replaces the object of the first.
        """
        recorder, objects = make_recorder(), FakeObjects("lost")
        streamer = TimelineStreamer(recorder, objects, random.Random(1))
        recorder.record("x", {})
        self.assertFalse(streamer.send())
        recorder.record("x", {})
        self.assertTrue(streamer.send())
        self.assertEqual(objects.read(), [1, 2])

    def test_stop_sends_what_is_left(self):
        recorder, objects = make_recorder(capacity=6_000), FakeObjects()
        streamer = TimelineStreamer(recorder, objects, random.Random(1), period=3_600.0)
        streamer.start()
        for _ in range(timeline.MAX_BATCH_EVENTS + 5):
            recorder.record("x", {})
        streamer.stop(grace=30.0)
        self.assertEqual(len(objects.read()), timeline.MAX_BATCH_EVENTS + 5)

    def test_stop_in_an_outage_does_not_wait_for_the_store(self):
        recorder, objects = make_recorder(), FakeObjects(*["away"] * 1_000)
        streamer = TimelineStreamer(recorder, objects, random.Random(1), period=3_600.0)
        recorder.record("x", {})
        streamer.start()
        streamer.stop(grace=30.0)
        self.assertEqual(len(objects.plan), 999)


if __name__ == "__main__":
    unittest.main()
