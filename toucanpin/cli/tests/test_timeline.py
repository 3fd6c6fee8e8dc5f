"""Tests of the command ``timeline``."""

import contextlib
import threading
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock
from wsgiref.simple_server import WSGIRequestHandler, make_server

from click.testing import CliRunner
from expression import Error, Ok

from toucanpin.cli import timeline as module
from toucanpin.cli.exits import ExitCode
from toucanpin.cli.timeline import timeline
from toucanpin.daemon.timeline import make_timeline_app
from toucanpin.platform.ports import Unavailable
from toucanpin.timeline.codec import encode_lines
from toucanpin.timeline.event import Cause, Event
from toucanpin.timeline.recorder import Recorder

LOST_EVENT = Event("entry-a/control", "1", 1, 1.0, 9.0, "task.placed", {"job": "j"})
UNREACHABLE_URL = "http://127.0.0.1:1"


class QuietHandler(WSGIRequestHandler):
    """Request handler without an access log."""

    def log_message(self, format, *args):
        """Log nothing."""


@contextlib.contextmanager
def serve(app):
    """Serve an application on a free port of the loopback and yield its URL."""
    with make_server("127.0.0.1", 0, app, handler_class=QuietHandler) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        try:
            yield f"http://127.0.0.1:{server.server_port}"
        finally:
            server.shutdown()
            thread.join()


class StoredObjects:
    """Object store with the events that a lost process had written."""

    def __init__(self, bodies):
        self.bodies = bodies

    def put(self, name, body):
        return Error(Unavailable("read only"))

    def get(self, name):
        return Ok(self.bodies.get(name))

    def names(self, prefix):
        return Ok(tuple(self.bodies))


class TimelineCommandTest(unittest.TestCase):
    def run_command(self, *arguments, bodies=None):
        """Run the command with one live process, whose URL replaces ``LIVE``, and a store."""
        recorder = Recorder("entry-b/control", "1", lambda: 5.0, lambda: 5.0)
        recorder.record("job.finished", {"job": "j"}, causes=(Cause("entry-a/control", 1, "1"),))
        recorder.record("request.answered", {"request": "r"})
        stored = bodies or {"timeline/entry-a/control/1/1": b"".join(encode_lines([LOST_EVENT]))}
        with serve(make_timeline_app(recorder)) as url:
            filled = [url if word == "LIVE" else word for word in arguments]
            with mock.patch.object(
                module, "HttpObjectStore", lambda url, client: StoredObjects(stored)
            ):
                return CliRunner().invoke(timeline, filled)

    def test_merges_a_live_process_and_stored_events_of_a_lost_one(self):
        """
        The stored event precedes the event that it caused in the live process.

        The wall clock of the lost process was ahead, so clocks alone would reverse them.
        """
        result = self.run_command("--from", "LIVE", "--store", "http://store", "--job", "j")
        self.assertEqual(result.exit_code, 0, result.output)
        lines = result.stdout.splitlines()
        self.assertEqual(len(lines), 2)
        self.assertIn("task.placed", lines[0])
        self.assertIn("job.finished", lines[1])

    def test_reports_unreadable_sources_and_shows_the_others(self):
        result = self.run_command("--from", UNREACHABLE_URL, "--from", "LIVE", "--output", "json")
        self.assertEqual(result.exit_code, ExitCode.UNCERTAIN)
        self.assertEqual(len(result.stdout.splitlines()), 2)
        self.assertIn(f"{UNREACHABLE_URL}: not read", result.stderr)
        self.assertIn("its cause entry-a/control#1 is missing", result.stderr)

    def test_reports_the_location_of_an_unreadable_line(self):
        bodies = {"timeline/x/1/1": b"".join(encode_lines([LOST_EVENT])) + b'{"process": "entr'}
        result = self.run_command("--store", "http://store", bodies=bodies)
        self.assertEqual(result.exit_code, 0)
        self.assertIn("timeline/x/1/1:2: unreadable event", result.stderr)
        self.assertEqual(len(result.stdout.splitlines()), 1)

    def test_writes_lane_diagrams(self):
        with TemporaryDirectory() as folder:
            for name, start in (("lanes.svg", "<svg"), ("lanes.html", "<!doctype html>")):
                path = Path(folder, name)
                result = self.run_command("--from", "LIVE", "--picture", str(path))
                self.assertEqual(result.exit_code, 0, result.output)
                self.assertTrue(path.read_text().startswith(start))

    def test_requires_a_source_and_a_known_picture_suffix(self):
        self.assertEqual(self.run_command().exit_code, 2)
        self.assertEqual(
            self.run_command("--from", UNREACHABLE_URL, "--picture", "x.png").exit_code, 2
        )


if __name__ == "__main__":
    unittest.main()
