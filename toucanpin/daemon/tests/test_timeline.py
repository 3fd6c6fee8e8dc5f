"""Tests of the daemon's timeline."""

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
    """Return a recorder whose monotonic clock advances by one at each read."""
    clock = itertools.count()
    return Recorder("entry-a/control", "7", lambda: float(next(clock)), lambda: 0.0, capacity)


def read_sequences(body):
    """Return the sequence numbers of the events in a body."""
    return [item.sequence for item in decode_lines("x", body) if isinstance(item, Event)]


class FakeObjects:
    """Object store whose next puts end with ``outcomes``: ok, outage or lost (the answer only)."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.bodies = {}

    def put(self, name, body):
        outcome = self.outcomes.pop(0) if self.outcomes else "ok"
        if outcome == "outage":
            return Error(Unavailable("outage"))
        self.bodies[name] = body
        return Error(Unknown("answer lost")) if outcome == "lost" else Ok(None)

    def read(self):
        """Return the sequence numbers of all stored events, including duplicates."""
        return [
            number for name in sorted(self.bodies) for number in read_sequences(self.bodies[name])
        ]

    def get(self, name):
        return Ok(self.bodies.get(name))

    def names(self, prefix):
        return Ok(tuple(name for name in sorted(self.bodies) if name.startswith(prefix)))


class AppTest(unittest.TestCase):
    def request(self, query, method="GET"):
        """Send a request; return the status, headers and body of the response."""
        recorder = make_recorder(capacity=3)
        for _ in range(5):
            recorder.record("x", {})
        response = []
        body = make_timeline_app(recorder)(
            {"QUERY_STRING": query, "REQUEST_METHOD": method},
            lambda status, headers: response.extend([status, dict(headers)]),
        )
        return response[0], response[1], b"".join(body)

    def test_answers_json_lines_after_a_number(self):
        status, headers, body = self.request("after=4")
        self.assertEqual(status, "200 OK")
        self.assertEqual(read_sequences(body), [5])
        self.assertEqual(headers["Toucanpin-Timeline-Incarnation"], "7")

    def test_reports_the_number_of_missed_events(self):
        _, headers, body = self.request("")
        self.assertEqual(headers["Toucanpin-Timeline-Missed"], "2")
        self.assertEqual(read_sequences(body), [3, 4, 5])

    def test_refuses_invalid_sequence_numbers(self):
        for query in ("after=", "after=-1", "after=x", "after=%D9%A3", "after=" + "9" * 400):
            with self.subTest(query):
                status, _, body = self.request(query)
                self.assertEqual(status, "400 Bad Request")
                self.assertIn(b"not-run", body)
        self.assertEqual(self.request("", method="POST")[0], "405 Method Not Allowed")


class StreamerTest(unittest.TestCase):
    def test_sends_only_new_events(self):
        recorder, objects = make_recorder(), FakeObjects()
        streamer = TimelineStreamer(recorder, objects, random.Random(1))
        for _ in range(3):
            recorder.record("x", {})
            self.assertTrue(streamer.send())
        self.assertTrue(streamer.send())
        self.assertEqual(objects.read(), [1, 2, 3])
        self.assertEqual(min(objects.bodies), "timeline/entry-a/control/7/000000000001")

    def test_outage_loses_only_events_beyond_the_buffer(self):
        """
        During an outage of the store the process records more events than its buffer holds.

        Afterwards the newest events are sent, and the older ones are a gap.  The delay between
        attempts must grow during the outage, to reduce the load on the store.
        """
        recorder, objects = make_recorder(capacity=4), FakeObjects("ok", "outage", "outage")
        streamer = TimelineStreamer(recorder, objects, random.Random(1), period=1.0)
        recorder.record("x", {})
        self.assertTrue(streamer.send())
        usual_delay = streamer.choose_delay()
        for _ in range(2):
            for _ in range(4):
                recorder.record("x", {})
            self.assertFalse(streamer.send())
        self.assertGreater(streamer.choose_delay(), 2 * usual_delay)
        self.assertTrue(streamer.send())
        self.assertEqual(objects.read(), [1, 6, 7, 8, 9])
        self.assertLess(streamer.choose_delay(), 2 * usual_delay)

    def test_lost_answer_duplicates_no_event(self):
        """
        The store keeps a batch, its answer is lost, and more events follow.

        The next batch starts at the same event, so it must overwrite the object of the first.
        """
        recorder, objects = make_recorder(), FakeObjects("lost")
        streamer = TimelineStreamer(recorder, objects, random.Random(1))
        recorder.record("x", {})
        self.assertFalse(streamer.send())
        recorder.record("x", {})
        self.assertTrue(streamer.send())
        self.assertEqual(objects.read(), [1, 2])

    def test_stop_sends_the_remaining_events(self):
        recorder, objects = make_recorder(capacity=6_000), FakeObjects()
        streamer = TimelineStreamer(recorder, objects, random.Random(1), period=3_600.0)
        streamer.start()
        for _ in range(timeline.MAX_BATCH_EVENTS + 5):
            recorder.record("x", {})
        streamer.stop(grace=30.0)
        self.assertEqual(len(objects.read()), timeline.MAX_BATCH_EVENTS + 5)

    def test_stop_during_an_outage_does_not_retry(self):
        recorder, objects = make_recorder(), FakeObjects(*["outage"] * 1_000)
        streamer = TimelineStreamer(recorder, objects, random.Random(1), period=3_600.0)
        recorder.record("x", {})
        streamer.start()
        streamer.stop(grace=30.0)
        self.assertEqual(len(objects.outcomes), 999)


if __name__ == "__main__":
    unittest.main()
