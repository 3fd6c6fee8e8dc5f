"""Tests of the inner protocol over loopback sockets."""

import contextlib
import errno
import socket
import struct
import threading
import unittest

from expression import Result

from toucanpin.membership.member import Member
from toucanpin.verdict import Verdict
from toucanpin.wire.client import CallFault, InnerClient
from toucanpin.wire.codec import MAJOR_VERSION, MAX_FRAME_BYTES, Purpose, encode, seal
from toucanpin.wire.datagram import DatagramSocket
from toucanpin.wire.identity import Identity
from toucanpin.wire.keys import PeerKeys
from toucanpin.wire.messages import (
    Heartbeat,
    PullBundle,
    Standstill,
    StandstillAnswer,
)
from toucanpin.wire.server import MAX_CONNECTIONS, InnerServer
from toucanpin.wire.tests.test_codec import PAYLOAD

LOOPBACK = "127.0.0.1"
KEYS = PeerKeys("k1", {"k1": bytes(32)})
OTHER_KEYS = PeerKeys("k1", {"k1": bytes(range(32))})
TEST_TIMEOUT_S = 10.0


def identify(name):
    return Identity("swan", name, "malaga", lambda: 1)


def locate(name, port):
    host, role = name.split("/")
    return Member(name, host, "malaga", role, 1, LOOPBACK, port)


class ServerTest(unittest.TestCase):
    def setUp(self):
        self.requests = []
        self.server = InnerServer(
            LOOPBACK, 0, identify("b/control"), KEYS, {Standstill: self.promise}
        )
        self.server.start()
        self.addCleanup(self.server.stop, TEST_TIMEOUT_S)
        self.member = locate("b/control", self.server.port)

    def promise(self, envelope, request):
        self.requests.append((envelope.sender, request.owner))
        return StandstillAnswer(True, "")

    def call(self, request, member=None, keys=KEYS):
        client = InnerClient(identify("a/control"), keys)
        return client.call(member or self.member, request, TEST_TIMEOUT_S)

    def send(self, data):
        with socket.create_connection((LOOPBACK, self.server.port), TEST_TIMEOUT_S) as connection:
            try:
                connection.sendall(data)
                connection.shutdown(socket.SHUT_WR)
                return connection.makefile("rb").read()
            except OSError as error:
                # The server may close the connection before an invalid stream is sent completely.
                if error.errno not in (errno.ECONNRESET, errno.EPIPE, errno.ENOTCONN):
                    raise
                return b""

    def test_request_is_answered(self):
        match self.call(Standstill("a/control", 6.0)):
            case Result(tag="ok", ok=received):
                self.assertEqual(received.message, StandstillAnswer(True, ""))
                self.assertEqual(received.envelope.sender, "b/control")
            case other:
                self.fail(str(other))
        self.assertEqual(self.requests, [("a/control", "a/control")])

    def test_request_for_another_process_is_refused(self):
        """
        A host was replaced and another process has its address, or a captured request is replayed
        to another process.  The client must not mistake this process's promise for the other's.
        """
        match self.call(Standstill("a/control", 6.0), locate("c/control", self.server.port)):
            case Result(tag="error", error=CallFault(verdict, detail)):
                self.assertIs(verdict, Verdict.NOT_RUN)
                self.assertIn("meant for 'c/control'", detail)
            case other:
                self.fail(str(other))
        self.assertEqual(self.requests, [])

    def test_message_without_handler_is_refused(self):
        self.assertTrue(self.call(PullBundle(1)).is_error())

    def test_client_without_the_key_gets_no_answer(self):
        self.assertTrue(self.call(Standstill("a/control", 6.0), keys=OTHER_KEYS).is_error())
        self.assertEqual(self.requests, [])

    def test_refused_connection_is_not_run(self):
        with socket.create_server((LOOPBACK, 0)) as probe:
            port = probe.getsockname()[1]
        match self.call(PullBundle(1), locate("b/control", port)):
            case Result(tag="error", error=CallFault(verdict, _)):
                self.assertIs(verdict, Verdict.NOT_RUN)
            case other:
                self.fail(str(other))

    def test_invalid_streams_do_not_affect_other_requests(self):
        """
        A peer sends garbage, a truncated frame, an empty one and one with a stated length of 4 GB.
        Each connection is closed without an answer, and the next request is served.
        """
        frame = seal(KEYS, Purpose.REQUEST, PAYLOAD)
        for data in (
            b"GET / HTTP/1.1\r\n\r\n",
            b"\0\0",
            struct.pack(">I", len(frame)) + frame[:-1],
            struct.pack(">I", 0),
            struct.pack(">I", 0xFFFFFFFF),
            struct.pack(">I", MAX_FRAME_BYTES + 1),
        ):
            self.assertEqual(self.send(data), b"")
        self.assertTrue(self.call(Standstill("a/control", 6.0)).is_ok())

    def test_silent_connections_of_one_peer_do_not_block_others(self):
        """
        A peer opens as many connections as the server's limit and sends nothing.  A request from
        another address must still be answered.
        """
        endpoint = (LOOPBACK, self.server.port)
        with contextlib.ExitStack() as held:
            for _ in range(MAX_CONNECTIONS):
                source = ("127.0.0.9", 0)
                held.enter_context(socket.create_connection(endpoint, TEST_TIMEOUT_S, source))
            self.assertTrue(self.call(Standstill("a/control", 6.0)).is_ok())

    def test_unknown_major_version_is_reported(self):
        """
        A process of the next major version sends a request.  The version must be reported to it,
        instead of the request timing out.
        """
        frame = seal(KEYS, Purpose.REQUEST, PAYLOAD, MAJOR_VERSION + 1)
        self.assertIn(b"major version 2", self.send(struct.pack(">I", len(frame)) + frame))


class ReplayedAnswerTest(unittest.TestCase):
    def test_replayed_answer_is_rejected(self):
        """
        A promise is captured and replayed in answer to a later request of the same owner.  Sender,
        key and purpose are valid; only the nonce differs.
        """
        envelope = identify("b/control").make_envelope("a/control", nonce=5)
        answer = encode(KEYS, Purpose.ANSWER, envelope, StandstillAnswer(True, ""))
        with socket.create_server((LOOPBACK, 0)) as listener:
            replayer = threading.Thread(target=self.replay, args=(listener, answer))
            replayer.start()
            member = locate("b/control", listener.getsockname()[1])
            client = InnerClient(identify("a/control"), KEYS)
            result = client.call(member, Standstill("a/control", 6.0), TEST_TIMEOUT_S)
            replayer.join()
        self.assertTrue(result.is_error())

    def replay(self, listener, answer):
        connection, _ = listener.accept()
        with connection:
            connection.recv(4_096)
            connection.sendall(struct.pack(">I", len(answer)) + answer)


class DatagramTest(unittest.TestCase):
    def test_heartbeats_are_received_and_garbage_is_dropped(self):
        first = DatagramSocket(LOOPBACK, 0, identify("a/control"), KEYS)
        second = DatagramSocket(LOOPBACK, 0, identify("b/control"), KEYS)
        self.addCleanup(first.close)
        self.addCleanup(second.close)
        heartbeat = Heartbeat(LOOPBACK, first.port, False, 1, -1)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"garbage", (LOOPBACK, second.port))
            self.assertIsNone(second.receive(TEST_TIMEOUT_S))
        first.send(heartbeat, ((LOOPBACK, second.port),))
        received = second.receive(TEST_TIMEOUT_S)
        assert received is not None
        self.assertEqual((received.envelope.sender, received.message), ("a/control", heartbeat))


if __name__ == "__main__":
    unittest.main()
