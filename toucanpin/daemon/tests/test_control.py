"""Tests of the control role with platform services in memory and real threads."""

import io
import json
import threading
import time
import unittest

from expression import Ok

from standins.memory import FaultyLink, MemoryObjects, MemoryTable, MemoryWorkers
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
    """Platform services in memory, and stand-ins for the other components of the process."""

    def __init__(self) -> None:
        line = FaultyLink(time.monotonic)
        self.core = TableCore()
        self.table = MemoryTable(self.core, line, "test")
        self.objects = MemoryObjects(ObjectsCore(), line, "test")
        size = Size(8, 8_000, 0)
        self.cores = {"w0": WorkerCore("w0", "1", size)}
        self.workers = MemoryWorkers(self.cores, self.objects, line, "test")
        self.host = ListedHost("w0", HostRole.WORKER, "s", "r", "127.0.0.1", 1, size=size)
        standing = (StandingTask("enc", "t", "encoder", 1, 100),)
        self.bundle = Bundle("test", 1, standing=standing)
        self.recorded: dict[str, threading.Event] = {}

    def hosts(self):
        """Return the host list."""
        return Ok((self.host,))

    def members(self):
        """Return the members."""
        return (Member("e0/control", "e0", "s", "control", make_incarnation(1), "127.0.0.1", 1),)

    def current(self):
        """Return the bundle in force."""
        return self.bundle

    def record(self, kind, ids, detail="", causes=()):
        """Record an event of the timeline."""
        self.recorded.setdefault(kind, threading.Event()).set()
        return Event("e0/control", "1", 1, 0.0, 0.0, kind, ids, detail, causes)

    def wait(self, kind: str) -> bool:
        """Wait until an event of the kind was recorded."""
        return self.recorded.setdefault(kind, threading.Event()).wait(TEST_TIMEOUT_S)

    def control(self) -> Control:
        """Return the component under test."""
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
    """Client of the jobs application."""

    def __init__(self, platform: Platform) -> None:
        self.app = JobsApp(platform.table, platform.objects, lambda: (platform.host,), platform)

    def call(self, method: str, path: str, body: bytes = b"", key: str = "", query: str = ""):
        """Send a request; return the status, headers and body of the response."""
        response: list = []
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(body)),
            "HTTP_IDEMPOTENCY_KEY": key,
            "wsgi.input": io.BytesIO(body),
        }
        body = b"".join(
            self.app(environ, lambda status, headers: response.extend((status, headers)))
        )
        return int(response[0].split()[0]), dict(response[1]), body


def describe_job(**fields) -> bytes:
    """Return the submission of a job as JSON."""
    job = {"kind": "k", "team": "t", "processors": 1, "memory": 100, **fields}
    return json.dumps(job).encode()


class ControlTest(unittest.TestCase):
    """Tests of the control role with its threads."""

    def test_runs_submitted_job_and_standing_task(self):
        """A job submitted over HTTP is run to its result; stopping releases cell and authority."""
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

    def test_interference_aware_policy_is_the_default(self):
        """
        A task uses three times the CPU that it declared, and an event says so.

        Without a policy given, the control role must learn the usage of tasks from the reports.
        """
        platform = Platform()
        overusing = StandingTask("enc", "t", "encoder", 1, 100, payload='{"use": 3.0}')
        platform.bundle = Bundle("test", 1, standing=(overusing,))
        control = platform.control()
        control.start()
        self.assertTrue(platform.wait("task.outgrown"))
        control.stop(TEST_TIMEOUT_S)


class SilentWorkers:
    """Workers that answer at once, except one that answers only after ``release``."""

    def __init__(self) -> None:
        self.release = threading.Event()

    def poll(self, host, poll):
        """Return a report, after ``release`` if the worker is the silent one."""
        if host.name == "silent":
            self.release.wait(TEST_TIMEOUT_S)
        return Ok(Report(host.name, "1", 1, poll.epoch, True, False, Size(1, 1), ()))


class PollPoolTest(unittest.TestCase):
    """Tests of the pool of polls with one silent worker."""

    def poll(self, pool, epoch):
        """Poll both workers; return which of them answered."""
        size = Size(1, 1)
        hosts = [
            ListedHost(name, HostRole.WORKER, "s", "r", "127.0.0.1", 1, size=size)
            for name in ("quick", "silent")
        ]
        polls = tuple(WorkerPoll(host, Poll(epoch, "", 0, ())) for host in hosts)
        return [outcome.is_ok() for outcome in pool.poll_all(polls)]

    def test_silent_worker_does_not_delay_others(self):
        """
        The quick worker's report is returned while the poll of the silent one is pending.

        The late report answers a later poll of the same epoch, but not one of another epoch: that a
        worker accepted an old epoch doesn't show that it would refuse an owner of a later one.
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
    """Tests of the jobs application without a control process."""

    def test_repeated_key_returns_the_same_job(self):
        """A repeated submission returns the first job; a different one with its key conflicts."""
        caller = Caller(Platform())
        first = caller.call("POST", "/v1/jobs", describe_job(), "key")
        self.assertEqual(caller.call("POST", "/v1/jobs", describe_job(), "key")[2], first[2])
        other = caller.call("POST", "/v1/jobs", describe_job(memory=7), "key")
        self.assertEqual((other[0], json.loads(other[2])["reason"]), (409, "conflict"))
        self.assertEqual(len(json.loads(caller.call("GET", "/v1/jobs")[2])), 1)

    def test_refusals_carry_verdict_and_reason(self):
        """Invalid input, unknown jobs and jobs that never fit are refused at once."""
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
        """A waiting job can be cancelled, also twice, and has no result."""
        caller = Caller(Platform())
        path = caller.call("POST", "/v1/jobs", describe_job(), "key")[1]["Location"]
        self.assertEqual(caller.call("DELETE", path)[0], 200)
        self.assertEqual(caller.call("DELETE", path)[0], 200)
        self.assertEqual(caller.call("GET", path + "/result")[0], 410)


if __name__ == "__main__":
    unittest.main()
