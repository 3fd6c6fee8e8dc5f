"""Tests of the front with real sockets: answers, verdicts and streams."""

import unittest
from random import Random

from toucanpin.bundles.schema import Bundle, Service
from toucanpin.daemon.tests.front_harness import (
    SERVICE,
    FakeTable,
    FakeView,
    ScriptedInstance,
    answer,
    call,
    echo,
    make_front,
    send_raw,
)
from toucanpin.daemon.upstreams import Upstreams
from toucanpin.platform.ports import HostRole, ListedHost


class FrontTest(unittest.TestCase):
    def start(self, *scripts, **options):
        self.instances = [ScriptedInstance(script) for script in scripts]
        for instance in self.instances:
            self.addCleanup(instance.close)
        front = make_front([instance.port for instance in self.instances], **options)
        self.addCleanup(front.stop, 1.0)
        return front

    def test_target_body_and_remaining_time_are_relayed(self):
        front = self.start(echo)
        reply = call(front, "/a%20b?c=d", "POST", b"x" * 70_000, Toucanpin_Deadline_Ms="900")
        self.assertEqual((reply.status, reply.body), (200, b"/a%20b?c=d|" + b"x" * 70_000))
        head = self.instances[0].requests[0].partition(b"\r\n\r\n")[0]
        limit = int(head.partition(b"Toucanpin-Deadline-Ms: ")[2])
        self.assertLessEqual(limit, 900)
        self.assertNotIn(b"Connection", head)

    def test_large_answer_is_streamed(self):
        def send(number, request, sock):
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(40):
                sock.sendall(b"2710\r\n" + b"y" * 10_000 + b"\r\n")
            sock.sendall(b"0\r\n\r\n")
            return True

        reply = call(self.start(send), "/")
        self.assertEqual((reply.status, len(reply.body), reply.complete), (200, 400_000, True))

    def test_unknown_service_and_path_are_refused(self):
        front = self.start(echo)
        lines = b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        for path in (b"/v1/services/none/x", b"/elsewhere"):
            reply = send_raw(front, b"GET " + path + lines)
            self.assertIn(b" 404 ", reply)
            self.assertIn(b'"verdict":"not-run"', reply)

    def test_not_ready_without_bundle(self):
        front = self.start(echo)
        front._bundle.bundle = None
        reply = call(front, "/")
        self.assertEqual((reply.status, reply.verdict, reply.reason), (503, "not-run", "not-ready"))
        self.assertIn("retry-after", reply.headers)

    def test_not_ready_for_service_without_entry(self):
        front = self.start(echo)
        front._upstreams.find = lambda name: None
        self.assertEqual(call(front, "/").reason, "not-ready")

    def test_not_ready_before_services_are_set_up(self):
        """
        A new process must not report ready while it would refuse every request.

        It learns of the bundle first and sets up the services at its next refresh.  In between
        there is no service whose shares of slots could be unknown.
        """
        bundle = Bundle("test", 1, (Service(SERVICE),))
        view = FakeView(None, ("e1/request",))
        hosts = (ListedHost("i", HostRole.INSTANCE, "casco", "r", "127.0.0.1", 1, False, SERVICE),)
        upstreams = Upstreams(
            "e1/request", "casco", 0.0, view, lambda: hosts, view, Random(1), max_requests=8
        )
        upstreams.refresh(1.0)
        view.bundle = bundle
        self.assertFalse(upstreams.knows_shares(1.0))
        upstreams.refresh(1.2)
        self.assertTrue(upstreams.knows_shares(1.2))

    def test_other_paths_go_to_mounted_applications(self):
        def app(environ, start_response):
            start_response("200 OK", [("Content-Length", "2")])
            return [environ["wsgi.input"].read(2)]

        front = self.start(echo, mounts={"/v1/jobs": app})
        data = b"POST /v1/jobs/7 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        reply = send_raw(front, data + b"Content-Length: 2\r\n\r\nhi")
        self.assertTrue(reply.endswith(b"\r\n\r\nhi"))

    def test_pipelined_requests_are_answered_in_order(self):
        front = self.start(echo)
        lines = b" HTTP/1.1\r\nHost: x\r\n"
        target = b"GET /v1/services/verify/"
        data = (
            target + b"1" + lines + b"\r\n" + target + b"2" + lines + b"Connection: close\r\n\r\n"
        )
        raw = send_raw(front, data)
        self.assertLess(raw.index(b"/1|"), raw.index(b"/2|"))
        self.assertEqual(raw.count(b"200 OK"), 2)

    def test_body_above_the_limit_is_refused(self):
        front = self.start(echo, service=Service(SERVICE, max_body=100))
        reply = call(front, "/", "POST", b"x" * 101)
        self.assertEqual((reply.status, reply.verdict), (413, "not-run"))
        chunked = b"POST /v1/services/verify/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        chunked += b"Transfer-Encoding: chunked\r\n\r\n65\r\n" + b"x" * 101 + b"\r\n0\r\n\r\n"
        self.assertIn(b" 413 ", send_raw(front, chunked))
        self.assertEqual(self.instances[0].requests, [])

    def test_chunked_request_body_is_streamed(self):
        received = []

        def take(number, request, sock):
            data = request.partition(b"\r\n\r\n")[2]
            while not data.endswith(b"0\r\n\r\n"):
                data += sock.recv(65536)
            received.append(data.count(b"z"))
            sock.sendall(answer(b"ok"))
            return True

        front = self.start(take)
        data = b"POST /v1/services/verify/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        data += b"Transfer-Encoding: chunked\r\n\r\n"
        data += (b"4e20\r\n" + b"z" * 20_000 + b"\r\n") * 10 + b"0\r\n\r\n"
        self.assertIn(b"200 OK", send_raw(front, data))
        self.assertEqual(received, [200_000])

    def test_request_id_is_claimed_once(self):
        table = FakeTable()
        front = self.start(echo, table=table)
        first = call(front, "/", "POST", Toucanpin_Request_Id="r1")
        second = call(front, "/", "POST", Toucanpin_Request_Id="r1")
        self.assertEqual((first.status, second.status), (200, 409))
        self.assertEqual((second.verdict, second.reason), ("may-have-run", "duplicate"))
        self.assertEqual(len(self.instances[0].requests), 1)


if __name__ == "__main__":
    unittest.main()
