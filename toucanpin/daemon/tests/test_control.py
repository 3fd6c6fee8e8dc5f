"""Tests of the control role's shell with ports in memory and real threads."""

import io
import json
import threading
import time
import unittest

from expression import Ok

from standins.memory import Line, MemoryObjects, MemoryTable, MemoryWorkers
from standins.objects import ObjectsCore
from standins.table import TableCore
from standins.worker import WorkerCore
from toucanpin.bundles.schema import Bundle, StandingTask
from toucanpin.daemon.control import Control, PollPool
from toucanpin.daemon.jobs_app import JobsApp
from toucanpin.membership.incarnation import make_incarnation
from toucanpin.membership.member import Member
from toucanpin.placement.actions import WorkerPoll
from toucanpin.placement.records import AuthorityRow, CellRow, decode
from toucanpin.platform.ports import HostRole, ListedHost, Poll, Report, Size
from toucanpin.timeline.event import Event

TEST_TIMEOUT_S = 30.0


class Platform:
    """Hold the cores behind the ports and serve as the views of the other parts."""

    def __init__(self) -> None:
        line = Line(time.monotonic)
        self.core = TableCore()
        self.table = MemoryTable(self.core, line, "test")
        self.objects = MemoryObjects(ObjectsCore(), line, "test")
        size = Size(8, 8_000, 0)
        self.cores = {"w0": WorkerCore("w0", "1", size)}
        self.workers = MemoryWorkers(self.cores, self.objects, line, "test")
        self.host = ListedHost("w0", HostRole.WORKER, "s", "r", "127.0.0.1", 1, size=size)
        standing = (StandingTask("enc", "t", "encoder", 1, 100),)
        self.bundle = Bundle("test", 1, standing=standing)
        self.noted: dict[str, threading.Event] = {}

    def hosts(self):
        """Serve as the host list."""
        return Ok((self.host,))

    def members(self):
        """Serve as the membership."""
        return (Member("e0/control", "e0", "s", "control", make_incarnation(1), "127.0.0.1", 1),)

    def current(self):
        """Serve as the bundle in force."""
        return self.bundle

    def record(self, kind, ids, detail="", causes=()):
        """Serve as the time line."""
        self.noted.setdefault(kind, threading.Event()).set()
        return Event("e0/control", "1", 1, 0.0, 0.0, kind, ids, detail, causes)

    def wait(self, kind: str) -> bool:
        """Wait for an event."""
        return self.noted.setdefault(kind, threading.Event()).wait(TEST_TIMEOUT_S)

    def control(self) -> Control:
        """Build the part under test."""
        return Control(
            "e0/control",
            1,
            self.table,
            self.workers,
            self,
            self,
            self,
            self,
            lambda holder, peers: frozenset(),
            turn_period=0.01,
        )


class Caller:
    """Call the WSGI application."""

    def __init__(self, platform: Platform) -> None:
        self.app = JobsApp(platform.table, platform.objects, lambda: (platform.host,), platform)

    def call(self, method: str, path: str, body: bytes = b"", key: str = "", query: str = ""):
        """Return status, headers and body."""
        answered: list = []
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(body)),
            "HTTP_IDEMPOTENCY_KEY": key,
            "wsgi.input": io.BytesIO(body),
        }
        body = b"".join(
            self.app(environ, lambda status, headers: answered.extend((status, headers)))
        )
        return int(answered[0].split()[0]), dict(answered[1]), body


def describe_job(**fields) -> bytes:
    """Return the JSON of a submission."""
    job = {"kind": "k", "team": "t", "processors": 1, "memory": 100, **fields}
    return json.dumps(job).encode()


class ControlTest(unittest.TestCase):
    """Run the whole path by threads."""

    def test_job_and_standing_task_by_http_and_threads(self):
        """A job that came by HTTP is run to its result, and stopping releases everything."""
        platform = Platform()
        caller = Caller(platform)
        status, headers, body = caller.call("POST", "/v1/jobs", describe_job(), "key")
        self.assertEqual(status, 202)
        control = platform.control()
        control.start()
        self.assertTrue(platform.wait("job.finish"))
        self.assertTrue(control.is_ready())
        control.stop(TEST_TIMEOUT_S)
        self.assertEqual(caller.call("GET", headers["Location"] + "/result")[0], 200)
        self.assertEqual(
            json.loads(caller.call("GET", headers["Location"])[2])["state"], "finished"
        )
        self.assertEqual(json.loads(caller.call("GET", "/v1/standing")[2])[0]["host"], "w0")
        cell = decode(platform.core.scan("plan/cell/")[0].value, CellRow)
        self.assertIsNone(cell.owner)
        authority = decode(platform.core.scan("plan/control/")[0].value, AuthorityRow)
        self.assertTrue(authority.released)

    def test_policy_of_interference_is_the_default(self):
        """
        The operator reads on the time line that an encoder uses three times what it declared: the
        control role learns from reports without being told which policy to use.
        """
        platform = Platform()
        greedy = StandingTask("enc", "t", "encoder", 1, 100, payload='{"use": 3.0}')
        platform.bundle = Bundle("test", 1, standing=(greedy,))
        control = platform.control()
        control.start()
        self.assertTrue(platform.wait("task.outgrown"))
        control.stop(TEST_TIMEOUT_S)


class SilentWorkers:
    """Answer for one worker at once and for the other only when told."""

    def __init__(self) -> None:
        self.release = threading.Event()

    def poll(self, host, poll):
        """Wait if this is the silent worker."""
        if host.name == "silent":
            self.release.wait(TEST_TIMEOUT_S)
        return Ok(Report(host.name, "1", 1, poll.epoch, True, False, Size(1, 1), ()))


class PollPoolTest(unittest.TestCase):
    """Poll workers of which one is silent."""

    def poll(self, pool, epoch):
        """Poll both workers; return who answered."""
        size = Size(1, 1)
        hosts = [
            ListedHost(it, HostRole.WORKER, "s", "r", "127.0.0.1", 1, size=size)
            for it in ("quick", "silent")
        ]
        polls = tuple(WorkerPoll(it, Poll(epoch, "", 0, ())) for it in hosts)
        return [it.is_ok() for it in pool.poll_all(polls)]

    def test_silent_worker_holds_up_nobody(self):
        """
        The quick worker's report is there while the silent one's poll is still under way.  The late
        report answers a later poll, but never one of another epoch: to accept an old epoch says
        nothing about refusing an owner that came in between.
        """
        for epoch, late in ((1, True), (2, False)):
            with self.subTest(epoch=epoch):
                workers = SilentWorkers()
                pool = PollPool(workers)
                self.assertEqual(self.poll(pool, 1), [True, False])
                workers.release.set()
                self.assertEqual(self.poll(pool, epoch), [True, late])
                pool.close()


class JobsAppTest(unittest.TestCase):
    """Call the interface of jobs without any control process."""

    def test_same_key_finds_the_same_job(self):
        """A repeated submission gets the first job, another under its key a conflict."""
        caller = Caller(Platform())
        first = caller.call("POST", "/v1/jobs", describe_job(), "key")
        self.assertEqual(caller.call("POST", "/v1/jobs", describe_job(), "key")[2], first[2])
        other = caller.call("POST", "/v1/jobs", describe_job(memory=7), "key")
        self.assertEqual((other[0], json.loads(other[2])["reason"]), (409, "conflict"))
        self.assertEqual(len(json.loads(caller.call("GET", "/v1/jobs")[2])), 1)

    def test_refusals_carry_verdict_and_reason(self):
        """Bad input, unknown jobs and jobs that never fit are told so at once."""
        caller = Caller(Platform())
        cases = (
            (("POST", "/v1/jobs", b"{", "key"), 400, "bad-request"),
            (("POST", "/v1/jobs", describe_job(), ""), 400, "bad-request"),
            (("POST", "/v1/jobs", describe_job(processors=99), "key"), 422, "never-fits"),
            (("POST", "/v1/jobs", describe_job(payload="x" * 70_000), "key"), 413, "too-large"),
            (("GET", "/v1/jobs/none"), 404, "not-found"),
            (("DELETE", "/v1/jobs/none"), 404, "not-found"),
            (("GET", "/v1/jobs", b"", "", "limit=0"), 400, "bad-request"),
            (("PUT", "/v1/jobs"), 404, "not-found"),
        )
        for request, status, reason in cases:
            with self.subTest(request=request[:2], reason=reason):
                answer = caller.call(*request)
                body = json.loads(answer[2])
                self.assertEqual((answer[0], body["reason"]), (status, reason))
                self.assertEqual(answer[1]["Toucanpin-Verdict"], "not-run")

    def test_cancel_of_a_waiting_job(self):
        """A cancelled job shows so, also to a second cancel, and has no result."""
        caller = Caller(Platform())
        path = caller.call("POST", "/v1/jobs", describe_job(), "key")[1]["Location"]
        self.assertEqual(caller.call("DELETE", path)[0], 200)
        self.assertEqual(caller.call("DELETE", path)[0], 200)
        self.assertEqual(caller.call("GET", path + "/result")[0], 410)


if __name__ == "__main__":
    unittest.main()
