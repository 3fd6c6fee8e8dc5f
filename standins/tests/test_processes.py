"""Tests of the stand-ins as processes, through the HTTP adapters."""

import subprocess
import sys
import unittest

import msgspec
import urllib3

from toucanpin.platform.http import HttpHostList, HttpObjectStore, HttpTable, HttpWorkers
from toucanpin.platform.ports import (
    Committed,
    Conflict,
    HostRole,
    ListedHost,
    Poll,
    Size,
    Start,
    TaskState,
    Transaction,
    Unavailable,
    Unknown,
    Write,
)

HTTP = urllib3.PoolManager(retries=False)
PATIENCE_S = 120.0  # no verdict depends on it; a starved machine needs much of it


class ProcessTest(unittest.TestCase):
    def launch(self, module, *arguments):
        """Start a stand-in and return its addresses; it must exit with 0 on SIGTERM."""
        command = [sys.executable, "-m", module, *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        assert process.stdout is not None
        self.addCleanup(process.stdout.close)
        self.addCleanup(lambda: self.assertEqual(process.wait(PATIENCE_S), 0))
        self.addCleanup(process.terminate)
        return msgspec.json.decode(process.stdout.readline())

    def put(self, url, value):
        answer = HTTP.request("PUT", url, body=msgspec.json.encode(value))
        self.assertEqual(answer.status, 204, answer.data)

    def use(self, port):
        self.addCleanup(port.close)
        return port


class PlatformTest(ProcessTest):
    def setUp(self):
        (address,) = self.launch("standins.platform")
        self.url = f"http://{address}"

    def test_table_under_faults(self):
        """
        One entry host is cut off, then its commit loses the answer after it was applied.  Another
        host is not affected and reads the row whose commit is uncertain.
        """
        table = self.use(HttpTable(self.url, "e1/control", PATIENCE_S))
        other = self.use(HttpTable(self.url, "e2/control", PATIENCE_S))
        transaction = Transaction("t", (Write("a/ä ?&", 0, b"\x00\xff"),))
        cut = {"effect": "down", "client": "e1/control"}
        self.put(f"{self.url}/faults", [cut])
        self.assertIsInstance(table.commit(transaction).error, Unavailable)
        self.assertIsNone(other.read("a/ä ?&").ok)
        lost = {"effect": "lose-after", "operation": "commit", "times": 1}
        self.put(f"{self.url}/faults", [lost])
        self.assertIsInstance(table.commit(transaction).error, Unknown)
        row = other.read("a/ä ?&").ok
        self.assertEqual(row.value, b"\x00\xff")
        self.assertEqual(table.commit(transaction).error, Conflict((row,)))
        change = Transaction("t", (Write(row.key, row.version, b"new"),))
        self.assertEqual(table.commit(change).ok, Committed(row.version + 1))
        self.assertEqual(len(other.scan("a/", after=row.version).ok), 1)
        self.assertEqual(other.scan("a/", after=row.version + 1).ok, ())
        counts = msgspec.json.decode(HTTP.request("GET", f"{self.url}/counts").data)
        self.assertEqual(counts["table"]["writes"], 2)

    def test_invalid_transaction_is_reported_without_effect(self):
        table = self.use(HttpTable(self.url, "e1", PATIENCE_S))
        self.assertIsInstance(table.commit(Transaction("t", ())).error, Unavailable)

    def test_objects_and_hosts(self):
        objects = self.use(HttpObjectStore(self.url, "e1", PATIENCE_S))
        self.assertIsNone(objects.get("a/b ?#%2F").ok)
        self.assertTrue(objects.put("a/b ?#%2F", b"\x00" * 300_000).is_ok())
        self.assertEqual(objects.get("a/b ?#%2F").ok, b"\x00" * 300_000)
        self.assertEqual(objects.names("a/").ok, ("a/b ?#%2F",))
        hosts = self.use(HttpHostList(self.url, "e1", PATIENCE_S))
        self.assertEqual(hosts.hosts().ok, ())
        listed = ListedHost("w1", HostRole.WORKER, "s", "r", "127.0.0.1", 1, size=Size(1, 2))
        self.put(f"{self.url}/hosts", [listed])
        self.assertEqual(hosts.hosts().ok, (listed,))


class WorkerTest(ProcessTest):
    def test_job_through_the_http_adapters(self):
        (store,) = self.launch("standins.platform")
        (address,) = self.launch("standins.workerd", "--name", "w1", "--objects", f"http://{store}")
        host, _, port = address.partition(":")
        listed = ListedHost("w1", HostRole.WORKER, "s", "r", host, int(port))
        workers = self.use(HttpWorkers("e1/control", PATIENCE_S))
        first = workers.poll(listed, Poll(1, "", 0, ())).ok
        self.assertTrue(first.lapsed)
        order = Start("t", 1, "batch", Size(1, 1), b'{"work":1,"input":"x"}', "", "out", False)
        poll = Poll(1, first.incarnation, first.clock + 60_000, (order,))
        self.put(f"http://{address}/faults", [{"effect": "lose-after", "times": 1}])
        self.assertTrue(workers.poll(listed, poll).error.reached)
        states = iter(lambda: workers.poll(listed, Poll(1, "", 0, ())).ok.tasks[0].state, None)
        self.assertIs(next(it for it in states if it is not TaskState.RUNNING), TaskState.FINISHED)
        self.assertEqual(
            len(self.use(HttpObjectStore(f"http://{store}", "e1", PATIENCE_S)).get("out").ok), 64
        )
        log = msgspec.json.decode(HTTP.request("GET", f"http://{address}/log").data)
        self.assertEqual([(it["task"], it["attempt"]) for it in log], [("t", 1)])


class InstanceTest(ProcessTest):
    def setUp(self):
        self.address, self.control = self.launch("standins.instanced", "--service", "changeover")

    def ask(self, request="r1", **options):
        headers = {"Toucanpin-Request-Id": request}
        url = f"http://{self.address}/verify?feeder=3"
        return HTTP.request("POST", url, body=b"reel", headers=headers, **options)

    def set_fault(self, **fault):
        self.put(f"http://{self.control}/faults", fault or None)

    def count(self):
        answer = HTTP.request("GET", f"http://{self.control}/executions")
        return msgspec.json.decode(answer.data)

    def test_digest_depends_on_the_request_alone(self):
        first, second = self.ask("r1"), self.ask("r2")
        outcomes = [msgspec.json.decode(it.data) for it in (first, second)]
        self.assertEqual([it["request"] for it in outcomes], ["r1", "r2"])
        self.assertEqual(outcomes[0]["digest"], outcomes[1]["digest"])
        self.assertEqual(self.count(), {"r1": 1, "r2": 1})

    def test_chunked_request(self):
        whole = msgspec.json.decode(self.ask().data)["digest"]
        parts = iter([b"re", b"el"])
        url = f"http://{self.address}/verify?feeder=3"
        answer = HTTP.request("POST", url, body=parts, chunked=True)
        self.assertEqual(msgspec.json.decode(answer.data)["digest"], whole)

    def test_faults_that_truncate_the_answer(self):
        for mode, runs in (
            ("reset-before", 0),
            ("reset-after", 1),
            ("cut-body", 1),
            ("half-chunk", 1),
        ):
            with self.subTest(mode=mode):
                self.set_fault(mode=mode, times=1, body_bytes=5)
                with self.assertRaises(urllib3.exceptions.HTTPError):
                    self.ask(mode)
                self.assertEqual(self.count().get(mode, 0), runs)

    def test_draining_instance_answers_not_run(self):
        self.set_fault(mode="draining", times=1)
        answer = self.ask()
        self.assertEqual((answer.status, answer.headers["Toucanpin-Verdict"]), (503, "not-run"))
        self.assertEqual(self.count(), {})

    def test_refused_connections(self):
        self.set_fault(mode="refuse")
        with self.assertRaises(urllib3.exceptions.NewConnectionError):
            urllib3.PoolManager(retries=False).request("GET", f"http://{self.address}/")
        self.set_fault()
        self.assertEqual(self.ask().status, 200)


if __name__ == "__main__":
    unittest.main()
