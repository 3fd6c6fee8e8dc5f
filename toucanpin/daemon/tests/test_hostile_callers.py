"""Tests of callers that send malformed, ambiguous or slow input."""

import socket
import unittest
from contextlib import ExitStack

from toucanpin.daemon.tests.front_harness import (
    ScriptedInstance,
    call,
    echo,
    make_front,
    read_to_end,
    send_raw,
)

MAX_CALLS = 400  # attempts of a caller that repeats its request until it is served
TARGET = b"/v1/services/verify/"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
SMUGGLED = b"GET /v1/services/verify/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"


def post(lines: bytes, body: bytes = b"", protocol: bytes = b"HTTP/1.1") -> bytes:
    """Return a POST with the given raw header lines."""
    return b"POST " + TARGET + b" " + protocol + b"\r\nHost: x\r\n" + lines + b"\r\n" + body


AMBIGUOUS = {
    "two lengths": post(b"Content-Length: 3\r\nContent-Length: 50\r\n", b"abc" + SMUGGLED),
    "two equal lengths": post(b"Content-Length: 3\r\nContent-Length: 3\r\n", b"abc"),
    "length list": post(b"Content-Length: 3, 3\r\n", b"abc"),
    "length and chunks": post(b"Content-Length: 3\r\n" + CHUNKED, b"0\r\n\r\n" + SMUGGLED),
    "chunks and length": post(CHUNKED + b"Content-Length: 3\r\n", b"0\r\n\r\n" + SMUGGLED),
    "signed length": post(b"Content-Length: +3\r\n", b"abc"),
    "negative length": post(b"Content-Length: -3\r\n", b"abc"),
    "underlined length": post(b"Content-Length: 1_0\r\n", b"0123456789"),
    "other coding": post(b"Transfer-Encoding: gzip, chunked\r\n", b"0\r\n\r\n"),
    "coding twice": post(CHUNKED + CHUNKED, b"0\r\n\r\n"),
    "coding with tab": post(b"Transfer-Encoding:\x0bchunked\r\n", b"0\r\n\r\n"),
    "coding in HTTP/1.0": post(CHUNKED, b"0\r\n\r\n" + SMUGGLED, b"HTTP/1.0"),
    "space before colon": post(b"Content-Length : 3\r\n", b"abc" + SMUGGLED),
    "folded line": post(b"X-A: 1\r\n Content-Length: 3\r\n", b"abc"),
    "folded first line": b"GET " + TARGET + b" HTTP/1.1\r\n Host: x\r\n\r\n",
    "underscore": post(b"Content_Length: 3\r\n", b"abc"),
    "no colon": post(b"Nonsense\r\n"),
    "empty name": post(b": 3\r\n"),
    "null in value": post(b"X-A: a\0b\r\n"),
    "return in value": post(b"X-A: a\rb\r\n"),
    "bare newline": post(b"X-A: a\nContent-Length: 3\r\n", b"abc"),
    "two hosts": post(b"Host: y\r\n"),
    "no host": b"GET " + TARGET + b" HTTP/1.1\r\n\r\n",
    "null in target": b"GET " + TARGET + b"\0 HTTP/1.1\r\nHost: x\r\n\r\n",
    "target not ascii": b"GET " + TARGET + b"\xc3\xa4 HTTP/1.1\r\nHost: x\r\n\r\n",
    "lower-case method": b"get " + TARGET + b" HTTP/1.1\r\nHost: x\r\n\r\n",
    "odd method": b"G(T " + TARGET + b" HTTP/1.1\r\nHost: x\r\n\r\n",
    "absolute target": b"GET http://y" + TARGET + b" HTTP/1.1\r\nHost: x\r\n\r\n",
    "no version": b"GET " + TARGET + b"\r\nHost: x\r\n\r\n",
    "version 1.x": b"GET " + TARGET + b" HTTP/1.x\r\nHost: x\r\n\r\n",
    "chunk size in hex notation": post(CHUNKED, b"0x3\r\nabc\r\n0\r\n\r\n"),
    "signed chunk size": post(CHUNKED, b"-3\r\nabc\r\n0\r\n\r\n" + SMUGGLED),
    "chunk longer than its size": post(CHUNKED, b"3\r\nabcdef\r\n0\r\n\r\n"),
    "trailer": post(CHUNKED, b"3\r\nabc\r\n0\r\nGET /x HTTP/1.1\r\n\r\n"),
    "chunk ended by newline": post(CHUNKED, b"3\nabc\n0\n\n"),
    "chunked GET": b"GET " + TARGET + b" HTTP/1.1\r\nHost: x\r\n" + CHUNKED + b"\r\n0\r\n\r\n",
    "many headers": post(b"".join(b"X-%d: 1\r\n" % n for n in range(101))),
    "long header": post(b"X-A: " + b"a" * 20_000 + b"\r\n"),
    "long target": b"GET " + TARGET + b"a" * 20_000 + b" HTTP/1.1\r\nHost: x\r\n\r\n",
    "deadline": post(b"Toucanpin-Deadline-Ms: soon\r\n"),
    "mark": post(b"Toucanpin-Idempotent: perhaps\r\n"),
    "request id": post(b"Toucanpin-Request-Id: a b\r\n"),
    "short body": post(b"Content-Length: 10\r\n", b"abc"),
    "huge body": post(b"Content-Length: 99999999999\r\n"),
}


class HostileCallerTest(unittest.TestCase):
    def start(self, **options):
        self.instance = ScriptedInstance(echo)
        self.addCleanup(self.instance.close)
        front = make_front([self.instance.port], **options)
        self.addCleanup(front.stop, 1.0)
        return front

    def test_ambiguous_input_is_refused(self):
        """
        The sender gets one 4xx answer and a closed connection; the instance receives nothing.

        The balancer and the front may parse such input differently, so that a part that one of them
        treats as a body could run as another caller's request.
        """
        front = self.start()
        for name, data in AMBIGUOUS.items():
            with self.subTest(name):
                raw = send_raw(front, data, half_close=True)
                self.assertRegex(raw[:20], rb"^HTTP/1\.1 4\d\d ")
                self.assertEqual(raw.count(b"HTTP/1.1 "), 1)
                self.assertIn(b'"verdict":"not-run"', raw)
                self.assertIn(b"Toucanpin-Verdict: not-run\r\n", raw)
        self.assertEqual(self.instance.requests, [])
        self.assertEqual(call(front, "/after").status, 200)

    def test_slow_heads_do_not_block_other_callers(self):
        """
        Another caller is served at once while twenty callers have sent half a head each.

        The front has two threads.  If each connection occupied a thread, the front would be blocked
        until the slow callers time out.
        """
        front = self.start(threads=2)
        with ExitStack() as stack:
            slow = []
            for _ in range(20):
                sock = socket.create_connection(("127.0.0.1", front.port), 10.0)
                slow.append(stack.enter_context(sock))
                sock.sendall(b"GET /v1/services/verify/slow HTTP/1.1\r\nHo")
            self.assertEqual(call(front, "/quick").body, b"/quick|")
            slow[0].sendall(b"st: x\r\nConnection: close\r\n\r\n")
            self.assertIn(b"/slow|", read_to_end(slow[0]))

    def test_disconnected_callers_release_their_slots(self):
        """
        The next caller is served after twelve callers closed before their answers were written.

        If their slots weren't released, no later caller would be served.  On a busy machine these
        requests take long, and the next caller may first be refused because its deadline can't be
        met; that does not mean that a slot was lost.
        """
        front = self.start()
        for _ in range(12):
            with socket.create_connection(("127.0.0.1", front.port), 10.0) as sock:
                sock.sendall(b"GET " + TARGET + b" HTTP/1.1\r\nHost: x\r\n\r\n")
        bodies = (call(front, "/next").body for _ in range(MAX_CALLS))
        self.assertIn(b"/next|", bodies)


if __name__ == "__main__":
    unittest.main()
