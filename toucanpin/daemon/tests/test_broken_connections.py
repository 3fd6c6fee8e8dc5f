"""Tests of connections to instances that fail at any stage of a request."""

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

SIZED_ANSWER = answer(b"0123456789", extra="X-Last: 1\r\n")
CHUNKED_ANSWER = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"00a\r\n0123456789\r\n05\r\nabcde\r\n0\r\n\r\n"
)
EMPTY_ANSWER = b"HTTP/1.1 204 No Content\r\nX-First: 1\r\nX-Last: 1\r\n\r\n"
HEAD_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Last: 1\r\n\r\n"


class TruncatedAnswerTest(unittest.TestCase):
    def forward(self, outgoing, script):
        instance = ScriptedInstance(script)
        self.addCleanup(instance.close)
        forwarder = Forwarder("127.0.0.1", instance.port)
        self.addCleanup(forwarder.close_idle, True)
        return forwarder.forward(outgoing, time.monotonic() + 5.0, False)

    def test_truncated_answer_is_not_accepted(self):
        """
        An answer that ends early, after any byte, by FIN or RST, must give the caller a 502.

        http.client treats the end of the connection as the end of the headers or of the last
        chunk, and would pass on the partial answer as complete.
        """
        for outgoing, full in (
            (POST, SIZED_ANSWER),
            (POST, CHUNKED_ANSWER),
            (POST, EMPTY_ANSWER),
            (HEAD, HEAD_ANSWER),
        ):
            for length in range(len(full)):
                for with_reset in (False, True):
                    with self.subTest(answer=full[:40], length=length, with_reset=with_reset):
                        outcome = self.forward(
                            outgoing, self.make_truncating_script(full, length, with_reset)
                        )
                        self.assertIsInstance(outcome, Interrupted)
            self.assertIsInstance(
                self.forward(outgoing, self.make_truncating_script(full, None, False)), Responded
            )

    @staticmethod
    def make_truncating_script(full, length, with_reset):
        def send(number, request, sock):
            sock.sendall(full[:length])
            if with_reset:
                reset(sock)
            return False

        return send

    def test_answer_with_ambiguous_end_is_not_accepted(self):
        """
        An answer whose end is unknown or ambiguous must give the caller a 502.

        The instance ends its body by closing, sends two lengths, a length and chunks, or an interim
        status.  Such a body may be truncated without notice.
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
                outcome = self.forward(GET, self.make_truncating_script(head, None, False))
                self.assertIsInstance(outcome, Interrupted)

    def test_attempt_is_refused_only_before_its_first_byte(self):
        """
        After a refused connection the request did not run; after a reset it may have run.

        The second instance resets after some bytes of a long request.  It may have acted on the
        head alone.
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

    def test_late_answer_does_not_reach_another_caller(self):
        """
        The second caller gets a 504 in time, the third its own answer.

        The instance delays the second answer until that caller has timed out and the third request
        arrives.  If the connection were reused, the third caller would get the second answer.
        """
        timed_out = threading.Event()

        def hold(number, request, sock):
            if number == 2:
                timed_out.wait(10.0)
                sock.recv(1, socket.MSG_PEEK)
            return echo(number, request, sock)

        front = self.start(hold)
        self.assertEqual(call(front, "/one").body, b"/one|")
        late = call(front, "/two", "POST", Toucanpin_Deadline_Ms="100")
        timed_out.set()
        self.assertEqual((late.status, late.verdict), (504, "may-have-run"))
        self.assertEqual(call(front, "/three").body, b"/three|")

    def test_request_may_have_run_if_reused_connection_ends(self):
        """
        The caller is told "may have run", and the instance receives the request once.

        The instance reads the second request of a reused connection and closes it.  To the front
        this looks like a connection closed while idle, on which the request would not have run.
        """
        front = self.start(lambda number, request, sock: number == 1 and echo(1, request, sock))
        self.assertEqual(call(front, "/", "POST", b"1").status, 200)
        reply = call(front, "/", "POST", b"2")
        self.assertEqual((reply.status, reply.verdict), (502, "may-have-run"))
        self.assertEqual(len(self.instance.requests), 2)

    def test_closed_idle_connection_is_replaced(self):
        """
        Both callers get their answers.

        The instance closes the connection after the first answer without announcing it.  The front
        notices that the idle connection is readable and sends the second request on a new one.
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

    def test_non_idempotent_request_needs_fresh_connection(self):
        """
        After seconds of idling, a non-idempotent request is sent on a new connection.

        The instance may close an idle connection while the front writes to it; an idempotent
        request would then be retried, a non-idempotent one would fail.
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

    def test_truncated_stream_is_visible_to_the_caller(self):
        """
        The caller's connection ends without the last chunk or before the Content-Length.

        The instance breaks off after more data than the front buffers, when the head has been sent
        to the caller already.  With a regular end, the partial answer would look complete.
        """
        piece = b"186a0\r\n" + b"y" * 100_000 + b"\r\n"
        starts = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + piece + piece[:50],
            b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"y" * 200_000,
        )
        for start in starts:
            with self.subTest(start=start[:60]):
                front = self.start(TruncatedAnswerTest.make_truncating_script(start, None, False))
                reply = call(front, "/")
                self.assertEqual((reply.status, reply.complete), (200, False))


if __name__ == "__main__":
    unittest.main()
