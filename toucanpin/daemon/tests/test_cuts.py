"""Tests of connections to instances that break at every stage of a request."""

import socket
import threading
import time
import unittest

from toucanpin.daemon.forwarder import Forwarder, OutgoingRequest
from toucanpin.daemon.tests.front_harness import (
    ScriptedInstance,
    answer,
    call,
    echo,
    make_front,
    reset,
)
from toucanpin.requests.messages import Interrupted, Refused, Responded

POST = OutgoingRequest("POST", "/", (("Host", "x"), ("Content-Length", "2")), b"hi")
GET = OutgoingRequest("GET", "/", (("Host", "x"),), b"")
HEAD = OutgoingRequest("HEAD", "/", (("Host", "x"),), b"")

SIZED = answer(b"0123456789", extra="X-Last: 1\r\n")
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"00a\r\n0123456789\r\n05\r\nabcde\r\n0\r\n\r\n"
)
EMPTY = b"HTTP/1.1 204 No Content\r\nX-First: 1\r\nX-Last: 1\r\n\r\n"
HEADED = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Last: 1\r\n\r\n"


class CutAnswerTest(unittest.TestCase):
    def forward(self, outgoing, script):
        instance = ScriptedInstance(script)
        self.addCleanup(instance.close)
        forwarder = Forwarder("127.0.0.1", instance.port)
        self.addCleanup(forwarder.close_idle, True)
        return forwarder.forward(outgoing, time.monotonic() + 5.0, False)

    def test_takes_no_cut_answer_for_a_whole_one(self):
        """
        The caller must see a 502, never a shortened answer.

        The instance sends the first n bytes of its answer and ends the connection, for every n,
        once with FIN and once with RST.  A library that takes the end of the connection for the
        end of headers or of the last chunk would hand on a partial answer as whole.
        """
        for outgoing, full in ((POST, SIZED), (POST, CHUNKED), (POST, EMPTY), (HEAD, HEADED)):
            for cut in range(len(full)):
                for hard in (False, True):
                    with self.subTest(answer=full[:40], cut=cut, hard=hard):
                        outcome = self.forward(outgoing, self.cutter(full, cut, hard))
                        self.assertIsInstance(outcome, Interrupted)
            self.assertIsInstance(self.forward(outgoing, self.cutter(full, None, False)), Responded)

    @staticmethod
    def cutter(full, cut, hard):
        def send(number, request, sock):
            sock.sendall(full[:cut])
            if hard:
                reset(sock)
            return False

        return send

    def test_refuses_answers_whose_end_can_not_be_told(self):
        """
        The caller must see a 502, not a body that may be half.

        The instance ends its body by closing, gives two lengths or both length and chunks, or
        sends an interim status; where the answer ends can't be told or can be told in two ways.
        """
        heads = (
            b"HTTP/1.1 200 OK\r\n\r\nhalf",
            b"HTTP/1.0 200 OK\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nhalf",
            b"HTTP/1.1 103 Early Hints\r\n\r\n",
            b"nonsense\r\n\r\n",
        )
        for head in heads:
            with self.subTest(head=head):
                outcome = self.forward(GET, self.cutter(head, None, False))
                self.assertIsInstance(outcome, Interrupted)

    def test_says_not_run_only_before_the_first_byte(self):
        """
        A refused connection is not run; a reset while the request is written may have run.

        The instance of the second case takes some bytes of a long body and resets.  It may have
        acted on the head alone.
        """
        listener = socket.create_server(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        listener.close()
        refused = Forwarder("127.0.0.1", port).forward(POST, time.monotonic() + 5.0, True)
        self.assertIsInstance(refused, Refused)

        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def reset_early():
            sock, _ = listener.accept()
            with sock:
                sock.recv(10)
                reset(sock)

        thread = threading.Thread(target=reset_early)
        thread.start()
        self.addCleanup(thread.join)
        long = OutgoingRequest(
            "POST", "/", (("Host", "x"), ("Content-Length", "9000000")), b"x" * 9000000
        )
        port = listener.getsockname()[1]
        outcome = Forwarder("127.0.0.1", port).forward(long, time.monotonic() + 5.0, True)
        self.assertIsInstance(outcome, Interrupted)


class ReusedConnectionTest(unittest.TestCase):
    def start(self, script, **options):
        self.instance = ScriptedInstance(script)
        self.addCleanup(self.instance.close)
        front = make_front([self.instance.port], **options)
        self.addCleanup(front.stop, 1.0)
        return front

    def test_gives_no_caller_the_late_answer_to_another(self):
        """
        The second caller gets a 504 in time, the third its own answer.

        The instance answers the first request, holds the second until its caller has given up and
        a third request comes, and sends the second answer then.  Were the connection used again,
        the third caller would be handed the second one's answer.
        """
        given_up = threading.Event()

        def hold(number, request, sock):
            if number == 2:
                given_up.wait(10.0)
                sock.recv(1, socket.MSG_PEEK)
            return echo(number, request, sock)

        front = self.start(hold)
        self.assertEqual(call(front, "/one").body, b"/one|")
        late = call(front, "/two", "POST", Toucanpin_Deadline_Ms="100")
        given_up.set()
        self.assertEqual((late.status, late.verdict), (504, "may-have-run"))
        self.assertEqual(call(front, "/three").body, b"/three|")

    def test_says_may_have_run_when_a_reused_connection_ends_without_an_answer(self):
        """
        The caller is told "may have run", and the instance sees the request once.

        The instance reads the second request of a kept connection and closes.  From here it looks
        like a connection that was closed while idle, the classic false "not run".
        """
        front = self.start(lambda number, request, sock: number == 1 and echo(1, request, sock))
        self.assertEqual(call(front, "/", "POST", b"1").status, 200)
        reply = call(front, "/", "POST", b"2")
        self.assertEqual((reply.status, reply.verdict), (502, "may-have-run"))
        self.assertEqual(len(self.instance.requests), 2)

    def test_opens_a_new_connection_after_the_instance_closed_the_idle_one(self):
        """
        Both callers get their answers.

        The instance closes the connection after the first answer without saying so beforehand;
        the front sees that it is readable and doesn't write the second request into it.
        """
        closed = threading.Event()

        def answer_and_close(number, request, sock):
            echo(number, request, sock)
            sock.shutdown(socket.SHUT_RDWR)
            closed.set()
            return False

        front = self.start(answer_and_close)
        self.assertEqual(call(front, "/", "POST", b"1").status, 200)
        closed.wait(10.0)
        self.assertEqual(call(front, "/", "POST", b"2").status, 200)
        self.assertEqual(self.instance.connections, 2)

    def test_sends_non_idempotent_requests_only_on_fresh_connections(self):
        """
        The request goes out on a new connection and is not lost.

        After seconds of idling, the instance's close may be on its way as the front writes; an
        idempotent request would be retried, a non-idempotent one could only be given up.
        """
        instance = ScriptedInstance(echo)
        self.addCleanup(instance.close)
        shift = [0.0]
        clock = lambda: time.monotonic() + shift[0]  # noqa: E731
        forwarder = Forwarder("127.0.0.1", instance.port, clock)
        forwarder.limit = 2
        self.addCleanup(forwarder.close_idle, True)
        forwarder.forward(POST, clock() + 5.0, True)
        forwarder.forward(POST, clock() + 5.0, True)
        self.assertEqual(instance.connections, 1)
        shift[0] = 3.0
        forwarder.forward(GET, clock() + 5.0, False)
        self.assertEqual(instance.connections, 1)
        shift[0] = 6.0
        forwarder.forward(POST, clock() + 5.0, True)
        self.assertEqual(instance.connections, 2)

    def test_shows_a_cut_stream_as_cut(self):
        """
        The caller's connection ends without the last chunk, or short of its Content-Length.

        The instance has sent more than the front reads beforehand, so the head is out, and then
        breaks off.  A clean end would make the part look whole.
        """
        piece = b"186a0\r\n" + b"y" * 100_000 + b"\r\n"
        starts = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + piece + piece[:50],
            b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"y" * 200_000,
        )
        for start in starts:
            with self.subTest(start=start[:60]):
                front = self.start(CutAnswerTest.cutter(start, None, False))
                reply = call(front, "/")
                self.assertEqual((reply.status, reply.whole), (200, False))


if __name__ == "__main__":
    unittest.main()
